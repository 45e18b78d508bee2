// The demand of the other routers for each workspace, from what they said of themselves lately.
//
// At few routers every one is heard within seconds and the sum is exact. At many, the ones heard lately are a
// sample, and their mean stands for the others.

#pragma once

#include <LibMembership/Events.h>

#include <map>

namespace Wisteria::detail {

class DemandBook
{
public:
    void configure(const FleetConfiguration &);
    void setOwn(const std::vector<WorkspaceDemand> &);
    void heard(const RouterId &, const std::vector<WorkspaceDemand> &, absl::Time now);
    void forget(const RouterId &);
    // Own demand for the next message. Workspaces without demand are named too, so that an absent one is
    // unknown.
    [[nodiscard]] std::vector<WorkspaceDemand> takeOwn(std::size_t most);
    // Reports the workspaces whose estimate changed.
    void report(std::size_t liveRouters, absl::Time now, MembershipActions &);

private:
    struct Sample
    {
        std::uint32_t generations{0};
        absl::Time at;
    };

    std::map<WorkspaceName, std::uint32_t> m_own;
    std::map<WorkspaceName, std::map<RouterId, Sample>> m_samples;
    std::map<WorkspaceName, std::pair<std::uint32_t, std::uint32_t>> m_reported;
    // Where the next message goes on in m_own.
    WorkspaceName m_next;
};

} // namespace Wisteria::detail
