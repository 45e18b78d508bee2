// Groups routers by stable hashes of their ids.

#include <LibForwarding/PeerTopology.h>

#include <LibForwarding/StableHash.h>

#include <algorithm>
#include <utility>

namespace Wisteria {

namespace detail {

// Smallest power of two that divides `routers` into groups of at most `maxGroupSize` on average. With powers
// of two, routers that expect different numbers of groups still agree on most of their members.
std::uint64_t groupsInDomain(std::size_t routers, std::size_t maxGroupSize)
{
    std::uint64_t groups = 1;
    while (groups * maxGroupSize < routers)
        groups *= 2;
    return groups;
}

} // namespace detail

void PeerTopology::update(const Router &self, const std::vector<Router> &others)
{
    m_ownGroup.clear();
    m_otherGroups.clear();
    m_ownGroupIndex = 0;
    m_groupsInOwnDomain = 0;
    const bool isSingleGroup = others.size() + 1 <= m_limits.maxSingleGroup;
    absl::btree_map<FailureDomain, std::size_t> routersInDomain;
    ++routersInDomain[self.domain];
    for (const auto &it : others)
        ++routersInDomain[it.domain];
    const auto keyOf = [&](const Router &router) {
        if (isSingleGroup)
            return GroupKey{};
        const auto groups = detail::groupsInDomain(routersInDomain[router.domain], m_limits.maxGroupSize);
        return GroupKey{router.domain, stableHash(router.id.value()) % groups};
    };
    const auto ownKey = keyOf(self);
    absl::btree_map<GroupKey, std::vector<RouterId>> groups;
    groups[ownKey];
    for (const auto &it : others)
        groups[keyOf(it)].push_back(it.id);
    for (auto &[key, members] : groups) {
        m_groupsInOwnDomain += key.domain == ownKey.domain ? 1 : 0;
        if (key < ownKey)
            ++m_ownGroupIndex;
        if (key == ownKey)
            m_ownGroup = std::move(members);
        else
            m_otherGroups.push_back(std::move(members));
    }
    m_ownGroupIds = absl::flat_hash_set<RouterId>(m_ownGroup.begin(), m_ownGroup.end());
}

const std::vector<RouterId> *PeerTopology::otherGroupOf(const RouterId &id) const
{
    for (const auto &it : m_otherGroups) {
        if (std::find(it.begin(), it.end(), id) != it.end())
            return &it;
    }
    return nullptr;
}

std::vector<RouterId> PeerTopology::selectBriefPeers(RandomSource &random) const
{
    std::vector<RouterId> out;
    out.reserve(m_otherGroups.size());
    for (const auto &it : m_otherGroups)
        out.push_back(it[random.below(it.size())]);
    return out;
}

absl::Duration PeerTopology::loadReportInterval(absl::Duration minInterval) const
{
    // In a single group, loads are reported at once; all routers share all targets.
    if (m_otherGroups.empty())
        return minInterval;
    const auto delay = loadReportDelayPerPeer * static_cast<std::int64_t>(m_ownGroup.size());
    return std::clamp(delay, minInterval, std::max(minInterval, maxLoadReportDelay));
}

} // namespace Wisteria
