// Carries out the routing decisions: opens and cancels engine streams, hands tokens to callers, writes the
// log. Runs on the decision thread only.

#pragma once

#include <LibRouting/Router.h>
#include <Router/CallerSession.h>
#include <Router/DecisionLog.h>
#include <Router/EngineStreams.h>
#include <Router/Metrics.h>

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace Wisteria {

// What a caller asked for, beyond what the decisions need to know.
struct GenerationRequest
{
    RequestOpened opened;
    std::string prompt;
    // The answer's text that the caller holds already.
    std::string received;
    // Sampling parameters that the engine gets unchanged, as the members of a JSON object.
    std::string sampling;
    std::shared_ptr<CallerSession> session;
};

class GenerationHost
{
public:
    // All references must outlive the host.
    GenerationHost(RandomSource &random, EngineStreams &streams, DecisionLog &log, Metrics &metrics);

    void open(GenerationRequest request, absl::Time now);
    void handle(const RoutingEvent &event, absl::Time now);
    // Ends the generation unless its caller has come back on another connection, with another session.
    void callerLeft(const GenerationId &id, const std::shared_ptr<CallerSession> &session, absl::Time now);

    [[nodiscard]] Router &router() { return *m_router; }
    [[nodiscard]] const FleetConfiguration &configuration() const { return m_configuration; }
    [[nodiscard]] std::size_t running() const { return m_generations.size(); }

private:
    struct Generation
    {
        GenerationRequest request;
        // Prompt and answer so far: the prompt of the next attempt.
        std::string context;
        ModelName model;
        TokenOffset next;
        // The version of the service's last change when the answer began.
        ConfigVersion openedUnder;
        absl::Time openedAt;
        absl::Time lastTokenAt;
        // Set while the generation waits for the first token after a loss.
        bool isResuming{false};
    };

    void carryOut(const RoutingAction &action, absl::Time now);
    void act(const StartAttempt &action);
    void act(const ReattachAttempt &action);
    void act(const DeliverToken &action, absl::Time now);
    void finish(const GenerationId &id, SessionMessage last, const std::string &outcome);
    void noteDecision(const RecordDecision &decision);
    [[nodiscard]] std::string engineBody(const Generation &generation, const StartAttempt &action) const;
    [[nodiscard]] ConfigVersion lastChangeOf(const ServiceName &service) const;
    [[nodiscard]] std::optional<Address> addressOf(const TargetId &target) const;

    std::unique_ptr<Router> m_router;
    EngineStreams &m_streams;
    DecisionLog &m_log;
    Metrics &m_metrics;
    FleetConfiguration m_configuration;
    absl::flat_hash_map<GenerationId, std::unique_ptr<Generation>> m_generations;
    // How CancelAttempt is to be carried out for the event being handled.
    CancelMode m_cancelMode{CancelMode::StopEngine};
};

} // namespace Wisteria
