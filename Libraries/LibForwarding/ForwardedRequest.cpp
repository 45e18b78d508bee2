// State transitions of a forwarded request.

#include <LibForwarding/ForwardedRequest.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr int statusRequestTimeout = 408;
constexpr int statusMisdirected = 421;
constexpr int statusTooManyRequests = 429;
constexpr int statusBadGateway = 502;
constexpr int statusServiceUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int firstServerError = 500;
// Minimum remaining time for starting an attempt: a connect and one round trip to another failure domain.
constexpr absl::Duration minUsefulTime = absl::Milliseconds(10);

// Callers take these for a promise that the request has not run and never will, and send it again.
bool promisesNonExecution(int status)
{
    return status == statusRequestTimeout || status == statusMisdirected || status == statusTooManyRequests
        || status == statusServiceUnavailable;
}

} // namespace detail

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoTarget:
        return "no_target";
    case RefusalReason::TargetsBackingOff:
        return "targets_backing_off";
    case RefusalReason::TargetsLimited:
        return "targets_limited";
    case RefusalReason::TargetsFull:
        return "targets_full";
    case RefusalReason::NoTimeLeft:
        return "no_time_left";
    case RefusalReason::AttemptsExhausted:
        return "attempts_used_up";
    case RefusalReason::RetryBudgetExhausted:
        return "retry_budget_used_up";
    case RefusalReason::TimedOut:
        return "timed_out";
    case RefusalReason::ResponseLost:
        return "answer_lost";
    case RefusalReason::MisleadingResponse:
        return "misleading_answer";
    case RefusalReason::PromptBarred:
        return "prompt_barred";
    case RefusalReason::Stopping:
        return "stopping";
    }
    return "unknown";
}

absl::Duration retryAfter(absl::Duration callerTimeout, absl::Duration outage)
{
    // An outage that has lasted for some time is expected to last as long again.
    const auto delay = std::max(outage, callerTimeout / minRetryAfterDivisor);
    return std::clamp(delay, minRetryAfter, std::max(minRetryAfter, callerTimeout / maxRetryAfterDivisor));
}

ForwardedRequest::ForwardedRequest(const ForwardingParameters &parameters, RetryGate &retryGate,
                                   absl::Time now)
    : m_parameters(parameters), m_retryGate(retryGate), m_arrivedAt(now),
      m_lastEvent(parameters.lastEvent), m_current{.startedAt = now, .lastEventAt = now, .nextProbeAt = now}
{
}

absl::Time ForwardedRequest::deadline() const
{
    return m_arrivedAt + std::min(m_parameters.routeTimeout, m_parameters.callerTimeout);
}

ForwardingActionList ForwardedRequest::begin(absl::Time now)
{
    startAttempt(now, false);
    return std::exchange(m_actions, {});
}

ForwardingActionList ForwardedRequest::handle(const ForwardingEvent &event, absl::Time now)
{
    if (m_state != State::Finished)
        std::visit([this, now](const auto &it) { on(it, now); }, event);
    return std::exchange(m_actions, {});
}

bool ForwardedRequest::tryStartRun(RunRole role, absl::Time now, bool fromCopy)
{
    const auto timeLeft = deadline() - now;
    if (timeLeft < detail::minUsefulTime)
        return false;
    const Run run{.startedAt = now, .lastEventAt = now, .nextProbeAt = now + firstProbeDelay};
    if (role == RunRole::Current)
        m_current = run;
    else
        m_replacement = run;
    // The host may report that it found no target while it performs StartAttempt, which sets the timer anew.
    setTimer(now);
    m_actions.emplace_back(ForwardingActions::StartAttempt{.number = ++m_lastAttemptNumber,
                                                           .fromCopy = fromCopy,
                                                           .lastEvent = m_lastEvent,
                                                           .timeLeft = timeLeft,
                                                           .role = role});
    ++m_executedAttempts;
    return true;
}

void ForwardedRequest::startAttempt(absl::Time now, bool fromCopy)
{
    m_state = State::Attempting;
    m_nextReplacementAt = absl::InfinitePast();
    m_hasCopy = m_parameters.usesCopies;
    if (!tryStartRun(RunRole::Current, now, fromCopy))
        fail(RefusalReason::TimedOut);
}

