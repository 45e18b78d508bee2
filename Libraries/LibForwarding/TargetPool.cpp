// Scores targets by queued prompts, memory utilization and recent faults.

#include <LibForwarding/TargetPool.h>

#include <LibForwarding/TargetSlices.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// Costs of model targets are multiples of the prefill time of a typical prompt, those of plain targets
// multiples of the service time of a plain request.

// Fraction of a generation's duration by which one more running generation delays the others in total.
constexpr double runningRequestWeight = 0.011;
// A generation that does not fit into memory waits until another one ends. Below memoryFullThreshold memory
// use is balanced, so that copies of many streams do not fill up a few targets.
constexpr double memoryWeight = 0.6;
constexpr double memoryFullWeight = 3;
constexpr double memoryFullSlope = 12;
constexpr double memoryFullThreshold = 0.92;
// Copies use memory only up to this utilization, since room for new prompts matters more.
constexpr double copyMemoryThreshold = 0.8;
constexpr double copyMemoryWeight = 6;
// Targets in a suspect domain rank after all healthy ones, and suspect targets rank last.
constexpr double modelSuspectWeight = 100;
constexpr double suspectDomainWeight = 20;
constexpr double avoidedDomainWeight = 10;
constexpr double plainSuspectWeight = 7000;
// The load of targets outside of the own slice is unknown. They are used when the least loaded target of the
// slice is this much more expensive than an idle one.
constexpr double outsideSliceWeight = 1;
// Smoothing factor of the moving average of a target's failure rate.
constexpr double failureRateSmoothing = 0.15;
// Cost of a target with a failure rate of 1. The cost grows with the square of the rate, so that a rare fault
// does not drive away the load.
constexpr double modelFailureWeight = 8;
constexpr double plainFailureWeight = 530;
// A target whose streams have too long gaps ranks after all healthy ones; its answers are of little use.
constexpr double longGapWeight = 10;
// Weight of the additional time that a slow target needs for the prompt itself. The loads of targets are
// known late, so the fast ones are busier than they seem, and a prompt there also delays those that follow.
constexpr double ownDelayWeight = 0.5;
// Routers that choose at the same moment, before they receive each other's reports, must not all choose the
// same target. One of the targets within this margin of the lowest cost is chosen at random.
constexpr double tieMarginWeight = 0.25;
// Plain requests prefer the local domain, to save the round trip to another one.
constexpr double otherDomainWeight = 0.13;

} // namespace detail

std::string_view targetFaultName(TargetFault fault)
{
    switch (fault) {
    case TargetFault::Unreachable:
        return "unreachable";
    case TargetFault::ConnectionLost:
        return "connection_lost";
    case TargetFault::Unresponsive:
        return "silent";
    case TargetFault::InvalidResponse:
        return "bad_answer";
    case TargetFault::Refused:
        return "refused";
    case TargetFault::Gone:
        return "gone";
    }
    return "unknown";
}

std::optional<TargetProcess> TargetPool::upsert(const ForwardingTarget &record)
{
    if (const auto known = m_targets.find(record.id); known != m_targets.end()) {
        auto &target = known->second;
        target.isEntryForeign = target.record.startedAtMs != 0 && record.startedAtMs == 0;
        if (target.isEntryForeign)
            return std::nullopt;
    }
    std::optional<TargetProcess> replaced;
    for (auto &[id, other] : m_targets) {
        if (id == record.id || other.isGone || !takesOver(record, other.record))
            continue;
        other.isGone = true;
        other.replacedAt = record.listedAt;
        replaced = other.record.process();
    }
    if (m_notices.processStarted(record.process()))
        m_slices.clear();
    m_limits.processStarted(record.process());
    m_speeds.processStarted(record.process());
    if (!m_limits.find(record.id))
        m_deferredUntil.erase(record.id);
    auto &target = entryFor(record);
    if (target.record.startedAtMs != record.startedAtMs || target.record.address != record.address) {
        const auto ownLoad = target.ownLoad;
        target = Target{};
        // Requests sent to the previous process are still subtracted when they end.
        target.ownLoad = ownLoad;
    }
    const bool isSliceUnchanged = target.record.id == record.id && target.record.phase == record.phase
        && target.record.domain == record.domain && target.record.service == record.service;
    if (!isSliceUnchanged)
        m_slices.clear();
    const bool wasDraining = target.record.startedAtMs != 0 && target.record.startedAtMs == record.startedAtMs
        && target.record.phase == ForwardingTargetPhase::Draining;
    // A process that renews its entry after that of its alleged successor lives on: the other entry is a
    // copy.
    if (target.replacedAt && *target.replacedAt < record.listedAt) {
        target.isGone = false;
        target.replacedAt.reset();
    }
    target.record = record;
    if (wasDraining)
        target.record.phase = ForwardingTargetPhase::Draining;
    return replaced;
}

