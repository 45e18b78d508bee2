// A sliding window of buckets.

#include <LibForwarding/RepeatBudget.h>

#include <algorithm>

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
    ++m_counts.requests;
}

void RepeatBudget::noteOthers(std::uint64_t requests, std::uint64_t repeats, absl::Time now)
{
    auto &bucket = bucketAt(now);
    bucket.otherRequests += requests;
    bucket.otherRepeats += repeats;
}

void RepeatBudget::setRouters(std::size_t heard, std::size_t known)
{
    m_heard = std::max<std::size_t>(heard, 1);
    m_known = std::max(known, m_heard);
}

bool RepeatBudget::tryTakeRepeat(absl::Time now)
{
    const auto recentFrom = indexAt(now - reportLag);
    const auto oldest = indexAt(now) - bucketsPerWindow;
    double requests = 0;
    double repeats = 0;
    double recent = 0;
    for (const auto &it : m_buckets) {
        if (it.index < oldest)
            continue;
        requests += it.requests + static_cast<double>(it.otherRequests);
        repeats += it.repeats + static_cast<double>(it.otherRepeats);
        if (it.index >= recentFrom)
            recent += it.repeats;
    }
    const auto heard = static_cast<double>(m_heard);
    // Routers that are not heard of may use their part of the fixed number as well.
    const double allowed = m_limits.ratio * requests + m_limits.slack * heard / static_cast<double>(m_known);
    if (repeats + 1 + recent * (heard - 1) > usedShare * allowed)
        return false;
    ++bucketAt(now).repeats;
    ++m_counts.repeats;
    return true;
}

} // namespace Wisteria
