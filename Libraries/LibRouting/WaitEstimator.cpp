// Exponentially fading rates of ends.

#include <LibRouting/WaitEstimator.h>

#include <algorithm>
#include <cmath>

namespace Wisteria {

namespace detail {

// Time in which an end fades to 1/e.
constexpr absl::Duration fadeTime = absl::Seconds(30);
// Below this many ends a rate is a guess.
constexpr double leastEnds = 4;

} // namespace detail

void WaitEstimator::noteGenerationEnded(const ServiceName &service, absl::Time now)
{
    auto [it, isNew] = m_ends.try_emplace(service, Ends{.first = now, .last = now});
    Ends &ends = it->second;
    ends.faded = fadedAt(ends, now) + 1;
    ends.last = now;
}

std::optional<absl::Duration> WaitEstimator::waitAt(const ServiceName &service, std::size_t position,
                                                    absl::Time now) const
{
    auto it = m_ends.find(service);
    if (it == m_ends.end())
        return std::nullopt;
    const double faded = fadedAt(it->second, now);
    if (faded < detail::leastEnds)
        return std::nullopt;
    // The ends that could fade so far: all of the fade time only after a while.
    const double covered = 1 - std::exp(-absl::FDivDuration(now - it->second.first, detail::fadeTime));
    const absl::Duration between = detail::fadeTime * std::max(covered, 0.01) / faded;
    return between * static_cast<double>(position + 1);
}

double WaitEstimator::fadedAt(const Ends &ends, absl::Time now)
{
    return ends.faded * std::exp(-absl::FDivDuration(now - ends.last, detail::fadeTime));
}

} // namespace Wisteria
