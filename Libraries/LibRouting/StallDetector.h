// Distinguishes stalled attempts from slow ones and schedules the next check of a generation.

#pragma once

#include <LibRouting/RoutingState.h>

namespace Wisteria {

class StallDetector
{
public:
    explicit StallDetector(const RoutingState &state) : m_state(state) { }

    // Time without progress after which the attempt counts as stalled.
    [[nodiscard]] absl::Duration stallLimit(const Generation &, const Attempt &) const;
    [[nodiscard]] bool isStalled(const Generation &, const Attempt &) const;
    // Whether the attempt has been stalled for so long that it should be abandoned even if there is no
    // alternative.
    [[nodiscard]] bool shouldAbandon(const Generation &, const Attempt &) const;
    // Whether no stream of this router on the attempt's target has made progress for half the stall limit of
    // this attempt. That suggests that the engine is lost, whereas a single stalled stream may just have been
    // preempted by the engine's scheduler. Also true if the target is unknown.
    [[nodiscard]] bool isTargetStalled(const Generation &, const Attempt &) const;

    // When to check the generation again if no event arrives before.
    [[nodiscard]] absl::Time nextCheckAt(const Generation &) const;

private:
    [[nodiscard]] absl::Time idleSince(const Attempt &) const;

    const RoutingState &m_state;
};

} // namespace Wisteria
