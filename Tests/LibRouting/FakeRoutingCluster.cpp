// The simulated router processes and callers, and the invariants checked on each router action.

#include "FakeRoutingCluster.h"

#include <algorithm>

namespace Wisteria {

namespace {

constexpr std::size_t engineCount = 6;
constexpr std::size_t callerCount = 16;
constexpr std::uint32_t slotsPerEngine = 2;
constexpr absl::Duration faultPhaseDuration = absl::Seconds(6);
constexpr absl::Duration recoveryPhaseDuration = absl::Seconds(240);
constexpr std::uint32_t maxAttemptsPerConnection = 32;

void require(bool holds, const std::string &what)
{
    if (!holds)
        throw RoutingInvariantViolation(what);
}

} // namespace

FakeRoutingCluster::FakeRoutingCluster(std::uint64_t seed) : m_random(seed)
{
    randomizeConfiguration();
    for (std::size_t it = 0; it < engineCount; ++it) {
        const TargetId id("e" + std::to_string(it));
        auto sink = [this](std::uint64_t process, const RoutingEvent &event) { feed(process, event); };
        m_engines.push_back(std::make_unique<FakeRoutingEngine>(id, m_clock, m_random, sink));
        // The last engine serves a different service.
        const ServiceName service(it + 1 == engineCount ? "other" : "digest");
        const FailureDomain domain("d" + std::to_string(it % 3));
        m_targets.push_back(TargetChanged{id, service, domain, slotsPerEngine, TargetPhase::Live});
    }
    for (int it = 0; it < 3; ++it)
        addProcess();
    for (std::size_t it = 0; it < callerCount; ++it)
        addCaller(it);
}

void FakeRoutingCluster::run()
{
    const absl::Time end = m_clock.now() + faultPhaseDuration;
    const std::uint64_t faults = 1 + below(6);
    for (std::uint64_t it = 0; it < faults; ++it)
        m_clock.after(randomDuration(6000), [this] { injectFault(); });
    for (int it = 1; it < 6; ++it)
        m_clock.after(absl::Seconds(it), [this] { reportLoad(); });
    while (m_clock.runNext(end)) { }
    for (std::size_t it = 0; it < engineCount; ++it) {
        m_engines[it]->restart();
        setPhase(it, TargetPhase::Live);
    }
    broadcast(FreshnessChanged{true});
    while (m_clock.runNext(end + recoveryPhaseDuration)) { }
    checkFinalState();
}

void FakeRoutingCluster::addProcess()
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

void FakeRoutingCluster::addCaller(std::size_t number)
{
    Caller caller;
    caller.number = number;
    caller.request.workspace = WorkspaceName("kochi");
    caller.request.service = ServiceName(below(6) == 0 ? "other" : "digest");
    caller.request.urgency = below(3) == 0 ? Urgency::Urgent : Urgency::Patient;
    caller.request.prefixHash = PromptPrefixHash(below(4));
    caller.request.promptTokens = static_cast<std::uint32_t>(below(2000));
    caller.request.maxTokens = static_cast<std::uint32_t>(1 + below(60));
    const std::uint64_t naturalLength = below(80);
    caller.length = std::min<std::uint64_t>(naturalLength, caller.request.maxTokens);
    caller.reason = naturalLength < caller.request.maxTokens ? FinishReason::Stop : FinishReason::Length;
    if (below(6) == 0)
        caller.request.deadline = m_clock.now() + randomDuration(8000);
    m_callers.push_back(std::move(caller));
    scheduleConnect(number, randomDuration(3000));
}

void FakeRoutingCluster::scheduleConnect(std::size_t number, absl::Duration delay)
{
    m_callers[number].state = CallerState::Connecting;
    m_clock.after(delay, [this, number] { connect(m_callers[number]); });
}

void FakeRoutingCluster::connect(Caller &caller)
{
    if (caller.state != CallerState::Connecting)
        return;
    Process *process = randomLiveProcess();
    if (!process) {
        scheduleConnect(caller.number, absl::Milliseconds(500));
        return;
    }
    ++caller.connectionCount;
    caller.attemptsInConnection = 0;
    caller.router = process->number;
    caller.state = CallerState::Connected;
    caller.request.resume.reset();
    if (caller.received.empty())
        caller.generation =
            GenerationId("g" + std::to_string(caller.number) + "." + std::to_string(caller.connectionCount));
    else
        caller.request.resume = caller.resumePoints.back();
    caller.request.generation = caller.generation;
    openRequest(process->number, caller.request,
                HostedGeneration{.caller = caller.number,
                                 .connectionNumber = caller.connectionCount,
                                 .tokens = caller.received});
}

void FakeRoutingCluster::openRequest(std::uint64_t number, const RequestOpened &request,
                                     const HostedGeneration &hostedGeneration)
{
    Process &process = m_processes[number];
    if (m_clock.now() < process.pausedUntil) {
        m_clock.at(process.pausedUntil, [this, number, request, hostedGeneration] {
            openRequest(number, request, hostedGeneration);
        });
        return;
    }
    if (process.isKilled)
        return;
    HostedGeneration &added = process.hostedGenerations[request.generation] = hostedGeneration;
    RequestOpened event = request;
    Caller &caller = m_callers[hostedGeneration.caller];
    const ServiceSpec &service = process.services.at(request.service);
    if (!request.resume) {
        caller.openedUnder = service.stamp.changedIn;
        caller.modelVersion = service.modelVersion;
    }
    added.modelVersion = caller.modelVersion;
    event.openedUnder = caller.openedUnder;
    feed(number, event);
}

FakeRoutingCluster::Process *FakeRoutingCluster::randomLiveProcess()
{
    std::vector<Process *> candidates;
    for (auto &it : m_processes) {
        if (!it.isKilled)
            candidates.push_back(&it);
    }
    return candidates.empty() ? nullptr : candidates[below(candidates.size())];
}

void FakeRoutingCluster::feed(std::uint64_t number, const RoutingEvent &event)
{
    Process &process = m_processes[number];
    if (process.isKilled)
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
    process.hasReceivedDrain |= std::holds_alternative<DrainStarted>(event);
    if (const auto *it = std::get_if<FreshnessChanged>(&event))
        process.isFresh = it->fresh;
    if (const auto *it = std::get_if<ConfigurationChanged>(&event))
        process.services = it->configuration.services;
    for (const auto &action : process.router->handle(event, m_clock.now()))
        executeAction(process, event, action);
    if (std::holds_alternative<Tick>(event))
        require(process.router->nextWakeUp() > m_clock.now(),
                "a Tick scheduled another Tick for the current time");
    scheduleTick(process);
}

void FakeRoutingCluster::scheduleTick(Process &process)
{
    const absl::Time due = process.router->nextWakeUp();
    if (due == absl::InfiniteFuture() || (process.nextTickAt > m_clock.now() && process.nextTickAt <= due))
        return;
    process.nextTickAt = due;
    m_clock.at(due, [this, number = process.number, due] {
        if (m_processes[number].nextTickAt == due
            && m_processes[number].router->nextWakeUp() <= m_clock.now())
            feed(number, Tick{});
        else if (!m_processes[number].isKilled)
            scheduleTick(m_processes[number]);
    });
}

void FakeRoutingCluster::executeAction(Process &process, const RoutingEvent &cause,
                                       const RoutingAction &action)
{
    std::visit([&](const auto &it) { execute(process, cause, it); }, action);
}

FakeRoutingCluster::HostedGeneration &
FakeRoutingCluster::findHostedGeneration(Process &process, const GenerationId &id, const char *what)
{
    auto it = process.hostedGenerations.find(id);
    require(it != process.hostedGenerations.end(),
            std::string(what) + " for a generation that has ended: " + id.value());
    return it->second;
}

FakeRoutingCluster::Caller *FakeRoutingCluster::connectedCaller(const Process &process,
                                                                const HostedGeneration &hostedGeneration)
{
    Caller &caller = m_callers[hostedGeneration.caller];
    const bool isConnected = caller.state == CallerState::Connected && caller.router == process.number
        && caller.connectionCount == hostedGeneration.connectionNumber;
    return isConnected ? &caller : nullptr;
}

void FakeRoutingCluster::addAttempt(Process &process, HostedGeneration &hostedGeneration, AttemptId id,
                                    HostedAttempt hostedAttempt)
{
    ++m_counts.attempts;
    std::size_t running = 1;
    for (const auto &[attempt, other] : process.attempts)
        running += other.generation == hostedAttempt.generation ? 1 : 0;
    process.attempts[id] = std::move(hostedAttempt);
    require(running <= 2, "more than two concurrent attempts for one generation");
    Caller &caller = m_callers[hostedGeneration.caller];
    require(++caller.attemptsInConnection <= maxAttemptsPerConnection, "too many attempts for one request");
}

void FakeRoutingCluster::execute(Process &process, const RoutingEvent &cause, const StartAttempt &action)
{
    HostedGeneration &hostedGeneration = findHostedGeneration(process, action.generation, "start");
    const Caller &caller = m_callers[hostedGeneration.caller];
    const auto index = static_cast<std::size_t>(std::stoi(action.target.value().substr(1)));
    const TargetPhase phase = process.phases.at(action.target);
    require(phase == TargetPhase::Live || phase == TargetPhase::Suspect,
            "attempt started on a leaving or gone target");
    require(m_targets[index].service == caller.request.service,
            "attempt started on a target of another service");
    require(action.from.value() == hostedGeneration.tokens.size(),
            "the attempt's prefix differs from the delivered tokens");
    const bool isNewRequest = std::holds_alternative<RequestOpened>(cause);
    require(process.isFresh || !isNewRequest, "a router with a stale configuration accepted a new request");
    require(!process.hasReceivedDrain || !isNewRequest, "a draining router accepted a new request");
    const std::string &modelVersion = process.services.at(caller.request.service).modelVersion;
    if (hostedGeneration.tokens.empty())
        hostedGeneration.modelVersion = modelVersion;
    require(hostedGeneration.modelVersion == modelVersion, "the answer continues on another model version");
    if (&caller == connectedCaller(process, hostedGeneration) && caller.received.empty()) {
        m_callers[hostedGeneration.caller].modelVersion = modelVersion;
        m_callers[hostedGeneration.caller].openedUnder =
            process.services.at(caller.request.service).stamp.changedIn;
    }
    addAttempt(process, hostedGeneration, action.attempt, {action.generation, action.target, {}});
    const FakeStreamConsumer consumer{process.number, action.attempt};
    m_clock.after(
        absl::Milliseconds(2),
        [this, index, consumer, action, tokens = hostedGeneration.tokens, length = caller.length,
         reason = caller.reason] { m_engines[index]->start(consumer, action, tokens, length, reason); });
}

void FakeRoutingCluster::execute(Process &process, const RoutingEvent &, const ReattachAttempt &action)
{
    HostedGeneration &hostedGeneration = findHostedGeneration(process, action.generation, "re-attach");
    const auto index = static_cast<std::size_t>(std::stoi(action.target.value().substr(1)));
    require(process.phases.at(action.target) != TargetPhase::Gone, "re-attach to a gone target");
    addAttempt(process, hostedGeneration, action.attempt, {action.generation, action.target, action.stream});
    const FakeStreamConsumer consumer{process.number, action.attempt};
    m_clock.after(absl::Milliseconds(2),
                  [this, index, consumer, action] { m_engines[index]->reattach(consumer, action); });
}

void FakeRoutingCluster::execute(Process &process, const RoutingEvent &, const CancelAttempt &action)
{
    auto it = process.attempts.find(action.attempt);
    require(it != process.attempts.end(), "cancelled an attempt that has already ended");
    const auto index = static_cast<std::size_t>(std::stoi(it->second.target.value().substr(1)));
    process.attempts.erase(it);
    const FakeStreamConsumer consumer{process.number, action.attempt};
    m_clock.after(absl::Milliseconds(2), [this, index, consumer] { m_engines[index]->cancel(consumer); });
}

void FakeRoutingCluster::execute(Process &process, const RoutingEvent &, const DeliverToken &action)
{
    HostedGeneration &hostedGeneration = findHostedGeneration(process, action.generation, "token");
    require(action.offset.value() == hostedGeneration.tokens.size(), "token skipped or repeated");
    const std::string previous = hostedGeneration.tokens.empty() ? "" : hostedGeneration.tokens.back();
    require(FakeRoutingEngine::isNextToken(action.generation, previous, action.text),
            "the token does not continue the delivered prefix");
    hostedGeneration.tokens.push_back(action.text);
    Caller *caller = connectedCaller(process, hostedGeneration);
    if (!caller)
        return;
    require(caller->received.size() + 1 == hostedGeneration.tokens.size(),
            "the caller's answer misses a token");
    caller->received.push_back(action.text);
    caller->resumePoints.push_back(
        ResumePoint{action.target, action.stream, action.streamStart, nextOffset(action.offset)});
}

void FakeRoutingCluster::execute(Process &process, const RoutingEvent &, const CompleteGeneration &action)
{
    HostedGeneration &hostedGeneration = findHostedGeneration(process, action.generation, "completion");
    const Caller &expected = m_callers[hostedGeneration.caller];
    require(action.end.value() == hostedGeneration.tokens.size(),
            "completion offset differs from the number of delivered tokens");
    require(action.end.value() == expected.length, "completed answer has the wrong length");
    require(action.reason == expected.reason, "wrong finish reason");
    if (Caller *caller = connectedCaller(process, hostedGeneration)) {
        caller->state = CallerState::Completed;
        ++m_counts.completed;
    }
    removeGeneration(process, action.generation);
}

void FakeRoutingCluster::execute(Process &process, const RoutingEvent &cause, const RefuseGeneration &action)
{
    HostedGeneration &hostedGeneration = findHostedGeneration(process, action.generation, "refusal");
    const ErrorCode code = action.error.code;
    const bool isImmediate = std::holds_alternative<RequestOpened>(cause);
    const bool isAdmissionError = code == ErrorCode::Draining || code == ErrorCode::ConfigurationStale
        || code == ErrorCode::WorkspaceLimitReached || code == ErrorCode::Overloaded;
    require(isImmediate || !isAdmissionError, "admission error after the request was accepted");
    require(!isAdmissionError || action.error.retryAfter.has_value(),
            "admission error without a retry delay");
    const absl::Time deadline = m_callers[hostedGeneration.caller].request.deadline;
    if (code == ErrorCode::DeadlineExceeded)
        require(m_clock.now() >= deadline, "DeadlineExceeded before the deadline");
    else
        require(isImmediate || m_clock.now() < deadline,
                "an error other than DeadlineExceeded was reported after the deadline");
    ++m_counts
          .refusals[std::string(errorName(code)) + (hostedGeneration.tokens.empty() ? "" : " after tokens")];
    if (Caller *caller = connectedCaller(process, hostedGeneration)) {
        // A caller retries after the given delay in half of the cases, otherwise it treats the refusal as
        // final.
        if (action.error.retryAfter && below(2) == 0) {
            scheduleConnect(caller->number, *action.error.retryAfter);
        } else {
            caller->state = CallerState::Refused;
            ++m_counts.refused;
        }
    }
    removeGeneration(process, action.generation);
}

void FakeRoutingCluster::execute(Process &process, const RoutingEvent &, const HandOverGeneration &action)
{
    HostedGeneration &hostedGeneration = findHostedGeneration(process, action.generation, "hand-over");
    require(process.isDraining, "hand-over by a router that is not draining");
    if (Caller *caller = connectedCaller(process, hostedGeneration))
        scheduleConnect(caller->number, randomDuration(20));
    // Only the stream that the caller's last event id names may stay open; the router must cancel all other
    // attempts.
    std::erase_if(process.attempts, [&](const auto &it) {
        const auto &point = m_callers[hostedGeneration.caller].resumePoints;
        return it.second.generation == action.generation && !point.empty()
            && point.back().target == it.second.target && point.back().stream == it.second.stream;
    });
    removeGeneration(process, action.generation);
}

void FakeRoutingCluster::removeGeneration(Process &process, const GenerationId &id)
{
    process.hostedGenerations.erase(id);
}

void FakeRoutingCluster::checkFinalState()
{
    for (const auto &it : m_callers) {
        const bool isFinished = it.state == CallerState::Completed || it.state == CallerState::Refused
            || it.state == CallerState::Abandoned;
        require(isFinished,
                "a caller received neither a complete answer nor a final error: " + it.generation.value());
    }
    for (const auto &it : m_processes) {
        if (it.isKilled)
            continue;
        require(it.router->demand().empty(), "a router reports demand after all requests ended");
        require(it.attempts.empty(), "an attempt neither ended nor was cancelled");
        require(it.router->nextWakeUp() == absl::InfiniteFuture(),
                "a router requests a wake-up after all requests ended");
        require(!it.isDraining || it.router->isIdle(),
                "a draining router is not idle after all requests ended");
    }
}

} // namespace Wisteria
