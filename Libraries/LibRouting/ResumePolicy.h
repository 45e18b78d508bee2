// Decides when an attempt counts as stalled and where its generation continues. Implementations are plug-ins
// named by the ResumeSpec of a preset. Every policy resumes an answer from the prefix that was already
// delivered.

#pragma once

#include <LibRouting/Events.h>
#include <LibRouting/PluginRegistry.h>
#include <LibRouting/TokenLatencyEstimator.h>

namespace Wisteria {

// What an attempt is waiting for.
enum class WaitKind { FirstToken, NextToken, Reattach };

// Inputs for the stall limit of one attempt.
struct StallContext
{
    WaitKind kind{WaitKind::NextToken};
    // Longest wait of this kind that is normal for this engine. For Reattach, the wait for the next token.
    absl::Duration expectedMaxWait;
    TargetPhase phase{TargetPhase::Live};
    // ResumeSpec::thrift.
    double thrift{0.5};
};

enum class StallResponse {
    // Starts a second attempt next to the stalled one. The first to produce the next token wins.
    Hedge,
    // Cancels the stalled attempt before another one starts.
    Replace,
};

// How the target of the next attempt is chosen.
enum class ResumeTargetStrategy { BySelector, MostCached, RoundRobin, Spread };

enum class ReattachMode { Reattach, Restart };

class ResumePolicy
{
public:
    virtual ~ResumePolicy() = default;

    // Time without progress after which the attempt counts as stalled.
    [[nodiscard]] virtual absl::Duration stallLimit(const StallContext &) const = 0;
    [[nodiscard]] virtual StallResponse stallResponse() const = 0;
    [[nodiscard]] virtual ResumeTargetStrategy targetStrategy(double thrift) const = 0;
    // What to do when a caller reconnects, to this or another router, while its stream may still be running.
    [[nodiscard]] virtual ReattachMode reattachMode() const = 0;
};

using ResumePolicyRegistry = PluginRegistry<ResumePolicy>;
template <typename Plugin>
using ResumePolicyRegistration = PluginRegistration<ResumePolicy, Plugin>;

} // namespace Wisteria
