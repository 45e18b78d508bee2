// Event dispatch, wake-ups and drain.

#include <LibRouting/RoutingCore.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// If a wake-up is late by more than this, the process itself was paused, and the time before does not count
// as a stall.
constexpr absl::Duration processPauseThreshold = absl::Milliseconds(250);
// Load reports expire and cooldowns end without an event, so the queue is also checked at this interval.
constexpr absl::Duration queueCheckInterval = absl::Milliseconds(500);

} // namespace detail

std::unique_ptr<Router> Router::create(RandomSource &random)
{
    return std::make_unique<RoutingCore>(random);
}

RoutingCore::RoutingCore(RandomSource &random)
    : m_state(random), m_launcher(m_state), m_closer(m_state, m_launcher),
      m_recovery(m_state, m_launcher, m_closer), m_sequencer(m_state, m_launcher, m_closer, m_recovery),
      m_admission(m_state, m_launcher, m_closer, m_recovery)
{
}

RoutingActions RoutingCore::handle(const RoutingEvent &event, absl::Time now)
{
    m_state.now = now;
    detectProcessPause();
    std::visit([this](const auto &it) { process(it); }, event);
    if (m_state.capacityMayHaveChanged && !m_state.queue.isEmpty())
        m_admission.dispatchQueued();
    m_state.capacityMayHaveChanged = false;
    reschedulePending();
    m_nextWakeUp = earliestWakeUp();
    return std::exchange(m_state.actions, {});
}

std::map<WorkspaceName, std::uint32_t> RoutingCore::demand() const
{
    return m_state.shares.demand();
}

bool RoutingCore::isIdle() const
{
    return m_state.drainingSince && m_state.generations.size() == 0;
}

void RoutingCore::process(const CallerLeft &event)
{
    if (Generation *generation = m_state.generations.find(event.generation))
        m_closer.discard(*generation);
}

void RoutingCore::process(const TargetChanged &event)
{
    m_state.targets.apply(event);
    m_state.capacityMayHaveChanged = true;
    if (event.phase == TargetPhase::Gone) {
        m_recovery.handleTargetGone(event.target);
        m_state.targets.removeIfGone(event.target);
        return;
    }
    // A phase change may shorten the stall limits of the attempts on this target.
    for (const Generation *it : m_state.generations.all()) {
        if (std::ranges::count(it->attempts, event.target, &Attempt::target) > 0)
            m_state.markForReschedule(*it);
    }
}

void RoutingCore::process(const LoadReported &event)
{
    TargetState *target = m_state.targets.find(event.target);
    if (!target)
        return;
    target->apply(event, m_state.now);
    m_state.capacityMayHaveChanged = true;
}

void RoutingCore::process(const CacheReported &event)
{
    if (TargetState *target = m_state.targets.find(event.target))
        target->apply(event);
}

void RoutingCore::process(const ConfigurationChanged &event)
{
    m_state.apply(event.configuration);
    m_state.capacityMayHaveChanged = true;
    for (Generation *it : m_state.generations.all())
        m_recovery.handleConfigurationChange(*it);
}

void RoutingCore::process(const FreshnessChanged &event)
{
    m_state.freshness = event.fresh ? Freshness::Fresh : Freshness::MayBeStale;
}

void RoutingCore::process(const WorkspaceDemandReported &event)
{
    m_state.shares.setRemoteDemand(event.workspace, event.remoteGenerations, event.liveRouters);
}

void RoutingCore::process(const DrainStarted &)
{
    if (m_state.drainingSince)
        return;
    m_state.drainingSince = m_state.now;
    // Generations without attempts lose no engine work and start sooner at a router that keeps running.
    for (Generation *it : m_state.generations.all()) {
        if (it->attempts.empty())
            m_closer.handOver(*it);
    }
}

void RoutingCore::process(const Tick &)
{
    if (m_state.now >= drainDeadline())
        handOverAll();
    while (Generation *generation = m_state.generations.popDue(m_state.now))
        m_recovery.handleWakeUp(*generation);
    m_state.capacityMayHaveChanged = true;
}

void RoutingCore::detectProcessPause()
{
    if (m_nextWakeUp != absl::InfiniteFuture() && m_state.now > m_nextWakeUp + detail::processPauseThreshold)
        m_state.processResumedAt = m_state.now;
}

void RoutingCore::handOverAll()
{
    for (Generation *it : m_state.generations.all())
        m_closer.handOver(*it);
}

void RoutingCore::reschedulePending()
{
    for (const auto &id : m_state.pendingReschedule) {
        if (Generation *generation = m_state.generations.find(id))
            m_state.generations.scheduleWakeUp(*generation, m_recovery.nextCheckAt(*generation));
    }
    m_state.pendingReschedule.clear();
}

absl::Time RoutingCore::drainDeadline() const
{
    if (!m_state.drainingSince)
        return absl::InfiniteFuture();
    return *m_state.drainingSince + m_state.configuration.preset().drainLimit;
}

absl::Time RoutingCore::earliestWakeUp() const
{
    absl::Time at = m_state.generations.nextWakeUp();
    if (m_state.generations.size() > 0)
        at = std::min(at, drainDeadline());
    if (!m_state.queue.isEmpty())
        at = std::min(at, m_state.now + detail::queueCheckInterval);
    return at;
}

} // namespace Wisteria
