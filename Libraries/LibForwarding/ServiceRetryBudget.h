// Limits the retries of one service's requests over all routers.
//
// When many targets fail at once, every router retries all requests it had there. The limit is `ratio`
// retries per request plus a fixed number, in a sliding window over all routers. Routers exchange their
// counts; until these arrive, every other router is assumed to retry as often as this one.

#pragma once

#include <LibForwarding/ForwardedRequest.h>

#include <absl/time/time.h>

#include <array>
#include <cstdint>

namespace Wisteria {

struct RequestCounts
{
    std::uint64_t requests{0};
    std::uint64_t retries{0};

    bool operator==(const RequestCounts &) const = default;
};

struct RetryLimits
{
    // Retries per request.
    double ratio{0.2};
    // Retries allowed per window regardless of the number of requests, over all routers.
    double minRetriesPerWindow{10};
    absl::Duration window{absl::Seconds(10)};
};

class ServiceRetryBudget final : public RetryGate
{
public:
    // Only this fraction of the allowed retries is used, since the windows and the counts of the routers are
    // not exactly aligned.
    static constexpr double safetyFactor = 0.85;

    // Delay until the retries of other routers are known: the longest report interval of PeerLink.
    static constexpr absl::Duration reportDelay = absl::Milliseconds(500);

    explicit ServiceRetryBudget(const RetryLimits &limits) : m_limits(limits) { }

    // Does not change the length of the window.
    void setLimits(const RetryLimits &);
    void recordRequest(absl::Time now);
    // Adds what another router has counted since its previous report.
    void recordPeerCounts(std::uint64_t requests, std::uint64_t retries, absl::Time now);
    // Number of routers that reports arrive from, and of all known routers. Both include this one.
    void setRouterCounts(std::size_t reachable, std::size_t total);
    [[nodiscard]] bool tryAcquireRetry(absl::Time now) override;
    // Counts since the process started.
    [[nodiscard]] const RequestCounts &counts() const { return m_counts; }

private:
    struct Bucket
    {
        std::int64_t index{-1};
        std::uint32_t requests{0};
        std::uint32_t retries{0};
        std::uint64_t peerRequests{0};
        std::uint64_t peerRetries{0};
    };
    static constexpr std::int64_t bucketsPerWindow = 20;

    [[nodiscard]] std::int64_t indexAt(absl::Time now) const;
    [[nodiscard]] Bucket &bucketAt(absl::Time now);

    RetryLimits m_limits;
    RequestCounts m_counts;
    std::size_t m_reachableRouters{1};
    // Invariant: at least m_reachableRouters.
    std::size_t m_totalRouters{1};
    // Invariant: the bucket with index i is stored at i % size. It is stale if its `index` is older than a
    // window.
    std::array<Bucket, bucketsPerWindow + 1> m_buckets{};
};

} // namespace Wisteria
