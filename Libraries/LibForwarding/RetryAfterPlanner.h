// Plans when refused callers return.
//
// Load pattern: after an outage or in a burst, a router refuses many requests within a moment. If their
// callers return together, most of them are refused again, while capacity that became available in between
// was not used. Successive refusals are therefore given successive times, as far apart as the targets need
// for the work that each caller brings back.
//
// Performs no I/O. Each router plans for its own refusals; it assumes that its peers refuse alike.

#pragma once

#include <absl/time/time.h>

namespace Wisteria {

struct RefusedWork
{
    // Time until the targets could start a request like this one in time.
    absl::Duration untilCapacity;
    // Time that all targets together need for the request, multiplied by the number of routers that hand out
    // their capacity.
    absl::Duration workTime;
    // How long the caller waits in total, and what is left of it.
    absl::Duration callerTimeout;
    absl::Duration timeLeft;
    // Time that a target needs to serve the request.
    absl::Duration serviceTime;
};

// The caller should return between these times from now.
struct PlannedReturn
{
    absl::Duration earliest;
    absl::Duration latest;
};

class RetryAfterPlanner
{
public:
    // The times of a refusal are at least this far apart, since callers don't return to the millisecond.
    static constexpr absl::Duration minSpread = absl::Milliseconds(20);

    [[nodiscard]] PlannedReturn plan(const RefusedWork &, absl::Time now);

private:
    // The capacity up to this time has been promised to refused callers.
    absl::Time m_promisedUntil{absl::InfinitePast()};
};

} // namespace Wisteria