void ForwardedRequest::startReplacement(absl::Time now)
{
    if (tryStartRun(RunRole::Replacement, now, canUseCopy()))
        return;
    m_hasUnusedRetry = true;
    setTimer(now);
}

void ForwardedRequest::adoptReplacement(absl::Time now)
{
    m_current = *std::exchange(m_replacement, std::nullopt);
    m_hasCopy = m_parameters.usesCopies;
    m_nextReplacementAt = absl::InfinitePast();
    m_actions.emplace_back(ForwardingActions::AdoptReplacement{});
    setTimer(now);
}

void ForwardedRequest::cancelReplacement(std::optional<TargetFault> fault)
{
    if (!std::exchange(m_replacement, std::nullopt))
        return;
    m_mayHaveExecuted = true;
    m_actions.emplace_back(ForwardingActions::CancelAttempt{.fault = fault, .role = RunRole::Replacement});
}

void ForwardedRequest::keepOnly(RunRole role, absl::Time now)
{
    if (role == RunRole::Current) {
        if (m_replacement) {
            m_stallLimitFactor *= stallLimitGrowth;
            delayNextReplacement(now);
        }
        cancelReplacement();
        return;
    }
    m_actions.emplace_back(ForwardingActions::CancelAttempt{});
    adoptReplacement(now);
}

void ForwardedRequest::endOverlap(absl::Time now)
{
    const bool isReached = m_replacement->isReached;
    if (isReached && now >= overdueAt()) {
        m_mayHaveExecuted = true;
        keepOnly(RunRole::Replacement, now);
        return;
    }
    const auto nextReplacementAt = m_nextReplacementAt;
    keepOnly(RunRole::Current, now);
    // A replacement that was not reached has not been at work, so that the next one may follow at once.
    m_nextReplacementAt =
        std::max(isReached ? m_nextReplacementAt : nextReplacementAt, overdueAt() - maxRunOverlap);
}

void ForwardedRequest::delayNextReplacement(absl::Time now)
{
    if (isStream(m_parameters.kind))
        m_nextReplacementAt = now + replacementInterval;
}

absl::Time ForwardedRequest::overdueAt() const
{
    const auto &run = m_current;
    const auto soundSilence = std::max(longestSoundSilence, m_parameters.maxEventGap);
    if (run.hasEvents)
        return run.lastEventAt + soundSilence;
    // The expected time is rough, and the prompt takes as long elsewhere.
    const auto at = std::max(run.firstEventDeadline + (run.firstEventDeadline - run.startedAt),
                             run.startedAt + soundSilence);
    if (!run.unreachableSince)
        return at;
    return std::min(
        at, std::max(*run.unreachableSince + longestUnreachableTime, run.startedAt + shortestUnreachableRun));
}

absl::Time ForwardedRequest::earliestRecomputation() const
{
    const auto at = overdueAt() - maxRunOverlap;
    return m_current.hasEvents ? at : std::min(at, m_current.firstEventDeadline);
}

void ForwardedRequest::cancelRuns()
{
    cancelReplacement();
    if (m_state == State::Attempting)
        m_actions.emplace_back(ForwardingActions::CancelAttempt{});
}

void ForwardedRequest::replacementNotStarted(absl::Time now)
{
    m_replacement.reset();
    m_hasUnusedRetry = true;
    setTimer(now);
}

void ForwardedRequest::replacementRejected(absl::Time now)
{
    m_replacement.reset();
    setTimer(now);
}

void ForwardedRequest::replacementEnded(absl::Time now)
{
    m_replacement.reset();
    m_nextReplacementAt = absl::InfinitePast();
    // The answer to the search sets the next timer.
    if (!trySeekReplacement(m_suspicion, now))
        setTimer(now);
}

void ForwardedRequest::replacementLost(absl::Time now)
{
    if (!isStream(m_parameters.kind)) {
        replacementEnded(now);
        return;
    }
    m_replacement.reset();
    delayNextReplacement(now);
    setTimer(now);
}

void ForwardedRequest::retryOrFail(RefusalReason reason, absl::Time now, bool fromCopy)
{
    if (m_mayHaveExecuted && !isRetryable(m_parameters.kind)) {
        fail(reason);
        return;
    }
    if (!mayAttemptAgain()) {
        fail(RefusalReason::AttemptsExhausted);
        return;
    }
    if (!m_retryGate.tryAcquireRetry(now)) {
        fail(RefusalReason::RetryBudgetExhausted);
        return;
    }
    startAttempt(now, fromCopy);
}

