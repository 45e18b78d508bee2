// Chooses the few routers that read the object API.

#pragma once

#include <LibMembership/Events.h>

#include <set>

namespace Wisteria::detail {

// At least three, then one for each 60 routers, so that reads grow far more slowly than the fleet.
[[nodiscard]] std::size_t storeReaderCount(std::size_t liveRouters);

// The first routers by the hash of their id, one from each failure domain in turn.
[[nodiscard]] std::set<RouterId> chooseStoreReaders(const std::vector<RouterRecord> &live);

} // namespace Wisteria::detail
