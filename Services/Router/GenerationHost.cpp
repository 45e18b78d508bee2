// Carries out routing actions in their order.

#include <Router/GenerationHost.h>

#include <LibCore/Verify.h>
#include <Router/EventId.h>

#include <absl/cleanup/cleanup.h>
#include <nlohmann/json.hpp>

namespace Wisteria {

namespace detail {

// Engines serve smaller numbers first.
constexpr int urgentPriority = 0;
constexpr int patientPriority = 10;

} // namespace detail

GenerationHost::GenerationHost(RandomSource &random, EngineStreams &streams, DecisionLog &log,
                               Metrics &metrics)
    : m_router(Router::create(random)), m_streams(streams), m_log(log), m_metrics(metrics)
{
}

void GenerationHost::open(GenerationRequest request, absl::Time now)
{
    auto generation = std::make_unique<Generation>();
    auto id = request.opened.generation;
    generation->context = request.prompt + request.received;
    if (auto it = m_configuration.services.find(request.opened.service); it != m_configuration.services.end())
        generation->model = it->second.model;
    if (request.opened.resume)
        generation->next = request.opened.resume->received;
    generation->openedUnder = request.opened.openedUnder.value_or(lastChangeOf(request.opened.service));
    generation->openedAt = now;
    generation->lastTokenAt = now;
    auto opened = request.opened;
    generation->request = std::move(request);
    // A caller that comes back to this router replaces its own earlier connection.
    if (m_generations.contains(id))
        handle(CallerLeft{id}, now);
    m_generations[id] = std::move(generation);
    handle(opened, now);
}

void GenerationHost::handle(const RoutingEvent &event, absl::Time now)
{
    if (const auto *changed = std::get_if<ConfigurationChanged>(&event))
        m_configuration = changed->configuration;
    const auto *left = std::get_if<CallerLeft>(&event);
    // A caller whose connection broke may come back at another router within the engine's own limit.
    m_cancelMode = left ? CancelMode::LeaveRunning : CancelMode::StopEngine;
    for (const auto &it : m_router->handle(event, now))
        carryOut(it, now);
    if (left)
        m_generations.erase(left->generation);
}

void GenerationHost::callerLeft(const GenerationId &id, const std::shared_ptr<CallerSession> &session,
                                absl::Time now)
{
    auto it = m_generations.find(id);
    if (it != m_generations.end() && it->second->request.session == session)
        handle(CallerLeft{id}, now);
}

void GenerationHost::carryOut(const RoutingAction &action, absl::Time now)
{
    if (const auto *it = std::get_if<StartAttempt>(&action)) {
        act(*it);
    } else if (const auto *it = std::get_if<ReattachAttempt>(&action)) {
        act(*it);
    } else if (const auto *it = std::get_if<CancelAttempt>(&action)) {
        m_streams.cancel(it->attempt, m_cancelMode);
    } else if (const auto *it = std::get_if<DeliverToken>(&action)) {
        act(*it, now);
    } else if (const auto *it = std::get_if<CompleteGeneration>(&action)) {
        finish(it->generation, EndMessage{it->reason}, "complete");
    } else if (const auto *it = std::get_if<RefuseGeneration>(&action)) {
        finish(it->generation, RefusedMessage{it->error}, std::string(errorName(it->error.code)));
    } else if (const auto *it = std::get_if<HandOverGeneration>(&action)) {
        m_cancelMode = CancelMode::LeaveRunning;
        finish(it->generation, HandOverMessage{}, "handed_over");
    } else if (const auto *it = std::get_if<RecordDecision>(&action)) {
        noteDecision(*it);
    }
}

ConfigVersion GenerationHost::lastChangeOf(const ServiceName &service) const
{
    auto it = m_configuration.services.find(service);
    return it == m_configuration.services.end() ? ConfigVersion() : it->second.stamp.changedIn;
}

std::optional<Address> GenerationHost::addressOf(const TargetId &target) const
{
    auto it = m_configuration.targets.find(target);
    if (it == m_configuration.targets.end())
        return std::nullopt;
    auto address = Address::parse(it->second.address);
    if (!address)
        return std::nullopt;
    return *address;
}

void GenerationHost::act(const StartAttempt &action)
{
    auto it = m_generations.find(action.generation);
    auto address = addressOf(action.target);
    VERIFY(it != m_generations.end());
    VERIFY(action.from == it->second->next);
    if (!address) {
        // The target left the configuration between the decision and this step.
        m_streams.reportNotStarted(action.attempt, action.target);
        return;
    }
    // An answer that has not begun goes to the model of today.
    if (action.from.value() == 0)
        it->second->openedUnder = lastChangeOf(it->second->request.opened.service);
    m_metrics.count("attempts_total");
    m_streams.open(EngineRequest{action.attempt, action.target, *address, engineBody(*it->second, action),
                                 EngineStreamId(), action.from, action.from});
}

void GenerationHost::act(const ReattachAttempt &action)
{
    auto address = addressOf(action.target);
    if (!address) {
        m_streams.reportNotStarted(action.attempt, action.target);
        return;
    }
    m_metrics.count("reattachments_total");
    m_streams.open(EngineRequest{
        action.attempt, action.target, *address, {}, action.stream, action.streamStart, action.from});
}

std::string GenerationHost::engineBody(const Generation &generation, const StartAttempt &action) const
{
    auto body = nlohmann::json::parse(generation.request.sampling);
    body["model"] = generation.model.value();
    body["prompt"] = generation.context;
    body["max_tokens"] = generation.request.opened.maxTokens - action.from.value();
    body["stream"] = true;
    body["priority"] = action.urgency == Urgency::Urgent ? detail::urgentPriority : detail::patientPriority;
    return body.dump();
}

void GenerationHost::act(const DeliverToken &action, absl::Time now)
{
    auto it = m_generations.find(action.generation);
    VERIFY(it != m_generations.end());
    auto &generation = *it->second;
    VERIFY(action.offset == generation.next);
    generation.next = nextOffset(action.offset);
    generation.context += action.text;
    if (generation.isResuming)
        m_metrics.observe("resume_seconds", now - generation.lastTokenAt);
    else if (action.offset.value() == 0)
        m_metrics.observe("first_token_seconds", now - generation.openedAt);
    else
        m_metrics.observe("between_tokens_seconds", now - generation.lastTokenAt);
    m_metrics.count("tokens_total");
    generation.isResuming = false;
    generation.lastTokenAt = now;
    EventId id{action.generation, generation.openedUnder, action.target,
               action.stream,     action.streamStart,     action.offset};
    // A caller that reads too slowly is cut off; it resumes from its last event id when it can take more.
    if (!generation.request.session->tryPush(TokenMessage{id.toString(), action.text}))
        generation.request.session->close();
}

void GenerationHost::finish(const GenerationId &id, SessionMessage last, const std::string &outcome)
{
    auto it = m_generations.find(id);
    if (it == m_generations.end())
        return;
    // NOTE: A full ring closes without a final message, and the caller comes back for it.
    (void)it->second->request.session->tryPush(std::move(last));
    it->second->request.session->close();
    m_generations.erase(it);
    m_metrics.count("generations_total{outcome=\"" + outcome + "\"}");
}

void GenerationHost::noteDecision(const RecordDecision &decision)
{
    m_metrics.count("decisions_total{kind=\"" + std::string(decisionName(decision.kind)) + "\"}");
    auto it = m_generations.find(decision.generation);
    bool resumes = decision.kind == DecisionKind::Resume || decision.kind == DecisionKind::Hedge
        || decision.kind == DecisionKind::Reattach;
    if (it != m_generations.end() && resumes)
        it->second->isResuming = true;
    m_log.record(decision);
}

} // namespace Wisteria
