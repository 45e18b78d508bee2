// Events, phases and writes of the coordinator.

#include <LibForwarding/RolloutCoordinator.h>
#include <LibForwarding/RolloutShare.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria {

using namespace RolloutActions;

namespace detail {

// Sums are compared at most this often.
constexpr absl::Duration compareInterval = absl::Milliseconds(100);
// A view of the store that was under way when a status was written may arrive this much later.
constexpr absl::Duration lateViewTime = absl::Seconds(2);
constexpr absl::Duration failureLogInterval = absl::Seconds(10);
// After the verdict, grants are sent for this long, for routers whose view of the orders is late.
constexpr absl::Duration finalGrantTime = absl::Seconds(10);
// A rollback is granted this many times in quick succession.
constexpr int urgentGrants = 3;
constexpr absl::Duration urgentInterval = absl::Milliseconds(100);

// Fraction of the order's duration after which Probing ends with less than the usual number of answers, if
// none of them was bad. Without it, orders of 10 s would spend most of the time on the first answers.
constexpr double longestProbing = 0.1;
// Time that is left before the limit for runs on new targets to end after a rollback.
constexpr double drainFraction = 0.1;
constexpr absl::Duration longestDrain = absl::Seconds(2);
constexpr double writeFraction = 0.05;
// Fraction of the duration for which all new requests go to the new version before it is completed, at most
// the stop deadline: faults that show only under the full load appear in this time.
constexpr double shortestSwitching = 0.1;
// Bounds of the memory of verdicts.
constexpr std::size_t maxVerdictsPerObject = 4;
constexpr std::size_t maxObjectsWithVerdicts = 256;

std::string describe(const Error &error)
{
    auto text = std::string(errorName(error.code));
    if (!error.detail.empty())
        text += " " + error.detail;
    return text;
}

absl::Duration drainTime(const RolloutOrder &order)
{
    return std::min(longestDrain, drainFraction * order.duration);
}

// Time that is left before the limit for the order to become known and for the write.
absl::Duration writeTime(const RolloutOrder &order)
{
    return std::min(absl::Seconds(1), writeFraction * order.duration);
}

} // namespace detail

absl::Duration RolloutCoordinator::messageInterval(std::size_t routers)
{
    return std::max(minInterval, intervalPerRouter * static_cast<std::int64_t>(routers));
}

absl::Time RolloutCoordinator::heardSince(absl::Time now) const
{
    // Two reports, so that a lost one does not make a router silent.
    return now - std::max(RolloutReports::silence, 2 * messageInterval(m_routers.alive) + 2 * messageMargin);
}

RolloutActionList RolloutCoordinator::handle(const RolloutEvent &event, absl::Time now)
{
    RolloutActionList actions;
    std::visit([&](const auto &it) { take(it, now, actions); }, event);
    updateRole(now, actions);
    if (m_actingFrom != absl::InfiniteFuture() && !isActing(now))
        closeEarly(now);
    if (isActing(now)) {
        for (auto &[name, rollout] : m_rollouts)
            advance(rollout, now, actions);
    }
    setTimer(now, actions);
    return actions;
}

void RolloutCoordinator::take(const RolloutEvents::OrderSeen &event, absl::Time now, RolloutActionList &)
{
    const auto &record = event.record;
    const auto [it, isNew] = m_rollouts.try_emplace(record.name);
    auto &rollout = it->second;
    const bool isAnotherOrder = isNew || rollout.record.order != record.order;
    if (isAnotherOrder) {
        Rollout next;
        next.staleWrites = rollout.staleWrites + (rollout.write ? 1 : 0);
        next.orderedAt = now;
        next.phaseAt = now;
        rollout = std::move(next);
    } else if (record.revision < rollout.record.revision && now - rollout.writtenAt < detail::lateViewTime) {
        return;
    }
    if (isAnotherOrder)
        rollout.accumulatingTime = firstAccumulatingTime(record.order);
    rollout.record = record;
    rollout.context = event.context;
    rollout.needsRead = false;
    if (isAnotherOrder)
        recallVerdict(rollout, now);
    const auto state = record.effectiveState();
    if (state == RolloutState::Completed || state == RolloutState::RolledBack)
        learnVerdict(rollout, state, now);
    else if (rollout.verdict)
        rollout.grantsUntil = now + detail::finalGrantTime;
}

