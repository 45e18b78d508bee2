// The workspaces' limits over all routers. Each router counts its own generations and hears from gossip what
// runs elsewhere. Between two reports it admits only its share of the room that the last report left, in
// proportion to its part of the demand.
//
// Overshoot bound. Let R routers serve the workspace, M be its limit, and H = M - total the room at the last
// reports. A router with h of the total t generations admits up to ceil(H * (h + 1) / (t + 1)) before its
// next report, and the sum of these shares is at most H * (t + R) / (t + 1) + R. So each round of reports
// overshoots by at most H * (R - 1) / (t + 1) + R: about R once t is much above R, and (R - 1) * M where the
// workspace was idle everywhere and all R routers get a burst within one gossip lag. A router whose last
// report says that the limit is reached admits nothing, so overshoot does not grow beyond reports that are
// under way.

#pragma once

#include <LibConfig/FleetConfiguration.h>

#include <map>

namespace Wisteria {

class WorkspaceShares
{
public:
    void setRemoteDemand(const WorkspaceName &, std::uint32_t remoteGenerations, std::uint32_t liveRouters);

    [[nodiscard]] bool mayAdmit(const WorkspaceSpec &) const;
    void add(const WorkspaceName &);
    void remove(const WorkspaceName &);

    // Generations here, by workspace, without those that have none.
    [[nodiscard]] std::map<WorkspaceName, std::uint32_t> demand() const;

private:
    struct Share
    {
        std::uint32_t localGenerations{0};
        std::uint32_t remoteGenerations{0};
        std::uint32_t liveRouters{1};
        // `here` when the last report came.
        std::uint32_t localAtLastReport{0};
    };

    std::map<WorkspaceName, Share> m_shares;
};

} // namespace Wisteria
