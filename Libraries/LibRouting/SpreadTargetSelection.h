// Selects the target on which a lost generation continues when many generations are lost at once.

#pragma once

#include <LibRouting/TargetSelector.h>

#include <optional>

namespace Wisteria {

// Routers learn about each other's resumes only through delayed load reports. Each generation therefore
// selects its own pseudo-random target, weighted by free slots, so that prompts with a common prefix do not
// all go to the engine that caches it. Targets outside the failure domain of the lost target are preferred,
// because the whole domain may be down.
[[nodiscard]] std::size_t selectSpreadTarget(std::span<const TargetCandidate>, const GenerationId &,
                                             const std::optional<FailureDomain> &lostDomain);

} // namespace Wisteria
