// Selects the target of the next attempt so that generations that lose their streams at the same time spread
// over the targets.

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
