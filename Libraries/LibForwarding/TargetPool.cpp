// Scores targets by their backlog, memory and recent faults.

#include <LibForwarding/TargetPool.h>

#include <LibForwarding/DispatchRule.h>

#include <algorithm>
#include <limits>

namespace Wisteria {

namespace detail {

// Delay that one more running generation adds to the others, in ms over its life. Source: step times of the
// users' sheets (0.09 ms a step and slot, about a thousand steps).
constexpr double runningCostMs = 90;
// Cost of a plain request that is ahead at the same target. Source: mean work time of the users' sheets.
constexpr double plainRequestMs = 15;
// A generation that finds no room waits until another one ends. Below that, memory in use is balanced, so
// that the copies of many streams do not fill a few targets.
constexpr double memoryCostMs = 600;
constexpr double noRoomCostMs = 3000;
constexpr double noRoomSlopeMs = 12000;
constexpr double memoryHeadroom = 0.92;
// A copy is worth less than the room for the next prompts.
constexpr double copyHeadroom = 0.8;
constexpr double copyMemoryCostMs = 6000;
// Doubtful targets come after all sound ones, and suspects after those.
constexpr double suspectCostMs = 100000;
constexpr double suspectDomainCostMs = 20000;
// A target whose memory is in use frees all of it about once in this time. Source: the length of a mean
// generation on a busy target.
constexpr absl::Duration memoryTurnover = absl::Seconds(8);
// Weight of the latest request in a target's share of failures.
constexpr double failureGain = 0.15;
// Cost of a target all of whose recent requests failed. Below it, the cost grows with the square of the
// share, so that a rare fault does not drive the load away.
constexpr double failureCostMs = 8000;
// Routers that choose at the same moment, before they hear of each other, must not all take the same best
// target: any within this margin is as good. Source: a quarter of the time that a mean prompt is read in; for
// plain requests a part of their work time.
constexpr double modelMarginMs = 250;
constexpr double plainMarginMs = 4;
// Plain requests prefer the own domain by one round trip to another domain.
constexpr double otherDomainCostMs = 2;

} // namespace detail

std::string_view targetFaultName(TargetFault fault)
{
    switch (fault) {
    case TargetFault::Unreachable:
        return "unreachable";
    case TargetFault::ConnectionLost:
        return "connection_lost";
    case TargetFault::Silent:
        return "silent";
    case TargetFault::BadAnswer:
        return "bad_answer";
    case TargetFault::Gone:
        return "gone";
    }
    return "unknown";
}

std::optional<TargetId> TargetPool::upsert(const TargetRecord &record)
{
    std::optional<TargetId> former;
    for (auto &[id, other] : m_targets) {
        if (id == record.id || other.isGone || other.record.address != record.address)
            continue;
        // Of two entries with one address, the one whose process started last is right.
        if (other.record.startedAtMs > record.startedAtMs)
            continue;
        other.isGone = true;
        former = id;
    }
    auto &target = m_targets[record.id];
    if (target.record.startedAtMs != record.startedAtMs || target.record.address != record.address) {
        const auto own = target.own;
        target = Target{};
        // Requests that were sent to the process before are subtracted when they end.
        target.own = own;
    }
    target.record = record;
    return former;
}

void TargetPool::remove(const TargetId &id)
{
    m_targets.erase(id);
}

const TargetRecord *TargetPool::find(const TargetId &id) const
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second.record;
}

void TargetPool::addLoad(const TargetId &id, const TargetLoad &load)
{
    if (auto it = m_targets.find(id); it != m_targets.end())
        it->second.own += load;
}

void TargetPool::subtractLoad(const TargetId &id, const TargetLoad &load)
{
    if (auto it = m_targets.find(id); it != m_targets.end())
        it->second.own -= load;
}

TargetLoads TargetPool::ownLoads() const
{
    TargetLoads out;
    for (const auto &[id, target] : m_targets) {
        if (target.own != TargetLoad{})
            out.emplace(id, target.own);
    }
    return out;
}

