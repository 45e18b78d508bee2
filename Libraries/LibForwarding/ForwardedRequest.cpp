// The transitions of one forwarded request.

#include <LibForwarding/ForwardedRequest.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int firstServerError = 500;
// Too little time for a target to do anything. Source: one round trip to another failure domain and a
// connect.
constexpr absl::Duration leastUsefulTime = absl::Milliseconds(10);

} // namespace detail

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoTarget:
        return "no_target";
    case RefusalReason::TargetsFull:
        return "targets_full";
    case RefusalReason::NoTimeLeft:
        return "no_time_left";
    case RefusalReason::AttemptsUsedUp:
        return "attempts_used_up";
    case RefusalReason::RetryBudgetUsedUp:
        return "retry_budget_used_up";
    case RefusalReason::TimedOut:
        return "timed_out";
    case RefusalReason::AnswerLost:
        return "answer_lost";
    case RefusalReason::Stopping:
        return "stopping";
    }
    return "unknown";
}

absl::Duration retryAfter(absl::Duration patience, absl::Duration outage)
{
    // An outage of unknown length is expected to last as long again.
    const auto wished = std::max(outage, patience / retryPatienceShare);
    return std::clamp(wished, shortestRetryAfter,
                      std::max(shortestRetryAfter, patience / longestRetryPatienceShare));
}

ForwardedRequest::ForwardedRequest(const ForwardingTerms &terms, RepeatGate &gate, absl::Time now)
    : m_terms(terms), m_gate(gate), m_arrivedAt(now), m_lastEvent(terms.lastEvent), m_attemptStartedAt(now),
      m_lastEventAt(now), m_nextProbeAt(now)
{
}

absl::Time ForwardedRequest::answerBy() const
{
    return m_arrivedAt + std::min(m_terms.routeTimeout, m_terms.patience);
}

ForwardingActions ForwardedRequest::begin(absl::Time now)
{
    startAttempt(now, false);
    return std::exchange(m_out, {});
}

ForwardingActions ForwardedRequest::handle(const ForwardingEvent &event, absl::Time now)
{
    if (m_state != State::Finished)
        std::visit([this, now](const auto &it) { on(it, now); }, event);
    return std::exchange(m_out, {});
}

void ForwardedRequest::startAttempt(absl::Time now, bool fromCopy)
{
    const auto timeLeft = answerBy() - now;
    if (timeLeft < detail::leastUsefulTime) {
        giveUp(RefusalReason::TimedOut);
        return;
    }
    m_state = State::Attempting;
    m_hasEvents = false;
    m_attemptStartedAt = now;
    m_lastEventAt = now;
    m_nextProbeAt = now + firstProbe;
    m_firstEventBy = absl::InfiniteFuture();
    m_out.emplace_back(Actions::StartAttempt{
        .number = ++m_attempts, .fromCopy = fromCopy, .lastEvent = m_lastEvent, .timeLeft = timeLeft});
    ++m_runs;
    m_hasCopy = m_terms.usesCopies;
    setTimer(now);
}

void ForwardedRequest::repeatOrGiveUp(RefusalReason reason, absl::Time now, bool fromCopy)
{
    if (m_mayHaveRun && !mayRepeat(m_terms.kind)) {
        giveUp(reason);
        return;
    }
    if (m_runs >= std::max(m_terms.maxAttempts, 1)) {
        giveUp(RefusalReason::AttemptsUsedUp);
        return;
    }
    if (!m_gate.tryTakeRepeat(now)) {
        giveUp(RefusalReason::RetryBudgetUsedUp);
        return;
    }
    startAttempt(now, fromCopy);
}

void ForwardedRequest::giveUp(RefusalReason reason)
{
    if (m_isAnswering) {
        m_out.emplace_back(Actions::BreakOff{reason});
    } else if (m_holdsFailure) {
        m_out.emplace_back(Actions::DeliverAnswer{});
    } else {
        Actions::Refuse refusal{.isNotRun = !m_mayHaveRun, .reason = reason};
        if (refusal.isNotRun) {
            refusal.status = detail::statusUnavailable;
            refusal.retryAfter = retryAfter(m_terms.patience, absl::ZeroDuration());
        } else {
            refusal.status =
                reason == RefusalReason::TimedOut ? detail::statusGatewayTimeout : detail::statusBadGateway;
        }
        m_out.emplace_back(refusal);
    }
    finish();
}

void ForwardedRequest::finish()
{
    m_state = State::Finished;
}

void ForwardedRequest::on(const Events::NoTarget &, absl::Time)
{
    // The attempt did not begin.
    --m_runs;
    giveUp(m_mayHaveRun ? RefusalReason::AnswerLost : RefusalReason::NoTarget);
}

void ForwardedRequest::on(const Events::NoTimeLeft &, absl::Time)
{
    // The attempt did not begin.
    --m_runs;
    giveUp(m_mayHaveRun ? RefusalReason::AnswerLost : RefusalReason::NoTimeLeft);
}