void ForwardedRequest::fail(RefusalReason reason, absl::Duration backoff)
{
    if (m_hasResponseStarted) {
        m_actions.emplace_back(ForwardingActions::AbortResponse{reason});
    } else if (m_hasErrorResponse) {
        m_actions.emplace_back(ForwardingActions::SendResponse{});
    } else {
        ForwardingActions::Refuse refusal{.isNotExecuted = !m_mayHaveExecuted, .reason = reason};
        if (refusal.isNotExecuted) {
            refusal.status = detail::statusServiceUnavailable;
            // Long enough that the jitter spreads the callers over the time after the backoff. A bar outlasts
            // each caller's timeout, and a shorter time would only bring the request back.
            refusal.retryAfter = reason == RefusalReason::PromptBarred
                ? backoff
                : retryAfter(m_parameters.callerTimeout, backoff / (1 - retryJitter));
            refusal.earliestRetry = backoff;
        } else {
            refusal.status =
                reason == RefusalReason::TimedOut ? detail::statusGatewayTimeout : detail::statusBadGateway;
        }
        m_actions.emplace_back(refusal);
    }
    finish();
}

void ForwardedRequest::sendResponse()
{
    m_actions.emplace_back(ForwardingActions::SendResponse{});
    finish();
}

void ForwardedRequest::finish()
{
    m_state = State::Finished;
}

void ForwardedRequest::on(const ForwardingEvents::NoTarget &event, absl::Time now)
{
    // The attempt was not started.
    --m_executedAttempts;
    if (event.role == RunRole::Replacement) {
        replacementNotStarted(now);
        return;
    }
    if (m_mayHaveExecuted)
        fail(RefusalReason::ResponseLost);
    else if (event.backoff)
        fail(event.isLimited ? RefusalReason::TargetsLimited : RefusalReason::TargetsBackingOff,
             *event.backoff);
    else
        fail(RefusalReason::NoTarget);
}

void ForwardedRequest::on(const ForwardingEvents::NoTimeLeft &event, absl::Time now)
{
    // The attempt was not started.
    --m_executedAttempts;
    if (event.role == RunRole::Replacement)
        replacementNotStarted(now);
    else
        fail(m_mayHaveExecuted ? RefusalReason::ResponseLost : RefusalReason::NoTimeLeft);
}

void ForwardedRequest::on(const ForwardingEvents::AttemptBarred &event, absl::Time now)
{
    // The attempt was not started.
    --m_executedAttempts;
    if (event.role == RunRole::Replacement)
        replacementNotStarted(now);
    else
        fail(RefusalReason::PromptBarred, event.barTime);
}

void ForwardedRequest::on(const ForwardingEvents::RunBarred &event, absl::Time now)
{
    if (event.role == RunRole::Replacement) {
        cancelReplacement();
        delayNextReplacement(now);
        setTimer(now);
        return;
    }
    cancelRuns();
    m_mayHaveExecuted = true;
    fail(RefusalReason::PromptBarred, event.barTime);
}

void ForwardedRequest::on(const ForwardingEvents::AttemptDelayed &, absl::Time now)
{
    m_state = State::Waiting;
    m_actions.emplace_back(ForwardingActions::SetTimer{std::max(deadline(), now)});
}

void ForwardedRequest::on(const ForwardingEvents::AttemptSent &event, absl::Time now)
{
    if (m_state == State::Waiting) {
        m_state = State::Attempting;
        m_current = Run{.startedAt = now, .lastEventAt = now, .nextProbeAt = now + firstProbeDelay};
        setTimer(now);
    }
    auto &run = event.role == RunRole::Replacement && m_replacement ? *m_replacement : m_current;
    run.firstEventDeadline = run.startedAt
        + std::max(firstEventTimeoutFactor * event.expectedTimeToFirstEvent, m_parameters.latencyObjective);
}

void ForwardedRequest::on(const ForwardingEvents::AttemptReached &event, absl::Time)
{
    if (event.role == RunRole::Current)
        m_current.isReached = true;
    else if (m_replacement)
        m_replacement->isReached = true;
}

