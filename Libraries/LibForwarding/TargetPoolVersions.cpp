// Limits choices to the versions that a rollout allows.

#include <LibForwarding/TargetPool.h>

#include <LibForwarding/RolloutShare.h>
#include <LibForwarding/StableHash.h>

#include <algorithm>

namespace Wisteria {

void TargetPool::setHeld(const TargetId &id, bool isHeld)
{
    if (const auto it = m_targets.find(id); it != m_targets.end())
        it->second.isHeld = isHeld;
}

TargetPool::VersionFilter::VersionFilter(const TargetPool &pool, const ServiceName &service,
                                         const VersionRule &rule, absl::Time now)
    : m_rule(rule)
{
    if (rule.choice != VersionChoice::CandidateOnly || rule.maxCandidates == 0)
        return;
    std::vector<std::uint64_t> hashes;
    for (const auto *entry : pool.targetsOf(service)) {
        const auto &[id, target] = *entry;
        if (target.record.version == rule.candidate && pool.isHealthy(id, now))
            hashes.push_back(stableHash(id.value()));
    }
    if (hashes.size() <= rule.maxCandidates)
        return;
    const auto greatest = hashes.begin() + static_cast<std::ptrdiff_t>(rule.maxCandidates) - 1;
    std::nth_element(hashes.begin(), greatest, hashes.end());
    m_greatestHash = *greatest;
}

bool TargetPool::VersionFilter::allows(const Target &target) const
{
    return m_rule.allows(target.record.version)
        && (m_greatestHash == std::numeric_limits<std::uint64_t>::max()
            || stableHash(target.record.id.value()) <= m_greatestHash);
}

} // namespace Wisteria
