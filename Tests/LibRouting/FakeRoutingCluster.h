// Simulates callers, routers and engines on one virtual clock, with random faults drawn from one seed.
// Invariants are checked against what callers receive and engines are asked to do, not against the routers'
// internal state.

#pragma once

#include "FakeRoutingEngine.h"

#include <LibRouting/Router.h>

#include <memory>
#include <stdexcept>

namespace Wisteria {

// Thrown when a routing invariant does not hold; what() describes the violation.
class RoutingInvariantViolation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

class FakeRoutingCluster
{
public:
    explicit FakeRoutingCluster(std::uint64_t seed);
    // Runs a phase with faults, then one without, by whose end each caller must have a final result. Throws
    // RoutingInvariantViolation.
    void run();

    struct Counts
    {
        std::uint64_t completed{0};
        std::uint64_t refused{0};
        std::uint64_t abandoned{0};
        std::uint64_t attempts{0};
        std::uint64_t faults{0};
        std::uint64_t events{0};
        // Refusals by error name, including those that callers retried.
        std::map<std::string, std::uint64_t> refusals;
    };
    [[nodiscard]] const Counts &counts() const { return m_counts; }

private:
    enum class CallerState { Connecting, Connected, Completed, Refused, Abandoned };

    struct Caller
    {
        std::size_t number{0};
        GenerationId generation;
        RequestOpened request;
        CallerState state{CallerState::Connecting};
        std::uint64_t router{0};
        std::uint64_t length{0};
        FinishReason reason{FinishReason::Stop};
        std::vector<std::string> received;
        // For each received token, the resume point in its event id.
        std::vector<ResumePoint> resumePoints;
        std::uint32_t connectionCount{0};
        // The configuration version that last changed the service when the current answer started.
        ConfigVersion openedUnder;
        std::string modelVersion;
        std::uint32_t attemptsInConnection{0};
    };

    // A router host's state for one generation.
    struct HostedGeneration
    {
        std::size_t caller{0};
        // The value of the caller's connectionCount when it opened this request.
        std::uint32_t connectionNumber{0};
        std::vector<std::string> tokens;
        std::string modelVersion;
    };

    struct HostedAttempt
    {
        GenerationId generation;
        TargetId target;
        EngineStreamId stream;
    };

    struct Process
    {
        std::uint64_t number{0};
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<Router> router;
        bool isKilled{false};
        bool isDraining{false};
        bool isFresh{false};
        bool hasReceivedDrain{false};
        std::map<ServiceName, ServiceSpec> services;
        absl::Time pausedUntil{absl::InfinitePast()};
        std::map<TargetId, TargetPhase> phases;
        std::map<GenerationId, HostedGeneration> hostedGenerations;
        // Attempts that were neither ended by the engine nor cancelled.
        std::map<AttemptId, HostedAttempt> attempts;
        absl::Time nextTickAt{absl::InfinitePast()};
    };

    void addProcess();
    void addCaller(std::size_t number);
    void scheduleConnect(std::size_t caller, absl::Duration delay);
    void connect(Caller &);
    [[nodiscard]] Process *randomLiveProcess();
    void openRequest(std::uint64_t process, const RequestOpened &, const HostedGeneration &);

    void feed(std::uint64_t process, const RoutingEvent &);
    void scheduleTick(Process &);
    // The `cause` is the event that led to the action.
    void executeAction(Process &, const RoutingEvent &cause, const RoutingAction &);
    void execute(Process &, const RoutingEvent &, const StartAttempt &);
    void execute(Process &, const RoutingEvent &, const ReattachAttempt &);
    void execute(Process &, const RoutingEvent &, const CancelAttempt &);
    void execute(Process &, const RoutingEvent &, const DeliverToken &);
    void execute(Process &, const RoutingEvent &, const CompleteGeneration &);
    void execute(Process &, const RoutingEvent &, const RefuseGeneration &);
    void execute(Process &, const RoutingEvent &, const HandOverGeneration &);
    void execute(Process &, const RoutingEvent &, const RecordDecision &) { }
    // `what` names the action in the error message when the generation is not open.
    [[nodiscard]] HostedGeneration &findHostedGeneration(Process &, const GenerationId &, const char *what);
    // The caller, or null if it has disconnected from this router.
    [[nodiscard]] Caller *connectedCaller(const Process &, const HostedGeneration &);
    void removeGeneration(Process &, const GenerationId &);
    void addAttempt(Process &, HostedGeneration &, AttemptId, HostedAttempt);

    void injectFault();
    void killOrPauseProcess();
    void drainProcess();
    void disconnectCaller();
    void abandonRequest();
    void randomizeConfiguration();
    void crashDomain();
    void setPhase(std::size_t engine, TargetPhase);
    // Feeds the event to all routers. A paused router handles it later, in order.
    void broadcast(const RoutingEvent &);
    void reportLoad();

    void checkFinalState();
    [[nodiscard]] std::uint64_t below(std::uint64_t n) { return m_random.below(n); }
    [[nodiscard]] absl::Duration randomDuration(int maxMs)
    {
        return absl::Milliseconds(below(static_cast<std::uint64_t>(maxMs) + 1));
    }

    FakeRoutingClock m_clock;
    SeededRandom m_random;
    FleetConfiguration m_configuration;
    std::vector<std::unique_ptr<FakeRoutingEngine>> m_engines;
    std::vector<TargetChanged> m_targets;
    std::vector<Process> m_processes;
    std::vector<Caller> m_callers;
    Counts m_counts;
};

} // namespace Wisteria
