// Enforces workspace limits across all routers. Each router counts its own generations and learns the remote
// count from gossip. Between two reports, it admits only its share of the remaining capacity, in proportion
// to its share of the demand.
//
// Overshoot bound: let R routers serve the workspace, let M be its limit, t the number of generations at all
// routers at the last reports and H = M - t the headroom. A router with h of the t generations admits up to
// ceil(H * (h + 1) / (t + 1)) before its next report. The sum over all routers is at most
// H * (t + R) / (t + 1) + R, so one round of reports overshoots by at most H * (R - 1) / (t + 1) + R, which
// is about R once t is much larger than H * (R - 1). If the workspace was idle everywhere and all R routers
// receive a burst within one gossip delay, the overshoot is at most (R - 1) * M. A router whose last report
// shows that the limit is reached only replaces generations of its own that have ended since the report, so
// the overshoot does not grow beyond reports that are in flight.

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

    // Number of generations at this router by workspace. Omits workspaces without any.
    [[nodiscard]] std::map<WorkspaceName, std::uint32_t> demand() const;

private:
    struct Share
    {
        std::uint32_t localGenerations{0};
        std::uint32_t remoteGenerations{0};
        std::uint32_t liveRouters{1};
        // localGenerations when the last report arrived.
        std::uint32_t localAtLastReport{0};
    };

    std::map<WorkspaceName, Share> m_shares;
};

} // namespace Wisteria
