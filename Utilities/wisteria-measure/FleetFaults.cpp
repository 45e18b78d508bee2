// Set-up of a run, its faults, and what the routers hear about engines.

#include "Fleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace Wisteria::Measure {

namespace detail {

constexpr absl::Duration reportInterval = absl::Seconds(1);
constexpr absl::Duration leastReportLag = absl::Milliseconds(500);
constexpr absl::Duration reportLagRange = absl::Seconds(1);
constexpr absl::Duration cacheInterval = absl::Seconds(2);
constexpr absl::Duration cacheLag = absl::Seconds(1);
constexpr std::uint64_t percentCacheReportsLost = 20;
// Observations of other routers reach all of them by gossip within this time.
constexpr absl::Duration suspicionDelay = absl::Seconds(2);
constexpr absl::Duration engineDownFor = absl::Seconds(60);
constexpr absl::Duration routerDownFor = absl::Seconds(30);
constexpr absl::Duration domainDownFor = absl::Seconds(120);
constexpr absl::Duration leastPause = absl::Milliseconds(500);
constexpr absl::Duration longestPause = absl::Seconds(30);

// A number in (0, 1].
double uniformDraw(RandomSource &random)
{
    constexpr int mantissaBits = 53;
    return (static_cast<double>(random.next() >> (64 - mantissaBits)) + 1) / std::exp2(mantissaBits);
}

absl::Duration draw(absl::Duration least, absl::Duration most, RandomSource &random)
{
    return least + (most - least) * uniformDraw(random);
}

// Times of a Poisson process until the end.
std::vector<absl::Time> poissonTimes(double perHour, absl::Duration length, RandomSource &random)
{
    std::vector<absl::Time> out;
    absl::Time at = absl::UnixEpoch();
    while (perHour > 0) {
        at += absl::Hours(1) * (-std::log(uniformDraw(random)) / perHour);
        if (at > absl::UnixEpoch() + length)
            break;
        out.push_back(at);
    }
    return out;
}

} // namespace detail

void Fleet::addEngines()
{
    for (const auto &lot : m_scenario.lots) {
        for (std::uint32_t n = 0; n < lot.count; ++n) {
            const TargetId id(absl::StrCat(lot.service, "-", m_engines.size()));
            auto sink = [this](std::uint64_t incarnation, std::vector<RoutingEvent> events) {
                m_queue.after(m_scenario.domainLatency, [this, incarnation, events = std::move(events)] {
                    for (const auto &it : events)
                        give(incarnation, it);
                });
            };
            EngineHost host{.service = ServiceName(lot.service), .slots = lot.slots};
            host.domain = static_cast<std::uint32_t>(m_engines.size()) % m_scenario.domains;
            host.engine = std::make_unique<Engine>(id, lot.slots, lot.speed, m_queue, std::move(sink));
            m_engineIndex.emplace(id, m_engines.size());
            m_engines.push_back(std::move(host));
        }
    }
}

void Fleet::startRouter(RouterHost &host)
{
    host.incarnation = ++m_lastIncarnation;
    host.random = std::make_unique<SeededRandom>(m_options.seed * 1000 + host.incarnation);
    host.router = Router::create(*host.random);
    host.attempts.clear();
    host.tickAt = absl::InfiniteFuture();
    give(host, ConfigurationChanged{m_configuration});
    give(host, FreshnessChanged{true});
    for (const auto &it : m_engines)
        give(host,
             TargetChanged{it.engine->id(), it.service, FailureDomain(absl::StrCat("d", it.domain)), it.slots,
                           it.phase});
}

void Fleet::planFaults()
{
    // Draws of their own, so that each policy meets the same faults.
    constexpr std::uint64_t faultStream = 77;
    SeededRandom random(m_options.seed * 1000 + faultStream);
    switch (m_options.fault.fault) {
    case Fault::None:
        break;
    case Fault::Deaths:
        planDeaths(random);
        break;
    case Fault::Pauses:
        planPauses(random);
        break;
    case Fault::DomainLost:
        planDomainLoss();
        break;
    case Fault::RouterDeaths:
        planRouterDeaths(random);
        break;
    }
}

void Fleet::planDeaths(RandomSource &random)
{
    for (auto at : detail::poissonTimes(m_options.fault.perHour, m_scenario.length, random)) {
        EngineHost &host = m_engines[random.below(m_engines.size())];
        const auto kind = random.below(2) == 0 ? DeathKind::ClosesConnections : DeathKind::Silent;
        m_queue.at(at, [this, &host, kind] { killEngine(host, kind, detail::engineDownFor); });
    }
}

