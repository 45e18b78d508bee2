// Load and failure estimates of one target.

#include <LibRouting/TargetState.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr absl::Duration firstCooldown = absl::Seconds(2);
constexpr absl::Duration longestCooldown = absl::Seconds(30);
constexpr absl::Duration overloadCooldown = absl::Milliseconds(500);
// After this time a report says nothing any more, and only the own streams count.
constexpr absl::Duration reportLifetime = absl::Seconds(15);
// Without reports the list of own changes is cut at this length.
constexpr std::size_t maxOwnChanges = 256;

} // namespace detail

void TargetState::apply(const LoadReported &report, absl::Time now)
{
    const absl::Time measuredAt = now - report.age;
    // Reports may cross.
    if (measuredAt < m_reportedAt)
        return;
    m_reported = report.running + report.waiting;
    m_reportedAt = measuredAt;
    while (!m_ownSinceReport.empty() && m_ownSinceReport.front().at <= measuredAt)
        m_ownSinceReport.pop_front();
}

void TargetState::apply(const CacheReported &report)
{
    for (const auto &head : report.stored)
        m_cache.noteStored(head);
    for (const auto &head : report.evicted)
        m_cache.noteEvicted(head);
}

void TargetState::noteAttemptBegun(absl::Time now)
{
    ++m_own;
    m_ownSinceReport.push_back(OwnChange{now, 1});
    if (m_ownSinceReport.size() > detail::maxOwnChanges)
        m_ownSinceReport.pop_front();
}

void TargetState::noteAttemptEnded(absl::Time now)
{
    VERIFY(m_own > 0);
    --m_own;
    m_ownSinceReport.push_back(OwnChange{now, -1});
    if (m_ownSinceReport.size() > detail::maxOwnChanges)
        m_ownSinceReport.pop_front();
}

void TargetState::noteFailure(absl::Time now)
{
    // The streams of a dead engine fail together; that is one failure.
    if (isCoolingDown(now))
        return;
    constexpr std::uint32_t mostDoublings = 4;
    const auto doublings = std::min(m_failuresInRow, mostDoublings);
    ++m_failuresInRow;
    m_cooldownEnd = now + std::min(detail::firstCooldown * (1 << doublings), detail::longestCooldown);
}

void TargetState::noteOverloaded(absl::Time now)
{
    m_cooldownEnd = std::max(m_cooldownEnd, now + detail::overloadCooldown);
}

void TargetState::noteProgress(absl::Time now)
{
    m_lastProgress = now;
    if (m_failuresInRow == 0)
        return;
    m_failuresInRow = 0;
    m_cooldownEnd = absl::InfinitePast();
}

std::uint32_t TargetState::load(absl::Time now) const
{
    if (now - m_reportedAt > detail::reportLifetime)
        return m_own;
    std::int64_t estimate = m_reported;
    for (const auto &it : m_ownSinceReport)
        estimate += it.delta;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(estimate, m_own));
}

} // namespace Wisteria
