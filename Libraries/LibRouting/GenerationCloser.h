// Ends generations. Each method that ends a generation releases all its resources, and all except discard()
// notify the caller immediately.

#pragma once

#include <LibRouting/AttemptLauncher.h>

namespace Wisteria {

class GenerationCloser
{
public:
    GenerationCloser(RoutingState &state, AttemptLauncher &launcher)
        : m_state(state), m_launcher(launcher) { }

    // complete(), refuse(Generation &, ...), handOver() and discard() destroy the generation and invalidate
    // the reference.
    void complete(Generation &, FinishReason);
    // `retryDelay` overrides the default retry delay of the error code.
    void refuse(Generation &, ErrorCode, std::string detail,
                std::optional<absl::Duration> retryDelay = std::nullopt);
    void handOver(Generation &);
    void discard(Generation &);

    // Refuses the generation if its deadline has passed and returns true if it did. Invalidates the reference
    // if it returns true. If the host process was paused, other events may arrive before the Tick for the
    // deadline.
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