void RolloutCoordinator::take(const RolloutEvents::OrderGone &event, absl::Time, RolloutActionList &)
{
    m_rollouts.erase(event.name);
}

void RolloutCoordinator::take(const RolloutEvents::ReportReceived &event, absl::Time now,
                              RolloutActionList &actions)
{
    const auto &report = event.report;
    for (auto &[name, it] : m_rollouts) {
        if (it.record.order != report.order || it.verdict)
            continue;
        it.reports.add(report, now);
        it.hasNewReports = true;
        it.orderedAt = std::min(it.orderedAt, now - report.orderAge);
        // A router that has just started would use the old version until the next grant.
        if (report.phase < it.phase && isActing(now))
            it.grantAt = std::min(it.grantAt, std::max(now, it.grantedAt + detail::urgentInterval));
        if (report.phase <= it.phase)
            continue;
        // Another router has coordinated before.
        if (report.phase == RolloutPhase::Completed) {
            learnVerdict(it, RolloutState::Completed, now);
            continue;
        }
        if (report.phase == RolloutPhase::RolledBack)
            it.intended = RolloutState::RolledBack;
        setPhase(it, report.phase, absl::StrCat("reported by ", report.sender.value()), now, actions);
    }
}

void RolloutCoordinator::take(const RolloutEvents::RoutersObserved &event, absl::Time now,
                              RolloutActionList &)
{
    // After a pause, this router begins anew, also if it seems to hear the others: it may have read datagrams
    // that were sent before.
    if (now - m_observedAt > RolloutReports::silence)
        m_actingFrom = absl::InfiniteFuture();
    m_routers = event;
    m_observedAt = now;
}

void RolloutCoordinator::take(const RolloutEvents::StatusWritten &event, absl::Time now,
                              RolloutActionList &actions)
{
    const auto found = m_rollouts.find(event.name);
    if (found == m_rollouts.end())
        return;
    auto &it = found->second;
    if (it.staleWrites > 0) {
        // Whether it took effect or not, the object's revision is not known any more.
        --it.staleWrites;
        it.needsRead = true;
        return;
    }
    if (!it.write)
        return;
    const auto write = *it.write;
    it.write.reset();
    if (event.result) {
        it.record.revision = *event.result;
        it.record.state = write.state;
        it.record.stateTarget = write.order.target;
        it.writtenAt = now;
        if (write.state != RolloutState::Running)
            learnVerdict(it, write.state, now);
        return;
    }
    const auto &error = event.result.error();
    it.retryAt = now + writeRetryInterval;
    if (error.code != ErrorCode::StoreUnavailable) {
        it.needsRead = true;
        it.readAt = now + writeRetryInterval;
        actions.emplace_back(ReadOrders{});
    }
    if (now - it.failureLoggedAt < detail::failureLogInterval)
        return;
    it.failureLoggedAt = now;
    actions.emplace_back(
        LogStep{.event = "rollout_write_failed",
                .name = event.name,
                .phase = it.phase,
                .target = it.record.order.target,
                .reason = std::string(rolloutStateName(write.state)) + ": " + detail::describe(error)});
}

void RolloutCoordinator::updateRole(absl::Time now, RolloutActionList &actions)
{
    // A router that was frozen has an old observation, also if it still holds what it heard before.
    const bool mayAct = m_routers.isCoordinator && now - m_observedAt <= RolloutReports::silence
        && 2 * m_routers.alive >= m_routers.known;
    if (!mayAct) {
        m_actingFrom = absl::InfiniteFuture();
        return;
    }
    if (m_actingFrom != absl::InfiniteFuture() || !m_routers.isStoreTrusted)
        return;
    m_actingFrom = now + takeOverDelay;
    for (auto &[name, it] : m_rollouts) {
        it.needsRead = true;
        it.readAt = now + writeRetryInterval;
        it.rejectedFor.reset();
        // The reports of the meantime decide anew whether the old targets are free.
        if (it.intended == RolloutState::Completed)
            it.intended = RolloutState::None;
        if (it.phase == RolloutPhase::Loading)
            it.wave = {.stepAt = m_actingFrom};
    }
    if (!m_rollouts.empty())
        actions.emplace_back(ReadOrders{});
}

void RolloutCoordinator::closeEarly(absl::Time now)
{
    for (auto &[name, it] : m_rollouts) {
        if (it.verdict || it.phase == RolloutPhase::Idle || it.phase == RolloutPhase::RolledBack)
            continue;
        compare(it, now);
        if (it.comparison.result() == VersionComparison::Result::Worse)
            m_actingFrom = now;
    }
}

