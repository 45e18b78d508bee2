// Issues permits for the requests to limited targets. One router issues all permits of a target, so that the
// requests of all routers together keep its limit.
//
// A permit says when its request may be sent. The times of a target's permits are spaced by its limit
// (generic cell rate algorithm), so a request that comes too early is given a later time, if it can wait.
//
// Performs no I/O.

#pragma once

#include <LibForwarding/TargetLimits.h>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

namespace Wisteria {

struct PermitOutcome
{
    bool isGranted{false};
    // Granted: time until the request may be sent. Otherwise: time until a permit is expected to be free.
    absl::Duration delay;

    bool operator==(const PermitOutcome &) const = default;
};

class PermitIssuer
{
public:
    // Permits are issued at most this long before their time. It is also how long a router that begins to
    // issue a target's permits waits, since the one before it may have issued permits up to this time.
    static constexpr absl::Duration horizon = absl::Seconds(1);
    // Permits that nobody asked for in this time may be issued at once.
    static constexpr absl::Duration burstPeriod = absl::Seconds(1);
    // A target that names a lower limit, or none at all, is still sent requests at this rate: only an answer
    // can tell that the limit has ended.
    static constexpr RequestRate minRate = RequestRate::perSecond(0.1);

    // When a permit that is expected to be free after `delay` is offered to requests that wait for the whole
    // horizon. They ask again then, which is before all others.
    [[nodiscard]] static absl::Duration timeUntilOffered(absl::Duration delay)
    {
        return std::max(delay - horizon, absl::ZeroDuration());
    }

    // This router issues the target's permits from now on, unless it already does.
    void startIssuing(const TargetLimit &, absl::Time now);
    // Issues a permit if its time is at most `maxWait` away. The target's limit must be in force.
    [[nodiscard]] PermitOutcome issue(const TargetLimit &, absl::Duration maxWait, absl::Time now);
    // This router does not issue the target's permits, or does so no longer.
    void stopIssuing(const TargetId &id) { m_schedules.erase(id); }
    // Targets that this router has issued permits for and still does, as far as it has been told.
    [[nodiscard]] std::vector<TargetId> targets() const;

private:
    struct Schedule
    {
        TargetProcess process;
        // Time of the next permit. It may be in the past.
        absl::Time nextAt;
    };

    [[nodiscard]] Schedule &scheduleOf(const TargetLimit &, absl::Time now);

    absl::flat_hash_map<TargetId, Schedule> m_schedules;
};

} // namespace Wisteria
