// Indexes targets by id and service and selects candidates by tier.

#include <LibRouting/TargetTable.h>

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Wisteria {

namespace detail {

// Preference tiers of targets. A tier is used only if no target of an earlier one exists.
enum class TargetTier { Healthy, Suspect, CoolingDown, FailedForRequest, None };

TargetTier targetTier(const TargetState &target, const CandidateQuery &query, absl::Time now)
{
    const TargetId &id = target.properties().target;
    if (!target.acceptsNewWork() || target.properties().slots == 0
        || std::ranges::count(query.running, id) > 0)
        return TargetTier::None;
    if (std::ranges::count(query.failed, id) > 0)
        return TargetTier::FailedForRequest;
    if (target.isCoolingDown(now))
        return TargetTier::CoolingDown;
    return target.properties().phase == TargetPhase::Live ? TargetTier::Healthy : TargetTier::Suspect;
}

std::pair<std::uint64_t, TargetId> hashKey(const TargetId &id)
{
    return {XXH64(id.value().data(), id.value().size(), 0), id};
}

// Restricts urgent work to reserved targets with a free slot, or else to any target with a free slot. If
// there is none, all candidates remain and the request queues at an engine.
void preferFreeSlots(std::vector<TargetCandidate> &candidates, const std::set<TargetId> &reserved)
{
    auto isFull = [](const TargetCandidate &it) { return it.load >= it.slots; };
    auto isFullOrUnreserved = [&](const TargetCandidate &it) {
        return isFull(it) || !reserved.contains(it.id);
    };
    if (!std::ranges::all_of(candidates, isFullOrUnreserved))
        std::erase_if(candidates, isFullOrUnreserved);
    else if (!std::ranges::all_of(candidates, isFull))
        std::erase_if(candidates, isFull);
}

} // namespace detail

void TargetTable::apply(const TargetChanged &change)
{
    auto [it, isNew] = m_targets.try_emplace(change.target, change);
    if (!isNew) {
        m_byService[it->second.properties().service].erase(change.target);
        m_byHash[it->second.properties().service].erase(detail::hashKey(change.target));
        it->second.apply(change);
    }
    m_byService[change.service].insert(change.target);
    m_byHash[change.service].insert(detail::hashKey(change.target));
}

void TargetTable::removeIfGone(const TargetId &id)
{
    auto it = m_targets.find(id);
    if (it == m_targets.end() || it->second.properties().phase != TargetPhase::Gone)
        return;
    m_byService[it->second.properties().service].erase(id);
    m_byHash[it->second.properties().service].erase(detail::hashKey(id));
    m_targets.erase(it);
}

TargetState *TargetTable::find(const TargetId &id)
{
    auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second;
}

const TargetState *TargetTable::find(const TargetId &id) const
{
    auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second;
}

Candidates TargetTable::candidates(const CandidateQuery &query, absl::Time now) const
{
    Candidates out;
    const auto reserved = reservedTargets(query);
    const auto ids = eligibleTargets(query, reserved);
    auto bestTier = detail::TargetTier::None;
    for (const auto &id : ids)
        bestTier = std::min(bestTier, detail::targetTier(m_targets.at(id), query, now));
    if (bestTier == detail::TargetTier::None)
        return out;
    out.anyExists = true;
    for (const auto &id : ids) {
        const TargetState &target = m_targets.at(id);
        if (detail::targetTier(target, query, now) != bestTier)
            continue;
        const std::uint32_t load = target.load(now);
        if (load < loadLimit(target, query, !reserved.empty()))
            out.available.push_back(TargetCandidate{id, target.properties().domain, load,
                                                    target.properties().slots,
                                                    target.cache().holds(query.prefixHash)});
    }
    if (query.slotClass == SlotClass::Urgent)
        detail::preferFreeSlots(out.available, reserved);
    return out;
}

std::vector<TargetId> TargetTable::eligibleTargets(const CandidateQuery &query,
                                                   const std::set<TargetId> &reserved) const
{
    std::vector<TargetId> ids;
    auto it = m_byService.find(query.service);
    if (it == m_byService.end())
        return ids;
    const bool isPatient = query.slotClass == SlotClass::Patient;
    std::ranges::copy_if(it->second, std::back_inserter(ids),
                         [&](const TargetId &id) { return !isPatient || !reserved.contains(id); });
    // If no other target accepts work, reserved targets serve all requests.
    const bool anyAcceptsWork =
        std::ranges::any_of(ids, [&](const TargetId &id) { return m_targets.at(id).acceptsNewWork(); });
    if (!anyAcceptsWork)
        ids.assign(it->second.begin(), it->second.end());
    return ids;
}

std::set<TargetId> TargetTable::reservedTargets(const CandidateQuery &query) const
{
    std::set<TargetId> reserved;
    auto it = m_byHash.find(query.service);
    if (it == m_byHash.end())
        return reserved;
    const auto reserveSize = static_cast<std::size_t>(std::floor(it->second.size() * query.urgentReserve));
    for (const auto &[hash, id] : it->second) {
        if (reserved.size() >= reserveSize)
            break;
        if (m_targets.at(id).acceptsNewWork())
            reserved.insert(id);
    }
    return reserved;
}

bool TargetTable::anyAcceptsNewWork(const ServiceName &service) const
{
    auto it = m_byService.find(service);
    if (it == m_byService.end())
        return false;
    return std::ranges::any_of(it->second,
                               [&](const TargetId &id) { return m_targets.at(id).acceptsNewWork(); });
}

std::uint32_t TargetTable::loadLimit(const TargetState &target, const CandidateQuery &query,
                                     bool hasReservedTargets)
{
    const std::uint32_t slots = target.properties().slots;
    const auto reserve = static_cast<std::uint32_t>(std::ceil(slots * query.urgentReserve));
    if (query.slotClass != SlotClass::Patient)
        return slots + std::max(reserve, std::uint32_t{1});
    if (hasReservedTargets)
        return slots;
    return std::max(slots - std::min(reserve, slots), std::uint32_t{1});
}

} // namespace Wisteria
