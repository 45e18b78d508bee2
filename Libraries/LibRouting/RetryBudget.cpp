// Sliding window of one-second buckets.

#include <LibRouting/RetryBudget.h>

namespace Wisteria {

void RetryBudget::noteFirstAttempt(absl::Time now)
{
    ++bucketAt(now).firstAttempts;
}

bool RetryBudget::tryConsume(Kind kind, double ratio, std::uint32_t runningGenerations, absl::Time now)
{
    const Bucket sum = windowTotals(now);
    double limit = minExtraAttemptsPerWindow + ratio * sum.firstAttempts;
    if (kind == Kind::Resume)
        limit += runningGenerations;
    if (sum.extraAttempts + 1 > limit)
        return false;
    ++bucketAt(now).extraAttempts;
    return true;
}

RetryBudget::Bucket &RetryBudget::bucketAt(absl::Time now)
{
    const std::int64_t second = absl::ToUnixSeconds(now);
    Bucket &bucket = m_buckets[static_cast<std::uint64_t>(second) % windowSeconds];
    if (bucket.second != second)
        bucket = Bucket{.second = second};
    return bucket;
}

RetryBudget::Bucket RetryBudget::windowTotals(absl::Time now) const
{
    const std::int64_t oldest = absl::ToUnixSeconds(now) - windowSeconds + 1;
    Bucket sum;
    for (const auto &it : m_buckets) {
        if (it.second < oldest)
            continue;
        sum.firstAttempts += it.firstAttempts;
        sum.extraAttempts += it.extraAttempts;
    }
    return sum;
}

} // namespace Wisteria
