// Planned work of the plan: stops, reloads and changes, alone, in series and overlapping.

#include "FaultPlan.h"

#include <csignal>

namespace Wisteria {

SoakRouter *FaultPlan::beginStop()
{
    auto *router = drawRouter();
    if (!router)
        return nullptr;
    router->isDisturbed = true;
    router->isEndWanted = true;
    // Ends with the grace at the latest.
    constexpr absl::Duration grace = absl::Seconds(8);
    m_world.after(grace, m_world.disturb(DisturbanceKind::PlannedStop, router->process->place().id));
    m_world.disturb(DisturbanceKind::StopSignal, router->process->place().id)();
    router->process->signal(SIGTERM);
    return router;
}

bool FaultPlan::stopRouter()
{
    return beginStop() != nullptr;
}

bool FaultPlan::stopSeveralRouters()
{
    const auto n = 2 + m_world.random().below(m_world.routers().size() / 2);
    absl::Duration delay;
    for (std::uint64_t it = 0; it < n; ++it) {
        m_world.after(delay, [this] { beginStop(); });
        delay += m_world.drawn(leastSeriesPause, longestSeriesPause);
    }
    return true;
}

bool FaultPlan::stopRouterWithMoreSignals()
{
    auto *router = beginStop();
    if (!router)
        return false;
    absl::Duration delay;
    for (const int number : {SIGTERM, SIGHUP, SIGTERM}) {
        delay += m_world.drawn(leastSeriesPause, longestSeriesPause);
        // The process that follows has another life.
        m_world.after(delay, [this, router, number] {
            if (!router->isStopping())
                return;
            if (number == SIGTERM)
                m_world.disturb(DisturbanceKind::StopSignal, router->process->place().id)();
            router->process->signal(number);
        });
    }
    return true;
}

bool FaultPlan::stopRouterAndChangeConfiguration()
{
    if (!beginStop())
        return false;
    m_world.after(m_world.drawn(absl::ZeroDuration(), longestSeriesPause), [this] { changeConfiguration(); });
    return true;
}

bool FaultPlan::reloadRouter()
{
    auto *router = drawRouter();
    if (!router)
        return false;
    router->process->writeSettings(1 + m_world.random().fraction());
    router->process->signal(SIGHUP);
    return true;
}

bool FaultPlan::reloadInSeries(int left)
{
    const bool isReload = m_world.random().below(2) == 0;
    const bool hasBegun = isReload ? reloadRouter() : changeConfiguration();
    if (left > 1)
        m_world.after(m_world.drawn(leastSeriesPause, longestSeriesPause),
                      [this, left] { reloadInSeries(left - 1); });
    return hasBegun || left > 1;
}

bool FaultPlan::changeConfiguration()
{
    m_world.rotateKeys();
    return true;
}

} // namespace Wisteria
