// Limits attempts beyond the first one, so that the loss of an engine or failure domain causes no retry
// storm.
//
// Three kinds of attempts share one sliding window but have different limits:
//  - Retry: no token has been delivered. Refusing costs the caller little, so the limit is strict: the
//    preset's ratio of first attempts plus a small constant.
//  - Hedge: a second attempt next to one that may still be alive. Under overload every stream may look
//    stalled, so the same strict limit applies.
//  - Resume: the stream is lost and the caller has part of the answer. Refusing would waste minutes of
//    engine work, and a resume replaces work that was already admitted, so it cannot multiply load as a
//    retry does. It may exceed the ratio by up to one resume per running generation and window.
// Resumes also count against the limit of retries and hedges, which are therefore suppressed while a domain
// is lost.

#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstdint>

namespace Wisteria {

class RetryBudget
{
public:
    enum class Kind { Retry, Hedge, Resume };

    static constexpr std::uint32_t windowSeconds = 30;
    // Extra attempts per window that are allowed without first attempts, so that a router with little traffic
    // can retry.
    static constexpr double minExtraAttemptsPerWindow = 5;

    void noteFirstAttempt(absl::Time now);
    // Consumes one extra attempt. Returns false if the budget does not allow it.
    [[nodiscard]] bool tryConsume(Kind, double ratio, std::uint32_t runningGenerations, absl::Time now);

private:
    struct Bucket
    {
        std::int64_t second{0};
        std::uint32_t firstAttempts{0};
        std::uint32_t extraAttempts{0};
    };

    [[nodiscard]] Bucket &bucketAt(absl::Time now);
    [[nodiscard]] Bucket windowTotals(absl::Time now) const;

    // Invariant: the bucket of second s is at index s % windowSeconds. A bucket whose `second` is older is
    // stale.
    std::array<Bucket, windowSeconds> m_buckets{};
};

} // namespace Wisteria
