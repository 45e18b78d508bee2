// When a silent attempt is taken for stalled, and where its generation goes on. Implementations are plug-ins,
// named by a preset's ResumeSpec. No policy changes the rule that an answer goes on from its own prefix.

#pragma once

#include <LibRouting/Events.h>
#include <LibRouting/PluginRegistry.h>
#include <LibRouting/TokenLatencyEstimator.h>

namespace Wisteria {

// What an attempt is waiting for.
enum class WaitKind { FirstToken, NextToken, Reattach };

// One silent attempt, as a policy sees it.
struct StallContext
{
    WaitKind kind{WaitKind::NextToken};
    // Longest silence that is normal for this engine and this kind of wait.
    absl::Duration expectedMaxWait;
    TargetPhase phase{TargetPhase::Live};
    // ResumeSpec::thrift.
    double thrift{0.5};
};

enum class StallResponse {
    // A second attempt runs beside the silent one, and the first of them to bring the next token wins.
    Hedge,
    // The silent attempt is cancelled before another one starts.
    Replace,
};

// How the target of a further attempt is chosen.
enum class ResumeTargetStrategy { BySelector, MostCached, RoundRobin, Spread };

enum class ReattachMode { Reattach, Restart };

class ResumePolicy
{
public:
    virtual ~ResumePolicy() = default;

    // The silence after which the attempt is taken for stalled.
    [[nodiscard]] virtual absl::Duration stallLimit(const StallContext &) const = 0;
    [[nodiscard]] virtual StallResponse stallResponse() const = 0;
    [[nodiscard]] virtual ResumeTargetStrategy targetStrategy(double thrift) const = 0;
    // What a caller's return from another router leads to while its stream may still run.
    [[nodiscard]] virtual ReattachMode reattachMode() const = 0;
};

using ResumePolicyRegistry = PluginRegistry<ResumePolicy>;
template <typename Plugin>
using ResumePolicyRegistration = PluginRegistration<ResumePolicy, Plugin>;

} // namespace Wisteria
