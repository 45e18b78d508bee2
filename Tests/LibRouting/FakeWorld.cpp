// The world's processes and callers, and what must hold at each of their actions.

#include "FakeWorld.h"

#include <algorithm>

namespace Wisteria {

namespace {

constexpr std::size_t engineCount = 6;
constexpr std::size_t callerCount = 16;
constexpr std::uint32_t slotsOfEngine = 2;
constexpr absl::Duration faultTime = absl::Seconds(6);
constexpr absl::Duration quietTime = absl::Seconds(240);
constexpr std::uint32_t mostAttemptsAnOpening = 32;

void require(bool holds, const std::string &what)
{
    if (!holds)
        throw FakeViolation(what);
}

} // namespace

FakeWorld::FakeWorld(std::uint64_t seed) : m_random(seed)
{
    changeConfiguration();
    for (std::size_t it = 0; it < engineCount; ++it) {
        const TargetId id("e" + std::to_string(it));
        auto sink = [this](std::uint64_t process, const RoutingEvent &event) { feed(process, event); };
        m_engines.push_back(std::make_unique<FakeEngine>(id, m_clock, m_random, sink));
        // The last engine belongs to another service.
        const ServiceName service(it + 1 == engineCount ? "other" : "digest");
        const FailureDomain domain("d" + std::to_string(it % 3));
        m_targets.push_back(TargetChanged{id, service, domain, slotsOfEngine, TargetPhase::Live});
    }
    for (int it = 0; it < 3; ++it)
        addProcess();
    for (std::size_t it = 0; it < callerCount; ++it)
        addCaller(it);
}

void FakeWorld::run()
{
    const absl::Time end = m_clock.now() + faultTime;
    const std::uint64_t faults = 1 + below(6);
    for (std::uint64_t it = 0; it < faults; ++it)
        m_clock.after(upTo(6000), [this] { injectFault(); });
    for (int it = 1; it < 6; ++it)
        m_clock.after(absl::Seconds(it), [this] { report(); });
    while (m_clock.step(end)) { }
    for (std::size_t it = 0; it < engineCount; ++it) {
        m_engines[it]->revive();
        setPhase(it, TargetPhase::Live);
    }
    tell(FreshnessChanged{true});
    while (m_clock.step(end + quietTime)) { }
    checkEnd();
}

void FakeWorld::addProcess()
{
    Process process;
    process.number = m_processes.size();
    process.random = std::make_unique<SeededRandom>(m_random.next());
    process.router = Router::create(*process.random);
    m_processes.push_back(std::move(process));
    const std::uint64_t number = m_processes.back().number;
    feed(number, ConfigurationChanged{m_configuration});
    feed(number, FreshnessChanged{true});
    for (const auto &it : m_targets)
        feed(number, it);
}

void FakeWorld::addCaller(std::size_t number)
{
    Caller caller;
    caller.number = number;
    caller.request.workspace = WorkspaceName("kochi");
    caller.request.service = ServiceName(below(6) == 0 ? "other" : "digest");
    caller.request.urgency = below(3) == 0 ? Urgency::Urgent : Urgency::Patient;
    caller.request.prefixHash = PromptPrefixHash(below(4));
    caller.request.promptTokens = static_cast<std::uint32_t>(below(2000));
    caller.request.maxTokens = static_cast<std::uint32_t>(1 + below(60));
    const std::uint64_t natural = below(80);
    caller.length = std::min<std::uint64_t>(natural, caller.request.maxTokens);
    caller.reason = natural < caller.request.maxTokens ? FinishReason::Stop : FinishReason::Length;
    if (below(6) == 0)
        caller.request.deadline = m_clock.now() + upTo(8000);
    m_callers.push_back(std::move(caller));
    connect(number, upTo(3000));
}

void FakeWorld::connect(std::size_t number, absl::Duration delay)
{
    m_callers[number].state = CallerState::Connecting;
    m_clock.after(delay, [this, number] { comeBack(m_callers[number]); });
}

void FakeWorld::comeBack(Caller &caller)
{
    if (caller.state != CallerState::Connecting)
        return;
    Process *process = pickProcess();
    if (!process) {
        connect(caller.number, absl::Milliseconds(500));
        return;
    }
    ++caller.openings;
    caller.attemptsInOpening = 0;
    caller.router = process->number;
    caller.state = CallerState::Connected;
    caller.request.resume.reset();
    if (caller.received.empty())
        caller.generation =
            GenerationId("g" + std::to_string(caller.number) + "." + std::to_string(caller.openings));
    else
        caller.request.resume = caller.points.back();
    caller.request.generation = caller.generation;
    open(process->number, caller.request,
         Opening{.caller = caller.number, .connection = caller.openings, .texts = caller.received});
}

void FakeWorld::open(std::uint64_t number, const RequestOpened &request, const Opening &opening)
{
    Process &process = m_processes[number];
    if (m_clock.now() < process.pausedUntil) {
        m_clock.at(process.pausedUntil, [this, number, request, opening] { open(number, request, opening); });
        return;
    }
    if (process.isDead)
        return;
    Opening &placed = process.openings[request.generation] = opening;
    RequestOpened event = request;
    Caller &caller = m_callers[opening.caller];
    const ServiceSpec &service = process.services.at(request.service);
    if (!request.resume) {
        caller.openedUnder = service.stamp.changedIn;
        caller.modelVersion = service.modelVersion;
    }
    placed.modelVersion = caller.modelVersion;
    event.openedUnder = caller.openedUnder;
    feed(number, event);
}

FakeWorld::Process *FakeWorld::pickProcess()
{
    std::vector<Process *> able;
    for (auto &it : m_processes) {
        if (!it.isDead)
            able.push_back(&it);
    }
    return able.empty() ? nullptr : able[below(able.size())];
}

void FakeWorld::feed(std::uint64_t number, const RoutingEvent &event)
{
    Process &process = m_processes[number];
    if (process.isDead)
        return;
    if (m_clock.now() < process.pausedUntil) {
        m_clock.at(process.pausedUntil, [this, number, event] { feed(number, event); });
        return;
    }
    ++m_counts.events;
    if (const auto *it = std::get_if<AttemptStarted>(&event); it && process.attempts.contains(it->attempt))
        process.attempts[it->attempt].stream = it->stream;
    if (const auto *it = std::get_if<AttemptFailed>(&event))
        process.attempts.erase(it->attempt);
    if (const auto *it = std::get_if<AttemptFinished>(&event))
        process.attempts.erase(it->attempt);
    if (const auto *it = std::get_if<TargetChanged>(&event))
        process.phases[it->target] = it->phase;
    process.wasToldToDrain |= std::holds_alternative<DrainStarted>(event);
    if (const auto *it = std::get_if<FreshnessChanged>(&event))
        process.isFresh = it->fresh;
    if (const auto *it = std::get_if<ConfigurationChanged>(&event))
        process.services = it->configuration.services;
    for (const auto &action : process.router->handle(event, m_clock.now()))
        carryOut(process, event, action);
    if (std::holds_alternative<Tick>(event))
        require(process.router->nextWakeUp() > m_clock.now(), "a Tick leads to another one at once");
    scheduleTick(process);
}

void FakeWorld::scheduleTick(Process &process)
{
    const absl::Time due = process.router->nextWakeUp();
    if (due == absl::InfiniteFuture() || (process.tickAt > m_clock.now() && process.tickAt <= due))
        return;
    process.tickAt = due;
    m_clock.at(due, [this, number = process.number, due] {
        if (m_processes[number].tickAt == due && m_processes[number].router->nextWakeUp() <= m_clock.now())
            feed(number, Tick{});
        else if (!m_processes[number].isDead)
            scheduleTick(m_processes[number]);
    });
}

void FakeWorld::carryOut(Process &process, const RoutingEvent &cause, const RoutingAction &action)
{
    std::visit([&](const auto &it) { act(process, cause, it); }, action);
}

FakeWorld::Opening &FakeWorld::openingOf(Process &process, const GenerationId &id, const char *what)
{
    auto it = process.openings.find(id);
    require(it != process.openings.end(),
            std::string(what) + " for a generation that is over: " + id.value());
    return it->second;
}

FakeWorld::Caller *FakeWorld::listener(const Process &process, const Opening &opening)
{
    Caller &caller = m_callers[opening.caller];
    const bool listens = caller.state == CallerState::Connected && caller.router == process.number
        && caller.openings == opening.connection;
    return listens ? &caller : nullptr;
}

void FakeWorld::noteAttempt(Process &process, Opening &opening, AttemptId id, HostedAttempt hosted)
{
    ++m_counts.attempts;
    std::size_t running = 1;
    for (const auto &[attempt, other] : process.attempts)
        running += other.generation == hosted.generation ? 1 : 0;
    process.attempts[id] = std::move(hosted);
    require(running <= 2, "more than two attempts at once");
    Caller &caller = m_callers[opening.caller];
    require(++caller.attemptsInOpening <= mostAttemptsAnOpening, "too many attempts for a request");
}

void FakeWorld::act(Process &process, const RoutingEvent &cause, const StartAttempt &action)
{
    Opening &opening = openingOf(process, action.generation, "start");
    const Caller &caller = m_callers[opening.caller];
    const auto index = static_cast<std::size_t>(std::stoi(action.target.value().substr(1)));
    const TargetPhase phase = process.phases.at(action.target);
    require(phase == TargetPhase::Live || phase == TargetPhase::Suspect,
            "new work on a leaving or gone target");
    require(m_targets[index].service == caller.request.service, "target of another service");
    require(action.from.value() == opening.texts.size(), "attempt does not open with the delivered prefix");
    const bool isNewHere = std::holds_alternative<RequestOpened>(cause);
    require(process.isFresh || !isNewHere, "a stale router took new work");
    require(!process.wasToldToDrain || !isNewHere, "a draining router took new work");
    const std::string &modelVersion = process.services.at(caller.request.service).modelVersion;
    if (opening.texts.empty())
        opening.modelVersion = modelVersion;
    require(opening.modelVersion == modelVersion, "the answer goes on with another model");
    if (&caller == listener(process, opening) && caller.received.empty()) {
        m_callers[opening.caller].modelVersion = modelVersion;
        m_callers[opening.caller].openedUnder = process.services.at(caller.request.service).stamp.changedIn;
    }
    noteAttempt(process, opening, action.attempt, {action.generation, action.target, {}});
    const FakeLink link{process.number, action.attempt};
    m_clock.after(absl::Milliseconds(2),
                  [this, index, link, action, texts = opening.texts, length = caller.length,
                   reason = caller.reason] { m_engines[index]->start(link, action, texts, length, reason); });
}

void FakeWorld::act(Process &process, const RoutingEvent &, const ReattachAttempt &action)
{
    Opening &opening = openingOf(process, action.generation, "re-attach");
    const auto index = static_cast<std::size_t>(std::stoi(action.target.value().substr(1)));
    require(process.phases.at(action.target) != TargetPhase::Gone, "re-attach to a gone target");
    noteAttempt(process, opening, action.attempt, {action.generation, action.target, action.stream});
    const FakeLink link{process.number, action.attempt};
    m_clock.after(absl::Milliseconds(2),
                  [this, index, link, action] { m_engines[index]->reattach(link, action); });
}

void FakeWorld::act(Process &process, const RoutingEvent &, const CancelAttempt &action)
{
    auto it = process.attempts.find(action.attempt);
    require(it != process.attempts.end(), "cancel of an attempt that is over");
    const auto index = static_cast<std::size_t>(std::stoi(it->second.target.value().substr(1)));
    process.attempts.erase(it);
    const FakeLink link{process.number, action.attempt};
    m_clock.after(absl::Milliseconds(2), [this, index, link] { m_engines[index]->cancel(link); });
}

void FakeWorld::act(Process &process, const RoutingEvent &, const DeliverToken &action)
{
    Opening &opening = openingOf(process, action.generation, "token");
    require(action.offset.value() == opening.texts.size(), "token missing or repeated");
    const std::string previous = opening.texts.empty() ? "" : opening.texts.back();
    require(FakeEngine::continues(action.generation, previous, action.text), "token of a foreign attempt");
    opening.texts.push_back(action.text);
    Caller *caller = listener(process, opening);
    if (!caller)
        return;
    require(caller->received.size() + 1 == opening.texts.size(), "the caller's answer has a gap");
    caller->received.push_back(action.text);
    caller->points.push_back(
        ResumePoint{action.target, action.stream, action.streamStart, nextOffset(action.offset)});
}

void FakeWorld::act(Process &process, const RoutingEvent &, const CompleteGeneration &action)
{
    Opening &opening = openingOf(process, action.generation, "completion");
    const Caller &expected = m_callers[opening.caller];
    require(action.end.value() == opening.texts.size(), "completion before the last token");
    require(action.end.value() == expected.length, "the answer is not whole");
    require(action.reason == expected.reason, "wrong finish reason");
    if (Caller *caller = listener(process, opening)) {
        caller->state = CallerState::Completed;
        ++m_counts.completed;
    }
    close(process, action.generation);
}

void FakeWorld::act(Process &process, const RoutingEvent &cause, const RefuseGeneration &action)
{
    Opening &opening = openingOf(process, action.generation, "refusal");
    const ErrorCode code = action.error.code;
    const bool onOpening = std::holds_alternative<RequestOpened>(cause);
    const bool isAdmission = code == ErrorCode::Draining || code == ErrorCode::ConfigurationStale
        || code == ErrorCode::WorkspaceLimitReached || code == ErrorCode::Overloaded;
    require(onOpening || !isAdmission, "admission was refused late");
    require(!isAdmission || action.error.retryAfter.has_value(), "refusal without a time to come back");
    const absl::Time deadline = m_callers[opening.caller].request.deadline;
    if (code == ErrorCode::DeadlineExceeded)
        require(m_clock.now() >= deadline, "the deadline has not passed");
    else
        require(onOpening || m_clock.now() < deadline, "held back until the deadline");
    ++m_counts.refusals[std::string(errorName(code)) + (opening.texts.empty() ? "" : " after tokens")];
    if (Caller *caller = listener(process, opening)) {
        // Some callers take the refusal for final, some come back as it says.
        if (action.error.retryAfter && below(2) == 0) {
            connect(caller->number, *action.error.retryAfter);
        } else {
            caller->state = CallerState::Refused;
            ++m_counts.refused;
        }
    }
    close(process, action.generation);
}

void FakeWorld::act(Process &process, const RoutingEvent &, const HandOverGeneration &action)
{
    Opening &opening = openingOf(process, action.generation, "hand-over");
    require(process.isDraining, "hand-over without a drain");
    if (Caller *caller = listener(process, opening))
        connect(caller->number, upTo(20));
    // The engine streams run on; the host just closes its connections.
    std::erase_if(process.attempts, [&](const auto &it) {
        const auto &point = m_callers[opening.caller].points;
        return it.second.generation == action.generation && !point.empty()
            && point.back().target == it.second.target && point.back().stream == it.second.stream;
    });
    close(process, action.generation);
}

void FakeWorld::close(Process &process, const GenerationId &id)
{
    process.openings.erase(id);
}

void FakeWorld::checkEnd()
{
    for (const auto &it : m_callers) {
        const bool isOver = it.state == CallerState::Completed || it.state == CallerState::Refused
            || it.state == CallerState::Left;
        require(isOver, "a caller got neither its end nor a final error: " + it.generation.value());
    }
    for (const auto &it : m_processes) {
        if (it.isDead)
            continue;
        require(it.router->demand().empty(), "demand is left at the end");
        require(it.attempts.empty(), "an attempt was neither ended nor cancelled");
        require(it.router->nextWakeUp() == absl::InfiniteFuture(), "a wake-up is left at the end");
        require(!it.isDraining || it.router->isIdle(), "a drain has not ended");
    }
}

} // namespace Wisteria