bool TargetPool::takesOver(const ForwardingTarget &record, const ForwardingTarget &other) const
{
    return record.address == other.address && isKnownService(record.service)
        && record.process().isLaterStart(other.process());
}

void TargetPool::recordAnsweredBy(const TargetId &id, const std::string &address)
{
    const auto it = m_targets.find(id);
    if (it == m_targets.end() || it->second.record.address != address || !it->second.replacedAt)
        return;
    it->second.isGone = false;
    it->second.replacedAt.reset();
}

void TargetPool::remove(const TargetId &id)
{
    if (const auto it = m_targets.find(id); it != m_targets.end()) {
        removeFromIndex(*it);
        m_targets.erase(it);
    }
    m_deferredUntil.erase(id);
    m_speeds.remove(id);
    m_slices.clear();
}

void TargetPool::setGroup(std::size_t index, std::size_t count)
{
    if (index == m_groupIndex && count == m_groupCount)
        return;
    m_groupIndex = index;
    m_groupCount = count;
    m_slices.clear();
}

const TargetPool::Slice &TargetPool::sliceOf(const ServiceName &service)
{
    const auto [it, isNew] = m_slices.try_emplace(service);
    if (!isNew || m_groupCount < 2)
        return it->second;
    std::vector<TargetSlices::Target> targets;
    for (const auto *entry : targetsOf(service)) {
        const auto &[id, target] = *entry;
        if (target.record.phase == ForwardingTargetPhase::Ready && !m_notices.isLeaving(id))
            targets.push_back({id, target.record.domain});
    }
    it->second.targets = TargetSlices::select(m_groupIndex, m_groupCount, targets);
    return it->second;
}

const ForwardingTarget *TargetPool::find(const TargetId &id) const
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second.record;
}

void TargetPool::addLoad(const TargetId &id, const TargetLoad &load)
{
    if (auto it = m_targets.find(id); it != m_targets.end())
        it->second.ownLoad += load;
}

void TargetPool::subtractLoad(const TargetId &id, const TargetLoad &load)
{
    if (auto it = m_targets.find(id); it != m_targets.end())
        it->second.ownLoad -= load;
}

TargetLoads TargetPool::ownLoads() const
{
    TargetLoads out;
    for (const auto &[id, target] : m_targets) {
        if (target.ownLoad != TargetLoad{})
            out.emplace(id, target.ownLoad);
    }
    return out;
}

bool TargetPool::isSuperseded(const TargetProcess &process) const
{
    const auto *record = find(process.id);
    return record && record->process().isLaterThan(process);
}

TargetPool::Target *TargetPool::findProcess(const TargetProcess &process)
{
    const auto it = m_targets.find(process.id);
    return it == m_targets.end() || isSuperseded(process) ? nullptr : &it->second;
}

void TargetPool::recordFault(const TargetProcess &process, TargetFault fault, absl::Time now)
{
    auto *found = findProcess(process);
    if (!found)
        return;
    auto &target = *found;
    target.failureRate += detail::failureRateSmoothing * (1 - target.failureRate);
    if (fault == TargetFault::InvalidResponse)
        return;
    if (fault == TargetFault::Gone) {
        target.isGone = true;
        return;
    }
    const auto suspicion = initialSuspicion * (1 << std::min(target.consecutiveFaults, 3));
    if (now >= target.suspectUntil)
        ++target.consecutiveFaults;
    target.suspectUntil = std::max(target.suspectUntil, now + std::min(suspicion, maxSuspicion));
    target.unprovenUntil = std::max(target.unprovenUntil, target.suspectUntil);
}

