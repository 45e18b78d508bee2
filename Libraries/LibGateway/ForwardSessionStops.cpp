// Executes the actions of RunStopper, which asks targets to stop the runs that a request has abandoned.

#include <LibGateway/ForwardSession.h>

#include <LibCore/Views.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// How often a target is looked for that a stop request can name.
constexpr absl::Duration otherTargetInterval = absl::Milliseconds(100);
// A permit that was denied is not asked for again before.
constexpr absl::Duration shortestPermitDelay = absl::Milliseconds(100);
// Requests for runs that may not even exist take at most half of a target's limit.
constexpr double maxShareOfLimit = 0.5;
// Callers leave a stream after several times the longest gap that they accept. Until then, an answer that
// goes on late is worth more than none.
constexpr double holdFactorOfEventGap = 3;
constexpr absl::Duration minLongestHold = absl::Seconds(1);

// What a control request to the process needs.
ForwardingTarget targetOf(const TargetProcess &process)
{
    return {.id = process.id, .address = process.address, .startedAtMs = process.startedAtMs};
}

StopResult stopResultOf(HttpFailure failure)
{
    const bool isUnreachable = failure == HttpFailure::NotConnected || failure == HttpFailure::Refused;
    return isUnreachable ? StopResult::Unreachable : StopResult::AnswerLost;
}

StopResult stopResultOf(StopOutcome outcome)
{
    switch (outcome) {
    case StopOutcome::NotRunning:
        return StopResult::NotRunning;
    case StopOutcome::Stopped:
        return StopResult::Stopped;
    case StopOutcome::Busy:
        return StopResult::Busy;
    case StopOutcome::Unknown:
        break;
    }
    return StopResult::AnswerLost;
}

std::string_view obstacleName(StopObstacle obstacle)
{
    switch (obstacle) {
    case StopObstacle::None:
        return "none";
    case StopObstacle::CopyInProgress:
        return "copy";
    case StopObstacle::TakesNoRequest:
        return "takes_no_request";
    }
    return "unknown";
}

} // namespace detail

absl::Duration ForwardSession::longestHold(const RouteSpec &route)
{
    return std::max(detail::minLongestHold, detail::holdFactorOfEventGap * route.maxEventGap);
}

bool ForwardSession::canStopRuns() const
{
    return m_routed.route->kind == RouteKind::ResumableStream && m_routed.service->engine.canStopRuns;
}

void ForwardSession::stopAbandonedRun(const TargetRun &run)
{
    if (!canStopRuns())
        return;
    const auto obstacle = reserveStop(run.process());
    log("run_abandoned",
        {{"target", run.target().value()},
         {"started", run.firstEventAt().has_value()},
         {"obstacle", detail::obstacleName(obstacle)}});
    handleStopEvent(RunStopEvents::RunAbandoned{
        .process = run.process(), .hasStarted = run.firstEventAt().has_value(), .obstacle = obstacle});
}

void ForwardSession::handleStopEvent(const RunStopEvent &event)
{
    if (m_isOutcomeLogged)
        return;
    for (const auto &it : m_runStopper.handle(event, monotonicNow())) {
        // The attempt that was held may have ended the request.
        if (m_isOutcomeLogged)
            return;
        std::visit([this](const auto &action) { perform(action); }, it);
    }
    sendHeldAttempt();
}

void ForwardSession::askWhenAllowed(const TargetProcess &process, bool isUrgent,
                                    std::function<void(ForwardSession &)> send)
{
    const auto *limit = m_gatewayContext.targets.limitOf(process.id);
    if (!limit || hasReservedPermit(process)) {
        askUnlessBackingOff(process, isUrgent, send);
        return;
    }
    auto ticket = m_gatewayContext.limits.request(
        *limit, PermitIssuer::horizon,
        [weak = weak_from_this(), process, isUrgent, send = std::move(send)](const PermitOutcome &outcome) {
            const auto self = weak.lock();
            if (!self || self->m_isOutcomeLogged)
                return;
            std::erase_if(self->m_stopPermits, [&](const auto &it) { return it.process == process; });
            if (outcome.isGranted) {
                if (!self->askUnlessBackingOff(process, isUrgent, send))
                    self->m_gatewayContext.limits.giveBack(process);
                return;
            }
            // New work of this router doesn't take the next permit.
            const auto now = monotonicNow();
            self->m_gatewayContext.targets.deferLimited(process.id, now + outcome.delay);
            const auto delay =
                std::max(PermitIssuer::timeUntilOffered(outcome.delay), detail::shortestPermitDelay);
            self->delayStop(process, now + delay, "limit");
        });
    m_stopPermits.push_back({process, std::move(ticket)});
}

