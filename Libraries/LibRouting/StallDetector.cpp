// Stall limits from the engines' token latencies and the resume policy of the service.

#include <LibRouting/StallDetector.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// An attempt is abandoned after this many stall limits, but not before minAbandonTimeout.
constexpr double abandonFactor = 4;
constexpr absl::Duration minAbandonTimeout = absl::Seconds(10);
// Wake-ups are rounded up to a multiple of this, which bounds the wake-up rate of a host with many streams.
constexpr absl::Duration wakeUpGranularity = absl::Milliseconds(20);

WaitKind waitKind(const Attempt &attempt)
{
    if (attempt.progress == AttemptProgress::Producing)
        return WaitKind::NextToken;
    return attempt.kind == AttemptKind::Reattach ? WaitKind::Reattach : WaitKind::FirstToken;
}

absl::Time roundUpToGranularity(absl::Time time)
{
    if (time == absl::InfiniteFuture() || time == absl::InfinitePast())
        return time;
    const absl::Time epoch = absl::UnixEpoch();
    return epoch + absl::Ceil(time - epoch, wakeUpGranularity);
}

} // namespace detail

absl::Duration StallDetector::stallLimit(const Generation &generation, const Attempt &attempt) const
{
    const TargetState *target = m_state.targets.find(attempt.target);
    const TokenLatencyEstimator unknown;
    const TokenLatencyEstimator &tokenLatency = target ? target->tokenLatency() : unknown;
    StallContext context;
    context.kind = detail::waitKind(attempt);
    context.phase = target ? target->properties().phase : TargetPhase::Gone;
    context.thrift = m_state.resumeSpec(generation.request.service).thrift;
    context.expectedMaxWait = tokenLatency.interTokenLatencyTail();
    if (context.kind == WaitKind::FirstToken)
        context.expectedMaxWait =
            tokenLatency.timeToFirstTokenTail(generation.request.promptTokens + attempt.streamStart.value());
    return m_state.resumePolicy(generation.request.service).stallLimit(context);
}

absl::Time StallDetector::idleSince(const Attempt &attempt) const
{
    return std::max(attempt.lastProgress, m_state.processResumedAt);
}

bool StallDetector::isStalled(const Generation &generation, const Attempt &attempt) const
{
    return m_state.now - idleSince(attempt) >= stallLimit(generation, attempt);
}

bool StallDetector::shouldAbandon(const Generation &generation, const Attempt &attempt) const
{
    const auto limit =
        std::max(stallLimit(generation, attempt) * detail::abandonFactor, detail::minAbandonTimeout);
    return m_state.now - idleSince(attempt) >= limit;
}

bool StallDetector::isTargetStalled(const Generation &generation, const Attempt &attempt) const
{
    const TargetState *target = m_state.targets.find(attempt.target);
    if (!target)
        return true;
    const absl::Time since = std::max(target->lastProgress(), m_state.processResumedAt);
    return m_state.now - since >= stallLimit(generation, attempt) / 2;
}

absl::Time StallDetector::nextCheckAt(const Generation &generation) const
{
    const absl::Time deadline = generation.request.deadline;
    if (generation.queuePriority)
        return deadline;
    if (generation.attempts.empty())
        return std::min(generation.resumeAt.value_or(m_state.now), deadline);
    // A stall is handled only once all attempts have stalled.
    absl::Time due = generation.nextStallCheck;
    for (const auto &it : generation.attempts)
        due = std::max(due, idleSince(it) + stallLimit(generation, it));
    return std::min(detail::roundUpToGranularity(due), deadline);
}

} // namespace Wisteria