void TargetPool::recordSuccess(const TargetId &id)
{
    auto it = m_targets.find(id);
    if (it == m_targets.end())
        return;
    it->second.consecutiveFaults = 0;
    it->second.suspectUntil = absl::InfinitePast();
    it->second.unprovenUntil = absl::InfinitePast();
    it->second.failureRate *= 1 - detail::failureRateSmoothing;
}

void TargetPool::markReachable(const TargetId &id)
{
    if (auto it = m_targets.find(id); it != m_targets.end())
        it->second.suspectUntil = absl::InfinitePast();
}

void TargetPool::recordPeerFault(const TargetProcess &process, absl::Time now)
{
    auto *target = findProcess(process);
    if (!target)
        return;
    target->suspectUntil = std::max(target->suspectUntil, now + peerSuspicion);
    target->unprovenUntil = std::max(target->unprovenUntil, target->suspectUntil);
}

void TargetPool::markGone(const TargetProcess &process)
{
    if (auto *target = findProcess(process))
        target->isGone = true;
}

TargetNoticeEffect TargetPool::recordNotice(const TargetProcess &process, const TargetNotice &notice,
                                            absl::Time requestSentAt, absl::Time now)
{
    // A target that the directory has removed may still run, so its notices count.
    if (isSuperseded(process))
        return {};
    auto effect = m_notices.record(process, notice, requestSentAt, now);
    if (effect.hasStartedLeaving)
        m_slices.clear();
    if (notice.limit)
        effect.limit = m_limits.recordNamed(process, *notice.limit, requestSentAt, now);
    else if (notice.hasNoLimit)
        effect.limit = m_limits.recordAbsent(process, requestSentAt);
    return effect;
}

TargetLimitChange TargetPool::mergeLimit(const TargetLimit &limit)
{
    return isSuperseded(limit.process) ? TargetLimitChange::None : m_limits.merge(limit);
}

absl::Time TargetPool::deferredUntil(const TargetId &id) const
{
    const auto it = m_deferredUntil.find(id);
    return it == m_deferredUntil.end() || !m_limits.find(id) ? absl::InfinitePast() : it->second;
}

bool TargetPool::isDeferred(const TargetId &id, absl::Time now) const
{
    return now < deferredUntil(id);
}

bool TargetPool::acceptsRequests(const TargetId &id, absl::Time now) const
{
    const auto it = m_targets.find(id);
    return it != m_targets.end() && isReady(id, it->second) && !isBackingOff(id, now);
}

std::optional<TargetPool::Availability> TargetPool::earliestAvailability(const ServiceName &service,
                                                                         absl::Time now,
                                                                         const VersionRule &versions) const
{
    std::optional<Availability> earliest;
    const VersionFilter filter(*this, service, versions, now);
    for (const auto *entry : targetsOf(service)) {
        const auto &[id, target] = *entry;
        if (!isReady(id, target) || !filter.allows(target))
            continue;
        Availability available{backoffEnd(id)};
        if (isDeferred(id, now) && m_deferredUntil.at(id) > available.at)
            available = {m_deferredUntil.at(id), true};
        if (available.at <= now)
            return std::nullopt;
        if (!earliest || available.at < earliest->at)
            earliest = available;
    }
    return earliest;
}

bool TargetPool::isReady(const TargetId &id, const Target &target) const
{
    return target.record.phase == ForwardingTargetPhase::Ready && !target.isGone && !target.isHeld
        && !target.isEntryForeign && !m_notices.isLeaving(id);
}

bool TargetPool::isHealthy(const TargetId &id, absl::Time now) const
{
    const auto it = m_targets.find(id);
    return it != m_targets.end() && isReady(id, it->second) && !isBackingOff(id, now) && !isDeferred(id, now)
        && now >= it->second.suspectUntil;
}

