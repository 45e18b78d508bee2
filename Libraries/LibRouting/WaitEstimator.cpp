// Exponentially decaying completion rates.

#include <LibRouting/WaitEstimator.h>

#include <algorithm>
#include <cmath>

namespace Wisteria {

namespace detail {

// Time constant: the weight of a completion decays to 1/e after this time.
constexpr absl::Duration decayTime = absl::Seconds(30);
// Below this decayed count, the rate is not reliable enough for an estimate.
constexpr double minCompletions = 4;

} // namespace detail

void WaitEstimator::noteGenerationEnded(const ServiceName &service, absl::Time now)
{
    auto [it, isNew] = m_completions.try_emplace(service, Completions{.first = now, .last = now});
    Completions &completions = it->second;
    completions.decayedCount = decayedCountAt(completions, now) + 1;
    completions.last = now;
}

std::optional<absl::Duration> WaitEstimator::estimateWait(const ServiceName &service, std::size_t position,
                                                          absl::Time now) const
{
    auto it = m_completions.find(service);
    if (it == m_completions.end())
        return std::nullopt;
    const double decayedCount = decayedCountAt(it->second, now);
    if (decayedCount < detail::minCompletions)
        return std::nullopt;
    // Fraction of the decay window observed so far. It approaches one over time.
    const double observedShare = 1 - std::exp(-absl::FDivDuration(now - it->second.first, detail::decayTime));
    const absl::Duration interval = detail::decayTime * std::max(observedShare, 0.01) / decayedCount;
    return interval * static_cast<double>(position + 1);
}

double WaitEstimator::decayedCountAt(const Completions &completions, absl::Time now)
{
    return completions.decayedCount
        * std::exp(-absl::FDivDuration(now - completions.last, detail::decayTime));
}

} // namespace Wisteria