void TargetPool::noteFault(const TargetId &id, TargetFault fault, absl::Time now)
{
    auto it = m_targets.find(id);
    if (it == m_targets.end())
        return;
    auto &target = it->second;
    target.failureShare += detail::failureGain * (1 - target.failureShare);
    if (fault == TargetFault::BadAnswer)
        return;
    if (fault == TargetFault::Gone) {
        target.isGone = true;
        return;
    }
    const auto length = firstSuspicion * (1 << std::min(target.faultsInARow, 3));
    if (now >= target.suspectUntil)
        ++target.faultsInARow;
    target.suspectUntil = std::max(target.suspectUntil, now + std::min(length, longestSuspicion));
}

void TargetPool::noteSuccess(const TargetId &id)
{
    auto it = m_targets.find(id);
    if (it == m_targets.end())
        return;
    it->second.faultsInARow = 0;
    it->second.suspectUntil = absl::InfinitePast();
    it->second.failureShare *= 1 - detail::failureGain;
}

void TargetPool::noteReachable(const TargetId &id)
{
    if (auto it = m_targets.find(id); it != m_targets.end())
        it->second.suspectUntil = absl::InfinitePast();
}

void TargetPool::noteReportedFault(const TargetId &id, absl::Time now)
{
    if (auto it = m_targets.find(id); it != m_targets.end())
        it->second.suspectUntil = std::max(it->second.suspectUntil, now + reportedSuspicion);
}

void TargetPool::noteGone(const TargetId &id)
{
    if (auto it = m_targets.find(id); it != m_targets.end())
        it->second.isGone = true;
}

bool TargetPool::isSound(const TargetId &id, absl::Time now) const
{
    const auto it = m_targets.find(id);
    return it != m_targets.end() && it->second.record.phase == TargetPhase::Ready && !it->second.isGone
        && now >= it->second.suspectUntil;
}

bool TargetPool::isSuspect(const TargetId &id, absl::Time now) const
{
    const auto it = m_targets.find(id);
    return it != m_targets.end() && now < it->second.suspectUntil;
}

void TargetPool::setReportedLoads(const RouterId &router, TargetLoads loads, absl::Time now)
{
    auto &reporter = m_reporters[router];
    for (const auto &[id, load] : reporter.loads)
        m_reported[id] -= load;
    for (const auto &[id, load] : loads)
        m_reported[id] += load;
    // Entries of zero are left out, so that targets that are long gone take no memory.
    for (const auto &[id, load] : reporter.loads) {
        if (const auto it = m_reported.find(id); it != m_reported.end() && it->second == TargetLoad{})
            m_reported.erase(it);
    }
    reporter = Reporter{std::move(loads), now};
    m_nextSilence = std::min(m_nextSilence, now + reportLifetime);
}

void TargetPool::dropSilentReporters(absl::Time now)
{
    if (now <= m_nextSilence)
        return;
    m_nextSilence = absl::InfiniteFuture();
    std::vector<std::pair<RouterId, absl::Time>> silent;
    for (const auto &[router, reporter] : m_reporters) {
        if (now - reporter.heardAt > reportLifetime)
            silent.emplace_back(router, reporter.heardAt);
        else
            m_nextSilence = std::min(m_nextSilence, reporter.heardAt + reportLifetime);
    }
    for (const auto &[router, heardAt] : silent) {
        setReportedLoads(router, {}, heardAt);
        m_reporters.erase(router);
    }
}

TargetLoad TargetPool::loadOf(const Target &target) const
{
    auto load = target.own;
    if (const auto it = m_reported.find(target.record.id); it != m_reported.end())
        load += it->second;
    return load;
}

TargetLoad TargetPool::loadOf(const TargetId &id, absl::Time now)
{
    dropSilentReporters(now);
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? TargetLoad{} : loadOf(it->second);
}

bool TargetPool::isDomainSuspect(const FailureDomain &domain, const ServiceName &service,
                                 absl::Time now) const
{
    int suspects = 0;
    for (const auto &[id, target] : m_targets) {
        if (target.record.domain == domain && target.record.service == service && now < target.suspectUntil)
            ++suspects;
    }
    return suspects >= domainSuspects;
}