void RolloutCoordinator::advance(Rollout &it, absl::Time now, RolloutActionList &actions)
{
    if (!it.verdict && it.phase == RolloutPhase::Idle)
        start(it, now, actions);
    if (!it.verdict && it.phase != RolloutPhase::Idle) {
        compare(it, now);
        advancePhase(it, now, actions);
    }
    writeStatus(it, now, actions);
    sendGrant(it, now, actions);
}

void RolloutCoordinator::start(Rollout &it, absl::Time now, RolloutActionList &actions)
{
    // An order that was started before stays valid, also if all targets of one version are lost for a moment.
    if (it.record.effectiveState() != RolloutState::Running) {
        const auto valid = validateRolloutOrder(it.record.order, it.context);
        if (!valid) {
            if (it.rejectedFor != valid.error().code) {
                it.rejectedFor = valid.error().code;
                actions.emplace_back(LogStep{.event = "rollout_rejected",
                                             .name = it.record.name,
                                             .target = it.record.order.target,
                                             .reason = detail::describe(valid.error())});
            }
            return;
        }
    }
    actions.emplace_back(
        LogStep{.event = "rollout_started", .name = it.record.name, .target = it.record.order.target});
    it.rejectedFor.reset();
    setPhase(it, RolloutPhase::Probing, "started", now, actions);
}

void RolloutCoordinator::compare(Rollout &it, absl::Time now)
{
    if (!it.hasNewReports || now - it.comparedAt < detail::compareInterval)
        return;
    it.comparison.update(it.reports.tallies(), now);
    it.comparedAt = now;
    it.hasNewReports = false;
}

void RolloutCoordinator::advancePhase(Rollout &it, absl::Time now, RolloutActionList &actions)
{
    if (it.phase == RolloutPhase::RolledBack)
        return;
    const auto &order = it.record.order;
    const auto age = now - it.orderedAt;
    if (it.comparison.result() == VersionComparison::Result::Worse) {
        decide(it, RolloutState::RolledBack, it.comparison.reason(), now, actions);
        return;
    }
    const bool canComplete = m_routers.isStoreTrusted && age < order.duration && isReadyToComplete(it, now);
    if (isAtLimit(it, now) && !canComplete) {
        decide(it, RolloutState::RolledBack, "time limit", now, actions);
        return;
    }
    if (it.phase == RolloutPhase::Loading)
        advanceWave(it, now);
    // While the store is unavailable, the share stays as it is.
    if (!m_routers.isStoreTrusted)
        return;
    const bool isSound = it.comparison.result() == VersionComparison::Result::Sound
        || (age >= overallAcceptance * order.duration && it.comparison.isSoundOverall());
    const auto answers = it.reports.candidateAnswers();
    const auto settling = messageInterval(m_routers.alive) + messageMargin;
    switch (it.phase) {
    case RolloutPhase::Probing:
        if (answers >= probingAnswers
            || (answers > 0 && it.comparison.badAnswers() == 0
                && now - it.phaseAt >= detail::longestProbing * order.duration))
            setPhase(it, RolloutPhase::Canary, absl::StrCat(answers, " answers"), now, actions);
        return;
    case RolloutPhase::Canary:
        // Waves take place while answers are still compared if there is no time for both in turn.
        if (isSound)
            setPhase(it, RolloutPhase::Loading, "all routes accepted", now, actions);
        else if (answers >= probingAnswers
                 && age >= latestSwitch * order.duration - neededWaves(order) * waveTime(it) - settling)
            setPhase(it, RolloutPhase::Loading, "time for the waves", now, actions);
        return;
    case RolloutPhase::Loading: {
        // Long runs may need more than the share allows. Then the load that was reached has to do.
        const bool isLoaded = it.isLoadReached || age + waveTime(it) >= latestSwitch * order.duration;
        if (isSound && it.effectiveWaves >= neededWaves(order) && isLoaded
            && age <= latestSwitch * order.duration && it.context.hasCandidateTargets
            && it.reports.allFollow(RolloutPhase::Loading, heardSince(now)))
            setPhase(it, RolloutPhase::Switching, "accepted under load", now, actions);
        return;
    }
    case RolloutPhase::Switching:
        if (it.intended == RolloutState::None && isReadyToComplete(it, now))
            decide(it, RolloutState::Completed, "old targets are free", now, actions);
        return;
    case RolloutPhase::Idle:
    case RolloutPhase::Completed:
    case RolloutPhase::RolledBack:
        return;
    }
}

