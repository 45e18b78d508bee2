// Chooses the target on which a lost generation goes on, when many are lost at once.

#pragma once

#include <LibRouting/TargetSelector.h>

#include <optional>

namespace Wisteria {

// Routers learn of each other's resumes only by lagging load reports. So each generation draws its own
// target, weighted by free slots, and prompts that share a head do not meet on the engine that holds it.
// Targets outside the failure domain of the lost one are preferred, since a whole domain may be lost.
[[nodiscard]] std::size_t selectSpreadTarget(std::span<const TargetCandidate>, const GenerationId &,
                                             const std::optional<FailureDomain> &lostDomain);

} // namespace Wisteria