void Fleet::planPauses(RandomSource &random)
{
    for (auto at : detail::poissonTimes(m_options.fault.perHour, m_scenario.length, random)) {
        EngineHost &host = m_engines[random.below(m_engines.size())];
        const auto length = detail::draw(detail::leastPause, detail::longestPause, random);
        m_queue.at(at, [this, &host, length] {
            noteLoss(*host.engine);
            host.engine->pauseUntil(m_queue.now() + length);
        });
    }
}

void Fleet::planRouterDeaths(RandomSource &random)
{
    for (auto at : detail::poissonTimes(m_options.fault.perHour, m_scenario.length, random)) {
        RouterHost &host = m_routers[random.below(m_routers.size())];
        m_queue.at(at, [this, &host] { killRouter(host, detail::routerDownFor); });
    }
}

void Fleet::planDomainLoss()
{
    m_queue.at(absl::UnixEpoch() + m_scenario.length / 3, [this] {
        for (auto &it : m_engines) {
            if (it.domain == 0)
                killEngine(it, DeathKind::Silent, detail::domainDownFor);
        }
        for (auto &it : m_routers) {
            if (it.domain == 0)
                killRouter(it, detail::domainDownFor);
        }
    });
}

void Fleet::killEngine(EngineHost &host, DeathKind kind, absl::Duration downFor)
{
    if (!host.engine->isUp())
        return;
    noteLoss(*host.engine);
    host.engine->die(kind);
    m_queue.after(detail::suspicionDelay, [this, &host] { setPhase(host, TargetPhase::Suspect); });
    m_queue.after(downFor, [this, &host] {
        host.engine->revive();
        setPhase(host, TargetPhase::Live);
    });
}

void Fleet::killRouter(RouterHost &host, absl::Duration downFor)
{
    const auto up = std::ranges::count_if(m_routers, [](const auto &it) { return it.incarnation != 0; });
    if (host.incarnation == 0 || up == 1)
        return;
    const std::uint64_t dead = std::exchange(host.incarnation, 0);
    for (auto &it : m_engines)
        it.engine->dropHolder(dead);
    for (auto &[id, caller] : m_callers) {
        if (caller->incarnation != dead || caller->state != CallerState::Waiting)
            continue;
        if (caller->received > 0 && !caller->lostAt)
            caller->lostAt = m_queue.now();
        connectElsewhere(id);
    }
    m_queue.after(downFor, [this, &host] { startRouter(host); });
}

void Fleet::setPhase(EngineHost &host, TargetPhase phase)
{
    host.phase = phase;
    giveAll(TargetChanged{host.engine->id(), host.service, FailureDomain(absl::StrCat("d", host.domain)),
                          host.slots, phase});
}

void Fleet::noteLoss(const Engine &engine)
{
    for (const auto &id : engine.heldGenerations()) {
        auto it = m_callers.find(id);
        if (it == m_callers.end() || it->second->state != CallerState::Waiting)
            continue;
        Caller &caller = *it->second;
        // A stream that lost a race, or has not given a token yet, is not what the caller reads.
        if (caller.received > 0 && caller.point.target == engine.id() && !caller.lostAt)
            caller.lostAt = m_queue.now();
    }
}

void Fleet::reportLoad()
{
    for (auto &it : m_engines) {
        if (!it.engine->answers())
            continue;
        LoadReported report = it.engine->loadReport();
        report.age = detail::leastReportLag + detail::reportLagRange * detail::uniformDraw(m_random);
        m_queue.after(report.age, [this, report] { giveAll(report); });
    }
    m_queue.after(detail::reportInterval, [this] { reportLoad(); });
}

void Fleet::reportCaches()
{
    for (auto &it : m_engines) {
        const CacheReported report = it.engine->takeCacheChanges();
        constexpr std::uint64_t percent = 100;
        if (!it.engine->answers() || m_random.below(percent) < detail::percentCacheReportsLost)
            continue;
        m_queue.after(detail::cacheLag, [this, report] { giveAll(report); });
    }
    m_queue.after(detail::cacheInterval, [this] { reportCaches(); });
}

void Fleet::reportDemand()
{
    std::map<WorkspaceName, std::uint32_t> sums;
    std::uint32_t live = 0;
    for (const auto &it : m_routers) {
        if (it.incarnation == 0)
            continue;
        ++live;
        for (const auto &[name, n] : it.router->demand())
            sums[name] += n;
    }
    for (auto &it : m_routers) {
        if (it.incarnation == 0)
            continue;
        const auto own = it.router->demand();
        for (const auto &[name, n] : sums) {
            auto found = own.find(name);
            const std::uint32_t here = found == own.end() ? 0 : found->second;
            give(it, WorkspaceDemandReported{name, n - here, live});
        }
    }
    m_queue.after(detail::reportInterval, [this] { reportDemand(); });
}

} // namespace Wisteria::Measure
