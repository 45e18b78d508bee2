// Targets by id and service, and the tiers in which they may be used.

#include <LibRouting/TargetTable.h>

#include <algorithm>
#include <cmath>

namespace Wisteria {

namespace detail {

// The tiers in which targets are used: a later one only when no target of the earlier ones exists.
enum class TargetTier { Healthy, Suspect, CoolingDown, FailedHere, None };

TargetTier targetTier(const TargetState &target, const CandidateQuery &query, absl::Time now)
{
    const TargetId &id = target.facts().target;
    if (!target.takesNewWork() || target.facts().slots == 0 || std::ranges::count(query.running, id) > 0)
        return TargetTier::None;
    if (std::ranges::count(query.failed, id) > 0)
        return TargetTier::FailedHere;
    if (target.isCoolingDown(now))
        return TargetTier::CoolingDown;
    return target.facts().phase == TargetPhase::Live ? TargetTier::Healthy : TargetTier::Suspect;
}

} // namespace detail

void TargetTable::apply(const TargetChanged &change)
{
    auto [it, isNew] = m_targets.try_emplace(change.target, change);
    if (!isNew) {
        m_byService[it->second.facts().service].erase(change.target);
        it->second.apply(change);
    }
    m_byService[change.service].insert(change.target);
}

void TargetTable::forgetIfGone(const TargetId &id)
{
    auto it = m_targets.find(id);
    if (it == m_targets.end() || it->second.facts().phase != TargetPhase::Gone)
        return;
    m_byService[it->second.facts().service].erase(id);
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
    auto it = m_byService.find(query.service);
    if (it == m_byService.end())
        return out;
    auto bestTier = detail::TargetTier::None;
    for (const auto &id : it->second)
        bestTier = std::min(bestTier, detail::targetTier(m_targets.at(id), query, now));
    if (bestTier == detail::TargetTier::None)
        return out;
    out.anyExists = true;
    for (const auto &id : it->second) {
        const TargetState &target = m_targets.at(id);
        if (detail::targetTier(target, query, now) != bestTier)
            continue;
        const std::uint32_t load = target.load(now);
        if (load < room(target, query))
            out.withRoom.push_back(TargetCandidate{id, target.facts().domain, load, target.facts().slots,
                                                   target.cache().holds(query.head)});
    }
    return out;
}

bool TargetTable::anyTakesNewWork(const ServiceName &service) const
{
    auto it = m_byService.find(service);
    if (it == m_byService.end())
        return false;
    return std::ranges::any_of(it->second,
                               [&](const TargetId &id) { return m_targets.at(id).takesNewWork(); });
}

std::uint32_t TargetTable::room(const TargetState &target, const CandidateQuery &query)
{
    const std::uint32_t slots = target.facts().slots;
    const auto reserve = static_cast<std::uint32_t>(std::ceil(slots * query.urgentReserve));
    switch (query.slotClass) {
    case SlotClass::Patient:
        return std::max(slots - std::min(reserve, slots), std::uint32_t{1});
    case SlotClass::Shared:
        return slots;
    case SlotClass::Priority:
        return slots + std::max(reserve, std::uint32_t{1});
    }
    return slots;
}

} // namespace Wisteria
