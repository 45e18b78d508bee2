// Hosts of the routers: events in, actions out, and the checks at the callers.

#include "Fleet.h"

#include "Tokens.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria::Measure {

namespace detail {

// Work that is running when the arrivals end may finish within this time.
constexpr absl::Duration runOut = absl::Minutes(20);
// A caller sees a closed connection, looks for another router and connects.
constexpr absl::Duration reconnectDelay = absl::Milliseconds(500);
// Resumes that took longer are traced.
constexpr double slowResumeSeconds = 1.5;

} // namespace detail

Fleet::Fleet(const Scenario &scenario, RunOptions options)
    : m_scenario(scenario), m_options(std::move(options)),
      m_configuration(configurationFor(scenario, m_options.policy)),
      m_plan(planRequests(scenario, m_options.fault, m_options.seed)), m_random(m_options.seed)
{
    addEngines();
    m_routers.resize(scenario.routers);
    for (std::uint32_t n = 0; n < scenario.routers; ++n) {
        m_routers[n].domain = n % scenario.domains;
        startRouter(m_routers[n]);
    }
    planFaults();
    reportLoad();
    reportCaches();
    reportDemand();
}

RunResult Fleet::run()
{
    for (const auto &it : m_plan) {
        m_queue.at(it.at, [this, &it] {
            auto &caller = m_callers[it.opened.generation];
            caller = std::make_unique<Caller>();
            caller->request = &it;
            ++m_result.requests;
            open(*caller, it.routerDraw);
        });
    }
    m_queue.runUntil(absl::UnixEpoch() + m_scenario.length + detail::runOut);
    for (const auto &[id, caller] : m_callers) {
        if (caller->state == CallerState::Waiting)
            ++m_result.unanswered;
    }
    for (const auto &it : m_engines)
        m_result.engineSeconds += absl::ToDoubleSeconds(it.engine->work());
    return std::move(m_result);
}

void Fleet::open(Caller &caller, std::uint64_t draw)
{
    std::vector<RouterHost *> live;
    for (auto &it : m_routers) {
        if (it.incarnation != 0)
            live.push_back(&it);
    }
    RouterHost &host = *live[draw % live.size()];
    caller.incarnation = host.incarnation;
    RequestOpened event = caller.request->opened;
    if (caller.received > 0) {
        event.resume = caller.point;
        event.resume->received = TokenOffset(caller.received);
    }
    m_queue.after(m_scenario.clientLatency,
                  [this, incarnation = host.incarnation, event] { give(incarnation, event); });
}

void Fleet::connectElsewhere(const GenerationId &id)
{
    m_queue.after(detail::reconnectDelay, [this, id] { open(*m_callers.at(id), m_random.next()); });
}

void Fleet::give(std::uint64_t incarnation, const RoutingEvent &event)
{
    if (RouterHost *host = hostOf(incarnation))
        give(*host, event);
}

void Fleet::give(RouterHost &host, const RoutingEvent &event)
{
    const std::uint64_t incarnation = host.incarnation;
    const RoutingActions actions = host.router->handle(event, m_queue.now());
    for (const auto &action : actions)
        std::visit([&](const auto &it) { carryOut(host, it); }, action);
    if (host.incarnation == incarnation)
        scheduleTick(host);
}

void Fleet::giveAll(const RoutingEvent &event)
{
    for (auto &it : m_routers) {
        if (it.incarnation != 0)
            give(it, event);
    }
}

void Fleet::scheduleTick(RouterHost &host)
{
    const absl::Time at = host.router->nextWakeUp();
    if (at >= host.tickAt)
        return;
    host.tickAt = at;
    m_queue.at(at, [this, at, incarnation = host.incarnation] {
        RouterHost *it = hostOf(incarnation);
        // A sooner wake-up has taken this one's place.
        if (!it || it->tickAt != at)
            return;
        it->tickAt = absl::InfiniteFuture();
        if (m_queue.now() >= it->router->nextWakeUp())
            give(*it, Tick{});
        else
            scheduleTick(*it);
    });
}

void Fleet::carryOut(RouterHost &host, const StartAttempt &action)
{
    ++m_result.attempts;
    host.attempts[action.attempt] = action.target;
    Caller *caller = callerOf(host, action.generation);
    if (!caller)
        return;
    if (action.from.value() != caller->received)
        ++m_result.wrongTokens;
    const PlannedRequest &request = *caller->request;
    StreamRequest stream{.generation = action.generation,
                         .urgency = action.urgency,
                         .head = request.opened.prefixHash,
                         .promptTokens = request.opened.promptTokens,
                         .headTokens = request.headTokens,
                         .answerTokens = request.answerTokens,
                         .from = action.from,
                         .lastText = caller->lastText};
    const StreamHolder holder{host.incarnation, action.attempt};
    m_queue.after(m_scenario.domainLatency,
                  [this, target = action.target, holder, stream = std::move(stream)] {
                      engineOf(target).engine->start(holder, stream);
                  });
}

void Fleet::carryOut(RouterHost &host, const ReattachAttempt &action)
{
    // NOTE: A re-attach costs the engine nothing, but it counts as an attempt all the same.
    ++m_result.attempts;
    host.attempts[action.attempt] = action.target;
    const StreamHolder holder{host.incarnation, action.attempt};
    m_queue.after(m_scenario.domainLatency,
                  [this, holder, action] { engineOf(action.target).engine->reattach(holder, action); });
}

