// Spaces the permits of each target by its limit.

#include <LibForwarding/PermitIssuer.h>

#include <algorithm>

namespace Wisteria {

PermitIssuer::Schedule &PermitIssuer::scheduleOf(const TargetLimit &limit, absl::Time now)
{
    auto [it, isNew] = m_schedules.try_emplace(limit.process.id);
    auto &schedule = it->second;
    if (!isNew && !limit.process.isLaterThan(schedule.process))
        return schedule;
    // Nobody has issued permits for a limit that was just named.
    const bool isLimitNew = now - limit.firstNamedAt < horizon;
    schedule = {limit.process, isNew && !isLimitNew ? now + horizon : now};
    return schedule;
}

PermitOutcome PermitIssuer::issue(const TargetLimit &limit, absl::Duration maxWait, absl::Time now)
{
    auto &schedule = scheduleOf(limit, now);
    const auto rate = std::max(*limit.rate, minRate);
    const auto interval = rate.interval();
    const auto burst = std::max(burstPeriod - interval, absl::ZeroDuration());
    const auto delay = std::max(schedule.nextAt - burst - now, absl::ZeroDuration());
    if (delay > std::min(maxWait, horizon))
        return {false, delay};
    schedule.nextAt = std::max(schedule.nextAt, now) + interval;
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