bool RolloutCoordinator::isAtLimit(const Rollout &it, absl::Time now)
{
    const auto &order = it.record.order;
    return now - it.orderedAt >= order.duration - detail::drainTime(order) - detail::writeTime(order);
}

bool RolloutCoordinator::isReadyToComplete(const Rollout &it, absl::Time now) const
{
    const auto &order = it.record.order;
    const auto since = heardSince(now);
    // A router that has just started would have a sound version rolled back otherwise. What it has sent to
    // old targets is lost, as in a crash of these.
    const bool areFollowersNeeded = !isAtLimit(it, now);
    if (it.phase != RolloutPhase::Switching
        || (areFollowersNeeded && !it.reports.allFollow(RolloutPhase::Switching, since))
        || now - it.phaseAt < std::min(m_limits.stopDeadline, detail::shortestSwitching * order.duration))
        return false;
    const auto runs = it.reports.runs(since);
    if (runs.baselineAtMostOnce > 0 || !it.context.hasCandidateTargets)
        return false;
    // Routers that are listed and not heard may be using old targets.
    return now - it.orderedAt >= latestCompletion * order.duration || isAtLimit(it, now)
        || (runs.baseline == 0 && it.reports.heardRouters(since) >= m_routers.known);
}

void RolloutCoordinator::setPhase(Rollout &it, RolloutPhase phase, std::string reason, absl::Time now,
                                  RolloutActionList &actions)
{
    it.phase = phase;
    it.phaseAt = now;
    it.grantAt = now;
    if (phase == RolloutPhase::Loading) {
        it.wave = {.stepAt = now};
        it.effectiveWaves = 0;
        it.isLoadReached = false;
    }
    if (phase == RolloutPhase::RolledBack)
        it.urgentGrants = detail::urgentGrants;
    actions.emplace_back(LogStep{.event = "rollout_phase",
                                 .name = it.record.name,
                                 .phase = phase,
                                 .target = it.record.order.target,
                                 .reason = std::move(reason),
                                 .answers = it.reports.candidateAnswers(),
                                 .badAnswers = it.comparison.badAnswers()});
}

void RolloutCoordinator::decide(Rollout &it, RolloutState state, std::string reason, absl::Time now,
                                RolloutActionList &actions)
{
    it.intended = state;
    // The write is based on what is read after the decision, so that a revision from before a restoration of
    // the store is not taken for a current one.
    it.needsRead = true;
    actions.emplace_back(LogStep{.event = "rollout_verdict",
                                 .name = it.record.name,
                                 .phase = state == RolloutState::Completed ? RolloutPhase::Completed
                                                                           : RolloutPhase::RolledBack,
                                 .target = it.record.order.target,
                                 .reason = reason,
                                 .answers = it.reports.candidateAnswers(),
                                 .badAnswers = it.comparison.badAnswers()});
    if (state == RolloutState::RolledBack)
        setPhase(it, RolloutPhase::RolledBack, std::move(reason), now, actions);
}

void RolloutCoordinator::learnVerdict(Rollout &it, RolloutState state, absl::Time now)
{
    if (it.verdict != state) {
        it.verdict = state;
        it.phase = state == RolloutState::Completed ? RolloutPhase::Completed : RolloutPhase::RolledBack;
        it.phaseAt = now;
        it.grantAt = now;
        it.grantsUntil = now + detail::finalGrantTime;
        // They are not needed any more, and are the largest part of the state.
        it.reports = {};
        it.comparison = {};
    }
    auto &verdicts = m_verdicts[it.record.name];
    std::erase_if(verdicts, [&](const auto &known) { return known.order == it.record.order; });
    if (verdicts.size() >= detail::maxVerdictsPerObject)
        verdicts.erase(verdicts.begin());
    verdicts.push_back({it.record.order, state, {}});
    if (m_verdicts.size() <= detail::maxObjectsWithVerdicts)
        return;
    const auto unused = std::find_if(m_verdicts.begin(), m_verdicts.end(),
                                     [this](const auto &known) { return !m_rollouts.contains(known.first); });
    if (unused != m_verdicts.end())
        m_verdicts.erase(unused);
}

