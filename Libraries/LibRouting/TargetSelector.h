// Interface for selecting one of several eligible targets. Implementations are plug-ins named by the
// `selection` setting of a preset.

#pragma once

#include <LibRouting/Events.h>
#include <LibRouting/PluginRegistry.h>

#include <span>
#include <string_view>

namespace Wisteria {

// An eligible target with the load that this router estimates for it.
struct TargetCandidate
{
    TargetId id;
    FailureDomain domain;
    std::uint32_t load{0};
    // Invariant: positive.
    std::uint32_t slots{1};
    bool hasCachedPrefix{false};

    // Greater than one when requests are queued at the engine.
    [[nodiscard]] double utilisation() const { return static_cast<double>(load) / slots; }
};

class TargetSelector
{
public:
    virtual ~TargetSelector() = default;

    // Returns the index of the selected candidate. The candidates are ordered by id and not empty.
    [[nodiscard]] virtual std::size_t select(std::span<const TargetCandidate>, PromptPrefixHash) = 0;
    // The reason to write to the decision log.
    [[nodiscard]] virtual std::string_view reason() const = 0;
};

using TargetSelectorRegistry = PluginRegistry<TargetSelector>;
template <typename Plugin>
using TargetSelectorRegistration = PluginRegistration<TargetSelector, Plugin>;

} // namespace Wisteria
