// A sliding window of one-second buckets.

#include <LibRouting/RetryBudget.h>

namespace Wisteria {

void RetryBudget::noteFirstAttempt(absl::Time now)
{
    ++bucketAt(now).first;
}

bool RetryBudget::tryTake(Kind kind, double ratio, std::uint32_t runningGenerations, absl::Time now)
{
    const Bucket sum = sums(now);
    double limit = floorPerWindow + ratio * sum.first;
    if (kind == Kind::Resume)
        limit += runningGenerations;
    if (sum.further + 1 > limit)
        return false;
    ++bucketAt(now).further;
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

RetryBudget::Bucket RetryBudget::sums(absl::Time now) const
{
    const std::int64_t oldest = absl::ToUnixSeconds(now) - windowSeconds + 1;
    Bucket sum;
    for (const auto &it : m_buckets) {
        if (it.second < oldest)
            continue;
        sum.first += it.first;
        sum.further += it.further;
    }
    return sum;
}

} // namespace Wisteria
