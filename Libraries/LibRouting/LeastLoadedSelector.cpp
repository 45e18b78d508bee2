// Selects the lowest utilisation. Ties go to the lowest id.

#include <LibRouting/LeastLoadedSelector.h>

#include <algorithm>

namespace Wisteria {

const TargetSelectorRegistration<LeastLoadedSelector> LeastLoadedSelector::registration{"least-loaded"};

std::size_t LeastLoadedSelector::select(std::span<const TargetCandidate> candidates, PromptPrefixHash)
{
    auto best = std::ranges::min_element(candidates, {}, &TargetCandidate::utilisation);
    return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace Wisteria
