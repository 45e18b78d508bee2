// Decides which routers a router reports to, and which targets it shares with them.
//
// Load pattern: hundreds of small routers in front of hundreds of targets. If every router reports each
// change of its load to every other one, the reports of a fleet grow with the square of its size and take
// more of a small router's processor and link than its callers do.
//
// A small fleet forms one group. In a larger one, the routers of each failure domain form groups of bounded
// size. Members of a group send each other full reports and prefer the same slice of the targets of each
// large service, so that their reports describe almost all load there. Other groups receive brief reports,
// each from a random member to a random member, which spread liveness and the positions of views.
//
// Performs no I/O. Routers that know different members may disagree about groups; this makes their view of
// loads less complete, but nothing depends on agreement.

#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Random.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Wisteria {

struct PeerTopologyLimits
{
    // A fleet of up to this many routers is not divided.
    std::size_t maxSingleGroup{100};
    // Groups are halved until none is expected to be larger.
    std::size_t maxGroupSize{32};
};

class PeerTopology
{
public:
    // Reports about changed loads are delayed by this much for each member of the group, so that a group of
    // any size sends about the same number of datagrams.
    static constexpr absl::Duration loadReportDelayPerPeer = absl::Milliseconds(24);
    static constexpr absl::Duration maxLoadReportDelay = absl::Milliseconds(480);
    struct Router
    {
        RouterId id;
        FailureDomain domain;
    };

    explicit PeerTopology(PeerTopologyLimits limits = {}) : m_limits(limits) { }

    // Recomputes the groups. `others` are all other known routers, alive or not.
    void update(const Router &self, const std::vector<Router> &others);

    // Returns true for the other members of the own group.
    [[nodiscard]] bool isInOwnGroup(const RouterId &id) const { return m_ownGroupIds.contains(id); }
    [[nodiscard]] const std::vector<RouterId> &ownGroup() const { return m_ownGroup; }
    // The group of a router of another group; null for the members of the own one.
    [[nodiscard]] const std::vector<RouterId> *otherGroupOf(const RouterId &) const;
    // Selects one router of each other group.
    [[nodiscard]] std::vector<RouterId> selectBriefPeers(RandomSource &) const;
    [[nodiscard]] std::size_t groupsInOwnDomain() const { return m_groupsInOwnDomain; }
    [[nodiscard]] std::size_t groupCount() const { return m_otherGroups.size() + 1; }
    // Position of the own group among all groups, in an order that all routers share.
    [[nodiscard]] std::size_t ownGroupIndex() const { return m_ownGroupIndex; }
    // Minimum interval between reports that only contain changed loads.
    [[nodiscard]] absl::Duration loadReportInterval(absl::Duration minInterval) const;

private:
    struct GroupKey
    {
        FailureDomain domain;
        std::uint64_t index{0};

        auto operator<=>(const GroupKey &) const = default;
    };

    PeerTopologyLimits m_limits;
    std::vector<RouterId> m_ownGroup;
    absl::flat_hash_set<RouterId> m_ownGroupIds;
    // Invariant: no group is empty.
    std::vector<std::vector<RouterId>> m_otherGroups;
    std::size_t m_ownGroupIndex{0};
    // One for an undivided fleet.
    std::size_t m_groupsInOwnDomain{1};
};

} // namespace Wisteria
