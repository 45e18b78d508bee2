// Dispatch of events, wake-ups and drain.

#include <LibRouting/RoutingCore.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// A wake-up that comes later than this shows that this process did not run, so that no silence counts.
constexpr absl::Duration ownPauseMargin = absl::Milliseconds(250);
// Estimates of load fade with time, so work that waits is looked at even without an event.
constexpr absl::Duration queueInterval = absl::Milliseconds(500);

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
    notePauseOfThisProcess();
    std::visit([this](const auto &it) { take(it); }, event);
    if (m_state.roomMayHaveChanged && !m_state.queue.isEmpty())
        m_admission.serveQueue();
    m_state.roomMayHaveChanged = false;
    scheduleTouched();
    m_nextWakeUp = earliestWakeUp();
    return std::exchange(m_state.out, {});
}

std::map<WorkspaceName, std::uint32_t> RoutingCore::demand() const
{
    return m_state.shares.demand();
}

bool RoutingCore::isIdle() const
{
    return m_state.drainingSince && m_state.generations.size() == 0;
}

void RoutingCore::take(const CallerLeft &event)
{
    if (Generation *generation = m_state.generations.find(event.generation))
        m_closer.forget(*generation);
}

void RoutingCore::take(const TargetChanged &event)
{
    m_state.targets.apply(event);
    m_state.roomMayHaveChanged = true;
    if (event.phase == TargetPhase::Gone) {
        m_recovery.handleGone(event.target);
        m_state.targets.forgetIfGone(event.target);
        return;
    }
    // A new phase may bring the stall limits of its streams forward.
    for (const Generation *it : m_state.generations.all()) {
        if (std::ranges::count(it->attempts, event.target, &Attempt::target) > 0)
            m_state.touch(*it);
    }
}

void RoutingCore::take(const LoadReported &event)
{
    TargetState *target = m_state.targets.find(event.target);
    if (!target)
        return;
    target->apply(event, m_state.now);
    m_state.roomMayHaveChanged = true;
}

void RoutingCore::take(const CacheReported &event)
{
    if (TargetState *target = m_state.targets.find(event.target))
        target->apply(event);
}

void RoutingCore::take(const ConfigurationChanged &event)
{
    m_state.apply(event.configuration);
    m_state.roomMayHaveChanged = true;
    for (Generation *it : m_state.generations.all())
        m_recovery.handleConfiguration(*it);
}

void RoutingCore::take(const FreshnessChanged &event)
{
    m_state.freshness = event.fresh ? Freshness::Fresh : Freshness::MayBeStale;
}

void RoutingCore::take(const WorkspaceDemandReported &event)
{
    m_state.shares.setDemandElsewhere(event.workspace, event.elsewhere, event.liveRouters);
}

void RoutingCore::take(const DrainStarted &)
{
    if (m_state.drainingSince)
        return;
    m_state.drainingSince = m_state.now;
    // What waits has no work to lose and starts sooner at a router that stays.
    for (Generation *it : m_state.generations.all()) {
        if (it->attempts.empty())
            m_closer.handOver(*it);
    }
}

void RoutingCore::take(const Tick &)
{
    if (m_state.now >= drainEnd())
        handOverAll();
    while (Generation *generation = m_state.generations.takeDue(m_state.now))
        m_recovery.handleWakeUp(*generation);
    m_state.roomMayHaveChanged = true;
}

void RoutingCore::notePauseOfThisProcess()
{
    if (m_nextWakeUp != absl::InfiniteFuture() && m_state.now > m_nextWakeUp + detail::ownPauseMargin)
        m_state.listeningSince = m_state.now;
}

void RoutingCore::handOverAll()
{
    for (Generation *it : m_state.generations.all())
        m_closer.handOver(*it);
}

void RoutingCore::scheduleTouched()
{
    for (const auto &id : m_state.touched) {
        if (Generation *generation = m_state.generations.find(id))
            m_state.generations.wakeUp(*generation, m_recovery.dueAt(*generation));
    }
    m_state.touched.clear();
}

absl::Time RoutingCore::drainEnd() const
{
    if (!m_state.drainingSince)
        return absl::InfiniteFuture();
    return *m_state.drainingSince + m_state.configuration.preset().drainLimit;
}

absl::Time RoutingCore::earliestWakeUp() const
{
    absl::Time at = m_state.generations.nextWakeUp();
    if (m_state.generations.size() > 0)
        at = std::min(at, drainEnd());
    if (!m_state.queue.isEmpty())
        at = std::min(at, m_state.now + detail::queueInterval);
    return at;
}

} // namespace Wisteria