void ForwardedRequest::on(const ForwardingEvents::AttemptNotExecuted &event, absl::Time now)
{
    --m_executedAttempts;
    if (event.role == RunRole::Replacement) {
        m_hasCopy = m_hasCopy && !event.isCopyMissing;
        m_hasUnusedRetry = !event.wasRefused;
        if (event.wasRefused && !event.isCopyMissing)
            replacementRejected(now);
        else
            replacementEnded(now);
        return;
    }
    if (m_replacement) {
        adoptReplacement(now);
        return;
    }
    if (event.isCopyMissing) {
        m_hasCopy = false;
        retryOrFail(RefusalReason::ResponseLost, now, false);
        return;
    }
    if (!event.wasRefused) {
        // The request did not reach a target, so no retry is taken from the budget.
        startAttempt(now, false);
        return;
    }
    if (!m_retryGate.tryAcquireRetry(now)) {
        fail(RefusalReason::TargetsFull);
        return;
    }
    startAttempt(now, false);
}

void ForwardedRequest::on(const ForwardingEvents::StreamOpened &event, absl::Time now)
{
    m_mayHaveExecuted = true;
    on(ForwardingEvents::AttemptReached{event.role}, now);
}

void ForwardedRequest::on(const ForwardingEvents::EventsReceived &event, absl::Time now)
{
    m_mayHaveExecuted = true;
    keepOnly(event.role, now);
    m_current.hasEvents = true;
    m_current.lastEventAt = now;
    m_lastEvent = event.last;
    if (!m_hasResponseStarted) {
        m_hasResponseStarted = true;
        m_actions.emplace_back(ForwardingActions::StartResponse{});
    }
    setTimer(now);
}

void ForwardedRequest::on(const ForwardingEvents::StreamCompleted &event, absl::Time now)
{
    keepOnly(event.role, now);
    if (!m_hasResponseStarted)
        m_actions.emplace_back(ForwardingActions::StartResponse{});
    m_actions.emplace_back(ForwardingActions::CompleteStream{});
    finish();
}

void ForwardedRequest::on(const ForwardingEvents::ResponseReceived &event, absl::Time now)
{
    m_mayHaveExecuted = true;
    // The target has executed the request. A caller that believed the status would have it executed twice.
    if (!isRetryable(m_parameters.kind) && detail::promisesNonExecution(event.status)) {
        fail(RefusalReason::MisleadingResponse);
        return;
    }
    const bool isError = event.status >= detail::firstServerError;
    if (!isError && !m_hasResponseStarted) {
        keepOnly(event.role, now);
        sendResponse();
        return;
    }
    m_hasErrorResponse = m_hasErrorResponse || isError;
    if (event.role == RunRole::Replacement)
        replacementLost(now);
    else if (m_replacement)
        adoptReplacement(now);
    // A plain response cannot continue a stream that has started.
    else if (!isError || !isRetryable(m_parameters.kind))
        fail(RefusalReason::ResponseLost);
    else
        retryOrFail(RefusalReason::ResponseLost, now, false);
}

void ForwardedRequest::on(const ForwardingEvents::AttemptLost &event, absl::Time now)
{
    m_mayHaveExecuted = true;
    if (event.role == RunRole::Replacement)
        replacementLost(now);
    else if (m_replacement)
        adoptReplacement(now);
    else
        // Engines have no copy of a run that has not sent an event yet.
        retryOrFail(RefusalReason::ResponseLost, now, canUseCopy());
}

void ForwardedRequest::on(const ForwardingEvents::TargetSuspected &event, absl::Time now)
{
    if (event.role == RunRole::Current && !m_current.hasEvents && !m_current.unreachableSince)
        m_current.unreachableSince = now;
    // The end of the overlap decides about the replacement of a stream, unless it has never been at work.
    const bool isOverlapping =
        m_replacement && isStream(m_parameters.kind) && (now < m_overlapDeadline || m_replacement->isReached);
    const bool isLatestRun = (event.role == RunRole::Replacement) == m_replacement.has_value();
    if (m_state == State::Attempting && isLatestRun && !isOverlapping)
        (void)trySeekReplacement(event.fault, now);
}

void ForwardedRequest::on(const ForwardingEvents::TargetReachable &event, absl::Time)
{
    if (event.role == RunRole::Current)
        m_current.unreachableSince.reset();
}