bool ForwardSession::askUnlessBackingOff(const TargetProcess &process, bool isUrgent,
                                         const std::function<void(ForwardSession &)> &send)
{
    auto &targets = m_gatewayContext.targets;
    const auto now = monotonicNow();
    // The stop would end what the request has begun there anew.
    if (isRunningAt(process)) {
        handleStopEvent(RunStopEvents::RunOver{process});
        return false;
    }
    const auto reserved = takeReservedStop(process);
    // A later backoff leaves requests of its own.
    const bool isReserved = reserved && reserved->backoffEnd == targets.backoffEnd(process.id);
    const bool maySend = isReserved || !targets.isBackingOff(process.id, now)
        || (isUrgent && targets.tryTakeUrgentRequest(process.id, now));
    if (!maySend) {
        if (reserved && reserved->hasPermit)
            m_gatewayContext.limits.giveBack(process);
        delayStop(process,
                  isUrgent ? targets.earliestUrgentRequest(process.id, now) : targets.backoffEnd(process.id),
                  "backoff");
        return false;
    }
    send(*this);
    return true;
}

void ForwardSession::delayStop(const TargetProcess &process, absl::Time until, std::string_view reason)
{
    log("stop_delayed",
        {{"target", process.id.value()},
         {"reason", reason},
         {"for_ms", absl::ToInt64Milliseconds(until - monotonicNow())}});
    m_gatewayContext.metrics.increment("stops_delayed_total",
                                       absl::StrCat("reason=\"", abslView(reason), "\""));
    handleStopEvent(RunStopEvents::Delayed{process, until});
}

void ForwardSession::perform(const RunStopActions::AskToStop &action)
{
    // Before a request or a permit is taken for it.
    if (addressBeside(action.process).empty()) {
        delayStop(action.process, monotonicNow() + detail::otherTargetInterval, "no_other_target");
        return;
    }
    askWhenAllowed(action.process, action.isUrgent,
                   [process = action.process, number = action.number](ForwardSession &self) {
                       self.askToStop(process, number);
                   });
}

std::string ForwardSession::addressBeside(const TargetProcess &process)
{
    auto &targets = m_gatewayContext.targets;
    for (const auto role : {RunRole::Current, RunRole::Replacement}) {
        if (const auto *run = runOf(role).get(); run && !run->hasEnded() && run->target() != process.id)
            return run->process().address;
    }
    // What the copy lacks goes to its holder.
    const auto &copy = m_copies.copy();
    const auto *holder = copy && copy->holder != process.id ? targets.find(copy->holder) : nullptr;
    if (!holder) {
        if (const auto id =
                targets.chooseCopyHolder(copyRequirements(process.id), process.id, monotonicNow()))
            holder = targets.find(*id);
    }
    if (!holder)
        holder = targets.findBeside(m_routed.service->name, process.id);
    return holder ? holder->address : std::string();
}

void ForwardSession::askToStop(const TargetProcess &process, int number)
{
    sendPermittedControlRequest(
        detail::targetOf(process),
        m_gatewayContext.dialect.makeStopRequest(m_routed.request.id, addressBeside(process)),
        [self = shared_from_this(), gateway = std::weak_ptr(m_gatewayContext.notices), process, number,
         askedAt = monotonicNow()](const HttpCallResult &result) {
            if (!gateway.expired())
                self->stopAnswered(process, number, result, askedAt);
        });
    handleStopEvent(RunStopEvents::Asked{process});
}

void ForwardSession::stopAnswered(const TargetProcess &process, int number, const HttpCallResult &result,
                                  absl::Time askedAt)
{
    const auto response = result ? m_gatewayContext.dialect.parseStopResponse(*result) : StopResponse{};
    const auto stopResult =
        result ? detail::stopResultOf(response.outcome) : detail::stopResultOf(result.error());
    m_gatewayContext.metrics.increment(
        "stop_requests_total", absl::StrCat("outcome=\"", abslView(stopResultName(stopResult)), "\""));
    log("stop_request",
        {{"target", process.id.value()},
         {"number", number},
         {"outcome", stopResultName(stopResult)},
         {"status", result ? result->head.status : 0},
         {"after_ms", absl::ToInt64Milliseconds(monotonicNow() - askedAt)}});
    // The attempt that has been held may go on from the copy that the run's memory was added to.
    const auto &copy = m_copies.copy();
    const bool isCopyNeeded = (m_heldAttempt && copy && copy->handle == response.handle)
        || (!response.handle.empty() && response.handle == m_usedCopyHandle);
    if (!response.handle.empty() && !isCopyNeeded) {
        // NOTE: The response is ignored because a copy that is not released expires on its own.
        sendControlRequest(detail::targetOf(process),
                           m_gatewayContext.dialect.makeCopyReleaseRequest(response.handle),
                           [](const HttpCallResult &) {});
    }
    // The entry of a later process alone may be another writer's. Here, nothing at the address contradicts
    // it.
    const bool hasRun = stopResult != StopResult::NotRunning && stopResult != StopResult::Unreachable;
    if (!hasRun && m_gatewayContext.targets.isSuperseded(process)) {
        handleStopEvent(RunStopEvents::RunOver{process});
        return;
    }
    handleStopEvent(RunStopEvents::StopAnswered{
        .process = process, .result = stopResult, .limitInterval = limitInterval(process.id)});
}

