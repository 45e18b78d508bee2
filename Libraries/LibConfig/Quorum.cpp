// Counting of acknowledgements and of poll answers.

#include <LibConfig/Quorum.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

bool holdsHalf(const std::vector<CountedRouter> &list, const std::set<RouterId> &holders)
{
    return 2 * countListed(list, holders) >= list.size();
}

} // namespace detail

std::size_t countListed(const std::vector<CountedRouter> &list, const std::set<RouterId> &routers)
{
    const auto isIn = [&](const CountedRouter &it) { return routers.contains(it.id); };
    return static_cast<std::size_t>(std::count_if(list.begin(), list.end(), isIn));
}

bool isAcknowledged(const FleetConfiguration &configuration, const std::set<RouterId> &holders)
{
    return detail::holdsHalf(configuration.countedRouters, holders)
        && detail::holdsHalf(configuration.countedBefore, holders);
}

bool isPollMajority(const FleetConfiguration &configuration, const std::set<RouterId> &answered)
{
    return 2 * countListed(configuration.countedRouters, answered) > configuration.countedRouters.size();
}

std::vector<CountedRouter> acknowledgingRouters(const FleetConfiguration &configuration)
{
    auto routers = configuration.countedRouters;
    for (const auto &it : configuration.countedBefore) {
        const auto isSame = [&](const CountedRouter &other) { return other.id == it.id; };
        if (std::none_of(routers.begin(), routers.end(), isSame))
            routers.push_back(it);
    }
    return routers;
}

} // namespace Wisteria
