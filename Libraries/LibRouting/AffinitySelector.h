// Weighted rendezvous hashing on the prompt's head: equal heads meet on one engine while it has room, and
// only the share of heads that load or membership displaces moves elsewhere.

#pragma once

#include <LibRouting/TargetSelector.h>

namespace Wisteria {

class AffinitySelector final : public TargetSelector
{
public:
    [[nodiscard]] std::size_t select(std::span<const TargetCandidate>, PromptPrefixHash) override;
    [[nodiscard]] std::string_view reason() const override { return "affinity"; }

    static const TargetSelectorRegistration<AffinitySelector> registration;
};

} // namespace Wisteria
