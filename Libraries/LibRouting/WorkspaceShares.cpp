// Shares of the workspaces' limits that follow demand.

#include <LibRouting/WorkspaceShares.h>

#include <LibCore/Verify.h>

namespace Wisteria {

void WorkspaceShares::setDemandElsewhere(const WorkspaceName &workspace, std::uint32_t elsewhere,
                                         std::uint32_t liveRouters)
{
    Share &share = m_shares[workspace];
    share.elsewhere = elsewhere;
    share.liveRouters = liveRouters;
    share.hereAtReport = share.here;
}

bool WorkspaceShares::mayAdmit(const WorkspaceSpec &spec) const
{
    auto it = m_shares.find(spec.name);
    if (it == m_shares.end())
        return spec.maxGenerations > 0;
    const Share &share = it->second;
    if (share.here + share.elsewhere >= spec.maxGenerations)
        return false;
    if (share.liveRouters <= 1)
        return true;
    const std::uint64_t total = std::uint64_t{share.hereAtReport} + share.elsewhere;
    if (total >= spec.maxGenerations)
        return share.here < share.hereAtReport;
    const std::uint64_t room = spec.maxGenerations - total;
    const std::uint64_t allowance = (room * (share.hereAtReport + 1) + total) / (total + 1);
    return share.here < share.hereAtReport + allowance;
}

void WorkspaceShares::add(const WorkspaceName &workspace)
{
    ++m_shares[workspace].here;
}

void WorkspaceShares::remove(const WorkspaceName &workspace)
{
    auto it = m_shares.find(workspace);
    VERIFY(it != m_shares.end() && it->second.here > 0);
    --it->second.here;
}

std::map<WorkspaceName, std::uint32_t> WorkspaceShares::demand() const
{
    std::map<WorkspaceName, std::uint32_t> out;
    for (const auto &[workspace, share] : m_shares) {
        if (share.here > 0)
            out.emplace(workspace, share.here);
    }
    return out;
}

} // namespace Wisteria
