// The urgency of requests, and how much of the targets' time the more urgent ones take.
//
// Load pattern: bursts of less urgent requests coincide with bursts of urgent ones. Targets serve prompts in
// order of rank, so a less urgent prompt that is queued waits for all urgent ones that arrive meanwhile. If
// its caller leaves before, the request was useless, and its prompt may have been processed for nothing.
//
// Performs no I/O. Each router estimates the demand from its own recent requests and from the number of
// requests that its peers report.

#pragma once

#include <LibForwarding/TrafficConfiguration.h>

#include <absl/time/time.h>

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace Wisteria {

// Zero is the most urgent.
class RequestRank
{
public:
    constexpr RequestRank() = default;
    // Negative values count as zero.
    explicit constexpr RequestRank(int value) : m_value(std::max(value, 0)) { }
    // A workspace's own priority takes precedence over the route's, unless it is negative. The workspace is
    // null for anonymous requests.
    [[nodiscard]] static RequestRank of(const RouteSpec &, const WorkspaceKeys *);

    [[nodiscard]] constexpr int value() const { return m_value; }
    [[nodiscard]] constexpr bool isMoreUrgentThan(RequestRank other) const { return m_value < other.m_value; }
    bool operator==(const RequestRank &) const = default;

private:
    int m_value{0};
};

// Requests to one service in the last few seconds.
class RankedDemand
{
public:
    // Longer than the gaps between the requests of a busy service, and short enough to follow bursts of some
    // seconds.
    static constexpr absl::Duration window = absl::Seconds(4);
    // Ranks above this are counted as this one.
    static constexpr int maxRank = 9;
    // Fewer own requests in the window say little about the mix of ranks, so the more urgent share is
    // reckoned as if there had been this many.
    static constexpr int minRequests = 8;

    void record(RequestRank, std::int64_t promptTokens, absl::Time now);
    // Requests that another router has received since its previous report, of any rank.
    void recordPeerRequests(std::uint64_t requests, absl::Time now);
    // Prompt tokens per second that requests more urgent than this bring to this router and its peers.
    // Assumes that the peers' requests are like the own ones.
    [[nodiscard]] double moreUrgentTokensPerSecond(RequestRank, absl::Time now) const;
    // Requests of this router and its peers as a multiple of the own ones; at least 1.
    [[nodiscard]] double fleetFactor(absl::Time now) const;

private:
    static constexpr std::int64_t bucketsPerWindow = 8;
    struct Bucket
    {
        // Invariant: the bucket with index i is stored at i % size.
        std::int64_t index{-1};
        std::array<std::int64_t, maxRank + 1> promptTokens{};
        std::int64_t requests{0};
        std::uint64_t peerRequests{0};
    };

    [[nodiscard]] static std::int64_t indexAt(absl::Time now);
    [[nodiscard]] Bucket &bucketAt(absl::Time now);
    [[nodiscard]] bool isInWindow(const Bucket &, absl::Time now) const;

    std::array<Bucket, bucketsPerWindow + 1> m_buckets{};
};

} // namespace Wisteria
