// List of the built-in plug-ins.

#include <LibRouting/BuiltInPlugins.h>

#include <LibRouting/AdaptivePolicy.h>
#include <LibRouting/AffinitySelector.h>
#include <LibRouting/FixedStallPolicy.h>
#include <LibRouting/LeastLoadedSelector.h>
#include <LibRouting/RestartPolicy.h>
#include <LibRouting/RoundRobinSelector.h>

#include <array>

namespace Wisteria::detail {

void linkBuiltInPlugins()
{
    static const std::array<const void *, 6> registrations = {
        &AdaptivePolicy::registration,      &FixedStallPolicy::registration,
        &RestartPolicy::registration,       &AffinitySelector::registration,
        &LeastLoadedSelector::registration, &RoundRobinSelector::registration,
    };
    for (const void *it : registrations)
        VERIFY(it != nullptr);
}

} // namespace Wisteria::detail
