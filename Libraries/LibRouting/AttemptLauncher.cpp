// Starts and ends attempts.

#include <LibRouting/AttemptLauncher.h>

#include <LibRouting/SpreadTargetSelection.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// Maximum number of alternatives named in a decision log line.
constexpr std::size_t maxAlternatives = 3;

SlotClass slotClassFor(const Generation &generation)
{
    if (generation.request.urgency == Urgency::Urgent)
        return SlotClass::Urgent;
    // A patient generation that has delivered tokens and lost its stream was already admitted, so it must not
    // wait behind new work.
    return generation.hasDelivered() ? SlotClass::Resumed : SlotClass::Patient;
}

std::size_t leastLoadedCached(std::span<const TargetCandidate> candidates)
{
    auto better = [](const TargetCandidate &a, const TargetCandidate &b) {
        if (a.hasCachedPrefix != b.hasCachedPrefix)
            return a.hasCachedPrefix;
        return a.utilisation() < b.utilisation();
    };
    return static_cast<std::size_t>(std::ranges::min_element(candidates, better) - candidates.begin());
}

} // namespace detail

CandidateQuery AttemptLauncher::queryFor(const Generation &generation) const
{
    CandidateQuery query;
    query.service = generation.request.service;
    query.prefixHash = generation.request.prefixHash;
    query.slotClass = detail::slotClassFor(generation);
    query.urgentReserve = m_state.configuration.preset().urgentReserve;
    query.failed = generation.failedTargets;
    for (const auto &it : generation.attempts)
        query.running.push_back(it.target);
    return query;
}

std::size_t AttemptLauncher::select(const Generation &generation, ResumeTargetStrategy strategy,
                                    std::span<const TargetCandidate> candidates) const
{
    const PromptPrefixHash prefixHash = generation.request.prefixHash;
    switch (strategy) {
    case ResumeTargetStrategy::BySelector:
        return m_state.selector->select(candidates, prefixHash);
    case ResumeTargetStrategy::MostCached:
        return detail::leastLoadedCached(candidates);
    case ResumeTargetStrategy::RoundRobin:
        return m_state.roundRobin.select(candidates, prefixHash);
    case ResumeTargetStrategy::Spread:
        return selectSpreadTarget(candidates, generation.id(), lostDomain(generation));
    }
    return 0;
}

std::optional<FailureDomain> AttemptLauncher::lostDomain(const Generation &generation) const
{
    // A stalled attempt also counts as lost.
    const TargetId *lost = nullptr;
    if (!generation.attempts.empty())
        lost = &generation.attempts.back().target;
    else if (!generation.failedTargets.empty())
        lost = &generation.failedTargets.back();
    const TargetState *target = lost ? m_state.targets.find(*lost) : nullptr;
    return target ? std::optional(target->properties().domain) : std::nullopt;
}

TargetChoice AttemptLauncher::choose(const Generation &generation, ResumeTargetStrategy strategy) const
{
    const Candidates candidates = m_state.targets.candidates(queryFor(generation), m_state.now);
    TargetChoice choice;
    if (!candidates.anyExists)
        return choice;
    choice.outcome = TargetChoice::Outcome::NoCapacity;
    if (candidates.available.empty())
        return choice;
    const std::size_t chosen = select(generation, strategy, candidates.available);
    const TargetCandidate &target = candidates.available[chosen];
    choice.outcome = TargetChoice::Outcome::Chosen;
    choice.target = target.id;
    choice.reason = absl::StrCat(
        std::string(strategy == ResumeTargetStrategy::BySelector ? m_state.selector->reason()
                                                                 : "resume policy"),
        ", load ", target.load, "/", target.slots, target.hasCachedPrefix ? ", prompt prefix cached" : "");
    for (const auto &it : candidates.available) {
        if (it.id != target.id && choice.alternatives.size() < detail::maxAlternatives)
            choice.alternatives.push_back(it.id);
    }
    return choice;
}

void AttemptLauncher::start(Generation &generation, const TargetChoice &choice, DecisionKind kind)
{
    TargetState *target = m_state.targets.find(choice.target);
    target->noteAttemptStarted(m_state.now);
    target->cache().noteStored(generation.request.prefixHash);
    ++generation.attemptsStarted;
    ++generation.attemptsSinceProgress;
    const Attempt &attempt = m_state.generations.addAttempt(generation,
                                                            Attempt{.target = choice.target,
                                                                    .streamStart = generation.next,
                                                                    .startedAt = m_state.now,
                                                                    .lastProgress = m_state.now});
    m_state.record(kind, generation.id(), choice.target, choice.reason, choice.alternatives);
    m_state.actions.push_back(StartAttempt{attempt.id, generation.id(), choice.target, generation.next,
                                           generation.request.urgency});
    m_state.markForReschedule(generation);
}

void AttemptLauncher::reattach(Generation &generation, const ResumePoint &point)
{
    m_state.targets.find(point.target)->noteReattachStarted();
    ++generation.attemptsStarted;
    ++generation.attemptsSinceProgress;
    const Attempt &attempt = m_state.generations.addAttempt(generation,
                                                            Attempt{.target = point.target,
                                                                    .kind = AttemptKind::Reattach,
                                                                    .stream = point.stream,
                                                                    .streamStart = point.streamStart,
                                                                    .startedAt = m_state.now,
                                                                    .lastProgress = m_state.now});
    m_state.record(DecisionKind::Reattach, generation.id(), point.target, "the stream may still be running");
    m_state.actions.push_back(ReattachAttempt{attempt.id, generation.id(), point.target, point.stream,
                                              point.streamStart, generation.next});
    m_state.markForReschedule(generation);
}

void AttemptLauncher::cancel(Generation &generation, AttemptId id)
{
    release(generation, id);
    m_state.actions.push_back(CancelAttempt{id});
}

void AttemptLauncher::cancelAllBut(Generation &generation, AttemptId winner)
{
    std::vector<AttemptId> losers;
    for (const auto &it : generation.attempts) {
        if (it.id != winner)
            losers.push_back(it.id);
    }
    for (const auto &it : losers)
        cancel(generation, it);
}

void AttemptLauncher::release(Generation &generation, AttemptId id)
{
    const Attempt attempt = m_state.generations.removeAttempt(generation, id);
    if (TargetState *target = m_state.targets.find(attempt.target))
        target->noteAttemptEnded(m_state.now);
    m_state.capacityMayHaveChanged = true;
    m_state.markForReschedule(generation);
}

} // namespace Wisteria
