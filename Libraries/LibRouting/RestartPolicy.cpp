// Registers the baseline that starts again on the next target.

#include <LibRouting/RestartPolicy.h>

namespace Wisteria {

const ResumePolicyRegistration<RestartPolicy> RestartPolicy::registration{"restart"};

} // namespace Wisteria