bool TargetPool::isSuspect(const TargetId &id, absl::Time now) const
{
    const auto it = m_targets.find(id);
    return it != m_targets.end() && now < it->second.suspectUntil;
}

void TargetPool::setPeerLoads(const RouterId &router, TargetLoads loads, absl::Time now)
{
    auto &peer = m_peers[router];
    for (const auto &[id, load] : peer.loads)
        m_peerLoadSums[id] -= load;
    for (const auto &[id, load] : loads) {
        m_peerLoadSums[id] += load;
        if (load.pendingPrefillTokens <= 0)
            continue;
        if (const auto it = m_targets.find(id); it != m_targets.end())
            it->second.peerPromptAt = now;
    }
    // Zero entries are erased, so that removed targets do not use memory.
    for (const auto &[id, load] : peer.loads) {
        if (const auto it = m_peerLoadSums.find(id); it != m_peerLoadSums.end() && it->second == TargetLoad{})
            m_peerLoadSums.erase(it);
    }
    peer = PeerLoads{std::move(loads), now};
    m_nextPeerExpiry = std::min(m_nextPeerExpiry, now + reportLifetime);
}

bool TargetPool::hadPeerPromptSince(const TargetId &id, absl::Time since) const
{
    const auto it = m_targets.find(id);
    return it != m_targets.end() && it->second.peerPromptAt >= since;
}

void TargetPool::expirePeerLoads(absl::Time now)
{
    m_speeds.refresh(now);
    if (now <= m_nextPeerExpiry)
        return;
    m_nextPeerExpiry = absl::InfiniteFuture();
    std::vector<std::pair<RouterId, absl::Time>> expired;
    for (const auto &[router, peer] : m_peers) {
        if (now - peer.lastReportAt > reportLifetime)
            expired.emplace_back(router, peer.lastReportAt);
        else
            m_nextPeerExpiry = std::min(m_nextPeerExpiry, peer.lastReportAt + reportLifetime);
    }
    for (const auto &[router, lastReportAt] : expired) {
        setPeerLoads(router, {}, lastReportAt);
        m_peers.erase(router);
    }
}

TargetLoad TargetPool::loadOf(const Target &target) const
{
    auto load = target.ownLoad;
    if (const auto it = m_peerLoadSums.find(target.record.id); it != m_peerLoadSums.end())
        load += it->second;
    return load;
}

TargetLoad TargetPool::loadOf(const TargetId &id, absl::Time now)
{
    expirePeerLoads(now);
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? TargetLoad{} : loadOf(it->second);
}

absl::Duration TargetPool::cost(const Target &target, const TargetRequirements &requirements,
                                const ServicePerformance &performance, absl::Time now) const
{
    return requirements.isModelService ? modelCost(target, requirements, performance, now)
                                       : plainCost(target, requirements, performance, now);
}

absl::Duration TargetPool::plainCost(const Target &target, const TargetRequirements &requirements,
                                     const ServicePerformance &performance, absl::Time now) const
{
    const int requests = loadOf(target).requests;
    const int slots = std::max(target.record.slots, 1);
    double weight = detail::plainFailureWeight * target.failureRate * target.failureRate;
    if (now < (requirements.runsAtMostOnce ? target.unprovenUntil : target.suspectUntil))
        weight += detail::plainSuspectWeight;
    weight += static_cast<double>(requests) / slots;
    if (requests >= slots)
        weight += requests - slots + 1;
    if (target.record.domain != m_ownDomain)
        weight += detail::otherDomainWeight;
    const auto speed = m_speeds.speedOf(target.record.id);
    const auto serviceTime = performance.plainServiceTime();
    // The request itself and those that share the target with it are served at its speed.
    return weight * serviceTime + (1 + static_cast<double>(requests) / slots) * speed.delayOf(serviceTime);
}

