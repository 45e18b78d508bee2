// A sliding window of buckets.

#include <LibForwarding/RepeatBudget.h>

namespace Wisteria {

std::int64_t RepeatBudget::indexAt(absl::Time now) const
{
    return (now - absl::UnixEpoch()) / (m_limits.window / bucketsPerWindow);
}

RepeatBudget::Bucket &RepeatBudget::bucketAt(absl::Time now)
{
    const auto index = indexAt(now);
    auto &bucket = m_buckets[static_cast<std::size_t>(index) % m_buckets.size()];
    if (bucket.index != index)
        bucket = Bucket{.index = index};
    return bucket;
}

void RepeatBudget::setLimits(const RepeatLimits &limits)
{
    m_limits.ratio = limits.ratio;
    m_limits.slack = limits.slack;
}

void RepeatBudget::noteRequest(absl::Time now)
{
    ++bucketAt(now).requests;
}

bool RepeatBudget::tryTakeRepeat(absl::Time now)
{
    const auto oldest = indexAt(now) - bucketsPerWindow;
    double requests = 0;
    double repeats = 0;
    for (const auto &it : m_buckets) {
        if (it.index < oldest)
            continue;
        requests += it.requests;
        repeats += it.repeats;
    }
    const double allowed = m_limits.ratio * requests + m_limits.slack / static_cast<double>(m_routers);
    if (repeats + 1 > usedShare * allowed)
        return false;
    ++bucketAt(now).repeats;
    return true;
}

} // namespace Wisteria
