// Tells a stalled attempt from a slow one, and when a generation must be looked at again.

#pragma once

#include <LibRouting/RoutingState.h>

namespace Wisteria {

class StallDetector
{
public:
    explicit StallDetector(const RoutingState &state) : m_state(state) { }

    // The silence after which the attempt is taken for stalled.
    [[nodiscard]] absl::Duration stallLimit(const Generation &, const Attempt &) const;
    [[nodiscard]] bool isStalled(const Generation &, const Attempt &) const;
    // Whether the attempt has been silent for so long that waiting for it is no use, whatever the
    // alternatives.
    [[nodiscard]] bool shouldAbandon(const Generation &, const Attempt &) const;
    // Whether all of this router's streams at the attempt's target fell silent with it: a sign of a lost
    // engine, while a single silent stream may just have been put back by the engine's scheduler.
    [[nodiscard]] bool isTargetStalled(const Generation &, const Attempt &) const;

    // When the generation must be looked at again unless an event comes first.
    [[nodiscard]] absl::Time nextCheckAt(const Generation &) const;

private:
    [[nodiscard]] absl::Time idleSince(const Attempt &) const;

    const RoutingState &m_state;
};

} // namespace Wisteria
