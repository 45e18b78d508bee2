// The requests of one run: Poisson arrivals by class, drawn ahead, so that every policy meets the same ones.

#pragma once

#include "Scenario.h"

#include <LibRouting/Events.h>

#include <vector>

namespace Wisteria::Measure {

struct PlannedRequest
{
    absl::Time at;
    RequestOpened opened;
    std::uint32_t headTokens{0};
    std::uint32_t answerTokens{0};
    // Picks the router among those in service.
    std::uint64_t routerDraw{0};
};

// Sorted by time.
[[nodiscard]] std::vector<PlannedRequest> planRequests(const Scenario &, const FaultPlan &,
                                                       std::uint64_t seed);

} // namespace Wisteria::Measure
