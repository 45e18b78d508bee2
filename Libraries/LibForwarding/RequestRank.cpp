// Counts requests in buckets of a sliding window.

#include <LibForwarding/RequestRank.h>

namespace Wisteria {

RequestRank RequestRank::of(const RouteSpec &route, const WorkspaceKeys *workspace)
{
    return RequestRank(workspace && workspace->priority >= 0 ? workspace->priority : route.priority);
}

std::int64_t RankedDemand::indexAt(absl::Time now)
{
    return (now - absl::UnixEpoch()) / (window / bucketsPerWindow);
}

RankedDemand::Bucket &RankedDemand::bucketAt(absl::Time now)
{
    const auto index = indexAt(now);
    auto &bucket = m_buckets[static_cast<std::size_t>(index) % m_buckets.size()];
    if (bucket.index != index)
        bucket = Bucket{.index = index};
    return bucket;
}

bool RankedDemand::isInWindow(const Bucket &bucket, absl::Time now) const
{
    return bucket.index >= 0 && bucket.index > indexAt(now) - bucketsPerWindow
        && bucket.index <= indexAt(now);
}

void RankedDemand::record(RequestRank rank, std::int64_t promptTokens, absl::Time now)
{
    auto &bucket = bucketAt(now);
    ++bucket.requests;
    bucket.promptTokens[static_cast<std::size_t>(std::min(rank.value(), maxRank))] +=
        std::max<std::int64_t>(promptTokens, 0);
}

void RankedDemand::recordPeerRequests(std::uint64_t requests, absl::Time now)
{
    bucketAt(now).peerRequests += requests;
}

double RankedDemand::fleetFactor(absl::Time now) const
{
    double own = 0;
    double all = 0;
    for (const auto &it : m_buckets) {
        if (!isInWindow(it, now))
            continue;
        own += static_cast<double>(it.requests);
        all += static_cast<double>(it.requests) + static_cast<double>(it.peerRequests);
    }
    return own > 0 ? all / own : 1;
}

double RankedDemand::moreUrgentTokensPerSecond(RequestRank rank, absl::Time now) const
{
    std::int64_t tokens = 0;
    std::int64_t requests = 0;
    for (const auto &it : m_buckets) {
        if (!isInWindow(it, now))
            continue;
        requests += it.requests;
        for (int n = 0; n < std::min(rank.value(), maxRank); ++n)
            tokens += it.promptTokens[static_cast<std::size_t>(n)];
    }
    if (tokens == 0)
        return 0;
    const double evidence = std::min(static_cast<double>(requests) / minRequests, 1.0);
    return static_cast<double>(tokens) * evidence * fleetFactor(now) / absl::ToDoubleSeconds(window);
}

} // namespace Wisteria
