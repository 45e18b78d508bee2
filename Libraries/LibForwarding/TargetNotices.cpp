// Records notices by target and drops those of earlier processes.

#include <LibForwarding/TargetNotices.h>

#include <algorithm>

namespace Wisteria {

TargetNoticeEffect TargetNotices::record(const TargetProcess &process, const TargetNotice &notice,
                                         absl::Time now)
{
    if (!notice.isLeaving && !notice.backoff)
        return {};
    auto [it, isNew] = m_notices.try_emplace(process.id, Notice{.process = process});
    if (isNew)
        m_order.push_back(process.id);
    else if (it->second.process.isLaterThan(process))
        return {};
    else if (process.isLaterThan(it->second.process))
        it->second = Notice{.process = process};
    auto &known = it->second;
    TargetNoticeEffect effect;
    if (notice.isLeaving && !known.isLeaving) {
        known.isLeaving = true;
        effect.hasStartedLeaving = true;
    }
    if (notice.backoff) {
        const auto end = now + std::min(*notice.backoff, maxBackoff);
        effect.hasBackedOff = end > known.backoffEnd;
        known.backoffEnd = std::max(known.backoffEnd, end);
    }
    if (m_order.size() > maxNotices) {
        m_notices.erase(m_order.front());
        m_order.pop_front();
    }
    return effect;
}

bool TargetNotices::processStarted(const TargetProcess &process)
{
    const auto it = m_notices.find(process.id);
    if (it == m_notices.end() || !process.isLaterThan(it->second.process))
        return false;
    m_notices.erase(it);
    std::erase(m_order, process.id);
    return true;
}

bool TargetNotices::isLeaving(const TargetId &id) const
{
    const auto it = m_notices.find(id);
    return it != m_notices.end() && it->second.isLeaving;
}

absl::Time TargetNotices::backoffEnd(const TargetId &id) const
{
    const auto it = m_notices.find(id);
    return it == m_notices.end() ? absl::InfinitePast() : it->second.backoffEnd;
}

} // namespace Wisteria