absl::Duration ForwardSession::limitInterval(const TargetId &id) const
{
    const auto *limit = m_gatewayContext.targets.limitOf(id);
    if (!limit)
        return absl::ZeroDuration();
    const auto rate = std::max(limit->rate->requestsPerSecond(), PermitIssuer::minRate.requestsPerSecond());
    return absl::Seconds(1 / (detail::maxShareOfLimit * rate));
}

void ForwardSession::perform(const RunStopActions::AskForReport &action)
{
    askWhenAllowed(action.process, false,
                   [process = action.process](ForwardSession &self) { self.askForReport(process); });
}

void ForwardSession::askForReport(const TargetProcess &process)
{
    sendPermittedControlRequest(detail::targetOf(process), m_gatewayContext.dialect.makeQueueReportRequest(),
                                [self = shared_from_this(), gateway = std::weak_ptr(m_gatewayContext.notices),
                                 process](const HttpCallResult &result) {
                                    if (gateway.expired())
                                        return;
                                    const auto presence = result
                                        ? self->m_gatewayContext.dialect.parseQueueReport(
                                            *result, self->m_routed.request.id)
                                        : QueuePresence::MayBePresent;
                                    self->log("queue_report",
                                              {{"target", process.id.value()},
                                               {"status", result ? result->head.status : 0},
                                               {"absent", presence == QueuePresence::Absent}});
                                    self->handleStopEvent(RunStopEvents::ReportAnswered{process, presence});
                                });
    handleStopEvent(RunStopEvents::Asked{process});
}

void ForwardSession::perform(const RunStopActions::RunSettled &action)
{
    const auto outcome = stopResultName(action.result);
    m_gatewayContext.metrics.increment("abandoned_runs_total",
                                       absl::StrCat("outcome=\"", abslView(outcome), "\""));
    m_gatewayContext.metrics.observe("abandoned_run_seconds", "", action.after);
    log("abandoned_run",
        {{"target", action.process.id.value()},
         {"outcome", outcome},
         {"requests", action.requests},
         {"after_ms", absl::ToInt64Milliseconds(action.after)}});
}

void ForwardSession::perform(const RunStopActions::SetTimer &action)
{
    m_stopTimer.expires_after(
        absl::ToChronoNanoseconds(std::max(action.at - monotonicNow(), absl::ZeroDuration())));
    m_stopTimer.async_wait(
        [self = shared_from_this(), gateway = std::weak_ptr(m_gatewayContext.notices)](const auto &ec) {
            // The gateway, and with it the context, may end before the timer.
            if (!ec && !gateway.expired())
                self->handleStopEvent(RunStopEvents::Tick{});
        });
}

bool ForwardSession::tryHold(const ForwardingActions::StartAttempt &action)
{
    if (action.role != RunRole::Current || !m_runStopper.holdsNextAttempt(monotonicNow()))
        return false;
    m_heldAttempt = action;
    m_heldSince = monotonicNow();
    log("attempt_held", {{"number", action.number}});
    handle(ForwardingEvents::AttemptDelayed{});
    return true;
}

void ForwardSession::sendHeldAttempt()
{
    const auto now = monotonicNow();
    if (m_isOutcomeLogged || !m_heldAttempt || m_runStopper.holdsNextAttempt(now))
        return;
    auto action = *std::exchange(m_heldAttempt, std::nullopt);
    action.timeLeft = m_forwardedRequest.deadline() - now;
    m_gatewayContext.metrics.observe("attempt_hold_seconds", "", now - m_heldSince);
    log("attempt_released",
        {{"number", action.number}, {"after_ms", absl::ToInt64Milliseconds(now - m_heldSince)}});
    // The request's timer ends it if no time is left.
    if (action.timeLeft > absl::ZeroDuration())
        perform(action);
}

void ForwardSession::endStops()
{
    m_stopTimer.cancel();
    m_stopPermits.clear();
    m_heldAttempt.reset();
    for (const auto &it : std::exchange(m_reservedStops, {})) {
        if (it.hasPermit)
            m_gatewayContext.limits.giveBack(it.process);
    }
    for (const auto &it : m_runStopper.unsettledRuns()) {
        m_gatewayContext.metrics.increment("abandoned_runs_total", R"(outcome="unknown")");
        log("abandoned_run", {{"target", it.id.value()}, {"outcome", "unknown"}});
    }
}

} // namespace Wisteria
