// How the runs of a request are suspected, cancelled, replaced and lost.

#include <LibGateway/ForwardSession.h>

#include <LibCore/Views.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// A single connect timeout may be caused by a lost packet; the target is suspected after this many in a row.
constexpr int maxProbeAttempts = 2;

} // namespace detail

bool ForwardSession::maySendControlRequest(const TargetId &id)
{
    const auto now = monotonicNow();
    if (m_gatewayContext.targets.isBackingOff(id, now))
        return false;
    const auto *limit = m_gatewayContext.targets.limitOf(id);
    return !limit || m_gatewayContext.limits.tryTake(*limit, now);
}

bool ForwardSession::isRunningAt(const TargetProcess &process) const
{
    const auto runsThere = [&](const auto &run) {
        return run && !run->hasEnded() && run->process() == process;
    };
    return runsThere(m_run) || runsThere(m_replacement);
}

void ForwardSession::noteRunEnd(RunRole role, std::string_view reason)
{
    auto *run = runOf(role).get();
    if (!run || !run->markEnded())
        return;
    const auto now = monotonicNow();
    countWaste(*run, role, reason, now);
    const auto *other = runOf(role == RunRole::Current ? RunRole::Replacement : RunRole::Current).get();
    std::optional<absl::Duration> overlap;
    if (const auto beganAt = std::exchange(m_overlapBeganAt, std::nullopt); beganAt && other) {
        overlap = now - *beganAt;
        m_gatewayContext.metrics.observe("run_overlap_seconds", "", *overlap);
        if (overlap >= ForwardedRequest::forbiddenRunOverlap && isStream(m_routed.route->kind))
            m_gatewayContext.metrics.increment("run_overlaps_too_long_total", "");
    }
    // A request with one run is told by its other lines.
    if (run->origin().number == 1 && !overlap && reason == "complete")
        return;
    nlohmann::json fields = {{"number", run->origin().number},
                             {"target", run->target().value()},
                             {"reason", reason},
                             {"events", run->eventCount()},
                             {"lasted_ms", absl::ToInt64Milliseconds(now - run->sentAt())}};
    if (run->acceptedAt())
        fields["accepted_after_ms"] = absl::ToInt64Milliseconds(*run->acceptedAt() - run->sentAt());
    if (run->firstEventAt())
        fields["first_event_after_ms"] = absl::ToInt64Milliseconds(*run->firstEventAt() - run->sentAt());
    if (overlap) {
        fields["beside"] = other->target().value();
        fields["beside_ms"] = absl::ToInt64Milliseconds(*overlap);
    }
    log("run_ended", std::move(fields));
}

void ForwardSession::noteLostRun(const TargetRun &run)
{
    const auto now = monotonicNow();
    if (!run.firstEventAt() || run.writingTime(now) < PromptQuarantine::survivalTime)
        m_gatewayContext.promptGuard.runLost(run.process(), m_routed.request.sharedParts, run.sentAt(), now);
}

void ForwardSession::noteFault(const TargetRun &run, TargetFault fault)
{
    if (fault == TargetFault::Unresponsive && run.attempt() && run.attempt()->isWaitingForRoom())
        return;
    const auto &process = run.process();
    m_gatewayContext.targets.recordFault(process, fault, monotonicNow());
    m_gatewayContext.metrics.increment("target_faults_total",
                                       absl::StrCat("fault=\"", abslView(targetFaultName(fault)), "\""));
    log("target_fault", {{"target", process.id.value()}, {"fault", targetFaultName(fault)}});
    if (!m_interruptedAt)
        m_interruptedAt = monotonicNow();
    m_gatewayContext.targetFailed(process, fault);
}

void ForwardSession::attemptNotRun(const TargetAttempt &attempt, TargetFault fault, bool wasRefused)
{
    const auto role = roleOf(attempt);
    const auto &run = *runOf(role);
    const bool isFull = wasRefused && fault != TargetFault::Gone;
    const bool isCopyMissing = run.origin().isFromCopy && isFull;
    // Another process answered at the address.
    if (fault == TargetFault::Gone) {
        m_gatewayContext.promptGuard.targetEnded(run.target(), monotonicNow());
        if (const auto current = m_gatewayContext.dialect.readAnsweringTarget(attempt.head()))
            m_gatewayContext.targets.recordAnsweredBy(*current, run.process().address);
    }
    if (!wasRefused && m_gatewayContext.targets.limitOf(run.target()))
        m_gatewayContext.limits.giveBack(run.process());
    if (!isFull)
        noteFault(run, fault);
    else
        log("target_full", {{"target", run.target().value()}, {"copy_missing", isCopyMissing}});
    if (isCopyMissing && !m_runStopper.isStopping(run.target())) {
        // A rejected resume is taken to mean that the target no longer has the copy. The target is healthy,
        // so it may process the prompt from the start.
        std::erase(m_triedTargets, run.target());
    }
    noteRunEnd(role, wasRefused ? "rejected" : "not_reached");
    if (role == RunRole::Replacement) {
        m_replacement.reset();
        releaseReservedPermit();
    }
    handle(ForwardingEvents::AttemptNotExecuted{
        .fault = fault, .wasRefused = wasRefused, .isCopyMissing = isCopyMissing, .role = role});
}