void ForwardedRequest::on(const Events::AttemptPlaced &event, absl::Time)
{
    m_firstEventBy = m_attemptStartedAt
        + std::max(firstEventPatience * event.expectedFirstEvent, m_terms.latencyObjective);
}

void ForwardedRequest::on(const Events::AttemptNotRun &event, absl::Time now)
{
    --m_runs;
    if (event.isCopyMissing) {
        m_hasCopy = false;
        repeatOrGiveUp(RefusalReason::AnswerLost, now, false);
        return;
    }
    if (!event.wasRefused) {
        // No target saw the request, so the budget of repeats is not touched.
        startAttempt(now, false);
        return;
    }
    if (!m_gate.tryTakeRepeat(now)) {
        giveUp(RefusalReason::TargetsFull);
        return;
    }
    startAttempt(now, false);
}

void ForwardedRequest::on(const Events::StreamOpened &, absl::Time)
{
    m_mayHaveRun = true;
}

void ForwardedRequest::on(const Events::EventsArrived &event, absl::Time now)
{
    m_mayHaveRun = true;
    m_hasEvents = true;
    m_lastEvent = event.last;
    m_lastEventAt = now;
    if (!m_isAnswering) {
        m_isAnswering = true;
        m_out.emplace_back(Actions::OpenAnswer{});
    }
    setTimer(now);
}

void ForwardedRequest::on(const Events::StreamEnded &, absl::Time)
{
    if (!m_isAnswering)
        m_out.emplace_back(Actions::OpenAnswer{});
    m_out.emplace_back(Actions::CompleteStream{});
    finish();
}

void ForwardedRequest::on(const Events::AnswerArrived &event, absl::Time now)
{
    m_mayHaveRun = true;
    if (event.status < detail::firstServerError) {
        if (m_isAnswering) {
            // A plain answer cannot continue a stream that has begun.
            giveUp(RefusalReason::AnswerLost);
            return;
        }
        m_out.emplace_back(Actions::DeliverAnswer{});
        finish();
        return;
    }
    m_holdsFailure = true;
    if (!mayRepeat(m_terms.kind)) {
        giveUp(RefusalReason::AnswerLost);
        return;
    }
    repeatOrGiveUp(RefusalReason::AnswerLost, now, false);
}

void ForwardedRequest::on(const Events::AttemptLost &, absl::Time now)
{
    m_mayHaveRun = true;
    // Engines hand out no copy of a run that has not sent an event.
    repeatOrGiveUp(RefusalReason::AnswerLost, now, m_hasCopy && m_hasEvents);
}

void ForwardedRequest::on(const Events::CallerLeft &, absl::Time)
{
    if (m_state == State::Attempting)
        m_out.emplace_back(Actions::CancelAttempt{});
    finish();
}

void ForwardedRequest::on(const Events::StopNow &, absl::Time)
{
    if (m_state == State::Attempting)
        m_out.emplace_back(Actions::CancelAttempt{});
    m_mayHaveRun = m_mayHaveRun || m_state == State::Attempting;
    giveUp(RefusalReason::Stopping);
}

void ForwardedRequest::on(const Events::Tick &, absl::Time now)
{
    if (m_state != State::Attempting)
        return;
    if (now >= answerBy()) {
        m_out.emplace_back(Actions::CancelAttempt{});
        m_mayHaveRun = true;
        giveUp(RefusalReason::TimedOut);
        return;
    }
    if (now >= stallAt() && m_runs < m_terms.maxAttempts && m_gate.tryTakeRepeat(now)) {
        m_out.emplace_back(Actions::CancelAttempt{TargetFault::Silent});
        m_mayHaveRun = true;
        startAttempt(now, m_hasCopy && m_hasEvents);
        return;
    }
    if (isStream(m_terms.kind) && !m_hasEvents && now >= m_nextProbeAt) {
        m_nextProbeAt = now + probeInterval;
        m_out.emplace_back(Actions::ProbeTarget{});
    }
    setTimer(now);
}

absl::Time ForwardedRequest::stallAt() const
{
    if (!mayRepeat(m_terms.kind))
        return absl::InfiniteFuture();
    if (!isStream(m_terms.kind))
        return m_attemptStartedAt + plainStallOfObjective * m_terms.latencyObjective;
    if (!m_hasEvents)
        return m_firstEventBy;
    return m_lastEventAt + stallShareOfGap * m_terms.longestGap;
}

void ForwardedRequest::setTimer(absl::Time now)
{
    auto at = answerBy();
    if (isStream(m_terms.kind) && !m_hasEvents)
        at = std::min(at, m_nextProbeAt);
    // A stall that was passed over for lack of budget is looked at again with the next timer.
    if (const auto stall = stallAt(); m_runs < m_terms.maxAttempts)
        at = std::min(at, stall > now ? stall : now + absl::Milliseconds(50));
    m_out.emplace_back(Actions::SetTimer{std::max(at, now)});
}

} // namespace Wisteria
