// Counts counted routers: who must hold a version before it is accepted, and who must answer a poll.
//
// Acknowledgements of half of a list and a poll of more than half of it always have a router in common.

#pragma once

#include <LibConfig/FleetConfiguration.h>

#include <set>

namespace Wisteria {

// How many routers of the list are in the set.
[[nodiscard]] std::size_t countListed(const std::vector<CountedRouter> &list, const std::set<RouterId> &);

// Whether these holders are at least half of the counted list and at least half of the list before it.
[[nodiscard]] bool isAcknowledged(const FleetConfiguration &, const std::set<RouterId> &holders);

// Whether these routers are more than half of the counted list. An empty list has no majority.
[[nodiscard]] bool isPollMajority(const FleetConfiguration &, const std::set<RouterId> &answered);

// The routers of both lists, each once.
[[nodiscard]] std::vector<CountedRouter> acknowledgingRouters(const FleetConfiguration &);

} // namespace Wisteria
