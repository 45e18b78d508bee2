// Random faults, configuration changes and load reports of the simulated cluster.

#include "FakeRoutingCluster.h"

#include <algorithm>
#include <array>

namespace Wisteria {

void FakeRoutingCluster::injectFault()
{
    ++m_counts.faults;
    const std::size_t engine = below(m_engines.size());
    switch (below(14)) {
    case 0:
    case 1:
        m_engines[engine]->crash(below(2) == 0 ? FakeCrashMode::ClosesStreams : FakeCrashMode::Silent);
        m_clock.after(randomDuration(5000), [this, engine] { setPhase(engine, TargetPhase::Suspect); });
        m_clock.after(randomDuration(8000), [this, engine] { m_engines[engine]->restart(); });
        break;
    case 2:
    case 3:
        m_engines[engine]->pause(randomDuration(10000));
        break;
    case 4:
        m_engines[engine]->disconnectStreams();
        break;
    case 5:
        m_engines[engine]->reportOverloadFor(randomDuration(2000));
        break;
    case 6:
        crashDomain();
        break;
    case 7:
        setPhase(engine, TargetPhase::Leaving);
        break;
    case 8:
        setPhase(engine, TargetPhase::Gone);
        break;
    case 9:
        killOrPauseProcess();
        break;
    case 10:
        drainProcess();
        break;
    case 11:
        disconnectCaller();
        break;
    case 12:
        randomizeConfiguration();
        broadcast(ConfigurationChanged{m_configuration});
        break;
    case 13:
        below(2) == 0 ? abandonRequest() : broadcast(FreshnessChanged{below(2) == 0});
        break;
    }
}

void FakeRoutingCluster::killOrPauseProcess()
{
    Process *process = randomLiveProcess();
    if (!process)
        return;
    const std::uint64_t number = process->number;
    const bool isPause = below(2) == 0;
    if (isPause)
        process->pausedUntil = m_clock.now() + randomDuration(10000);
    else
        process->isKilled = true;
    for (auto &it : m_callers) {
        if (it.state != CallerState::Connected || it.router != number)
            continue;
        // The caller may not have received the last events before the process stopped.
        const std::size_t lost = std::min<std::size_t>(below(3), it.received.size());
        it.received.resize(it.received.size() - lost);
        it.resumePoints.resize(it.received.size());
        scheduleConnect(it.number, randomDuration(1000));
        if (isPause)
            feed(number, CallerLeft{it.generation});
    }
    if (!isPause)
        addProcess();
}

void FakeRoutingCluster::drainProcess()
{
    Process *process = randomLiveProcess();
    if (!process || process->isDraining)
        return;
    process->isDraining = true;
    feed(process->number, DrainStarted{});
    addProcess();
}

void FakeRoutingCluster::disconnectCaller()
{
    Caller &caller = m_callers[below(m_callers.size())];
    if (caller.state != CallerState::Connected)
        return;
    const std::uint64_t number = caller.router;
    const GenerationId generation = caller.generation;
    scheduleConnect(caller.number, randomDuration(500));
    m_clock.after(randomDuration(200), [this, number, generation] {
        // A host reports CallerLeft only if the caller has not reconnected to the same router.
        auto it = m_processes[number].hostedGenerations.find(generation);
        if (it != m_processes[number].hostedGenerations.end()
            && !connectedCaller(m_processes[number], it->second))
            feed(number, CallerLeft{generation});
    });
}

void FakeRoutingCluster::abandonRequest()
{
    Caller &caller = m_callers[below(m_callers.size())];
    if (caller.state != CallerState::Connected)
        return;
    caller.state = CallerState::Abandoned;
    ++m_counts.abandoned;
    feed(caller.router, CallerLeft{caller.generation});
}

void FakeRoutingCluster::randomizeConfiguration()
{
    constexpr std::array policies = {"adaptive", "adaptive", "restart", "fixed-stall"};
    constexpr std::array selections = {"affinity", "least-loaded", "round-robin", "unregistered"};
    PresetSpec preset{.name = PresetName("p"), .selection = selections[below(selections.size())]};
    preset.resume = ResumeSpec{policies[below(policies.size())], static_cast<double>(below(3)) / 2};
    preset.drainLimit = randomDuration(4000);
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

void FakeRoutingCluster::crashDomain()
{
    const FailureDomain domain("d" + std::to_string(below(3)));
    const auto mode = below(2) == 0 ? FakeCrashMode::ClosesStreams : FakeCrashMode::Silent;
    for (std::size_t it = 0; it < m_engines.size(); ++it) {
        if (m_targets[it].domain == domain)
            m_engines[it]->crash(mode);
    }
}

void FakeRoutingCluster::setPhase(std::size_t engine, TargetPhase phase)
{
    m_targets[engine].phase = phase;
    broadcast(m_targets[engine]);
}

void FakeRoutingCluster::broadcast(const RoutingEvent &event)
{
    for (std::uint64_t it = 0; it < m_processes.size(); ++it)
        feed(it, event);
}

void FakeRoutingCluster::reportLoad()
{
    for (const auto &it : m_engines) {
        if (below(4) == 0)
            continue;
        m_clock.after(
            randomDuration(1000), [this, id = it->id(), n = it->runningStreams(), at = m_clock.now()] {
                broadcast(LoadReported{id, n, 0, m_clock.now() - at});
                broadcast(CacheReported{id, {PromptPrefixHash(below(4))}, {PromptPrefixHash(below(4))}});
            });
    }
    for (std::uint64_t it = 0; it < m_processes.size(); ++it)
        feed(it, WorkspaceDemandReported{WorkspaceName("kochi"), static_cast<std::uint32_t>(below(6)), 3});
}

} // namespace Wisteria
