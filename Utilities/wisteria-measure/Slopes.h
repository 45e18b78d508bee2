// Processor time and memory of the decision objects, as slopes over their sizes.

#pragma once

#include <LibConfig/FleetConfiguration.h>

namespace Wisteria::Measure {

// Prints all tables; the exit status.
[[nodiscard]] int printSlopes();

// A configuration of the given size, with one generation service.
[[nodiscard]] FleetConfiguration sizedConfiguration(std::uint32_t workspaces, std::uint32_t targets,
                                                    std::uint32_t routers);

void printRouterSlopes();
void printGossipSlopes();
void printConfigurationSlopes();
void printLedgerSlopes();
void printClaimCalls();
void printThreadCost();

} // namespace Wisteria::Measure
