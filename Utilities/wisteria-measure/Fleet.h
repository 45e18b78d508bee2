// One run: the real Router objects, fake engines, callers and faults on one virtual clock.

#pragma once

#include "Engine.h"
#include "Measures.h"
#include "Workload.h"

#include <LibRouting/Router.h>

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <ostream>

namespace Wisteria::Measure {

struct RunOptions
{
    Policy policy;
    FaultPlan fault;
    std::uint64_t seed{1};
    // Where the decisions of slow resumes are written; null for nowhere.
    std::ostream *trace{nullptr};
};

class Fleet
{
public:
    Fleet(const Scenario &, RunOptions);

    [[nodiscard]] RunResult run();

private:
    struct RouterHost
    {
        std::uint32_t domain{0};
        // New at each start; zero while the router is down.
        std::uint64_t incarnation{0};
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<Router> router;
        absl::flat_hash_map<AttemptId, TargetId> attempts;
        absl::Time tickAt{absl::InfiniteFuture()};
    };

    struct EngineHost
    {
        std::unique_ptr<Engine> engine;
        ServiceName service;
        std::uint32_t domain{0};
        std::uint32_t slots{0};
        TargetPhase phase{TargetPhase::Live};
    };

    enum class CallerState { Waiting, Whole, Refused };

    struct Caller
    {
        const PlannedRequest *request{nullptr};
        CallerState state{CallerState::Waiting};
        // The incarnation that holds the connection.
        std::uint64_t incarnation{0};
        std::uint64_t received{0};
        std::string lastText;
        ResumePoint point;
        absl::Time firstTokenAt;
        absl::Time lastTokenAt;
        // Set while the stream that the caller reads is lost and no token has come since.
        std::optional<absl::Time> lostAt;
        std::vector<std::string> decisions;
    };

    // Set-up.
    void addEngines();
    void startRouter(RouterHost &);
    void planFaults();
    void planDeaths(RandomSource &);
    void planPauses(RandomSource &);
    void planRouterDeaths(RandomSource &);
    void planDomainLoss();
    void reportLoad();
    void reportCaches();
    void reportDemand();

    // Faults.
    void killEngine(EngineHost &, DeathKind, absl::Duration downFor);
    void killRouter(RouterHost &, absl::Duration downFor);
    void setPhase(EngineHost &, TargetPhase);
    void noteLoss(const Engine &);

    // Events and actions.
    void open(Caller &, std::uint64_t draw);
    void connectElsewhere(const GenerationId &);
    void give(std::uint64_t incarnation, const RoutingEvent &);
    void give(RouterHost &, const RoutingEvent &);
    void giveAll(const RoutingEvent &);
    void scheduleTick(RouterHost &);
    void carryOut(RouterHost &, const StartAttempt &);
    void carryOut(RouterHost &, const ReattachAttempt &);
    void carryOut(RouterHost &, const CancelAttempt &);
    void carryOut(RouterHost &, const DeliverToken &);
    void carryOut(RouterHost &, const CompleteGeneration &);
    void carryOut(RouterHost &, const RefuseGeneration &);
    void carryOut(RouterHost &, const HandOverGeneration &);
    void carryOut(RouterHost &, const RecordDecision &);
    void noteResumed(Caller &);
    void noteToken(Caller &);
    [[nodiscard]] Caller *callerOf(const RouterHost &, const GenerationId &);
    [[nodiscard]] RouterHost *hostOf(std::uint64_t incarnation);
    [[nodiscard]] EngineHost &engineOf(const TargetId &);

    const Scenario &m_scenario;
    RunOptions m_options;
    FleetConfiguration m_configuration;
    std::vector<PlannedRequest> m_plan;
    EventQueue m_queue;
    SeededRandom m_random;
    std::vector<RouterHost> m_routers;
    std::vector<EngineHost> m_engines;
    absl::flat_hash_map<TargetId, std::size_t> m_engineIndex;
    absl::flat_hash_map<GenerationId, std::unique_ptr<Caller>> m_callers;
    std::uint64_t m_lastIncarnation{0};
    RunResult m_result;
};

} // namespace Wisteria::Measure
