// Faults of the plan on the links between routers, engines, callers and the store.

#include "FaultPlan.h"

namespace Wisteria {

bool FaultPlan::harmEngineLink(LinkFault fault)
{
    auto *engine = drawEngine();
    if (!engine)
        return false;
    engine->isDisturbed = true;
    engine->link->setFault(fault);
    m_world.after(m_world.drawn(shortestFault, longestFault),
                  [engine, end = m_world.disturb(DisturbanceKind::Engine, engine->engine->id()),
                   endOfLink = m_world.disturb(DisturbanceKind::EngineLink, engine->engine->id())] {
                      engine->link->setFault(LinkFault::None);
                      engine->isDisturbed = false;
                      end();
                      endOfLink();
                  });
    return true;
}

bool FaultPlan::freezeEngine()
{
    auto *engine = drawEngine();
    if (!engine)
        return false;
    engine->isDisturbed = true;
    engine->link->setFault(LinkFault::Frozen);
    m_world.after(m_world.drawn(shortestSilence, longestSilence),
                  [engine, end = m_world.disturb(DisturbanceKind::EngineLink, engine->engine->id())] {
                      engine->link->setFault(LinkFault::None);
                      engine->isDisturbed = false;
                      end();
                  });
    return true;
}

bool FaultPlan::harmRouterLink(std::unique_ptr<FaultProxy> SoakRouter::*link, LinkFault fault)
{
    auto *router = drawRouter();
    if (!router)
        return false;
    auto *proxy = (router->*link).get();
    proxy->setFault(fault);
    m_world.after(m_world.drawn(shortestFault, longestFault),
                  [proxy, end = m_world.disturb(DisturbanceKind::Router, router->process->place().id)] {
                      proxy->setFault(LinkFault::None);
                      end();
                  });
    return true;
}

bool FaultPlan::silenceRouterLink(std::unique_ptr<FaultProxy> SoakRouter::*link)
{
    auto *router = drawRouter();
    if (!router)
        return false;
    (router->*link)->silenceAll();
    m_world.disturb(DisturbanceKind::Router, router->process->place().id)();
    return true;
}

bool FaultPlan::resetRouterLink(std::unique_ptr<FaultProxy> SoakRouter::*link)
{
    auto *router = drawRouter();
    if (!router)
        return false;
    (router->*link)->resetAll();
    m_world.disturb(DisturbanceKind::Router, router->process->place().id)();
    return true;
}

} // namespace Wisteria