void RolloutCoordinator::recallVerdict(Rollout &it, absl::Time now)
{
    const auto found = m_verdicts.find(it.record.name);
    if (found == m_verdicts.end())
        return;
    std::optional<RolloutState> state;
    for (auto &known : found->second) {
        if (known.order != it.record.order) {
            if (!known.supersededAt)
                known.supersededAt = it.record.revision;
        } else if (!known.supersededAt || it.record.revision <= *known.supersededAt) {
            state = known.state;
        }
    }
    std::erase_if(found->second, [&](const auto &known) { return known.order == it.record.order; });
    if (state)
        learnVerdict(it, *state, now);
}

RolloutState RolloutCoordinator::statusToWrite(const Rollout &it, absl::Time now) const
{
    const auto held = it.record.effectiveState();
    if (it.verdict)
        return held == *it.verdict ? RolloutState::None : *it.verdict;
    if (it.intended == RolloutState::Completed)
        return isReadyToComplete(it, now) ? RolloutState::Completed : RolloutState::None;
    if (it.phase == RolloutPhase::RolledBack) {
        // Runs on new targets end first, where time allows.
        const bool isDrained = it.reports.allFollow(RolloutPhase::RolledBack, heardSince(now))
            && it.reports.runs(heardSince(now)).candidate == 0;
        return isDrained || now - it.phaseAt >= detail::drainTime(it.record.order) ? RolloutState::RolledBack
                                                                                   : RolloutState::None;
    }
    return it.phase != RolloutPhase::Idle && held == RolloutState::None ? RolloutState::Running
                                                                        : RolloutState::None;
}

void RolloutCoordinator::writeStatus(Rollout &it, absl::Time now, RolloutActionList &actions)
{
    if (it.write || it.staleWrites > 0 || now < it.retryAt)
        return;
    const auto state = statusToWrite(it, now);
    if (state == RolloutState::None)
        return;
    if (it.needsRead) {
        if (now >= it.readAt) {
            it.readAt = now + writeRetryInterval;
            actions.emplace_back(ReadOrders{});
        }
        return;
    }
    it.write = detail::RolloutWrite{it.record.order, state};
    actions.emplace_back(WriteStatus{it.record.name, it.record.revision, state, it.record.order.target});
}

double RolloutCoordinator::shareOf(const Rollout &it) const
{
    switch (it.phase) {
    case RolloutPhase::Probing:
        return probingShare * m_limits.maxShare;
    case RolloutPhase::Canary:
        return shareSafety * m_limits.maxShare;
    case RolloutPhase::Loading:
        return it.wave.step == Wave::Step::Spending ? shareSafety * m_limits.maxShare : 0;
    case RolloutPhase::Switching:
    case RolloutPhase::Completed:
        return 1;
    case RolloutPhase::Idle:
    case RolloutPhase::RolledBack:
        break;
    }
    return 0;
}

void RolloutCoordinator::sendGrant(Rollout &it, absl::Time now, RolloutActionList &actions)
{
    if (it.phase == RolloutPhase::Idle || now < it.grantAt || now >= it.grantsUntil)
        return;
    it.grantedAt = now;
    it.grantAt = now + messageInterval(m_routers.alive);
    if (it.urgentGrants > 0) {
        --it.urgentGrants;
        it.grantAt = now + detail::urgentInterval;
    }
    actions.emplace_back(SendGrant{{m_self, it.record.order, it.phase, shareOf(it), now - it.orderedAt}});
}

void RolloutCoordinator::setTimer(absl::Time now, RolloutActionList &actions)
{
    if (m_actingFrom == absl::InfiniteFuture())
        return;
    auto at = absl::InfiniteFuture();
    for (const auto &[name, it] : m_rollouts) {
        const bool isOver = it.verdict && it.record.effectiveState() == *it.verdict && now >= it.grantsUntil;
        if (isOver || it.rejectedFor)
            continue;
        at = std::min(at, isActing(now) ? now + tickInterval : m_actingFrom);
        if (it.phase != RolloutPhase::Idle && it.grantAt > now)
            at = std::min(at, it.grantAt);
        if (it.hasNewReports && it.comparedAt + detail::compareInterval > now)
            at = std::min(at, it.comparedAt + detail::compareInterval);
    }
    if (at == absl::InfiniteFuture() || (at >= m_timerAt && m_timerAt > now))
        return;
    m_timerAt = at;
    actions.emplace_back(SetTimer{at});
}

} // namespace Wisteria
