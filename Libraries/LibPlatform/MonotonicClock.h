// The clock that hosts hand to the decision parts.

#pragma once

#include <absl/time/time.h>

namespace Wisteria {

// Time since boot. It never goes back, and it goes on while the VM is suspended: a lease that lapsed
// meanwhile must be seen to have lapsed. Comparable only within one VM.
[[nodiscard]] absl::Time monotonicNow();

} // namespace Wisteria
