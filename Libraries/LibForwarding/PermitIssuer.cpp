// Spaces the permits of each target by its limit.

#include <LibForwarding/PermitIssuer.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

absl::Duration permitInterval(const TargetLimit &limit)
{
    return std::max(*limit.rate, PermitIssuer::minRate).interval();
}

// How much earlier than its time a permit may be used, because of permits that nobody asked for.
absl::Duration burstTolerance(const TargetLimit &limit)
{
    return std::max(PermitIssuer::burstPeriod - permitInterval(limit), absl::ZeroDuration());
}

} // namespace detail

PermitIssuer::Schedule &PermitIssuer::scheduleOf(const TargetLimit &limit, absl::Time now)
{
    auto [it, isNew] = m_schedules.try_emplace(limit.process.id);
    auto &schedule = it->second;
    if (!isNew && !limit.process.isLaterThan(schedule.process))
        return schedule;
    // Nobody has issued permits for a limit that was just named.
    const bool isLimitNew = now - limit.firstNamedAt < horizon;
    const auto startAt = isNew && !isLimitNew ? now + horizon : now;
    // There is nothing to catch up yet.
    schedule = {limit.process, startAt + detail::burstTolerance(limit)};
    return schedule;
}

void PermitIssuer::startIssuing(const TargetLimit &limit, absl::Time now)
{
    (void)scheduleOf(limit, now);
}

PermitOutcome PermitIssuer::issue(const TargetLimit &limit, absl::Duration maxWait, absl::Time now)
{
    auto &schedule = scheduleOf(limit, now);
    const auto delay = std::max(schedule.nextAt - detail::burstTolerance(limit) - now, absl::ZeroDuration());
    if (delay > std::min(maxWait, horizon))
        return {false, delay};
    schedule.nextAt = std::max(schedule.nextAt, now) + detail::permitInterval(limit);
    return {true, delay};
}

std::vector<TargetId> PermitIssuer::targets() const
{
    std::vector<TargetId> out;
    out.reserve(m_schedules.size());
    for (const auto &[id, schedule] : m_schedules)
        out.push_back(id);
    return out;
}

} // namespace Wisteria
