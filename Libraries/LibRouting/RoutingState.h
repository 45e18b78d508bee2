// The state that the routing decisions of one router share while they handle an event.

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
    // A router takes no new work until its host says that the configuration is fresh.
    Freshness freshness{Freshness::MayBeStale};
    std::optional<absl::Time> drainingSince;

    TargetTable targets;
    GenerationTable generations;
    AdmissionQueue queue;
    WorkspaceShares shares;
    RetryBudget budget;
    WaitEstimator waitEstimator;

    // Invariant: made from the preset in force.
    std::unique_ptr<TargetSelector> selector;
    // Invariant: holds every policy that the preset in force names, by that name.
    std::map<std::string, std::unique_ptr<ResumePolicy>> policies;
    RoundRobinSelector roundRobin;

    // Of the event that is handled.
    absl::Time now;
    RoutingActions actions;
    // Generations whose wake-up must be worked out anew.
    std::set<GenerationId> pendingReschedule;
    // Whether the event may have made room for work that waits.
    bool capacityMayHaveChanged{false};
    // Silence counts from here at most: before, this process itself was not listening.
    absl::Time processResumedAt{absl::InfinitePast()};

    // Takes a configuration that is newer than the present one; older ones change nothing.
    void apply(const FleetConfiguration &);

    [[nodiscard]] const ServiceSpec *service(const ServiceName &) const;
    [[nodiscard]] const WorkspaceSpec *workspace(const WorkspaceName &) const;
    [[nodiscard]] const ResumeSpec &resumeSpec(const ServiceName &) const;
    [[nodiscard]] const ResumePolicy &resumePolicy(const ServiceName &) const;
    // Whether the service still runs the model that the generation was opened with.
    [[nodiscard]] bool hasSameModel(const Generation &) const;

    void markForReschedule(const Generation &generation) { pendingReschedule.insert(generation.id()); }
    // Spreads the callers that come back: between one and one and a half times the base.
    [[nodiscard]] absl::Duration jitteredRetryDelay(absl::Duration base);
    void record(DecisionKind, const GenerationId &, TargetId chosen, std::string reason,
                std::vector<TargetId> alternatives = {});
};

} // namespace Wisteria
