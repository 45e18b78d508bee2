// Decides where and when the next attempt of one request goes: entry points, Retry-After, backoff, deadline.

#pragma once

#include <LibCaller/Backoff.h>
#include <LibCaller/EntryPoints.h>

#include <string>

namespace Wisteria {

class AttemptPacer
{
public:
    AttemptPacer(EntryPoints &entryPoints, CallerClock &clock, RandomSource &random, RetryPolicy policy,
                 absl::Duration timeout);

    // Waits until an attempt may be made and says where. Errors: DeadlineExceeded, or the last failure once
    // the retry budget is spent.
    [[nodiscard]] ErrorOr<RouterEndpoint> next();

    // Records a failed attempt. Later ones go elsewhere as long as the failure or its Retry-After says so.
    void recordFailure(const RouterEndpoint &entryPoint, const Error &error);
    // The request got ahead: the retry budget is whole again.
    void recordProgress() { m_backoff.reset(); }

    // Time left for the request, zero when it is over.
    [[nodiscard]] absl::Duration remaining() const;

private:
    [[nodiscard]] Error deadlineError() const;
    // False when the wait would outlast the deadline.
    [[nodiscard]] bool waitFor(absl::Duration duration);

    EntryPoints &m_entryPoints;
    CallerClock &m_clock;
    Backoff m_backoff;
    const absl::Time m_deadline;
    // Where the last attempt went; empty before the first.
    std::string m_lastAddress;
    std::optional<Error> m_lastError;
};

} // namespace Wisteria
