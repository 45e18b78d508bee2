// What was disturbed when, so that a promise with a time bound is judged only where its terms held. No I/O.

#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace Wisteria {

enum class DisturbanceKind {
    // A router was killed, paused or restarted, or its links were harmed. The subject is the router.
    Router,
    // A planned stop of a router. The subject is the router.
    PlannedStop,
    // A router got SIGTERM; it may run on for long. The subject is the router.
    StopSignal,
    // Engines, or the links to them.
    Engine,
    // The link between all routers and an engine was cut, slowed or frozen. The subject is the engine.
    EngineLink,
    Store,
    // The soak's own event loop was late, so that its observations are.
    Observer,
};

class Disturbances
{
public:
    // An empty subject stands for all of the kind. Open until `end()` is called with the returned number.
    std::size_t begin(DisturbanceKind, const std::string &subject, absl::Time now);
    void end(std::size_t number, absl::Time now);

    // Nothing of the kind that concerns the subject overlaps the span. An empty subject asks for any.
    [[nodiscard]] bool isCalm(DisturbanceKind, const std::string &subject, absl::Time from,
                              absl::Time to) const;

private:
    struct Entry
    {
        DisturbanceKind kind;
        std::string subject;
        absl::Time from;
        absl::Time to;
    };

    std::vector<Entry> m_entries;
};

} // namespace Wisteria
