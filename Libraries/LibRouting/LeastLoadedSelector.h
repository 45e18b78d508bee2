// Baseline selector: chooses the target with the lowest load per slot and ignores caches.

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
