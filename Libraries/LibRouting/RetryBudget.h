// Bounds the attempts beyond the first ones, so that a lost engine or failure domain starts no retry storm.
//
// Three kinds draw from one window, under different limits:
//  - Retry: nothing was delivered yet. Giving up costs the caller little, so the limit is hard: the preset's
//    ratio of first attempts plus a small floor.
//  - Race: a second attempt beside one that may still be alive. A guess that overload would make wrong for
//    every stream at once, so it has the same hard limit.
//  - Resume: the stream is lost and the caller holds part of its answer. Refusing it throws minutes of engine
//    work away, and a resume takes the place of work that was admitted already, so it cannot multiply load as
//    a retried request does. It may go past the ratio up to one resume for each running generation a window.
// Resumes count against the limit of the others: while a domain is lost, retries and races stand back.

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
    // Further attempts a window that need no first attempt, so that a quiet router can retry at all.
    static constexpr double minExtraAttemptsPerWindow = 5;

    void noteFirstAttempt(absl::Time now);
    // Takes one further attempt out of the budget; false when it does not allow one.
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

    // Invariant: the bucket of second s is at s % windowSeconds, and stale once its `second` is older.
    std::array<Bucket, windowSeconds> m_buckets{};
};

} // namespace Wisteria
