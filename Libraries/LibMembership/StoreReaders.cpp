// Choice of the store readers by hash and failure domain.

#include <LibMembership/StoreReaders.h>

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace Wisteria::detail {

std::size_t storeReaderCount(std::size_t liveRouters)
{
    constexpr std::size_t fewest = 3;
    constexpr std::size_t routersPerReader = 60;
    return std::max(fewest, (liveRouters + routersPerReader - 1) / routersPerReader);
}

std::set<RouterId> chooseStoreReaders(const std::vector<RouterRecord> &live)
{
    std::map<FailureDomain, std::vector<std::pair<std::uint64_t, RouterId>>> byDomain;
    for (const auto &it : live) {
        const auto &id = it.id.value();
        byDomain[it.domain].emplace_back(XXH64(id.data(), id.size(), 0), it.id);
    }
    // Each router's place among those of its domain comes first, so that the domains take turns.
    std::vector<std::tuple<std::size_t, std::uint64_t, RouterId>> order;
    for (auto &[domain, routers] : byDomain) {
        std::sort(routers.begin(), routers.end());
        for (std::size_t i = 0; i < routers.size(); ++i)
            order.emplace_back(i, routers[i].first, routers[i].second);
    }
    std::sort(order.begin(), order.end());
    std::set<RouterId> readers;
    const auto n = std::min(storeReaderCount(live.size()), order.size());
    for (std::size_t i = 0; i < n; ++i)
        readers.insert(std::get<RouterId>(order[i]));
    return readers;
}

} // namespace Wisteria::detail
