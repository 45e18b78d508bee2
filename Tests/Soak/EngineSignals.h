// What engines ask of the routers that they answer: to leave them, to pause, or to send less. Judges whether
// each router keeps to it. No I/O.

#pragma once

#include "Disturbances.h"
#include "EngineLimits.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Wisteria {

class EngineSignals
{
public:
    // Requests may reach an engine for so long after its Retry-After has reached the router.
    static constexpr absl::Duration pauseMargin = absl::Milliseconds(500);
    static constexpr int mostDuringPause = 2;

    explicit EngineSignals(const Disturbances &disturbances)
        : m_disturbances(disturbances), m_limits(disturbances)
    {
    }

    void noteSent(const std::string &request, const std::string &router, absl::Time now);
    // The engine carries Server-Leaving in all its answers from now on.
    void noteLeaving(const std::string &engine, absl::Time now);
    // The engine rejects requests with this Retry-After until it is unset.
    void setPause(const std::string &engine, std::optional<absl::Duration>);
    [[nodiscard]] EngineLimits &limits() { return m_limits; }
    // The caller got the engine's answer of this request.
    void noteAnswered(const std::string &request, absl::Time now);

    enum class Verdict { NotJudged, Kept, Broken };
    struct Judgement
    {
        Verdict leaving{Verdict::NotJudged};
        Verdict pause{Verdict::NotJudged};
        std::string router;
    };
    // A request of the router reached the engine. `drainBound` is the time within which leaving binds.
    Judgement judgeArrival(const std::string &request, const std::string &engine, absl::Duration drainBound,
                           absl::Time now);

private:
    struct Sent
    {
        std::string router;
        absl::Time at;
        // The last engine that it reached, and when.
        std::string engine;
        absl::Time reachedAt;
    };
    struct Pause
    {
        absl::Time from;
        absl::Time to;
        int arrivals{0};
    };
    using RouterAndEngine = std::pair<std::string, std::string>;

    Verdict judgeLeaving(const Sent &, absl::Duration drainBound, absl::Time now) const;
    Verdict judgePause(const Sent &, absl::Time now);
    // The router was neither restarted nor paused nor cut.
    [[nodiscard]] bool ranAllTheWhile(const std::string &router, absl::Time from, absl::Time to) const;

    const Disturbances &m_disturbances;
    EngineLimits m_limits;
    std::map<std::string, Sent> m_sent;
    std::map<std::string, absl::Time> m_leaving;
    // When the router first passed on an answer of the leaving engine.
    std::map<RouterAndEngine, absl::Time> m_passedOn;
    std::map<std::string, absl::Duration> m_pauses;
    std::map<RouterAndEngine, Pause> m_pausesOfRouters;
};

} // namespace Wisteria
