// Times of confirmations and reads.

#include <LibForwarding/ViewFreshness.h>

#include <algorithm>

namespace Wisteria {

void ViewFreshness::confirm(absl::Time asOf)
{
    if (asOf <= m_confirmedAt)
        return;
    m_confirmedAt = asOf;
    m_unansweredReads = 0;
}

void ViewFreshness::confirmByStore(absl::Time asOf)
{
    confirm(asOf);
    m_newestReported = {};
}

void ViewFreshness::confirmByPeer(StorePosition peer, absl::Duration age, StorePosition own, absl::Time now)
{
    notePosition(peer);
    // A peer without the newest change confirms nothing: it has not been told of it yet.
    if (own >= m_newestReported)
        confirm(now - age);
}

void ViewFreshness::notePosition(StorePosition position)
{
    m_newestReported = std::max(m_newestReported, position);
}

void ViewFreshness::readStarted(absl::Time now)
{
    m_lastReadAt = now;
    ++m_unansweredReads;
}

absl::Time ViewFreshness::readDueAt(std::size_t routersBefore) const
{
    const auto spread = std::min(spreadPerRouter * static_cast<std::int64_t>(routersBefore),
                                 maxSpreadFraction * m_changeDeadline);
    const auto interval = maxUnconfirmedFraction * m_changeDeadline;
    const int doublings = std::clamp(m_unansweredReads - 1, 0, maxDoublings);
    return std::max(m_confirmedAt + interval, m_lastReadAt + interval * (1 << doublings)) + spread;
}

} // namespace Wisteria
