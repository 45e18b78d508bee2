// Hands out consecutive times within the time that callers can wait.

#include <LibForwarding/RetryAfterPlanner.h>

#include <LibForwarding/ForwardedRequest.h>

#include <algorithm>

namespace Wisteria {

PlannedReturn RetryAfterPlanner::plan(const RefusedWork &work, absl::Time now)
{
    // The bounds of a single refusal: retryAfter() gives each caller at least a fraction of its timeout, and
    // never more than callers honor.
    const auto first = retryAfter(work.callerTimeout, work.untilCapacity);
    const auto longest = retryAfter(work.callerTimeout, absl::InfiniteDuration());
    // Returning is of no use when no time is left to be served. A caller with less time gets what it has.
    const auto useful = std::max(work.timeLeft - work.serviceTime, minRetryAfter);
    const auto last = std::min(longest, useful);
    const auto begin = std::min(first, last);
    const auto length = std::max(work.workTime, minSpread);
    if (last - begin <= length)
        return {begin, std::max(begin, last)};
    auto start = std::max(now + begin, m_promisedUntil);
    // More is promised than becomes available while callers wait. The rest is spread over the same time.
    if (start + length > now + last)
        start = now + begin;
    m_promisedUntil = start + length;
    return {start - now, start + length - now};
}

} // namespace Wisteria
