// Pacing of attempts. An address that failed rests a while, so that the next attempt meets another router.

#include <LibCaller/AttemptPacer.h>

#include <LibCaller/RouterAnswer.h>

#include <absl/strings/str_cat.h>

namespace Wisteria {

namespace detail {

constexpr absl::Duration restWhenLeaving = absl::Seconds(2);
constexpr absl::Duration restWhenUnreachable = absl::Seconds(1);
constexpr absl::Duration restWhenCut = absl::Milliseconds(500);
constexpr absl::Duration restOtherwise = absl::Milliseconds(100);

absl::Duration restAfter(const Error &error)
{
    if (error.retryAfter)
        return *error.retryAfter;
    switch (error.code) {
    case ErrorCode::Draining:
    case ErrorCode::ConfigurationStale:
        return restWhenLeaving;
    case ErrorCode::ConnectionFailed:
        return restWhenUnreachable;
    case ErrorCode::ConnectionLost:
        return restWhenCut;
    default:
        return restOtherwise;
    }
}

} // namespace detail

AttemptPacer::AttemptPacer(EntryPoints &entryPoints, CallerClock &clock, RandomSource &random,
                           RetryPolicy policy, absl::Duration timeout)
    : m_entryPoints(entryPoints), m_clock(clock), m_backoff(policy, random), m_deadline(clock.now() + timeout)
{
}

ErrorOr<RouterEndpoint> AttemptPacer::next()
{
    if (m_lastError) {
        auto wait = m_backoff.nextWait();
        if (!wait)
            return tl::unexpected(*m_lastError);
        if (!waitFor(*wait))
            return tl::unexpected(deadlineError());
    }
    while (remaining() > absl::ZeroDuration()) {
        if (auto entryPoint = m_entryPoints.chooseBeside(m_lastAddress)) {
            m_lastAddress = entryPoint->address;
            return *entryPoint;
        }
        // A little more than needed, so that rounding never makes this loop spin.
        auto rest = m_entryPoints.nextTry() - m_clock.now() + absl::Milliseconds(1);
        if (!waitFor(std::max(rest, absl::Milliseconds(1))))
            break;
    }
    return tl::unexpected(deadlineError());
}

void AttemptPacer::recordFailure(const RouterEndpoint &entryPoint, const Error &error)
{
    m_lastError = error;
    auto rest = detail::restAfter(error);
    if (detail::holdsForAllRouters(error.code))
        m_entryPoints.holdBackAll(rest);
    else
        m_entryPoints.holdBack(entryPoint.address, rest);
}

absl::Duration AttemptPacer::remaining() const
{
    return std::max(m_deadline - m_clock.now(), absl::ZeroDuration());
}

Error AttemptPacer::deadlineError() const
{
    if (!m_lastError)
        return {ErrorCode::DeadlineExceeded, "no router was reached"};
    return {
        ErrorCode::DeadlineExceeded,
        absl::StrCat("last failure: ", std::string(errorName(m_lastError->code)), " ", m_lastError->detail),
        m_lastError->retryAfter};
}

bool AttemptPacer::waitFor(absl::Duration duration)
{
    if (duration >= remaining())
        return false;
    if (duration > absl::ZeroDuration())
        m_clock.sleepFor(duration);
    return true;
}

} // namespace Wisteria
