// Decides after a loss or a silence: race, resume, wait or refuse.

#include <LibRouting/Recovery.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// Attempts in a row without a new token before a generation is given up. What was delivered is worth more.
constexpr std::uint32_t maxFruitlessRetries = 3;
constexpr std::uint32_t maxFruitlessResumes = 5;
// Bounds the engine work of one request, however often its engines fail.
constexpr std::uint32_t maxAttemptsInAll = 32;
// Pauses before the resumes that follow the first two: by then it is the fleet that has a problem.
constexpr absl::Duration firstBackoff = absl::Milliseconds(250);
// A silence without an alternative is looked at again after this time.
constexpr absl::Duration lookAgainDelay = absl::Milliseconds(250);

absl::Duration resumeBackoff(std::uint32_t attemptsSinceProgress)
{
    constexpr std::uint32_t immediateAttempts = 2;
    if (attemptsSinceProgress <= immediateAttempts)
        return absl::ZeroDuration();
    return firstBackoff * (1 << (attemptsSinceProgress - immediateAttempts - 1));
}

} // namespace detail

Recovery::Recovery(RoutingState &state, AttemptLauncher &launcher, GenerationCloser &closer)
    : m_state(state), m_launcher(launcher), m_closer(closer), m_watch(state)
{
}

void Recovery::handle(const AttemptFailed &event)
{
    Generation *generation = m_state.generations.findByAttempt(event.attempt);
    if (!generation)
        return;
    if (event.failure == AttemptFailure::RequestRejected) {
        m_launcher.release(*generation, event.attempt);
        m_closer.refuse(*generation, ErrorCode::InvalidRequest, "the engine rejected the request");
        return;
    }
    handleEnded(*generation, event.attempt, event.failure);
}

void Recovery::handleEnded(Generation &generation, AttemptId id, AttemptFailure failure)
{
    const TargetId target = generation.find(id)->target;
    m_launcher.release(generation, id);
    noteFailure(generation, target, failure);
    if (generation.attempts.empty())
        goOn(generation);
}

void Recovery::handleBroken(Generation &generation, AttemptId id)
{
    const TargetId target = generation.find(id)->target;
    m_launcher.cancel(generation, id);
    noteFailure(generation, target, AttemptFailure::StreamLost);
    if (generation.attempts.empty())
        goOn(generation);
}

void Recovery::handleGone(const TargetId &target)
{
    for (Generation *it : m_state.generations.all()) {
        auto found = std::ranges::find(it->attempts, target, &Attempt::target);
        if (found != it->attempts.end())
            handleBroken(*it, found->id);
    }
}

void Recovery::handleConfiguration(Generation &generation)
{
    if (m_closer.refuseIfExpired(generation))
        return;
    m_state.touch(generation);
    if (generation.attempts.empty())
        (void)followModel(generation);
}

bool Recovery::followModel(Generation &generation)
{
    if (m_state.hasSameModel(generation))
        return true;
    const ServiceSpec *service = m_state.service(generation.request.service);
    if (generation.hasDelivered()) {
        m_closer.refuse(generation, ErrorCode::AnswerLost, "the service's model has changed since");
        return false;
    }
    if (!service) {
        m_closer.refuse(generation, ErrorCode::UnknownService, generation.request.service.value());
        return false;
    }
    generation.request.openedUnder.reset();
    generation.model = service->model;
    generation.modelVersion = service->modelVersion;
    return true;
}

void Recovery::handleWakeUp(Generation &generation)
{
    if (m_closer.refuseIfExpired(generation))
        return;
    m_state.touch(generation);
    if (generation.waiting)
        return;
    if (generation.attempts.empty())
        startNext(generation);
    else
        handleSilence(generation);
}

void Recovery::noteFailure(Generation &generation, const TargetId &id, AttemptFailure failure)
{
    // The engine is well, it just has no such stream.
    if (failure == AttemptFailure::StreamUnknown)
        return;
    generation.failedTargets.push_back(id);
    TargetState *target = m_state.targets.find(id);
    if (!target)
        return;
    if (failure == AttemptFailure::EngineOverloaded)
        target->noteOverloaded(m_state.now);
    else
        target->noteFailure(m_state.now);
}

