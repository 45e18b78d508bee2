// Load estimation and failure tracking for one target.

#include <LibRouting/TargetState.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr absl::Duration initialCooldown = absl::Seconds(2);
constexpr absl::Duration maxCooldown = absl::Seconds(30);
constexpr absl::Duration overloadCooldown = absl::Milliseconds(500);
// Older load reports are ignored, and only the streams of this router count.
constexpr absl::Duration reportLifetime = absl::Seconds(15);
// Bounds the list of local changes when no reports arrive.
constexpr std::size_t maxLocalChanges = 256;

} // namespace detail

void TargetState::apply(const LoadReported &report, absl::Time now)
{
    const absl::Time measuredAt = now - report.age;
    // Reports may arrive out of order.
    if (measuredAt < m_reportedAt)
        return;
    m_reportedLoad = report.running + report.waiting;
    m_reportedAt = measuredAt;
    while (!m_localChangesSinceReport.empty() && m_localChangesSinceReport.front().at <= measuredAt)
        m_localChangesSinceReport.pop_front();
}

void TargetState::apply(const CacheReported &report)
{
    for (const auto &prefixHash : report.stored)
        m_cache.noteStored(prefixHash);
    for (const auto &prefixHash : report.evicted)
        m_cache.noteEvicted(prefixHash);
}

void TargetState::noteAttemptStarted(absl::Time now)
{
    ++m_localAttempts;
    m_localChangesSinceReport.push_back(LocalLoadChange{now, 1});
    if (m_localChangesSinceReport.size() > detail::maxLocalChanges)
        m_localChangesSinceReport.pop_front();
}

void TargetState::noteAttemptEnded(absl::Time now)
{
    VERIFY(m_localAttempts > 0);
    --m_localAttempts;
    m_localChangesSinceReport.push_back(LocalLoadChange{now, -1});
    if (m_localChangesSinceReport.size() > detail::maxLocalChanges)
        m_localChangesSinceReport.pop_front();
}

void TargetState::noteFailure(absl::Time now)
{
    // All streams of a failed engine fail together and count as one failure.
    if (isCoolingDown(now))
        return;
    constexpr std::uint32_t maxDoublings = 4;
    const auto doublings = std::min(m_consecutiveFailures, maxDoublings);
    ++m_consecutiveFailures;
    m_cooldownEnd = now + std::min(detail::initialCooldown * (1 << doublings), detail::maxCooldown);
}

void TargetState::noteOverloaded(absl::Time now)
{
    m_cooldownEnd = std::max(m_cooldownEnd, now + detail::overloadCooldown);
}

void TargetState::noteProgress(absl::Time now)
{
    m_lastProgress = now;
    if (m_consecutiveFailures == 0)
        return;
    m_consecutiveFailures = 0;
    m_cooldownEnd = absl::InfinitePast();
}

std::uint32_t TargetState::load(absl::Time now) const
{
    if (now - m_reportedAt > detail::reportLifetime)
        return m_localAttempts;
    std::int64_t estimate = m_reportedLoad;
    for (const auto &it : m_localChangesSinceReport)
        estimate += it.delta;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(estimate, m_localAttempts));
}

} // namespace Wisteria
