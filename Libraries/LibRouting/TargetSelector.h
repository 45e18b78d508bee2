// The choice among targets that may all take an attempt. Implementations are plug-ins, named by a preset's
// `selection`.

#pragma once

#include <LibRouting/Events.h>
#include <LibRouting/PluginRegistry.h>

#include <span>
#include <string_view>

namespace Wisteria {

// A target that may take the attempt, as this router sees it.
struct TargetCandidate
{
    TargetId id;
    FailureDomain domain;
    std::uint32_t load{0};
    // Invariant: positive.
    std::uint32_t slots{1};
    bool hasCachedPrefix{false};

    // Above one where streams wait at the engine.
    [[nodiscard]] double utilisation() const { return static_cast<double>(load) / slots; }
};

class TargetSelector
{
public:
    virtual ~TargetSelector() = default;

    // The index of the chosen candidate. There is at least one, and they come in the order of their ids.
    [[nodiscard]] virtual std::size_t select(std::span<const TargetCandidate>, PromptPrefixHash) = 0;
    // Why, for the decision's log line.
    [[nodiscard]] virtual std::string_view reason() const = 0;
};

using TargetSelectorRegistry = PluginRegistry<TargetSelector>;
template <typename Plugin>
using TargetSelectorRegistration = PluginRegistration<TargetSelector, Plugin>;

} // namespace Wisteria