void ForwardSession::attemptLost(const TargetAttempt &attempt, TargetFault fault)
{
    runLost(roleOf(attempt), fault);
}

void ForwardSession::runLost(RunRole role, TargetFault fault)
{
    auto &run = *runOf(role);
    run.cancel();
    // Tells a request that its target ended on from one that merely ran there.
    log("attempt_lost",
        {{"target", run.target().value()},
         {"fault", targetFaultName(fault)},
         {"replacement", role == RunRole::Replacement},
         {"answer_ended", run.hasAnswerEnded()},
         {"events", run.eventCount()},
         {"writing_ms", absl::ToInt64Milliseconds(run.writingTime(monotonicNow()))},
         {"parts", partNames(m_routed.request.sharedParts)}});
    noteRunEnd(role, "lost");
    sampleLoss(run, fault);
    noteLostRun(run);
    if (fault == TargetFault::Gone)
        m_gatewayContext.promptGuard.targetEnded(run.target(), monotonicNow());
    noteFault(run, fault);
    // The target may work on: its connection may have been reset on the way, or closed for what it sent.
    if (fault != TargetFault::Gone && !run.hasAnswerEnded())
        stopAbandonedRun(run);
    if (role == RunRole::Replacement) {
        m_replacement.reset();
        releaseReservedPermit();
    }
    handle(ForwardingEvents::AttemptLost{fault, role});
}

void ForwardSession::perform(const ForwardingActions::ReportSuspicion &action)
{
    if (m_run)
        noteFault(*m_run, action.fault);
}

void ForwardSession::perform(const ForwardingActions::CancelAttempt &action)
{
    auto &run = runOf(action.role);
    if (!run)
        return;
    run->cancel();
    if (!run->hasEnded())
        sampleCancelledRun(*run, action.role, monotonicNow());
    noteRunEnd(action.role, "cancelled");
    noteLostRun(*run);
    if (action.fault)
        noteFault(*run, *action.fault);
    if (action.role == RunRole::Replacement) {
        log("replacement_cancelled", {{"target", run->target().value()}});
        m_gatewayContext.metrics.increment("replacements_total", R"(outcome="cancelled")");
        stopAbandonedRun(*run);
        run.reset();
        releaseReservedPermit();
    }
}

void ForwardSession::perform(const ForwardingActions::AdoptReplacement &)
{
    if (m_run)
        stopAbandonedRun(*m_run);
    m_run = std::move(m_replacement);
    handleCopyEvent(KvCopyEvents::AttemptStarted{m_run->copyHolder()});
    m_gatewayContext.metrics.increment("replacements_total", R"(outcome="adopted")");
    log("replacement_adopted", {{"target", targetName()}, {"events", m_run->eventCount()}});
}

void ForwardSession::perform(const ForwardingActions::ProbeTarget &action)
{
    const auto *run = runOf(action.role).get();
    const auto *record = run ? m_gatewayContext.targets.find(run->target()) : nullptr;
    if (!record)
        return;
    const auto probe = std::make_shared<std::function<void(int)>>();
    *probe = [weak = weak_from_this(), attempt = std::weak_ptr(run->attempt()), record = *record,
              self = std::weak_ptr<std::function<void(int)>>(probe)](int number) {
        const auto session = weak.lock();
        const auto retry = self.lock();
        if (!session || !retry)
            return;
        session->m_gatewayContext.connections.probe(
            record, [session, attempt, retry, number](ProbeResult result) {
                const auto running = attempt.lock();
                if (!running || session->isFinished())
                    return;
                if (result == ProbeResult::Connected) {
                    session->handle(ForwardingEvents::TargetReachable{session->roleOf(*running)});
                    return;
                }
                if (result == ProbeResult::TimedOut && number < detail::maxProbeAttempts) {
                    (*retry)(number + 1);
                    return;
                }
                session->handle(ForwardingEvents::TargetSuspected{
                    result == ProbeResult::Refused ? TargetFault::Refused : TargetFault::Unresponsive,
                    session->roleOf(*running)});
            });
    };
    (*probe)(1);
}

} // namespace Wisteria