void Fleet::carryOut(RouterHost &host, const CancelAttempt &action)
{
    auto it = host.attempts.find(action.attempt);
    const StreamHolder holder{host.incarnation, action.attempt};
    m_queue.after(m_scenario.domainLatency,
                  [this, holder, target = it->second] { engineOf(target).engine->cancel(holder); });
    host.attempts.erase(it);
}

void Fleet::carryOut(RouterHost &host, const DeliverToken &action)
{
    Caller *caller = callerOf(host, action.generation);
    if (!caller)
        return;
    const bool isNext = action.offset.value() == caller->received;
    if (!isNext || action.text != tokenAfter(caller->lastText, action.stream))
        ++m_result.wrongTokens;
    noteResumed(*caller);
    noteToken(*caller);
    caller->lastText = action.text;
    caller->point = ResumePoint{action.target, action.stream, action.streamStart, TokenOffset()};
    ++caller->received;
    ++m_result.tokensDelivered;
}

void Fleet::noteToken(Caller &caller)
{
    const bool isUrgent = caller.request->opened.urgency == Urgency::Urgent;
    const absl::Time at = m_queue.now() + m_scenario.clientLatency;
    if (caller.received == 0) {
        auto &samples = isUrgent ? m_result.firstTokenUrgent : m_result.firstTokenPatient;
        samples.push_back(absl::ToDoubleSeconds(at - caller.request->at));
        caller.firstTokenAt = at;
    } else {
        // One gap in eight keeps the table's memory small.
        constexpr std::uint64_t sampledGap = 8;
        auto &samples = isUrgent ? m_result.gapsUrgent : m_result.gapsPatient;
        if (caller.received % sampledGap == 0)
            samples.push_back(absl::ToDoubleSeconds(at - caller.lastTokenAt));
    }
    caller.lastTokenAt = at;
}

void Fleet::noteResumed(Caller &caller)
{
    // A token that was on its way when the stream was lost resumes nothing.
    if (!caller.lostAt || m_queue.now() <= *caller.lostAt + m_scenario.domainLatency)
        return;
    const absl::Time at = m_queue.now() + m_scenario.clientLatency;
    absl::Duration usual;
    if (caller.received > 1)
        usual = (caller.lastTokenAt - caller.firstTokenAt) / static_cast<double>(caller.received - 1);
    const absl::Duration waited = at - std::max(*caller.lostAt, caller.lastTokenAt) - usual;
    const double seconds = std::max(absl::ToDoubleSeconds(waited), 0.0);
    m_result.resumeLatencies.push_back(seconds);
    caller.lostAt.reset();
    if (!m_options.trace || seconds < detail::slowResumeSeconds)
        return;
    *m_options.trace << "seed " << m_options.seed << ": " << caller.request->opened.generation
                     << " resumed after " << seconds << " s at "
                     << absl::ToDoubleSeconds(at - absl::UnixEpoch()) << " s\n";
    for (const auto &it : caller.decisions)
        *m_options.trace << "  " << it << "\n";
}

void Fleet::carryOut(RouterHost &host, const CompleteGeneration &action)
{
    Caller *caller = callerOf(host, action.generation);
    if (!caller)
        return;
    const bool isWhole =
        caller->received == caller->request->answerTokens && action.end.value() == caller->received;
    if (!isWhole)
        ++m_result.wrongTokens;
    caller->state = CallerState::Whole;
    caller->decisions.clear();
    ++m_result.answers;
    if (caller->request->opened.urgency == Urgency::Urgent)
        m_result.urgentAnswers.push_back(
            absl::ToDoubleSeconds(m_queue.now() + m_scenario.clientLatency - caller->request->at));
}

void Fleet::carryOut(RouterHost &host, const RefuseGeneration &action)
{
    Caller *caller = callerOf(host, action.generation);
    if (!caller)
        return;
    caller->state = CallerState::Refused;
    ++m_result.refusals[std::string(errorName(action.error.code))];
    if (action.error.retryAfter)
        m_result.retryAfters.push_back(absl::ToDoubleSeconds(*action.error.retryAfter));
    if (caller->received > 0)
        ++m_result.brokenOff;
}

void Fleet::carryOut(RouterHost &host, const HandOverGeneration &action)
{
    if (callerOf(host, action.generation))
        connectElsewhere(action.generation);
}

void Fleet::carryOut(RouterHost &host, const RecordDecision &action)
{
    Caller *caller = callerOf(host, action.generation);
    if (!m_options.trace || !caller)
        return;
    caller->decisions.push_back(absl::StrCat(absl::ToDoubleSeconds(m_queue.now() - absl::UnixEpoch()),
                                             " s: ", std::string(decisionName(action.kind)), " ",
                                             action.chosen.value(), ": ", action.reason, " (",
                                             action.alternatives.size(), " alternatives)"));
}

Fleet::Caller *Fleet::callerOf(const RouterHost &host, const GenerationId &id)
{
    auto it = m_callers.find(id);
    // What is written to a connection that the caller left reaches nobody.
    if (it == m_callers.end() || it->second->incarnation != host.incarnation
        || it->second->state != CallerState::Waiting)
        return nullptr;
    return it->second.get();
}

Fleet::RouterHost *Fleet::hostOf(std::uint64_t incarnation)
{
    auto it = std::ranges::find(m_routers, incarnation, &RouterHost::incarnation);
    return it == m_routers.end() ? nullptr : &*it;
}

Fleet::EngineHost &Fleet::engineOf(const TargetId &id)
{
    return m_engines[m_engineIndex.at(id)];
}

} // namespace Wisteria::Measure
