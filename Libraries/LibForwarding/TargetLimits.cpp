// Orders what answers and other routers say of a target's limit.

#include <LibForwarding/TargetLimits.h>

#include <algorithm>

namespace Wisteria {

TargetLimit *TargetLimits::findProcess(const TargetProcess &process)
{
    const auto it = m_limits.find(process.id);
    if (it == m_limits.end() || it->second.process.isLaterThan(process))
        return nullptr;
    if (process.isLaterThan(it->second.process)) {
        processStarted(process);
        return nullptr;
    }
    return &it->second;
}

TargetLimitChange TargetLimits::add(const TargetLimit &limit)
{
    // A limit that has ended is of no use without the one that it ended.
    const auto it = m_limits.find(limit.process.id);
    if (!limit.rate || it != m_limits.end())
        return TargetLimitChange::None;
    m_limits.emplace(limit.process.id, limit);
    m_order.push_back(limit.process.id);
    if (m_order.size() > maxLimits) {
        m_limits.erase(m_order.front());
        m_order.pop_front();
    }
    return TargetLimitChange::Named;
}

TargetLimitChange TargetLimits::apply(TargetLimit &known, std::optional<RequestRate> rate,
                                      absl::Time statedAt, absl::Time firstNamedAt)
{
    if (statedAt < known.statedAt)
        return TargetLimitChange::None;
    known.statedAt = statedAt;
    const auto before = std::exchange(known.rate, rate);
    if (!before && rate) {
        known.firstNamedAt = firstNamedAt;
        return TargetLimitChange::Named;
    }
    if (before && !rate)
        return TargetLimitChange::Ended;
    known.firstNamedAt = std::min(known.firstNamedAt, firstNamedAt);
    return before == rate ? TargetLimitChange::None : TargetLimitChange::Changed;
}

TargetLimitChange TargetLimits::recordNamed(const TargetProcess &process, RequestRate rate,
                                            absl::Time requestSentAt, absl::Time now)
{
    auto *known = findProcess(process);
    if (!known)
        return add({process, rate, now, now});
    const bool isRelaxed = known->rate && rate > *known->rate;
    return apply(*known, rate, isRelaxed ? requestSentAt : now, now);
}

TargetLimitChange TargetLimits::recordAbsent(const TargetProcess &process, absl::Time requestSentAt)
{
    auto *known = findProcess(process);
    if (!known || !known->rate)
        return TargetLimitChange::None;
    return apply(*known, std::nullopt, requestSentAt, requestSentAt);
}

TargetLimitChange TargetLimits::merge(const TargetLimit &limit)
{
    auto *known = findProcess(limit.process);
    if (!known)
        return add(limit);
    return apply(*known, limit.rate, limit.statedAt, limit.firstNamedAt);
}

void TargetLimits::processStarted(const TargetProcess &process)
{
    const auto it = m_limits.find(process.id);
    if (it == m_limits.end() || !process.isLaterThan(it->second.process))
        return;
    m_limits.erase(it);
    std::erase(m_order, process.id);
}

const TargetLimit *TargetLimits::find(const TargetId &id) const
{
    const auto it = m_limits.find(id);
    return it == m_limits.end() || !isInForce(it->second) ? nullptr : &it->second;
}

std::vector<TargetLimit> TargetLimits::inForce() const
{
    std::vector<TargetLimit> out;
    for (const auto &[id, limit] : m_limits) {
        if (isInForce(limit))
            out.push_back(limit);
    }
    return out;
}

std::vector<TargetLimit> TargetLimits::recent(std::size_t most, absl::Time now) const
{
    std::vector<TargetLimit> out;
    for (const auto &[id, limit] : m_limits) {
        if (limit.rate || now - limit.statedAt < endedLifetime)
            out.push_back(limit);
    }
    std::sort(out.begin(), out.end(),
              [](const TargetLimit &a, const TargetLimit &b) { return a.statedAt > b.statedAt; });
    if (out.size() > most)
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(most), out.end());
    return out;
}

std::size_t TargetLimits::countInForce() const
{
    return static_cast<std::size_t>(
        std::count_if(m_limits.begin(), m_limits.end(), [](const auto &it) { return isInForce(it.second); }));
}

} // namespace Wisteria
