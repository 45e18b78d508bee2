// Selects the first id after the previously selected one.

#include <LibRouting/RoundRobinSelector.h>

#include <algorithm>

namespace Wisteria {

const TargetSelectorRegistration<RoundRobinSelector> RoundRobinSelector::registration{"round-robin"};

std::size_t RoundRobinSelector::select(std::span<const TargetCandidate> candidates, PromptPrefixHash)
{
    auto next = std::ranges::upper_bound(candidates, m_last, {}, &TargetCandidate::id);
    if (next == candidates.end())
        next = candidates.begin();
    m_last = next->id;
    return static_cast<std::size_t>(next - candidates.begin());
}

} // namespace Wisteria
