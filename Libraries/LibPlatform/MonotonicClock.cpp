// CLOCK_BOOTTIME as an absl::Time.

#include <LibPlatform/MonotonicClock.h>

#include <LibCore/Verify.h>

#include <ctime>

namespace Wisteria {

absl::Time monotonicNow()
{
    timespec ts{};
    VERIFY(clock_gettime(CLOCK_BOOTTIME, &ts) == 0);
    return absl::TimeFromTimespec(ts);
}

} // namespace Wisteria
