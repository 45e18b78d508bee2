// The router's decision thread and all parts around it, joined by one bounded ring.

#pragma once

#include <LibConfig/Settings.h>
#include <LibCore/Ring.h>
#include <LibPeer/PeerServer.h>
#include <LibPlatform/MonotonicClock.h>
#include <Router/CallHost.h>
#include <Router/FleetHost.h>
#include <Router/GenerationHost.h>
#include <Router/TargetPoller.h>

#include <absl/synchronization/notification.h>

#include <memory>
#include <thread>

namespace Wisteria {

enum class ServingState { Serving, Stale, Draining };

class RouterProcess final : public EventSink, private FleetListener, private PeerHandler
{
public:
    // Starts all threads. Errors: InvalidSettings, ConnectionFailed when the peers' address can't be listened
    // on.
    [[nodiscard]] static ErrorOr<std::unique_ptr<RouterProcess>> create(const RouterSettings &settings);
    ~RouterProcess() override;

    bool post(HostEvent event) override;
    [[nodiscard]] ErrorOr<void> tryPost(HostEvent event) override;

    // For callers' threads. Errors: RingFull.
    [[nodiscard]] ErrorOr<void> open(GenerationRequest request);
    [[nodiscard]] ErrorOr<void> submit(CallRequest request);
    // The connection that this session belongs to is gone.
    void callerLeft(const GenerationId &generation, const std::shared_ptr<CallerSession> &session);
    // Runs the question on the decision thread and waits for its answer.
    template <typename Answer>
    [[nodiscard]] ErrorOr<Answer> ask(std::function<Answer(absl::Time)> question);
    // Blocks until the change is accepted or refused.
    [[nodiscard]] ErrorOr<ConfigVersion> change(ConfigurationChange change);

    [[nodiscard]] CallAnswer runIdempotent(const ServiceName &service, const std::string &body,
                                           absl::Time deadline);

    // Begins a planned stop; returns at once.
    void startDrain();
    // Requests between their first line and the last byte of their answer.
    void requestBegan() { ++m_activeRequests; }
    void requestEnded() { --m_activeRequests; }
    // Whether a planned stop has left nothing to finish and nothing to write.
    [[nodiscard]] bool isDrained() const { return m_isDrained && m_activeRequests == 0; }
    [[nodiscard]] ServingState state() const { return m_state; }

    // On the decision thread, from within ask().
    [[nodiscard]] const FleetHost &fleet() const { return *m_fleet; }
    [[nodiscard]] const GenerationHost &generations() const { return *m_generations; }
    [[nodiscard]] CallLedger &ledger() { return m_calls->ledger(); }

    [[nodiscard]] GenerationId newGenerationId();
    [[nodiscard]] Metrics &metrics() { return m_metrics; }
    [[nodiscard]] const RouterId &id() const { return m_self.id; }
    // A copy of the configuration for callers' threads.
    [[nodiscard]] std::shared_ptr<const FleetConfiguration> configuration() const;

private:
    explicit RouterProcess(const RouterSettings &settings);
    [[nodiscard]] ErrorOr<void> start(const RouterSettings &settings);

    void run();
    void handle(HostEvent &event, absl::Time now);
    void wakeUp(absl::Time now);
    void continueDrain(absl::Time now);
    void reportOwnState(absl::Time now);
    [[nodiscard]] absl::Time nextWakeUp() const;
    void refreshTargetLists();

    // FleetListener
    void onConfiguration(const FleetConfiguration &configuration) override;
    void onTarget(const TargetSpec &spec, TargetPhase phase) override;
    void onTargetRemoved(const TargetSpec &spec) override;
    void onFreshness(bool fresh) override;
    void onDemandElsewhere(const DemandElsewhere &demand) override;

    // PeerHandler
    [[nodiscard]] ErrorOr<PeerGossip> onGossip(const PeerGossip &gossip) override;
    [[nodiscard]] ErrorOr<FleetConfiguration> onFetchConfiguration() override;
    [[nodiscard]] ErrorOr<ConfigurationDigest> onPushConfiguration(FleetConfiguration configuration) override;
    [[nodiscard]] ErrorOr<ConfigurationDigest> onPoll() override;
    [[nodiscard]] ErrorOr<CallAnswer> onForwardedCall(const ForwardedCall &call) override;

    RouterRecord m_self;
    const std::size_t m_maxStreams;
    SeededRandom m_random;
    Metrics m_metrics;
    DecisionLog m_log;
    Ring<HostEvent> m_ring;
    std::unique_ptr<ObjectStore> m_store;
    std::unique_ptr<PeerClient> m_peers;
    PlainTargets m_plainTargets;
    std::unique_ptr<TargetPoller> m_poller;
    std::unique_ptr<EngineStreams> m_streams;
    std::unique_ptr<TargetCalls> m_targetCalls;
    std::unique_ptr<GenerationHost> m_generations;
    std::unique_ptr<CallHost> m_calls;
    std::unique_ptr<FleetHost> m_fleet;
    std::unique_ptr<PeerServer> m_peerServer;

    mutable absl::Mutex m_configurationMutex;
    std::shared_ptr<const FleetConfiguration> m_configuration ABSL_GUARDED_BY(m_configurationMutex);

    std::atomic<std::uint64_t> m_lastGeneration{0};
    std::atomic<ServingState> m_state{ServingState::Stale};
    std::atomic<bool> m_isDrained{false};
    std::atomic<int> m_activeRequests{0};
    // When the router has left the callers' answers for long enough; infinite without a planned stop.
    absl::Time m_drainFrom{absl::InfiniteFuture()};
    bool m_isDraining{false};
    // One refresh serves all changes of an event.
    bool m_targetListsAreOld{false};
    absl::Time m_nextOwnState{absl::InfinitePast()};
    std::thread m_thread;
};

template <typename Answer>
ErrorOr<Answer> RouterProcess::ask(std::function<Answer(absl::Time)> question)
{
    struct Shared
    {
        absl::Notification done;
        std::optional<Answer> answer;
    };
    constexpr absl::Duration patience = absl::Seconds(5);
    auto shared = std::make_shared<Shared>();
    TRY_VOID(tryPost(Task([shared, question = std::move(question)] {
        shared->answer = question(monotonicNow());
        shared->done.Notify();
    })));
    if (!shared->done.WaitForNotificationWithTimeout(patience))
        return makeError(ErrorCode::Overloaded, "the decision thread did not answer", absl::Seconds(1));
    return *std::move(shared->answer);
}

} // namespace Wisteria
