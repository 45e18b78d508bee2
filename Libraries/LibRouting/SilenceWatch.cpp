// Stall limits from the engines' own gaps, through the service's resume policy.

#include <LibRouting/SilenceWatch.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// An attempt is given up for good after this many stall limits, and not before the least time.
constexpr double hopelessLimits = 4;
constexpr absl::Duration leastHopeless = absl::Seconds(10);
// Wake-ups are rounded up to this grid, so that a host with many streams is woken a bounded number of times.
constexpr absl::Duration wakeUpGrid = absl::Milliseconds(20);

SilenceKind silenceKind(const Attempt &attempt)
{
    if (attempt.progress == AttemptProgress::Producing)
        return SilenceKind::NextToken;
    return attempt.kind == AttemptKind::Reattach ? SilenceKind::Reattach : SilenceKind::FirstToken;
}

absl::Time roundUpToGrid(absl::Time time)
{
    if (time == absl::InfiniteFuture() || time == absl::InfinitePast())
        return time;
    const absl::Time epoch = absl::UnixEpoch();
    return epoch + absl::Ceil(time - epoch, wakeUpGrid);
}

} // namespace detail

absl::Duration SilenceWatch::stallLimit(const Generation &generation, const Attempt &attempt) const
{
    const TargetState *target = m_state.targets.find(attempt.target);
    const GapEstimator unknown;
    const GapEstimator &gaps = target ? target->gaps() : unknown;
    SilenceView view;
    view.kind = detail::silenceKind(attempt);
    view.phase = target ? target->facts().phase : TargetPhase::Gone;
    view.thrift = m_state.resumeSpec(generation.request.service).thrift;
    view.normal = gaps.tokenGapTail();
    if (view.kind == SilenceKind::FirstToken)
        view.normal = gaps.firstTokenTail(generation.request.promptTokens + attempt.streamStart.value());
    return m_state.resumePolicy(generation.request.service).stallLimit(view);
}

absl::Time SilenceWatch::silentSince(const Attempt &attempt) const
{
    return std::max(attempt.lastProgress, m_state.listeningSince);
}

bool SilenceWatch::isStalled(const Generation &generation, const Attempt &attempt) const
{
    return m_state.now - silentSince(attempt) >= stallLimit(generation, attempt);
}

bool SilenceWatch::isHopeless(const Generation &generation, const Attempt &attempt) const
{
    const auto limit =
        std::max(stallLimit(generation, attempt) * detail::hopelessLimits, detail::leastHopeless);
    return m_state.now - silentSince(attempt) >= limit;
}

bool SilenceWatch::isWholeTargetSilent(const Generation &generation, const Attempt &attempt) const
{
    const TargetState *target = m_state.targets.find(attempt.target);
    if (!target)
        return true;
    const absl::Time since = std::max(target->lastProgress(), m_state.listeningSince);
    return m_state.now - since >= stallLimit(generation, attempt) / 2;
}

absl::Time SilenceWatch::dueAt(const Generation &generation) const
{
    const absl::Time deadline = generation.request.deadline;
    if (generation.waiting)
        return deadline;
    if (generation.attempts.empty())
        return std::min(generation.resumeAt.value_or(m_state.now), deadline);
    // A silence counts once all attempts are silent.
    absl::Time due = generation.quietUntil;
    for (const auto &it : generation.attempts)
        due = std::max(due, silentSince(it) + stallLimit(generation, it));
    return std::min(detail::roundUpToGrid(due), deadline);
}

} // namespace Wisteria
