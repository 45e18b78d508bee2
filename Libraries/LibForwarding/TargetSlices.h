// Divides the targets of large services among groups of routers.
//
// Load pattern: many groups of routers place generations on the same targets without knowing each other's
// load. With a slice of the targets for each group, the reports within the group describe almost all load
// there. A slice has its share of every failure domain, so the loss of a domain hits all groups alike.
//
// Performs no I/O. Routers that know the same targets get the same slices.

#pragma once

#include <LibCore/Ids.h>

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <vector>

namespace Wisteria {

class TargetSlices
{
public:
    // A service with fewer targets per slice is divided into fewer slices, or not at all. Too small a slice
    // leaves too little choice when a failure domain is lost.
    static constexpr std::size_t minTargetsPerSlice = 30;

    struct Target
    {
        TargetId id;
        FailureDomain domain;
    };

    // Selects the targets that the group prefers. Empty if the service is not divided.
    [[nodiscard]] static absl::flat_hash_set<TargetId> select(std::size_t groupIndex, std::size_t groupCount,
                                                              const std::vector<Target> &);
};

} // namespace Wisteria