absl::Duration TargetPool::modelCost(const Target &target, const TargetRequirements &requirements,
                                     const ServicePerformance &performance, absl::Time now) const
{
    const auto load = loadOf(target);
    double weight = detail::modelFailureWeight * target.failureRate * target.failureRate;
    if (now < (requirements.runsAtMostOnce ? target.unprovenUntil : target.suspectUntil))
        weight += detail::modelSuspectWeight;
    const double utilization = memoryUtilization(load, requirements);
    weight += (requirements.isCopy ? detail::copyMemoryWeight : detail::memoryWeight) * utilization;
    if (utilization > detail::memoryFullThreshold)
        weight +=
            detail::memoryFullWeight + detail::memoryFullSlope * (utilization - detail::memoryFullThreshold);
    const auto speed = m_speeds.speedOf(target.record.id);
    const auto &size = requirements.size;
    const auto ownDelay = detail::ownDelayWeight * speed.delayOf(performance.prefillTime(size.promptTokens));
    if (!speed.isTypical()) {
        const bool hasLongGaps =
            speed.timeFor(performance.eventTime()) > maxEventTimeFraction * requirements.maxEventGap;
        weight += hasLongGaps && !requirements.isCopy ? detail::longGapWeight : 0;
    }
    return weight * performance.typicalPrefillTime()
        + speed.timeFor(performance.prefillTime(load.pendingPrefillTokens)
                        + detail::runningRequestWeight * load.requests * performance.generationTime())
        + ownDelay;
}

double TargetPool::memoryUtilization(const TargetLoad &load, const TargetRequirements &requirements)
{
    if (requirements.engine.memoryTokens <= 0)
        return 0;
    return static_cast<double>(load.memoryTokens + requirements.size.memoryTokens())
        / static_cast<double>(requirements.engine.memoryTokens);
}

std::optional<TargetId> TargetPool::choose(const TargetRequirements &requirements, absl::Time now)
{
    expirePeerLoads(now);
    const auto &performance = m_performance[requirements.service];
    const auto &slice = sliceOf(requirements.service);
    const auto unit =
        requirements.isModelService ? performance.typicalPrefillTime() : performance.plainServiceTime();
    const auto suspectDomains = requirements.isModelService ? this->suspectDomains(requirements.service, now)
                                                            : absl::flat_hash_set<FailureDomain>();
    std::vector<std::pair<absl::Duration, const TargetId *>> candidates;
    auto bestCost = absl::InfiniteDuration();
    const VersionFilter filter(*this, requirements.service, requirements.versions, now);
    for (const auto *entry : targetsOf(requirements.service)) {
        const auto &[id, target] = *entry;
        if (!isReady(id, target) || isBackingOff(id, now) || isDeferred(id, now) || !filter.allows(target))
            continue;
        if (requirements.limitedTargets == LimitedTargets::Avoid && m_limits.find(id))
            continue;
        if (std::find(requirements.exclude.begin(), requirements.exclude.end(), id)
            != requirements.exclude.end())
            continue;
        auto candidate = cost(target, requirements, performance, now);
        const auto &domain = target.record.domain;
        if (suspectDomains.contains(domain))
            candidate += detail::suspectDomainWeight * unit;
        if (!slice.contains(id))
            candidate += detail::outsideSliceWeight * unit;
        if (requirements.avoidDomain == domain)
            candidate += detail::avoidedDomainWeight * unit;
        candidates.emplace_back(candidate, &id);
        bestCost = std::min(bestCost, candidate);
    }
    const auto margin = detail::tieMarginWeight * unit;
    std::erase_if(candidates, [&](const auto &it) { return it.first > bestCost + margin; });
    if (candidates.empty())
        return std::nullopt;
    return *candidates[m_random.below(candidates.size())].second;
}

std::optional<TargetId> TargetPool::chooseDeferred(const TargetRequirements &requirements,
                                                   absl::Time now) const
{
    std::optional<TargetId> first;
    const VersionFilter filter(*this, requirements.service, requirements.versions, now);
    for (const auto *entry : targetsOf(requirements.service)) {
        const auto &[id, target] = *entry;
        if (!isReady(id, target) || isBackingOff(id, now) || !isDeferred(id, now) || !filter.allows(target))
            continue;
        if (std::find(requirements.exclude.begin(), requirements.exclude.end(), id)
            != requirements.exclude.end())
            continue;
        if (!first || m_deferredUntil.at(id) < m_deferredUntil.at(*first))
            first = id;
    }
    return first;
}

