// Decides how to continue after a lost or stalled attempt: hedge, resume, queue or refuse.

#include <LibRouting/Recovery.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// Consecutive attempts without a new token before a generation is given up. The limit is higher once tokens
// have been delivered, because more work would be lost.
constexpr std::uint32_t maxRetriesWithoutProgress = 3;
constexpr std::uint32_t maxResumesWithoutProgress = 5;
// Bounds the engine work of one request regardless of how often engines fail.
constexpr std::uint32_t maxTotalAttempts = 32;
// Backoff once more than two consecutive attempts have made no progress. Repeated failures by then suggest a
// problem with the fleet rather than with one engine.
constexpr absl::Duration initialBackoff = absl::Milliseconds(250);
// Delay before a stall is checked again when no hedged attempt could be started.
constexpr absl::Duration stallRecheckDelay = absl::Milliseconds(250);

absl::Duration resumeBackoff(std::uint32_t attemptsSinceProgress)
{
    constexpr std::uint32_t immediateAttempts = 2;
    if (attemptsSinceProgress <= immediateAttempts)
        return absl::ZeroDuration();
    return initialBackoff * (1 << (attemptsSinceProgress - immediateAttempts - 1));
}

} // namespace detail

Recovery::Recovery(RoutingState &state, AttemptLauncher &launcher, GenerationCloser &closer)
    : m_state(state), m_launcher(launcher), m_closer(closer), m_stallDetector(state)
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
    handleAttemptEnded(*generation, event.attempt, event.failure);
}

void Recovery::handleAttemptEnded(Generation &generation, AttemptId id, AttemptFailure failure)
{
    const TargetId target = generation.find(id)->target;
    m_launcher.release(generation, id);
    noteFailure(generation, target, failure);
    if (generation.attempts.empty())
        resumeOrRetry(generation);
}

void Recovery::handleStreamBroken(Generation &generation, AttemptId id)
{
    const TargetId target = generation.find(id)->target;
    m_launcher.cancel(generation, id);
    noteFailure(generation, target, AttemptFailure::StreamLost);
    if (generation.attempts.empty())
        resumeOrRetry(generation);
}

void Recovery::handleTargetGone(const TargetId &target)
{
    for (Generation *it : m_state.generations.all()) {
        auto found = std::ranges::find(it->attempts, target, &Attempt::target);
        if (found != it->attempts.end())
            handleStreamBroken(*it, found->id);
    }
}

void Recovery::handleConfigurationChange(Generation &generation)
{
    if (m_closer.refuseIfExpired(generation))
        return;
    m_state.markForReschedule(generation);
    if (generation.attempts.empty())
        (void)switchToCurrentModel(generation);
}

