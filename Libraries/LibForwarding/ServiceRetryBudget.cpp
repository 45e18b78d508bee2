// Sliding window of retry counts, divided into buckets.

#include <LibForwarding/ServiceRetryBudget.h>

#include <algorithm>

namespace Wisteria {

std::int64_t ServiceRetryBudget::indexAt(absl::Time now) const
{
    return (now - absl::UnixEpoch()) / (m_limits.window / bucketsPerWindow);
}

ServiceRetryBudget::Bucket &ServiceRetryBudget::bucketAt(absl::Time now)
{
    const auto index = indexAt(now);
    auto &bucket = m_buckets[static_cast<std::size_t>(index) % m_buckets.size()];
    if (bucket.index != index)
        bucket = Bucket{.index = index};
    return bucket;
}

void ServiceRetryBudget::setLimits(const RetryLimits &limits)
{
    m_limits.ratio = limits.ratio;
    m_limits.minRetriesPerWindow = limits.minRetriesPerWindow;
}

void ServiceRetryBudget::recordRequest(absl::Time now)
{
    ++bucketAt(now).requests;
    ++m_counts.requests;
}

void ServiceRetryBudget::recordPeerCounts(std::uint64_t requests, std::uint64_t retries, absl::Time now)
{
    auto &bucket = bucketAt(now);
    bucket.peerRequests += requests;
    bucket.peerRetries += retries;
}

void ServiceRetryBudget::setRouterCounts(std::size_t reachable, std::size_t total)
{
    m_reachableRouters = std::max<std::size_t>(reachable, 1);
    m_totalRouters = std::max(total, m_reachableRouters);
}

bool ServiceRetryBudget::tryAcquireRetry(absl::Time now)
{
    const auto recentFrom = indexAt(now - reportDelay);
    const auto oldest = indexAt(now) - bucketsPerWindow;
    double requests = 0;
    double retries = 0;
    double recentRetries = 0;
    for (const auto &it : m_buckets) {
        if (it.index < oldest)
            continue;
        requests += it.requests + static_cast<double>(it.peerRequests);
        retries += it.retries + static_cast<double>(it.peerRetries);
        if (it.index >= recentFrom)
            recentRetries += it.retries;
    }
    const auto reachable = static_cast<double>(m_reachableRouters);
    // Routers that cannot be reached may use their part of the fixed retries as well.
    const double allowed = m_limits.ratio * requests
        + m_limits.minRetriesPerWindow * reachable / static_cast<double>(m_totalRouters);
    if (retries + 1 + recentRetries * (reachable - 1) > safetyFactor * allowed)
        return false;
    ++bucketAt(now).retries;
    ++m_counts.retries;
    return true;
}

} // namespace Wisteria
