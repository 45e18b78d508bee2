// Registers the baseline policy with a constant stall limit.

#include <LibRouting/FixedStallPolicy.h>

namespace Wisteria {

const ResumePolicyRegistration<FixedStallPolicy> FixedStallPolicy::registration{"fixed-stall"};

} // namespace Wisteria
