// Names of phases and healths, as they stand in logs and answers.

#include <LibMembership/Events.h>

namespace Wisteria {

std::string_view memberPhaseName(MemberPhase phase)
{
    switch (phase) {
    case MemberPhase::Live:
        return "live";
    case MemberPhase::Suspect:
        return "suspect";
    case MemberPhase::Leaving:
        return "leaving";
    case MemberPhase::Dead:
        return "dead";
    }
    return "unknown";
}

std::string_view targetHealthName(TargetHealth health)
{
    switch (health) {
    case TargetHealth::Up:
        return "up";
    case TargetHealth::Suspect:
        return "suspect";
    case TargetHealth::Leaving:
        return "leaving";
    case TargetHealth::Gone:
        return "gone";
    }
    return "unknown";
}

} // namespace Wisteria
