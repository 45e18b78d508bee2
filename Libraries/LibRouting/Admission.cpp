// The rules under which work comes in.

#include <LibRouting/Admission.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// When the queue will have moved on by about half, where its pace is known.
std::optional<absl::Duration> comeBackAfter(RoutingState &state, std::optional<absl::Duration> wait)
{
    if (!wait)
        return std::nullopt;
    constexpr absl::Duration least = absl::Milliseconds(500);
    constexpr absl::Duration most = absl::Seconds(30);
    return state.retryAfter(std::clamp(*wait / 2, least, most));
}

} // namespace detail

Admission::Admission(RoutingState &state, AttemptLauncher &launcher, GenerationCloser &closer,
                     Recovery &recovery)
    : m_state(state), m_launcher(launcher), m_closer(closer), m_recovery(recovery)
{
}

void Admission::handle(const RequestOpened &request)
{
    // The caller opened a new connection here before the old one was seen to break.
    if (Generation *old = m_state.generations.find(request.generation))
        m_closer.forget(*old);
    if (turnedAway(request))
        return;
    Generation &generation = m_state.generations.add(request);
    m_state.shares.add(request.workspace);
    const ServiceSpec &service = *m_state.service(request.service);
    generation.model = service.model;
    generation.modelVersion = service.modelVersion;
    m_state.touch(generation);
    if (request.resume)
        admitReturning(generation, *request.resume);
    else
        admitFirst(generation);
}

bool Admission::turnedAway(const RequestOpened &request)
{
    auto refuse = [&](ErrorCode code, std::string detail) {
        m_closer.refuse(request.generation, code, std::move(detail));
        return true;
    };
    if (m_state.drainingSince) {
        if (!request.resume)
            return refuse(ErrorCode::Draining, "this router stops");
        m_state.record(DecisionKind::HandOver, request.generation, TargetId(), "this router stops");
        m_state.out.push_back(HandOverGeneration{request.generation});
        return true;
    }
    if (m_state.freshness == Freshness::MayBeStale && !mayReattach(request))
        return refuse(ErrorCode::ConfigurationStale, "the configuration here may be old");
    const ServiceSpec *service = m_state.service(request.service);
    if (!service || service->kind != ServiceKind::Generation)
        return refuse(ErrorCode::UnknownService, request.service.value());
    const WorkspaceSpec *workspace = m_state.workspace(request.workspace);
    if (!workspace)
        return refuse(ErrorCode::UnknownWorkspace, request.workspace.value());
    if (m_state.now >= request.deadline)
        return refuse(ErrorCode::DeadlineExceeded, "the caller's timeout passed");
    // NOTE: A returning generation was admitted by its first router, whose count may still be in the gossip.
    if (!request.resume && !m_state.shares.mayAdmit(*workspace))
        return refuse(ErrorCode::WorkspaceLimitReached, request.workspace.value());
    return false;
}

bool Admission::mayReattach(const RequestOpened &request) const
{
    if (!request.resume || request.resume->streamStart > request.resume->received)
        return false;
    if (m_state.resumePolicy(request.service).reattachUse() == ReattachUse::StartAnew)
        return false;
    const TargetState *target = m_state.targets.find(request.resume->target);
    return target && target->facts().phase != TargetPhase::Gone && target->facts().service == request.service;
}

void Admission::admitFirst(Generation &generation)
{
    const auto rank =
        generation.request.urgency == Urgency::Urgent ? WaitingRank::Urgent : WaitingRank::Patient;
    m_state.budget.noteFirstAttempt(m_state.now);
    if (isAnyWaitingBefore(generation.request.service, rank)) {
        enqueue(generation, rank);
        return;
    }
    const TargetChoice choice = m_launcher.choose(generation, ResumeTarget::BySelector);
    switch (choice.outcome) {
    case TargetChoice::Outcome::Chosen:
        m_launcher.start(generation, choice, DecisionKind::Start);
        break;
    case TargetChoice::Outcome::NoRoom:
        enqueue(generation, rank);
        break;
    case TargetChoice::Outcome::NoTarget:
        m_closer.refuse(generation, ErrorCode::NoTargetAvailable, "no target of the service takes work");
        break;
    }
}

void Admission::admitReturning(Generation &generation, const ResumePoint &point)
{
    generation.next = point.received;
    if (!generation.isWhole() && mayReattach(generation.request))
        m_launcher.reattach(generation, point);
    else
        m_recovery.goOn(generation);
}

bool Admission::isAnyWaitingBefore(const ServiceName &service, WaitingRank rank) const
{
    for (auto it : {WaitingRank::Urgent, WaitingRank::Resume, WaitingRank::Patient}) {
        if (it <= rank && m_state.queue.front(service, it))
            return true;
    }
    return false;
}

void Admission::enqueue(Generation &generation, WaitingRank rank)
{
    const ServiceName &service = generation.request.service;
    const auto wait = m_state.waits.waitAt(service, m_state.queue.sizeUpTo(service, rank), m_state.now);
    const auto comeBackAfter = detail::comeBackAfter(m_state, wait);
    if (m_state.queue.size(rank) >= m_state.configuration.preset().maxWaiting) {
        m_closer.refuse(generation, ErrorCode::Overloaded, "too many requests wait here", comeBackAfter);
        return;
    }
    if (wait && m_state.now + *wait > generation.request.deadline) {
        m_closer.refuse(generation, ErrorCode::Overloaded, "the wait would outlast the caller's timeout",
                        comeBackAfter);
        return;
    }
    const WorkspaceSpec &workspace = *m_state.workspace(generation.request.workspace);
    generation.waiting = rank;
    m_state.queue.push(generation.request.service, rank, workspace.name, workspace.weight, generation.id());
    m_state.record(DecisionKind::Queue, generation.id(), TargetId(), "every target is full");
}

void Admission::serveQueue()
{
    for (const auto &service : m_state.queue.services()) {
        for (auto rank : {WaitingRank::Urgent, WaitingRank::Resume, WaitingRank::Patient})
            serveQueue(service, rank);
    }
}

void Admission::serveQueue(const ServiceName &service, WaitingRank rank)
{
    while (auto id = m_state.queue.front(service, rank)) {
        Generation &generation = *m_state.generations.find(*id);
        if (m_closer.refuseIfExpired(generation))
            continue;
        const TargetChoice choice = m_launcher.choose(generation, ResumeTarget::BySelector);
        if (choice.outcome == TargetChoice::Outcome::NoRoom)
            return;
        m_state.queue.pop(service, rank);
        generation.waiting.reset();
        if (choice.outcome == TargetChoice::Outcome::Chosen)
            m_launcher.start(generation, choice,
                             rank == WaitingRank::Resume ? DecisionKind::Resume : DecisionKind::Start);
        else
            m_closer.refuse(generation, ErrorCode::NoTargetAvailable, "no target of the service takes work");
    }
}

} // namespace Wisteria
