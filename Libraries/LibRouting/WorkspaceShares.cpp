// Demand-based shares of workspace limits.

#include <LibRouting/WorkspaceShares.h>

#include <LibCore/Verify.h>

namespace Wisteria {

void WorkspaceShares::setRemoteDemand(const WorkspaceName &workspace, std::uint32_t remoteGenerations,
                                      std::uint32_t liveRouters)
{
    Share &share = m_shares[workspace];
    share.remoteGenerations = remoteGenerations;
    share.liveRouters = liveRouters;
    share.localAtLastReport = share.localGenerations;
}

bool WorkspaceShares::mayAdmit(const WorkspaceSpec &spec) const
{
    auto it = m_shares.find(spec.name);
    if (it == m_shares.end())
        return spec.maxGenerations > 0;
    const Share &share = it->second;
    if (share.localGenerations + share.remoteGenerations >= spec.maxGenerations)
        return false;
    if (share.liveRouters <= 1)
        return true;
    const std::uint64_t total = std::uint64_t{share.localAtLastReport} + share.remoteGenerations;
    if (total >= spec.maxGenerations)
        return share.localGenerations < share.localAtLastReport;
    const std::uint64_t headroom = spec.maxGenerations - total;
    const std::uint64_t allowance = (headroom * (share.localAtLastReport + 1) + total) / (total + 1);
    return share.localGenerations < share.localAtLastReport + allowance;
}

void WorkspaceShares::add(const WorkspaceName &workspace)
{
    ++m_shares[workspace].localGenerations;
}

void WorkspaceShares::remove(const WorkspaceName &workspace)
{
    auto it = m_shares.find(workspace);
    VERIFY(it != m_shares.end() && it->second.localGenerations > 0);
    --it->second.localGenerations;
}

std::map<WorkspaceName, std::uint32_t> WorkspaceShares::demand() const
{
    std::map<WorkspaceName, std::uint32_t> out;
    for (const auto &[workspace, share] : m_shares) {
        if (share.localGenerations > 0)
            out.emplace(workspace, share.localGenerations);
    }
    return out;
}

} // namespace Wisteria
