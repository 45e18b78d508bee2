// Keeps the targets of each service together, so that a choice does not visit those of other services.

#include <LibForwarding/TargetPool.h>

#include <algorithm>

namespace Wisteria {

TargetPool::Target &TargetPool::entryFor(const ForwardingTarget &record)
{
    const auto [it, isNew] = m_targets.try_emplace(record.id);
    auto &entry = *it;
    if (isNew || entry.second.record.service != record.service) {
        removeFromIndex(entry);
        auto &listed = m_targetsByService[record.service];
        const auto isBefore = [](const TargetEntry *a, const TargetEntry *b) { return a->first < b->first; };
        listed.insert(std::lower_bound(listed.begin(), listed.end(), &entry, isBefore), &entry);
    }
    return entry.second;
}

void TargetPool::removeFromIndex(const TargetEntry &entry)
{
    const auto it = m_targetsByService.find(entry.second.record.service);
    if (it == m_targetsByService.end())
        return;
    std::erase(it->second, &entry);
    if (it->second.empty())
        m_targetsByService.erase(it);
}

const std::vector<const TargetPool::TargetEntry *> &TargetPool::targetsOf(const ServiceName &service) const
{
    static const std::vector<const TargetEntry *> none;
    const auto it = m_targetsByService.find(service);
    if (it == m_targetsByService.end())
        return none;
    m_visitedTargets += it->second.size();
    return it->second;
}

absl::flat_hash_set<FailureDomain> TargetPool::suspectDomains(const ServiceName &service,
                                                              absl::Time now) const
{
    absl::flat_hash_map<FailureDomain, int> suspects;
    for (const auto *entry : targetsOf(service)) {
        if (now < entry->second.suspectUntil)
            ++suspects[entry->second.record.domain];
    }
    absl::flat_hash_set<FailureDomain> out;
    for (const auto &[domain, n] : suspects) {
        if (n >= domainSuspectThreshold)
            out.insert(domain);
    }
    return out;
}

} // namespace Wisteria
