// An operator's order to move a service's traffic to another version of its targets, and the state of it.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/Ids.h>

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace Wisteria {

// Version of the software that a target runs.
using TargetVersion = StrongId<struct TargetVersionTag, std::string>;

// The whole order is its identity: an order with another version or duration, or one that was deleted and
// created again, is another order.
struct RolloutOrder
{
    ServiceName service;
    TargetVersion target;
    // Time from the order within which the rollout should be completed. Invariant: positive.
    absl::Duration duration;
    // When the object was created, as the store says it; empty if it does not.
    std::string created;

    bool operator==(const RolloutOrder &) const = default;
};

enum class RolloutState { None, Running, Completed, RolledBack };

[[nodiscard]] std::string_view rolloutStateName(RolloutState);

// An order as the store holds it.
struct RolloutRecord
{
    // Name of the object.
    std::string name;
    ObjectVersion revision;
    RolloutOrder order;
    RolloutState state{RolloutState::None};
    // Version that the state was written for.
    TargetVersion stateTarget;

    // None if the state belongs to an earlier order.
    [[nodiscard]] RolloutState effectiveState() const
    {
        return stateTarget == order.target ? state : RolloutState::None;
    }
};

// Steps of a rollout, in order. The phase of an order never goes back, except to RolledBack.
enum class RolloutPhase {
    // No target runs the new version yet.
    Idle,
    // A small share of the requests shows gross faults.
    Probing,
    // The largest share that is allowed before the verdict, spread over the new targets.
    Canary,
    // The same share in waves, so that a few new targets carry as much load as the old ones.
    Loading,
    // The new version is sound. New requests go to it, and runs on old targets end.
    Switching,
    Completed,
    RolledBack,
};

[[nodiscard]] std::string_view rolloutPhaseName(RolloutPhase);

// The targets of a service during a rollout: those with the version of the order are candidates.
enum class VersionSide { Baseline, Candidate };

// What is known of a service when an order is validated.
struct RolloutContext
{
    bool isServiceKnown{false};
    bool hasBaselineTargets{false};
    bool hasCandidateTargets{false};
};

// Errors: UnknownService; NoTargetAvailable if no target runs the version yet; InvalidRequest if the version
// is the only one, or the duration is not positive.
[[nodiscard]] ErrorOr<void> validateRolloutOrder(const RolloutOrder &, const RolloutContext &);

} // namespace Wisteria
