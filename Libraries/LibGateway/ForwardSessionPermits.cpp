// Sends attempts to targets that limit their requests, once a permit is granted.

#include <LibGateway/ForwardSession.h>

#include <LibPlatform/MonotonicClock.h>

namespace Wisteria {

std::optional<TargetId> ForwardSession::chooseAllowedTarget(RunRole role, absl::Time now) const
{
    auto requirements = this->requirements();
    if (role == RunRole::Current)
        return m_gatewayContext.targets.choose(requirements, now);
    // A replacement does not wait for a permit, since the current run may go on meanwhile.
    requirements.limitedTargets = LimitedTargets::Avoid;
    if (auto target = m_gatewayContext.targets.choose(requirements, now))
        return target;
    requirements.limitedTargets = LimitedTargets::Use;
    return m_gatewayContext.targets.choose(requirements, now);
}

absl::Duration ForwardSession::permitPatience(absl::Time now) const
{
    // The less urgent a request is, the nearer its permit must be, so that later permits are left for more
    // urgent ones.
    const auto share = PermitIssuer::horizon / (1 + rank().value());
    const auto workTime = m_routed.service->isModelService
        ? performance().prefillTime(m_routed.request.size.promptTokens)
        : performance().plainServiceTime();
    const auto spareTime = m_forwardedRequest.deadline() - now - workTime;
    return std::clamp(spareTime, absl::ZeroDuration(), share);
}

bool ForwardSession::tryWaitForPermit(const ForwardingActions::StartAttempt &action)
{
    const auto now = monotonicNow();
    auto &targets = m_gatewayContext.targets;
    const auto target = targets.chooseDeferred(requirements(), now);
    const auto patience = permitPatience(now);
    if (!target)
        return false;
    const auto &limit = *targets.limitOf(*target);
    if (targets.deferredUntil(*target) - now > patience && !limit.isStale(now))
        return false;
    sendWithPermit(limit, action, std::nullopt, patience, PermitDenial::Refuse);
    return true;
}

void ForwardSession::sendWithPermit(const TargetLimit &limit, const ForwardingActions::StartAttempt &action,
                                    const std::optional<CopySource> &source, absl::Duration maxWait,
                                    PermitDenial denial)
{
    const auto process = limit.process;
    if (action.role == RunRole::Replacement) {
        if (m_gatewayContext.limits.tryTake(limit, monotonicNow()))
            permitGranted(process, action, source);
        else
            handle(ForwardingEvents::NoTarget{.role = action.role});
        return;
    }
    handle(ForwardingEvents::AttemptDelayed{});
    m_permit = m_gatewayContext.limits.request(
        limit, maxWait,
        [self = shared_from_this(), process, action, source, denial](const PermitOutcome &outcome) {
            const auto ticket = std::move(self->m_permit);
            if (outcome.isGranted)
                self->permitGranted(process, action, source);
            else
                self->permitDenied(process, action, outcome.delay, denial);
        });
}

void ForwardSession::permitGranted(const TargetProcess &process,
                                   const ForwardingActions::StartAttempt &action,
                                   const std::optional<CopySource> &source)
{
    const auto now = monotonicNow();
    const auto *record = m_gatewayContext.targets.find(process.id);
    const auto &rollouts = m_gatewayContext.rollouts;
    if (!record || record->process() != process || !m_gatewayContext.targets.acceptsRequests(process.id, now)
        || (rollouts && rollouts->isClosed(*record, now))) {
        m_gatewayContext.limits.giveBack(process);
        chooseVersions();
        sendToAnyTarget(action);
        return;
    }
    auto attempt = action;
    attempt.timeLeft = m_forwardedRequest.deadline() - now;
    if (attempt.timeLeft <= absl::ZeroDuration()) {
        // The request's timer ends it.
        m_gatewayContext.limits.giveBack(process);
        return;
    }
    sendTo(*record, attempt, source);
}

void ForwardSession::permitDenied(const TargetProcess &process, const ForwardingActions::StartAttempt &action,
                                  absl::Duration delay, PermitDenial denial)
{
    const auto now = monotonicNow();
    log("permit_denied",
        {{"target", process.id.value()},
         {"delay_ms", absl::ToInt64Milliseconds(delay)},
         {"waited", denial == PermitDenial::Refuse}});
    m_gatewayContext.targets.deferLimited(process.id, now + delay);
    if (denial == PermitDenial::TryOtherTargets) {
        chooseVersions();
        sendToAnyTarget(action);
        return;
    }
    handle(ForwardingEvents::NoTarget{.backoff = delay, .isLimited = true, .role = action.role});
}

} // namespace Wisteria
