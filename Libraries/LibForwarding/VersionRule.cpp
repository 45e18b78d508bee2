// Checks a version against the rule.

#include <LibForwarding/VersionRule.h>

#include <LibForwarding/RolloutShare.h>

namespace Wisteria {

static_assert(VersionChoice{} == VersionChoice::Any);

bool VersionRule::allows(const TargetVersion &version) const
{
    return choice == VersionChoice::Any || (version == candidate) == (choice == VersionChoice::CandidateOnly);
}

} // namespace Wisteria
