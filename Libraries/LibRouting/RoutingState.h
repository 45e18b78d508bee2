// State shared by the components of one router while they handle an event.

#pragma once

#include <LibCore/Random.h>
#include <LibRouting/GenerationTable.h>
#include <LibRouting/ResumePolicy.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/RoundRobinSelector.h>
#include <LibRouting/TargetTable.h>
#include <LibRouting/WaitEstimator.h>
#include <LibRouting/WorkspaceShares.h>

#include <map>
#include <memory>
#include <set>

namespace Wisteria {

enum class Freshness { MayBeStale, Fresh };

struct RoutingState
{
    explicit RoutingState(RandomSource &random);

    RandomSource &random;
    FleetConfiguration configuration;
    // No new work is accepted until the host reports that the configuration is fresh.
    Freshness freshness{Freshness::MayBeStale};
    std::optional<absl::Time> drainingSince;

    TargetTable targets;
    GenerationTable generations;
    AdmissionQueue queue;
    WorkspaceShares shares;
    RetryBudget budget;
    WaitEstimator waitEstimator;

    // Invariant: created from the active preset.
    std::unique_ptr<TargetSelector> selector;
    // Invariant: contains every policy named by the active preset, by that name.
    std::map<std::string, std::unique_ptr<ResumePolicy>> policies;
    RoundRobinSelector roundRobin;

    // Time of the current event and the actions that it causes.
    absl::Time now;
    RoutingActions actions;
    // Generations whose wake-up must be recomputed.
    std::set<GenerationId> pendingReschedule;
    // Whether the current event may have freed capacity for queued requests.
    bool capacityMayHaveChanged{false};
    // When this process resumed after its last pause. Stall detection ignores the time before, because no
    // events were processed then.
    absl::Time processResumedAt{absl::InfinitePast()};

    // Applies a configuration if it is newer than the current one and ignores it otherwise.
    void apply(const FleetConfiguration &);

    [[nodiscard]] const ServiceSpec *service(const ServiceName &) const;
    [[nodiscard]] const WorkspaceSpec *workspace(const WorkspaceName &) const;
    [[nodiscard]] const ResumeSpec &resumeSpec(const ServiceName &) const;
    [[nodiscard]] const ResumePolicy &resumePolicy(const ServiceName &) const;
    // Whether the service still runs the model with which the generation was opened. Also false after any
    // other change to the service if the request has `openedUnder` set.
    [[nodiscard]] bool hasSameModel(const Generation &) const;

    void markForReschedule(const Generation &generation) { pendingReschedule.insert(generation.id()); }
    // Returns a random delay between 1 and 1.5 times the base, to spread out retrying callers.
    [[nodiscard]] absl::Duration jitteredRetryDelay(absl::Duration base);
    void record(DecisionKind, const GenerationId &, TargetId chosen, std::string reason,
                std::vector<TargetId> alternatives = {});
};

} // namespace Wisteria
