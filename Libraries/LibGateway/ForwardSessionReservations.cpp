// Takes what a stop needs from a target that backs off or limits its requests, before the run is given up:
// nothing may be left of it when the stop is due.

#include <LibGateway/ForwardSession.h>

#include <LibPlatform/MonotonicClock.h>

#include <algorithm>

namespace Wisteria {

StopObstacle ForwardSession::reserveStop(const TargetProcess &process)
{
    auto &targets = m_gatewayContext.targets;
    if (std::find(m_copyingProcesses.begin(), m_copyingProcesses.end(), process) != m_copyingProcesses.end())
        return StopObstacle::CopyInProgress;
    if (targets.limitOf(process.id))
        return hasReservedPermit(process) ? StopObstacle::None : StopObstacle::TakesNoRequest;
    return tryReserveUrgentRequest(process, monotonicNow() + RunStopper::stopDelay)
        ? StopObstacle::None
        : StopObstacle::TakesNoRequest;
}

bool ForwardSession::tryReserveUrgentRequest(const TargetProcess &process, absl::Time at)
{
    auto &targets = m_gatewayContext.targets;
    const auto backoffEnd = targets.backoffEnd(process.id);
    const bool isReserved =
        std::any_of(m_reservedStops.begin(), m_reservedStops.end(), [&](const ReservedStop &it) {
            return it.process == process && it.backoffEnd == backoffEnd;
        });
    if (at >= backoffEnd || isReserved)
        return true;
    if (!targets.tryTakeUrgentRequest(process.id, at))
        return false;
    std::erase_if(m_reservedStops, [&](const ReservedStop &it) { return it.process == process; });
    m_reservedStops.push_back({.process = process, .backoffEnd = backoffEnd});
    return true;
}

bool ForwardSession::tryReserveStopBeforeReplacement(const TargetRun &run)
{
    const auto now = monotonicNow();
    const auto silentSince = std::max(run.sentAt(), m_lastEventAt.value_or(run.sentAt()));
    const bool isOverdue =
        now - silentSince >= ForwardedRequest::longestSoundSilence - ForwardedRequest::maxRunOverlap;
    if (!canStopRuns() || isOverdue)
        return true;
    const auto &process = run.process();
    if (const auto *limit = m_gatewayContext.targets.limitOf(process.id)) {
        if (hasReservedPermit(process))
            return true;
        if (!m_gatewayContext.limits.tryTake(*limit, now))
            return false;
        std::erase_if(m_reservedStops, [&](const ReservedStop &it) { return it.process == process; });
        m_reservedStops.push_back({.process = process, .hasPermit = true});
        return true;
    }
    return tryReserveUrgentRequest(process, now + ForwardedRequest::maxRunOverlap + RunStopper::stopDelay);
}

bool ForwardSession::hasReservedPermit(const TargetProcess &process) const
{
    return std::any_of(m_reservedStops.begin(), m_reservedStops.end(),
                       [&](const auto &it) { return it.process == process && it.hasPermit; });
}

void ForwardSession::releaseReservedPermit()
{
    if (!m_run)
        return;
    const auto &process = m_run->process();
    const auto released = std::erase_if(
        m_reservedStops, [&](const ReservedStop &it) { return it.process == process && it.hasPermit; });
    if (released > 0)
        m_gatewayContext.limits.giveBack(process);
}

std::optional<ForwardSession::ReservedStop> ForwardSession::takeReservedStop(const TargetProcess &process)
{
    const auto it = std::find_if(m_reservedStops.begin(), m_reservedStops.end(),
                                 [&](const ReservedStop &reserved) { return reserved.process == process; });
    if (it == m_reservedStops.end())
        return std::nullopt;
    const auto reserved = *it;
    m_reservedStops.erase(it);
    return reserved;
}

} // namespace Wisteria
