// Sampling of the other routers' demand.

#include <LibMembership/DemandBook.h>

namespace Wisteria::detail {

namespace {

// How long a router's word on its own demand counts.
constexpr absl::Duration sampleLifetime = absl::Seconds(20);

} // namespace

void DemandBook::configure(const FleetConfiguration &configuration)
{
    const auto isUnknown = [&](const auto &it) { return !configuration.workspaces.contains(it.first); };
    std::erase_if(m_own, isUnknown);
    std::erase_if(m_samples, isUnknown);
    std::erase_if(m_reported, isUnknown);
    for (const auto &[name, spec] : configuration.workspaces)
        m_own.try_emplace(name, 0);
}

void DemandBook::setOwn(const std::vector<WorkspaceDemand> &demand)
{
    for (auto &[name, generations] : m_own)
        generations = 0;
    for (const auto &it : demand)
        m_own[it.workspace] = it.generations;
}

void DemandBook::heard(const RouterId &router, const std::vector<WorkspaceDemand> &demand, absl::Time now)
{
    for (const auto &it : demand)
        m_samples[it.workspace][router] = {it.generations, now};
}

void DemandBook::forget(const RouterId &router)
{
    for (auto &[workspace, samples] : m_samples)
        samples.erase(router);
}

std::vector<WorkspaceDemand> DemandBook::takeOwn(std::size_t most)
{
    std::vector<WorkspaceDemand> demand;
    auto it = m_own.lower_bound(m_next);
    while (demand.size() < std::min(most, m_own.size())) {
        if (it == m_own.end())
            it = m_own.begin();
        demand.push_back({it->first, it->second});
        ++it;
    }
    m_next = it == m_own.end() ? WorkspaceName() : it->first;
    return demand;
}

void DemandBook::report(std::size_t liveRouters, absl::Time now, MembershipActions &actions)
{
    const auto others = static_cast<std::uint32_t>(liveRouters - 1);
    for (auto &[workspace, samples] : m_samples) {
        std::erase_if(samples, [&](const auto &it) { return now - it.second.at > sampleLifetime; });
        std::uint64_t sum = 0;
        for (const auto &[router, sample] : samples)
            sum += sample.generations;
        if (!samples.empty() && samples.size() < others)
            sum = (sum * others + samples.size() - 1) / samples.size();
        const std::pair estimate(static_cast<std::uint32_t>(sum), others + 1);
        auto &reported = m_reported[workspace];
        if (reported == estimate)
            continue;
        reported = estimate;
        actions.emplace_back(DemandElsewhere{workspace, estimate.first, estimate.second});
    }
}

} // namespace Wisteria::detail
