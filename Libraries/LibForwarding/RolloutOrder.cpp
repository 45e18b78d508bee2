// Names of the states and phases of rollouts, and the validation of orders.

#include <LibForwarding/RolloutOrder.h>

namespace Wisteria {

std::string_view rolloutStateName(RolloutState state)
{
    switch (state) {
    case RolloutState::None:
        return "none";
    case RolloutState::Running:
        return "running";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        return "rolled_back";
    }
    return "none";
}

std::string_view rolloutPhaseName(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Idle:
        return "idle";
    case RolloutPhase::Probing:
        return "probing";
    case RolloutPhase::Canary:
        return "canary";
    case RolloutPhase::Loading:
        return "loading";
    case RolloutPhase::Switching:
        return "switching";
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::RolledBack:
        return "rolled_back";
    }
    return "idle";
}

ErrorOr<void> validateRolloutOrder(const RolloutOrder &order, const RolloutContext &context)
{
    if (order.duration <= absl::ZeroDuration() || order.duration == absl::InfiniteDuration())
        return makeError(ErrorCode::InvalidRequest, "the duration is not a positive, finite time");
    if (order.target.value().empty())
        return makeError(ErrorCode::InvalidRequest, "the target version is empty");
    if (!context.isServiceKnown)
        return makeError(ErrorCode::UnknownService, "unknown service: " + order.service.value());
    if (!context.hasCandidateTargets)
        return makeError(ErrorCode::NoTargetAvailable,
                         "no target runs version " + order.target.value() + " yet");
    if (!context.hasBaselineTargets)
        return makeError(ErrorCode::InvalidRequest,
                         "all targets run version " + order.target.value() + " already");
    return {};
}

} // namespace Wisteria