void ForwardedRequest::on(const ForwardingEvents::ReplacementFound &, absl::Time now)
{
    if (!std::exchange(m_hasUnusedRetry, false) && !m_retryGate.tryAcquireRetry(now)) {
        setTimer(now);
        return;
    }
    if (m_replacement)
        cancelReplacement(TargetFault::Unresponsive);
    else
        m_actions.emplace_back(ForwardingActions::ReportSuspicion{m_suspicion});
    m_overlapDeadline = now + maxRunOverlap;
    startReplacement(now);
}

void ForwardedRequest::on(const ForwardingEvents::NoReplacement &, absl::Time now)
{
    setTimer(now);
}

bool ForwardedRequest::mayAttemptAgain() const
{
    return m_executedAttempts < std::max(m_parameters.maxAttempts, 1);
}

bool ForwardedRequest::trySeekReplacement(TargetFault fault, absl::Time now)
{
    if (!isRetryable(m_parameters.kind) || !mayAttemptAgain() || now < earliestReplacement())
        return false;
    m_nextReplacementAt = now + replacementInterval;
    if (!m_replacement)
        m_suspicion = fault;
    m_actions.emplace_back(ForwardingActions::FindReplacement{.number = m_lastAttemptNumber + 1,
                                                              .fromCopy = canUseCopy(),
                                                              .mayRecompute = !isStream(m_parameters.kind)
                                                                  || now >= earliestRecomputation(),
                                                              .timeLeft = deadline() - now});
    return true;
}

absl::Time ForwardedRequest::earliestReplacement() const
{
    if (!isStream(m_parameters.kind))
        return m_nextReplacementAt;
    // The last attempt is kept for a run that is lost, in case the suspected ones go on.
    const bool isLastAttempt = m_executedAttempts > 1 && m_executedAttempts + 1 >= m_parameters.maxAttempts;
    if (canUseCopy() && !isLastAttempt)
        return m_nextReplacementAt;
    return std::max(m_nextReplacementAt, earliestRecomputation());
}

void ForwardedRequest::on(const ForwardingEvents::CallerDisconnected &, absl::Time)
{
    cancelRuns();
    finish();
}

void ForwardedRequest::on(const ForwardingEvents::ShutdownRequested &, absl::Time)
{
    m_mayHaveExecuted = m_mayHaveExecuted || m_state == State::Attempting;
    cancelRuns();
    fail(RefusalReason::Stopping);
}

void ForwardedRequest::on(const ForwardingEvents::Tick &, absl::Time now)
{
    if (now >= deadline()) {
        m_mayHaveExecuted = m_mayHaveExecuted || m_state == State::Attempting;
        cancelRuns();
        fail(RefusalReason::TimedOut);
        return;
    }
    if (m_state != State::Attempting)
        return;
    if (m_replacement && isStream(m_parameters.kind) && now >= m_overlapDeadline)
        endOverlap(now);
    // The answer to the search sets the next timer.
    if (now >= stallDeadline() && trySeekReplacement(TargetFault::Unresponsive, now))
        return;
    auto &run = m_replacement ? *m_replacement : m_current;
    if (isStream(m_parameters.kind) && !run.hasEvents && now >= run.nextProbeAt) {
        run.nextProbeAt = now + probeInterval;
        m_actions.emplace_back(
            ForwardingActions::ProbeTarget{m_replacement ? RunRole::Replacement : RunRole::Current});
    }
    setTimer(now);
}

absl::Time ForwardedRequest::stallDeadline() const
{
    const auto &run = latestRun();
    if (!isRetryable(m_parameters.kind))
        return absl::InfiniteFuture();
    if (!isStream(m_parameters.kind))
        return run.startedAt + plainRequestTimeoutFactor * m_parameters.latencyObjective;
    if (!run.hasEvents)
        return run.firstEventDeadline;
    return run.lastEventAt + m_stallLimitFactor * stallFractionOfEventGap * m_parameters.maxEventGap;
}

void ForwardedRequest::setTimer(absl::Time now)
{
    auto at = deadline();
    if (isStream(m_parameters.kind) && !latestRun().hasEvents)
        at = std::min(at, latestRun().nextProbeAt);
    if (mayAttemptAgain())
        at = std::min(at, std::max(stallDeadline(), earliestReplacement()));
    if (m_replacement && isStream(m_parameters.kind))
        at = std::min(at, m_overlapDeadline);
    m_actions.emplace_back(ForwardingActions::SetTimer{std::max(at, now)});
}

} // namespace Wisteria