double TargetPool::cost(const Target &target, const TargetNeed &need, absl::Time now) const
{
    const auto load = loadOf(target);
    double cost = detail::failureCostMs * target.failureShare * target.failureShare;
    if (now < target.suspectUntil)
        cost += detail::suspectCostMs;
    if (!need.isModelService) {
        cost += detail::plainRequestMs * load.requests / std::max(target.record.slots, 1);
        if (load.requests >= target.record.slots)
            cost += detail::plainRequestMs * (load.requests - target.record.slots + 1);
        if (target.record.domain != m_ownDomain)
            cost += detail::otherDomainCostMs;
        return cost;
    }
    cost += static_cast<double>(load.unreadTokens) / DispatchRule::prefillTokensPerMs;
    cost += detail::runningCostMs * load.requests;
    const double used = memoryShare(load, need);
    cost += (need.isCopy ? detail::copyMemoryCostMs : detail::memoryCostMs) * used;
    if (used > detail::memoryHeadroom)
        cost += detail::noRoomCostMs + detail::noRoomSlopeMs * (used - detail::memoryHeadroom);
    return cost;
}

double TargetPool::memoryShare(const TargetLoad &load, const TargetNeed &need)
{
    if (need.engine.memoryTokens <= 0)
        return 0;
    return static_cast<double>(load.memoryTokens + need.size.memoryTokens())
        / static_cast<double>(need.engine.memoryTokens);
}

std::optional<TargetId> TargetPool::choose(const TargetNeed &need, absl::Time now)
{
    dropSilentReporters(now);
    absl::flat_hash_map<FailureDomain, bool> doubtful;
    std::vector<std::pair<double, const TargetId *>> candidates;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const auto &[id, target] : m_targets) {
        if (target.record.service != need.service || target.record.phase != TargetPhase::Ready
            || target.isGone)
            continue;
        if (std::find(need.exclude.begin(), need.exclude.end(), id) != need.exclude.end())
            continue;
        double candidate = cost(target, need, now);
        const auto &domain = target.record.domain;
        auto [known, isNew] = doubtful.try_emplace(domain, false);
        if (isNew)
            known->second = need.isModelService && isDomainSuspect(domain, need.service, now);
        if (known->second)
            candidate += detail::suspectDomainCostMs;
        if (need.avoidDomain == domain)
            candidate += detail::suspectDomainCostMs / 2;
        candidates.emplace_back(candidate, &id);
        bestCost = std::min(bestCost, candidate);
    }
    const double margin = need.isModelService ? detail::modelMarginMs : detail::plainMarginMs;
    std::erase_if(candidates, [&](const auto &it) { return it.first > bestCost + margin; });
    if (candidates.empty())
        return std::nullopt;
    return *candidates[m_random.below(candidates.size())].second;
}

absl::Duration TargetPool::expectedWait(const Target &target, const TargetNeed &need) const
{
    const auto load = loadOf(target);
    const auto reading =
        absl::Milliseconds(static_cast<double>(load.unreadTokens) / DispatchRule::prefillTokensPerMs);
    const double excess = std::max(memoryShare(load, need) - 1, 0.0);
    return reading + excess * detail::memoryTurnover;
}

absl::Duration TargetPool::expectedWait(const TargetId &id, const TargetNeed &need, absl::Time now)
{
    dropSilentReporters(now);
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? absl::InfiniteDuration() : expectedWait(it->second, need);
}

absl::Duration TargetPool::backlog(const TargetNeed &need, absl::Time now)
{
    dropSilentReporters(now);
    auto least = absl::InfiniteDuration();
    for (const auto &[id, target] : m_targets) {
        if (target.record.service != need.service || !isSound(id, now))
            continue;
        least = std::min(least, expectedWait(target, need));
    }
    return least;
}

std::optional<TargetId> TargetPool::chooseCopyHolder(const TargetNeed &need, const TargetId &primary,
                                                     absl::Time now)
{
    TargetNeed copy = need;
    copy.exclude.push_back(primary);
    copy.isCopy = true;
    if (const auto *record = find(primary))
        copy.avoidDomain = record->domain;
    auto holder = choose(copy, now);
    if (holder && (!isSound(*holder, now) || memoryShare(loadOf(*holder, now), copy) > detail::copyHeadroom))
        return std::nullopt;
    return holder;
}

} // namespace Wisteria
