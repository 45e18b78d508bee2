// Waiting times between attempts: exponential with jitter, and a budget of failures in a row.

#pragma once

#include <LibCore/Random.h>

#include <absl/time/time.h>

#include <algorithm>
#include <optional>

namespace Wisteria {

struct RetryPolicy
{
    absl::Duration firstBackoff{absl::Milliseconds(50)};
    absl::Duration maxBackoff{absl::Seconds(2)};
    // Attempts in a row without progress before the request is given up.
    int maxFailures{300};
};

class Backoff
{
public:
    Backoff(RetryPolicy policy, RandomSource &random) : m_policy(policy), m_random(random) { }

    // How long to wait before the next attempt; empty once the budget is spent. The first failure after
    // progress waits not at all, so that a cut answer goes on at once.
    [[nodiscard]] std::optional<absl::Duration> nextWait()
    {
        if (++m_failures > m_policy.maxFailures)
            return std::nullopt;
        if (m_failures == 1)
            return absl::ZeroDuration();
        auto wait = std::min(m_current, m_policy.maxBackoff);
        m_current = wait * 2;
        // Between half and the whole, so that callers cut together do not come back together.
        return wait / 2 * (1 + m_random.fraction());
    }

    void reset()
    {
        m_failures = 0;
        m_current = m_policy.firstBackoff;
    }

private:
    const RetryPolicy m_policy;
    RandomSource &m_random;
    int m_failures{0};
    absl::Duration m_current{m_policy.firstBackoff};
};

} // namespace Wisteria
