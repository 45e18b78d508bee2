// Counts arrivals in sliding periods.

#include "EngineLimits.h"

#include <algorithm>

namespace Wisteria {

void EngineLimits::begin(const std::string &engine, double perSecond, absl::Time now)
{
    m_limits.push_back({.engine = engine, .perSecond = perSecond, .from = now});
}

void EngineLimits::end(const std::string &engine, absl::Time now)
{
    if (auto *limit = limitAt(engine, now))
        limit->to = now;
}

EngineLimits::Limit *EngineLimits::limitAt(const std::string &engine, absl::Time at)
{
    const auto it = std::find_if(m_limits.begin(), m_limits.end(), [&](const Limit &limit) {
        return limit.engine == engine && limit.from <= at && at < limit.to;
    });
    return it == m_limits.end() ? nullptr : &*it;
}

void EngineLimits::noteArrival(const std::string &engine, const std::string &router, absl::Time now)
{
    if (auto *limit = limitAt(engine, now))
        limit->arrivals.push_back({router, now});
}

void EngineLimits::notePassedOn(const std::string &engine, const std::string &router, absl::Time reachedAt,
                                absl::Time now)
{
    if (auto *limit = limitAt(engine, reachedAt))
        limit->passedOn[router].push_back(now);
}

bool EngineLimits::wasTold(const Limit &limit, const Arrival &arrival, absl::Time periodEnd) const
{
    const auto it = limit.passedOn.find(arrival.router);
    return it != limit.passedOn.end()
        && std::any_of(it->second.begin(), it->second.end(), [&](absl::Time passedOnAt) {
               return passedOnAt + margin <= arrival.at
                   && m_disturbances.isCalm(DisturbanceKind::Router, arrival.router, passedOnAt, periodEnd);
           });
}

int EngineLimits::countFrom(const Limit &limit, absl::Time from) const
{
    return static_cast<int>(
        std::count_if(limit.arrivals.begin(), limit.arrivals.end(), [&](const Arrival &it) {
            return it.at >= from && it.at < from + period && wasTold(limit, it, from + period);
        }));
}

std::vector<EngineLimits::Judgement> EngineLimits::judge(absl::Duration contact) const
{
    std::vector<Judgement> out;
    for (const auto &limit : m_limits) {
        Judgement judgement{.engine = limit.engine, .perSecond = limit.perSecond};
        judgement.allowed = static_cast<int>(allowedExcess * limit.perSecond * absl::ToDoubleSeconds(period)
                                             + allowedExtraRequests);
        for (const auto &it : limit.arrivals) {
            if (it.at >= limit.from + contact
                && m_disturbances.isCalm(DisturbanceKind::Observer, "", it.at, it.at + period))
                judgement.most = std::max(judgement.most, countFrom(limit, it.at));
        }
        out.push_back(std::move(judgement));
    }
    return out;
}

} // namespace Wisteria
