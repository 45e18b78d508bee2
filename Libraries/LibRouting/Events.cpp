// Names of target phases and decisions as used in logs and responses.

#include <LibRouting/Events.h>

namespace Wisteria {

std::string_view targetPhaseName(TargetPhase phase)
{
    switch (phase) {
    case TargetPhase::Live:
        return "live";
    case TargetPhase::Suspect:
        return "suspect";
    case TargetPhase::Leaving:
        return "leaving";
    case TargetPhase::Gone:
        return "gone";
    }
    return "gone";
}

std::string_view decisionName(DecisionKind kind)
{
    switch (kind) {
    case DecisionKind::Start:
        return "start";
    case DecisionKind::Queue:
        return "queue";
    case DecisionKind::Resume:
        return "resume";
    // The decision log's existing name for a hedged attempt.
    case DecisionKind::Hedge:
        return "race";
    case DecisionKind::Reattach:
        return "reattach";
    case DecisionKind::Adopt:
        return "adopt";
    case DecisionKind::Refuse:
        return "refuse";
    case DecisionKind::HandOver:
        return "hand_over";
    case DecisionKind::Complete:
        return "complete";
    }
    return "unknown";
}

} // namespace Wisteria
