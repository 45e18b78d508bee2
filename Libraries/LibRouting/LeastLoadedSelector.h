// Chooses the target with the least load for its slots. A baseline that knows nothing of caches.

#pragma once

#include <LibRouting/TargetSelector.h>

namespace Wisteria {

class LeastLoadedSelector final : public TargetSelector
{
public:
    [[nodiscard]] std::size_t select(std::span<const TargetCandidate>, PromptPrefixHash) override;
    [[nodiscard]] std::string_view reason() const override { return "least-loaded"; }

    static const TargetSelectorRegistration<LeastLoadedSelector> registration;
};

} // namespace Wisteria
