// The ways in which a generation leaves a router. Each tells the caller at once and frees everything.

#pragma once

#include <LibRouting/AttemptLauncher.h>

namespace Wisteria {

class GenerationCloser
{
public:
    GenerationCloser(RoutingState &state, AttemptLauncher &launcher)
        : m_state(state), m_launcher(launcher) { }

    // The reference is dead after each of these.
    void complete(Generation &, FinishReason);
    // A wait of which more is known than its kind tells goes in as `retryDelay`.
    void refuse(Generation &, ErrorCode, std::string detail,
                std::optional<absl::Duration> retryDelay = std::nullopt);
    void handOver(Generation &);
    void discard(Generation &);

    // Refuses the generation once its caller has stopped waiting; true when it did. A host that was paused
    // may bring other events before the Tick of a deadline.
    [[nodiscard]] bool refuseIfExpired(Generation &);
    // Refuses a request that was not admitted.
    void refuse(const GenerationId &, ErrorCode, std::string detail,
                std::optional<absl::Duration> retryDelay = std::nullopt);

private:
    void remove(Generation &);
    [[nodiscard]] std::optional<absl::Duration> defaultRetryDelay(ErrorCode);

    RoutingState &m_state;
    AttemptLauncher &m_launcher;
};

} // namespace Wisteria
