// Stall limits as multiples of the engine's normal silence, between bounds.

#include <LibRouting/AdaptivePolicy.h>

#include <algorithm>

namespace Wisteria {

const ResumePolicyRegistration<AdaptivePolicy> AdaptivePolicy::registration{"adaptive"};

namespace detail {

// Limits at thrift 0 and at thrift 1; those between are interpolated.
struct StallRange
{
    double leastFactor;
    double mostFactor;
    absl::Duration leastFloor;
    absl::Duration mostFloor;
};

constexpr StallRange nextTokenRange{2, 8, absl::Milliseconds(250), absl::Seconds(2)};
constexpr StallRange firstTokenRange{1.5, 4, absl::Seconds(1), absl::Seconds(4)};
// A re-attach needs no prefill; an engine that still has the stream answers within a round trip.
constexpr StallRange reattachRange{2, 6, absl::Milliseconds(300), absl::Milliseconds(1500)};
constexpr absl::Duration longestStallLimit = absl::Seconds(30);
// Share of the limit that is left when other routers suspect the target too.
constexpr double suspectShare = 0.5;

const StallRange &stallRange(SilenceKind kind)
{
    switch (kind) {
    case SilenceKind::FirstToken:
        return firstTokenRange;
    case SilenceKind::NextToken:
        return nextTokenRange;
    case SilenceKind::Reattach:
        return reattachRange;
    }
    return nextTokenRange;
}

} // namespace detail

absl::Duration AdaptivePolicy::stallLimit(const SilenceView &view) const
{
    const auto &range = detail::stallRange(view.kind);
    const double thrift = std::clamp(view.thrift, 0.0, 1.0);
    const double factor = range.leastFactor + (range.mostFactor - range.leastFactor) * thrift;
    const absl::Duration floor = range.leastFloor + (range.mostFloor - range.leastFloor) * thrift;
    absl::Duration limit = std::max(view.normal * factor, floor);
    if (view.phase != TargetPhase::Live && view.phase != TargetPhase::Leaving)
        limit *= detail::suspectShare;
    return std::min(limit, detail::longestStallLimit);
}

ResumeTarget AdaptivePolicy::resumeTarget(double thrift) const
{
    constexpr double cacheMattersFrom = 0.5;
    return thrift >= cacheMattersFrom ? ResumeTarget::MostCached : ResumeTarget::Spread;
}

} // namespace Wisteria
