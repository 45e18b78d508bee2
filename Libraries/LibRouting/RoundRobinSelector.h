// Baseline selector: chooses targets in round-robin order and ignores load and caches.

#pragma once

#include <LibRouting/TargetSelector.h>

namespace Wisteria {

class RoundRobinSelector final : public TargetSelector
{
public:
    [[nodiscard]] std::size_t select(std::span<const TargetCandidate>, PromptPrefixHash) override;
    [[nodiscard]] std::string_view reason() const override { return "round-robin"; }

    static const TargetSelectorRegistration<RoundRobinSelector> registration;

private:
    TargetId m_last;
};

} // namespace Wisteria
