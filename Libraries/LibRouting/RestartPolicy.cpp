// Registers the baseline policy that restarts on the next target.

#include <LibRouting/RestartPolicy.h>

namespace Wisteria {

const ResumePolicyRegistration<RestartPolicy> RestartPolicy::registration{"restart"};

} // namespace Wisteria
