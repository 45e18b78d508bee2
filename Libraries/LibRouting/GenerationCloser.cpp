// Ends generations that are complete, refused, handed over or abandoned by their caller.

#include <LibRouting/GenerationCloser.h>

namespace Wisteria {

namespace detail {

// Whether the caller's last event id names the stream of the attempt, so that another router can re-attach to
// it.
bool isKnownToCaller(const Attempt &attempt)
{
    return attempt.progress == AttemptProgress::Producing || attempt.kind == AttemptKind::Reattach;
}

} // namespace detail

void GenerationCloser::complete(Generation &generation, FinishReason reason)
{
    const TargetId target = generation.attempts.empty() ? TargetId() : generation.attempts.front().target;
    m_state.record(DecisionKind::Complete, generation.id(), target,
                   reason == FinishReason::Stop ? "stop" : "length");
    m_state.actions.push_back(CompleteGeneration{generation.id(), generation.next, reason});
    remove(generation);
}

void GenerationCloser::refuse(Generation &generation, ErrorCode code, std::string detail,
                              std::optional<absl::Duration> retryDelay)
{
    refuse(generation.id(), code, std::move(detail), retryDelay);
    remove(generation);
}

bool GenerationCloser::refuseIfExpired(Generation &generation)
{
    if (m_state.now < generation.request.deadline)
        return false;
    refuse(generation, ErrorCode::DeadlineExceeded, "the caller's deadline has passed");
    return true;
}

void GenerationCloser::handOver(Generation &generation)
{
    m_state.record(DecisionKind::HandOver, generation.id(), TargetId(), "this router is shutting down");
    m_state.actions.push_back(HandOverGeneration{generation.id()});
    // Streams that the caller can name keep running for the next router. All other attempts are cancelled.
    std::vector<AttemptId> kept;
    for (const auto &it : generation.attempts) {
        if (detail::isKnownToCaller(it))
            kept.push_back(it.id);
    }
    for (const auto &it : kept)
        m_launcher.release(generation, it);
    remove(generation);
}

void GenerationCloser::discard(Generation &generation)
{
    remove(generation);
}

void GenerationCloser::refuse(const GenerationId &id, ErrorCode code, std::string detail,
                              std::optional<absl::Duration> retryDelay)
{
    m_state.record(DecisionKind::Refuse, id, TargetId(),
                   std::string(errorName(code)) + (detail.empty() ? "" : ": " + detail));
    m_state.actions.push_back(RefuseGeneration{
        id, Error{code, std::move(detail), retryDelay ? retryDelay : defaultRetryDelay(code)}});
}

void GenerationCloser::remove(Generation &generation)
{
    while (!generation.attempts.empty())
        m_launcher.cancel(generation, generation.attempts.back().id);
    if (generation.attemptsStarted > 0)
        m_state.waitEstimator.noteGenerationEnded(generation.request.service, m_state.now);
    if (generation.queuePriority)
        m_state.queue.remove(generation.request.service, generation.id());
    m_state.shares.remove(generation.request.workspace);
    m_state.pendingReschedule.erase(generation.id());
    m_state.generations.remove(generation);
}

std::optional<absl::Duration> GenerationCloser::defaultRetryDelay(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Draining:
        return m_state.jitteredRetryDelay(absl::Milliseconds(100));
    case ErrorCode::WorkspaceLimitReached:
    case ErrorCode::Overloaded:
    case ErrorCode::ConfigurationStale:
        return m_state.jitteredRetryDelay(absl::Seconds(1));
    case ErrorCode::NoTargetAvailable:
    case ErrorCode::RetryBudgetExhausted:
        return m_state.jitteredRetryDelay(absl::Seconds(2));
    default:
        return std::nullopt;
    }
}

} // namespace Wisteria
