// Bounds how often the requests of one service are sent more than once, over all routers.
//
// Load pattern: many targets fail at once, and every router repeats all that it had there. The users allow
// `ratio` repeats a request plus a fixed number in a sliding window over all routers. Routers tell each other
// what they counted; what the others do until that is heard is taken to be what this router does.

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
    // Repeats for each request. Source: settings.
    double ratio{0.2};
    // Repeats in a window that need no request, over all routers. Source: settings.
    double minRetriesPerWindow{10};
    absl::Duration window{absl::Seconds(10)};
};

class ServiceRetryBudget final : public RetryGate
{
public:
    // Part of what is allowed that is used, since windows and routers' counts do not line up exactly.
    static constexpr double safetyFactor = 0.85;

    // Repeats of the others are heard of after this long. Source: PeerLink's longest interval.
    static constexpr absl::Duration reportDelay = absl::Milliseconds(500);

    explicit ServiceRetryBudget(const RetryLimits &limits) : m_limits(limits) { }

    // The window's length stays as it is.
    void setLimits(const RetryLimits &);
    void recordRequest(absl::Time now);
    // What another router counted since it was last heard of.
    void recordPeerCounts(std::uint64_t requests, std::uint64_t retries, absl::Time now);
    // Routers that are heard of, and routers that there are, this one included in both.
    void setRouterCounts(std::size_t reachable, std::size_t total);
    [[nodiscard]] bool tryAcquireRetry(absl::Time now) override;
    // Since the process started.
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
    // Invariant: the bucket with index i is at i % size, and stale once its `index` is older than a window.
    std::array<Bucket, bucketsPerWindow + 1> m_buckets{};
};

} // namespace Wisteria
