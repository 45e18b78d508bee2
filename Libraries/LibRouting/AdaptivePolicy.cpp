// Computes stall limits as multiples of the engine's expected wait, within lower and upper bounds.

#include <LibRouting/AdaptivePolicy.h>

#include <algorithm>

namespace Wisteria {

const ResumePolicyRegistration<AdaptivePolicy> AdaptivePolicy::registration{"adaptive"};

namespace detail {

// Bounds for thrift 0 (min) and thrift 1 (max). Values in between are interpolated linearly.
struct StallRange
{
    double minFactor;
    double maxFactor;
    absl::Duration minFloor;
    absl::Duration maxFloor;
};

constexpr StallRange nextTokenRange{2, 8, absl::Milliseconds(250), absl::Seconds(2)};
constexpr StallRange firstTokenRange{1.5, 4, absl::Seconds(1), absl::Seconds(4)};
// Re-attaching needs no prefill. An engine that still has the stream answers within one round trip.
constexpr StallRange reattachRange{2, 6, absl::Milliseconds(300), absl::Milliseconds(1500)};
constexpr absl::Duration maxStallLimit = absl::Seconds(30);
// Applied to the limit when the target is suspect or gone.
constexpr double suspectFactor = 0.5;

const StallRange &stallRange(WaitKind kind)
{
    switch (kind) {
    case WaitKind::FirstToken:
        return firstTokenRange;
    case WaitKind::NextToken:
        return nextTokenRange;
    case WaitKind::Reattach:
        return reattachRange;
    }
    return nextTokenRange;
}

} // namespace detail

absl::Duration AdaptivePolicy::stallLimit(const StallContext &context) const
{
    const auto &range = detail::stallRange(context.kind);
    const double thrift = std::clamp(context.thrift, 0.0, 1.0);
    const double factor = range.minFactor + (range.maxFactor - range.minFactor) * thrift;
    const absl::Duration floor = range.minFloor + (range.maxFloor - range.minFloor) * thrift;
    absl::Duration limit = std::max(context.expectedMaxWait * factor, floor);
    if (context.phase != TargetPhase::Live && context.phase != TargetPhase::Leaving)
        limit *= detail::suspectFactor;
    return std::min(limit, detail::maxStallLimit);
}

ResumeTargetStrategy AdaptivePolicy::targetStrategy(double thrift) const
{
    constexpr double cacheAffinityMinThrift = 0.5;
    return thrift >= cacheAffinityMinThrift ? ResumeTargetStrategy::MostCached : ResumeTargetStrategy::Spread;
}

} // namespace Wisteria
