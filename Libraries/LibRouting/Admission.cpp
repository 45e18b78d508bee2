// Admission rules for new and resumed requests.

#include <LibRouting/Admission.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// Returns the time after which about half of the estimated wait will have passed, with jitter. Empty when
// there is no estimate.
std::optional<absl::Duration> retryDelayFor(RoutingState &state, std::optional<absl::Duration> wait)
{
    if (!wait)
        return std::nullopt;
    constexpr absl::Duration minDelay = absl::Milliseconds(500);
    constexpr absl::Duration maxDelay = absl::Seconds(30);
    return state.jitteredRetryDelay(std::clamp(*wait / 2, minDelay, maxDelay));
}

} // namespace detail

Admission::Admission(RoutingState &state, AttemptLauncher &launcher, GenerationCloser &closer,
                     Recovery &recovery)
    : m_state(state), m_launcher(launcher), m_closer(closer), m_recovery(recovery)
{
}

void Admission::handle(const RequestOpened &request)
{
    // The caller may reconnect before this router has noticed that the old connection broke.
    // discard() cancels all streams of the old generation, including one that the resume point names. The new
    // generation may still try to re-attach to that stream; if the engine no longer has it, the answer
    // resumes on a new stream.
    if (Generation *old = m_state.generations.find(request.generation))
        m_closer.discard(*old);
    if (rejectIfInadmissible(request))
        return;
    Generation &generation = m_state.generations.add(request);
    m_state.shares.add(request.workspace);
    const ServiceSpec &service = *m_state.service(request.service);
    generation.model = service.model;
    generation.modelVersion = service.modelVersion;
    m_state.markForReschedule(generation);
    if (request.resume)
        admitResumed(generation, *request.resume);
    else
        admitNew(generation);
}

bool Admission::rejectIfInadmissible(const RequestOpened &request)
{
    auto refuse = [&](ErrorCode code, std::string detail) {
        m_closer.refuse(request.generation, code, std::move(detail));
        return true;
    };
    if (m_state.drainingSince) {
        if (!request.resume)
            return refuse(ErrorCode::Draining, "this router is shutting down");
        m_state.record(DecisionKind::HandOver, request.generation, TargetId(),
                       "this router is shutting down");
        m_state.actions.push_back(HandOverGeneration{request.generation});
        return true;
    }
    if (m_state.freshness == Freshness::MayBeStale && !mayReattach(request))
        return refuse(ErrorCode::ConfigurationStale, "this router's configuration may be stale");
    const ServiceSpec *service = m_state.service(request.service);
    if (!service || service->kind != ServiceKind::Generation)
        return refuse(ErrorCode::UnknownService, request.service.value());
    const WorkspaceSpec *workspace = m_state.workspace(request.workspace);
    if (!workspace)
        return refuse(ErrorCode::UnknownWorkspace, request.workspace.value());
    if (m_state.now >= request.deadline)
        return refuse(ErrorCode::DeadlineExceeded, "the caller's deadline has passed");
    // NOTE: A resumed generation was already admitted by its first router, whose count may still be included
    // in the gossiped demand.
    if (!request.resume && !m_state.shares.mayAdmit(*workspace))
        return refuse(ErrorCode::WorkspaceLimitReached, request.workspace.value());
    return false;
}

bool Admission::mayReattach(const RequestOpened &request) const
{
    if (!request.resume || request.resume->streamStart > request.resume->received)
        return false;
    if (m_state.resumePolicy(request.service).reattachMode() == ReattachMode::Restart)
        return false;
    const TargetState *target = m_state.targets.find(request.resume->target);
    return target && target->properties().phase != TargetPhase::Gone
        && target->properties().service == request.service;
}

void Admission::admitNew(Generation &generation)
{
    const auto priority =
        generation.request.urgency == Urgency::Urgent ? QueuePriority::Urgent : QueuePriority::Patient;
    m_state.budget.noteFirstAttempt(m_state.now);
    if (hasQueuedAtOrAbove(generation.request.service, priority)) {
        enqueue(generation, priority);
        return;
    }
    const TargetChoice choice = m_launcher.choose(generation, ResumeTargetStrategy::BySelector);
    switch (choice.outcome) {
    case TargetChoice::Outcome::Chosen:
        m_launcher.start(generation, choice, DecisionKind::Start);
        break;
    case TargetChoice::Outcome::NoCapacity:
        enqueue(generation, priority);
        break;
    case TargetChoice::Outcome::NoTarget:
        m_closer.refuse(generation, ErrorCode::NoTargetAvailable, "no target of the service accepts work");
        break;
    }
}

void Admission::admitResumed(Generation &generation, const ResumePoint &point)
{
    generation.next = point.received;
    if (!generation.hasAllTokens() && mayReattach(generation.request))
        m_launcher.reattach(generation, point);
    else
        m_recovery.resumeOrRetry(generation);
}

bool Admission::hasQueuedAtOrAbove(const ServiceName &service, QueuePriority priority) const
{
    for (auto it : {QueuePriority::Urgent, QueuePriority::Resume, QueuePriority::Patient}) {
        if (it <= priority && m_state.queue.front(service, it))
            return true;
    }
    return false;
}

void Admission::enqueue(Generation &generation, QueuePriority priority)
{
    const ServiceName &service = generation.request.service;
    const auto wait = m_state.waitEstimator.estimateWait(
        service, m_state.queue.sizeAtOrAbove(service, priority), m_state.now);
    const auto retryDelay = detail::retryDelayFor(m_state, wait);
    if (m_state.queue.size(priority) >= m_state.configuration.preset().maxWaiting) {
        m_closer.refuse(generation, ErrorCode::Overloaded,
                        "too many requests of this priority are queued at this router", retryDelay);
        return;
    }
    if (wait && m_state.now + *wait > generation.request.deadline) {
        m_closer.refuse(generation, ErrorCode::Overloaded, "the estimated wait exceeds the caller's deadline",
                        retryDelay);
        return;
    }
    const WorkspaceSpec &workspace = *m_state.workspace(generation.request.workspace);
    generation.queuePriority = priority;
    m_state.queue.push(generation.request.service, priority, workspace.name, workspace.weight,
                       generation.id());
    m_state.record(DecisionKind::Queue, generation.id(), TargetId(), "all targets are full");
}

void Admission::dispatchQueued()
{
    for (const auto &service : m_state.queue.services()) {
        for (auto priority : {QueuePriority::Urgent, QueuePriority::Resume, QueuePriority::Patient})
            dispatchQueued(service, priority);
    }
}

void Admission::dispatchQueued(const ServiceName &service, QueuePriority priority)
{
    while (auto id = m_state.queue.front(service, priority)) {
        Generation &generation = *m_state.generations.find(*id);
        if (m_closer.refuseIfExpired(generation))
            continue;
        const TargetChoice choice = m_launcher.choose(generation, ResumeTargetStrategy::BySelector);
        if (choice.outcome == TargetChoice::Outcome::NoCapacity)
            return;
        m_state.queue.pop(service, priority);
        generation.queuePriority.reset();
        if (choice.outcome == TargetChoice::Outcome::Chosen)
            m_launcher.start(generation, choice,
                             priority == QueuePriority::Resume ? DecisionKind::Resume : DecisionKind::Start);
        else
            m_closer.refuse(generation, ErrorCode::NoTargetAvailable,
                            "no target of the service accepts work");
    }
}

} // namespace Wisteria
