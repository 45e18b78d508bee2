// Bounds how often the requests of one service are sent more than once, over all routers.
//
// Load pattern: many targets fail at once, and every router would repeat all that it had there. The users allow
// `ratio` repeats a request plus a fixed number in a sliding window over all routers; this router takes its part of
// the fixed number and the ratio of its own requests.

#pragma once

#include <LibForwarding/ForwardedRequest.h>

#include <absl/time/time.h>

#include <array>
#include <cstdint>

namespace Wisteria {

struct RepeatLimits
{
    // Repeats for each request. Source: settings.
    double ratio{0.2};
    // Repeats in a window that need no request, over all routers. Source: settings.
    double slack{10};
    absl::Duration window{absl::Seconds(10)};
};

class RepeatBudget final : public RepeatGate
{
public:
    // Part of what is allowed that is used, since windows and routers' counts do not line up exactly.
    static constexpr double usedShare = 0.85;

    explicit RepeatBudget(const RepeatLimits &limits) : m_limits(limits) { }

    // The window's length stays as it is.
    void setLimits(const RepeatLimits &);
    void noteRequest(absl::Time now);
    // The number of routers that share the slack, this one included.
    void setRouters(std::size_t n) { m_routers = n == 0 ? 1 : n; }
    [[nodiscard]] bool tryTakeRepeat(absl::Time now) override;

private:
    struct Bucket
    {
        std::int64_t index{-1};
        std::uint32_t requests{0};
        std::uint32_t repeats{0};
    };
    static constexpr std::int64_t bucketsPerWindow = 20;

    [[nodiscard]] std::int64_t indexAt(absl::Time now) const;
    [[nodiscard]] Bucket &bucketAt(absl::Time now);

    RepeatLimits m_limits;
    std::size_t m_routers{1};
    // Invariant: the bucket with index i is at i % size, and stale once its `index` is older than a window.
    std::array<Bucket, bucketsPerWindow + 1> m_buckets{};
};

} // namespace Wisteria