bool Recovery::switchToCurrentModel(Generation &generation)
{
    if (m_state.hasSameModel(generation))
        return true;
    const ServiceSpec *service = m_state.service(generation.request.service);
    if (generation.hasDelivered()) {
        m_closer.refuse(generation, ErrorCode::AnswerLost, "the model of the service has changed");
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
    m_state.markForReschedule(generation);
    if (generation.queuePriority)
        return;
    if (generation.attempts.empty())
        startNextAttempt(generation);
    else
        handleStall(generation);
}

void Recovery::noteFailure(Generation &generation, const TargetId &id, AttemptFailure failure)
{
    // The engine is healthy; it just no longer has the stream.
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

void Recovery::handleStall(Generation &generation)
{
    auto isStalled = [&](const Attempt &it) { return m_stallDetector.isStalled(generation, it); };
    if (!std::ranges::all_of(generation.attempts, isStalled))
        return;
    const Attempt stalled = *std::ranges::min_element(generation.attempts, {}, &Attempt::lastProgress);
    const bool replace =
        m_state.resumePolicy(generation.request.service).stallResponse() == StallResponse::Replace;
    if (replace || m_stallDetector.shouldAbandon(generation, stalled)) {
        const bool hasOther = generation.attempts.size() > 1;
        handleStreamBroken(generation, stalled.id);
        // Without another attempt, the generation may already be closed.
        if (hasOther)
            handleStall(generation);
        return;
    }
    hedge(generation, stalled);
}

void Recovery::hedge(Generation &generation, const Attempt &stalled)
{
    if (generation.hasAllTokens()) {
        m_closer.complete(generation, FinishReason::Length);
        return;
    }
    const ResumeSpec &spec = m_state.resumeSpec(generation.request.service);
    const auto strategy = m_state.resumePolicy(generation.request.service).targetStrategy(spec.thrift);
    const bool isExhausted = generation.attemptsSinceProgress >= detail::maxResumesWithoutProgress
        || generation.attemptsStarted >= detail::maxTotalAttempts;
    if (isExhausted || !m_state.hasSameModel(generation)) {
        postponeStallCheck(generation);
        return;
    }
    const TargetChoice choice = m_launcher.choose(generation, strategy);
    const bool isLikelyLost =
        generation.hasDelivered() && m_stallDetector.isTargetStalled(generation, stalled);
    const auto kind = isLikelyLost ? RetryBudget::Kind::Resume : RetryBudget::Kind::Hedge;
    if (choice.outcome != TargetChoice::Outcome::Chosen || !tryConsumeBudget(kind)) {
        postponeStallCheck(generation);
        return;
    }
    noteFailure(generation, stalled.target, AttemptFailure::StreamLost);
    if (generation.attempts.size() == Generation::maxAttempts)
        m_launcher.cancel(generation, stalled.id);
    generation.adopted.reset();
    m_launcher.start(generation, choice, DecisionKind::Hedge);
}

void Recovery::postponeStallCheck(Generation &generation)
{
    generation.nextStallCheck = m_state.now + detail::stallRecheckDelay;
}

void Recovery::resumeOrRetry(Generation &generation)
{
    if (generation.hasAllTokens()) {
        m_closer.complete(generation, FinishReason::Length);
        return;
    }
    m_state.markForReschedule(generation);
    if (!authorizeRetry(generation))
        return;
    const absl::Duration backoff = detail::resumeBackoff(generation.attemptsSinceProgress);
    if (backoff > absl::ZeroDuration())
        generation.resumeAt = m_state.now + backoff;
    else
        startNextAttempt(generation);
}

void Recovery::startNextAttempt(Generation &generation)
{
    generation.resumeAt.reset();
    const ResumeSpec &spec = m_state.resumeSpec(generation.request.service);
    const auto strategy = m_state.resumePolicy(generation.request.service).targetStrategy(spec.thrift);
    const TargetChoice choice = m_launcher.choose(generation, strategy);
    switch (choice.outcome) {
    case TargetChoice::Outcome::Chosen:
        m_launcher.start(generation, choice, DecisionKind::Resume);
        break;
    case TargetChoice::Outcome::NoCapacity:
        m_state.record(DecisionKind::Queue, generation.id(), TargetId(), "resume: all targets are full");
        generation.queuePriority = QueuePriority::Resume;
        m_state.queue.push(generation.request.service, QueuePriority::Resume, generation.request.workspace, 1,
                           generation.id());
        break;
    case TargetChoice::Outcome::NoTarget:
        m_closer.refuse(generation, ErrorCode::NoTargetAvailable, "no target of the service accepts work");
        break;
    }
}

bool Recovery::authorizeRetry(Generation &generation)
{
    if (m_closer.refuseIfExpired(generation) || !switchToCurrentModel(generation))
        return false;
    const auto limit =
        generation.hasDelivered() ? detail::maxResumesWithoutProgress : detail::maxRetriesWithoutProgress;
    if (generation.attemptsSinceProgress >= limit || generation.attemptsStarted >= detail::maxTotalAttempts) {
        m_closer.refuse(generation, ErrorCode::NoTargetAvailable, "too many attempts failed");
        return false;
    }
    const auto kind = generation.hasDelivered() ? RetryBudget::Kind::Resume : RetryBudget::Kind::Retry;
    if (!tryConsumeBudget(kind)) {
        m_closer.refuse(generation, ErrorCode::RetryBudgetExhausted,
                        "the retry budget of this router is exhausted");
        return false;
    }
    return true;
}

bool Recovery::tryConsumeBudget(RetryBudget::Kind kind)
{
    const double ratio = m_state.configuration.preset().retryBudget;
    const auto running = static_cast<std::uint32_t>(m_state.generations.size());
    return m_state.budget.tryConsume(kind, ratio, running, m_state.now);
}

} // namespace Wisteria
