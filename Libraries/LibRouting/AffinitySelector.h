// Weighted rendezvous hashing on the prompt prefix. Requests with the same prefix go to the same engine while
// it has capacity. Load or membership changes only move the prefixes that they displace.

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
