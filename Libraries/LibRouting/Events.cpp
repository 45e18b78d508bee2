// Names of the routing decisions, as they stand in the log.

#include <LibRouting/Events.h>

namespace Wisteria {

std::string_view decisionName(DecisionKind kind)
{
    switch (kind) {
    case DecisionKind::Start:
        return "start";
    case DecisionKind::Queue:
        return "queue";
    case DecisionKind::Resume:
        return "resume";
    case DecisionKind::Race:
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