absl::Duration TargetPool::expectedWait(const Target &target, const TargetRequirements &requirements,
                                        const ServicePerformance &performance) const
{
    const auto load = loadOf(target);
    // Memory in use becomes free about once per generation time.
    const double excessUtilization = std::max(memoryUtilization(load, requirements) - 1, 0.0);
    return m_speeds.speedOf(target.record.id)
        .timeFor(performance.prefillTime(load.pendingPrefillTokens)
                 + excessUtilization * performance.generationTime());
}

absl::Duration TargetPool::expectedWait(const TargetId &id, const TargetRequirements &requirements,
                                        absl::Time now)
{
    expirePeerLoads(now);
    const auto it = m_targets.find(id);
    return it == m_targets.end()
        ? absl::InfiniteDuration()
        : expectedWait(it->second, requirements, m_performance[requirements.service]);
}

ExpectedStart TargetPool::earliestStart(const TargetRequirements &requirements, absl::Time now)
{
    expirePeerLoads(now);
    const auto &performance = m_performance[requirements.service];
    const auto &slice = sliceOf(requirements.service);
    // The time of a single token would be rounded.
    constexpr std::int64_t tokensPerUnit = 1000;
    const auto prefillTime = performance.prefillTime(requirements.size.promptTokens);
    const auto endOf = [&](const ExpectedStart &it) { return it.wait + it.speed.timeFor(prefillTime); };
    ExpectedStart first;
    ExpectedStart firstOutside;
    // Sums of the targets' speeds.
    double capacity = 0;
    double capacityOutside = 0;
    const VersionFilter filter(*this, requirements.service, requirements.versions, now);
    for (const auto *entry : targetsOf(requirements.service)) {
        const auto &[id, target] = *entry;
        if (!isReady(id, target) || isBackingOff(id, now) || isDeferred(id, now) || now < target.suspectUntil
            || !filter.allows(target))
            continue;
        const ExpectedStart start{expectedWait(target, requirements, performance), m_speeds.speedOf(id)};
        const bool isInside = slice.contains(id);
        (isInside ? capacity : capacityOutside) += start.speed.ratio();
        auto &best = isInside ? first : firstOutside;
        if (endOf(start) < endOf(best))
            best = start;
    }
    // Other routers' loads outside of the slice are unknown.
    const bool isOutside = first.wait == absl::InfiniteDuration();
    auto &out = isOutside ? firstOutside : first;
    if (const double sum = isOutside ? capacityOutside : capacity; sum > 0)
        out.timePerToken = performance.prefillTime(tokensPerUnit) / (sum * tokensPerUnit);
    return out;
}

std::optional<TargetId> TargetPool::chooseCopyHolder(const TargetRequirements &requirements,
                                                     const TargetId &primary, absl::Time now)
{
    TargetRequirements copy = requirements;
    copy.exclude.push_back(primary);
    copy.isCopy = true;
    // A request that goes on from a copy at a limited target would need a permit.
    copy.limitedTargets = LimitedTargets::Avoid;
    if (const auto *record = find(primary))
        copy.avoidDomain = record->domain;
    auto holder = choose(copy, now);
    if (holder
        && (!isHealthy(*holder, now)
            || memoryUtilization(loadOf(*holder, now), copy) > detail::copyMemoryThreshold))
        return std::nullopt;
    return holder;
}

const ForwardingTarget *TargetPool::findBeside(const ServiceName &service, const TargetId &id) const
{
    const ForwardingTarget *found = nullptr;
    for (const auto *entry : targetsOf(service)) {
        const auto &[other, target] = *entry;
        if (other == id)
            continue;
        if (isReady(other, target))
            return &target.record;
        found = &target.record;
    }
    return found;
}

} // namespace Wisteria
