// The faults of the fake world.

#include "FakeWorld.h"

#include <algorithm>
#include <array>

namespace Wisteria {

void FakeWorld::injectFault()
{
    ++m_counts.faults;
    const std::size_t engine = below(m_engines.size());
    switch (below(14)) {
    case 0:
    case 1:
        m_engines[engine]->die(below(2) == 0 ? DeathKind::ClosesStreams : DeathKind::Silent);
        m_clock.after(upTo(5000), [this, engine] { setPhase(engine, TargetPhase::Suspect); });
        m_clock.after(upTo(8000), [this, engine] { m_engines[engine]->revive(); });
        break;
    case 2:
    case 3:
        m_engines[engine]->pause(upTo(10000));
        break;
    case 4:
        m_engines[engine]->cutStreams();
        break;
    case 5:
        m_engines[engine]->refuseFor(upTo(2000));
        break;
    case 6:
        loseDomain();
        break;
    case 7:
        setPhase(engine, TargetPhase::Leaving);
        break;
    case 8:
        setPhase(engine, TargetPhase::Gone);
        break;
    case 9:
        killProcess();
        break;
    case 10:
        stopProcess();
        break;
    case 11:
        dropCaller();
        break;
    case 12:
        changeConfiguration();
        tell(ConfigurationChanged{m_configuration});
        break;
    case 13:
        below(2) == 0 ? leaveCaller() : tell(FreshnessChanged{below(2) == 0});
        break;
    }
}

void FakeWorld::killProcess()
{
    Process *process = pickProcess();
    if (!process)
        return;
    const std::uint64_t number = process->number;
    const bool isPause = below(2) == 0;
    if (isPause)
        process->pausedUntil = m_clock.now() + upTo(10000);
    else
        process->isDead = true;
    for (auto &it : m_callers) {
        if (it.state != CallerState::Connected || it.router != number)
            continue;
        // The last events may not have reached the caller.
        const std::size_t lost = std::min<std::size_t>(below(3), it.received.size());
        it.received.resize(it.received.size() - lost);
        it.points.resize(it.received.size());
        connect(it.number, upTo(1000));
        if (isPause)
            feed(number, CallerLeft{it.generation});
    }
    if (!isPause)
        addProcess();
}

void FakeWorld::stopProcess()
{
    Process *process = pickProcess();
    if (!process || process->isDraining)
        return;
    process->isDraining = true;
    feed(process->number, DrainStarted{});
    addProcess();
}

void FakeWorld::dropCaller()
{
    Caller &caller = m_callers[below(m_callers.size())];
    if (caller.state != CallerState::Connected)
        return;
    const std::uint64_t number = caller.router;
    const GenerationId generation = caller.generation;
    connect(caller.number, upTo(500));
    m_clock.after(upTo(200), [this, number, generation] {
        // A host tells of a left caller only while that opening is the present one.
        auto it = m_processes[number].openings.find(generation);
        if (it != m_processes[number].openings.end() && !listener(m_processes[number], it->second))
            feed(number, CallerLeft{generation});
    });
}

void FakeWorld::leaveCaller()
{
    Caller &caller = m_callers[below(m_callers.size())];
    if (caller.state != CallerState::Connected)
        return;
    caller.state = CallerState::Left;
    ++m_counts.left;
    feed(caller.router, CallerLeft{caller.generation});
}

void FakeWorld::changeConfiguration()
{
    constexpr std::array policies = {"adaptive", "adaptive", "restart", "fixed-stall"};
    constexpr std::array selections = {"affinity", "least-loaded", "round-robin", "unheard-of"};
    PresetSpec preset{.name = PresetName("p"), .selection = selections[below(selections.size())]};
    preset.resume = ResumeSpec{policies[below(policies.size())], static_cast<double>(below(3)) / 2};
    preset.drainLimit = upTo(4000);
    preset.maxWaiting = static_cast<std::uint32_t>(1 + below(8));
    m_configuration.version = ConfigVersion(m_configuration.version.value() + 1);
    m_configuration.presetInForce = preset.name;
    m_configuration.presets[preset.name] = preset;
    for (const char *it : {"digest", "other"}) {
        ServiceSpec &service = m_configuration.services[ServiceName(it)];
        service.name = ServiceName(it);
        const std::string modelVersion = std::to_string(below(3) / 2);
        if (service.modelVersion == modelVersion)
            continue;
        service.modelVersion = modelVersion;
        service.stamp.changedIn = m_configuration.version;
    }
    WorkspaceSpec &workspace = m_configuration.workspaces[WorkspaceName("kochi")];
    workspace.name = WorkspaceName("kochi");
    workspace.maxGenerations = static_cast<std::uint32_t>(6 + below(20));
}

void FakeWorld::loseDomain()
{
    const FailureDomain domain("d" + std::to_string(below(3)));
    const auto kind = below(2) == 0 ? DeathKind::ClosesStreams : DeathKind::Silent;
    for (std::size_t it = 0; it < m_engines.size(); ++it) {
        if (m_targets[it].domain == domain)
            m_engines[it]->die(kind);
    }
}

void FakeWorld::setPhase(std::size_t engine, TargetPhase phase)
{
    m_targets[engine].phase = phase;
    tell(m_targets[engine]);
}

// Each router hears of a change at a time of its own, in the order of the changes.
void FakeWorld::tell(const RoutingEvent &event)
{
    for (std::uint64_t it = 0; it < m_processes.size(); ++it)
        feed(it, event);
}

void FakeWorld::report()
{
    for (const auto &it : m_engines) {
        if (below(4) == 0)
            continue;
        m_clock.after(upTo(1000), [this, id = it->id(), n = it->running(), at = m_clock.now()] {
            tell(LoadReported{id, n, 0, m_clock.now() - at});
            tell(CacheReported{id, {PromptPrefixHash(below(4))}, {PromptPrefixHash(below(4))}});
        });
    }
    for (std::uint64_t it = 0; it < m_processes.size(); ++it)
        feed(it, WorkspaceDemandReported{WorkspaceName("kochi"), static_cast<std::uint32_t>(below(6)), 3});
}

} // namespace Wisteria