void Recovery::handleSilence(Generation &generation)
{
    auto isStalled = [&](const Attempt &it) { return m_watch.isStalled(generation, it); };
    if (!std::ranges::all_of(generation.attempts, isStalled))
        return;
    const Attempt silent = *std::ranges::min_element(generation.attempts, {}, &Attempt::lastProgress);
    const bool replace =
        m_state.resumePolicy(generation.request.service).stallResponse() == StallResponse::Replace;
    if (replace || m_watch.isHopeless(generation, silent)) {
        const bool hasOther = generation.attempts.size() > 1;
        handleBroken(generation, silent.id);
        // Without another attempt the generation may be closed by now.
        if (hasOther)
            handleSilence(generation);
        return;
    }
    race(generation, silent);
}

void Recovery::race(Generation &generation, const Attempt &silent)
{
    if (generation.isWhole()) {
        m_closer.complete(generation, FinishReason::Length);
        return;
    }
    const ResumeSpec &spec = m_state.resumeSpec(generation.request.service);
    const auto how = m_state.resumePolicy(generation.request.service).resumeTarget(spec.thrift);
    const bool isExhausted = generation.attemptsSinceProgress >= detail::maxFruitlessResumes
        || generation.attemptsMade >= detail::maxAttemptsInAll;
    if (isExhausted || !m_state.hasSameModel(generation)) {
        lookAgain(generation);
        return;
    }
    const TargetChoice choice = m_launcher.choose(generation, how);
    const bool isLikelyLost = generation.hasDelivered() && m_watch.isWholeTargetSilent(generation, silent);
    const auto kind = isLikelyLost ? RetryBudget::Kind::Resume : RetryBudget::Kind::Race;
    if (choice.outcome != TargetChoice::Outcome::Chosen || !takeFromBudget(kind)) {
        lookAgain(generation);
        return;
    }
    noteFailure(generation, silent.target, AttemptFailure::StreamLost);
    if (generation.attempts.size() == Generation::maxAttempts)
        m_launcher.cancel(generation, silent.id);
    generation.adopted.reset();
    m_launcher.start(generation, choice, DecisionKind::Race);
}

void Recovery::lookAgain(Generation &generation)
{
    generation.quietUntil = m_state.now + detail::lookAgainDelay;
}

void Recovery::goOn(Generation &generation)
{
    if (generation.isWhole()) {
        m_closer.complete(generation, FinishReason::Length);
        return;
    }
    m_state.touch(generation);
    if (!mayGoOn(generation))
        return;
    const absl::Duration backoff = detail::resumeBackoff(generation.attemptsSinceProgress);
    if (backoff > absl::ZeroDuration())
        generation.resumeAt = m_state.now + backoff;
    else
        startNext(generation);
}

void Recovery::startNext(Generation &generation)
{
    generation.resumeAt.reset();
    const ResumeSpec &spec = m_state.resumeSpec(generation.request.service);
    const auto how = m_state.resumePolicy(generation.request.service).resumeTarget(spec.thrift);
    const TargetChoice choice = m_launcher.choose(generation, how);
    switch (choice.outcome) {
    case TargetChoice::Outcome::Chosen:
        m_launcher.start(generation, choice, DecisionKind::Resume);
        break;
    case TargetChoice::Outcome::NoRoom:
        m_state.record(DecisionKind::Queue, generation.id(), TargetId(), "resume: every target is full");
        generation.waiting = WaitingRank::Resume;
        m_state.queue.push(generation.request.service, WaitingRank::Resume, generation.request.workspace, 1,
                           generation.id());
        break;
    case TargetChoice::Outcome::NoTarget:
        m_closer.refuse(generation, ErrorCode::NoTargetAvailable, "no target of the service is left");
        break;
    }
}

bool Recovery::mayGoOn(Generation &generation)
{
    if (m_closer.refuseIfExpired(generation) || !followModel(generation))
        return false;
    const auto limit = generation.hasDelivered() ? detail::maxFruitlessResumes : detail::maxFruitlessRetries;
    if (generation.attemptsSinceProgress >= limit || generation.attemptsMade >= detail::maxAttemptsInAll) {
        m_closer.refuse(generation, ErrorCode::NoTargetAvailable, "too many attempts failed");
        return false;
    }
    const auto kind = generation.hasDelivered() ? RetryBudget::Kind::Resume : RetryBudget::Kind::Retry;
    if (!takeFromBudget(kind)) {
        m_closer.refuse(generation, ErrorCode::RetryBudgetExhausted, "too many retries at this router");
        return false;
    }
    return true;
}

bool Recovery::takeFromBudget(RetryBudget::Kind kind)
{
    const double ratio = m_state.configuration.preset().retryBudget;
    const auto running = static_cast<std::uint32_t>(m_state.generations.size());
    return m_state.budget.tryTake(kind, ratio, running, m_state.now);
}

} // namespace Wisteria
