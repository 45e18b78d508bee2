// Which versions of a service's targets one attempt may use.

#pragma once

#include <LibForwarding/RolloutOrder.h>

#include <cstddef>

namespace Wisteria {

// Declared in RolloutShare.h. Zero is VersionChoice::Any.
enum class VersionChoice;

struct VersionRule
{
    VersionChoice choice{};
    // Version of the order; targets with any other one are baseline targets.
    TargetVersion candidate;
    // With CandidateOnly, only so many of the healthy candidates are used, the same ones at all routers. Zero
    // for all.
    std::size_t maxCandidates{0};

    [[nodiscard]] bool allows(const TargetVersion &) const;
};

} // namespace Wisteria
