// Records notices by target and drops those of earlier processes.

#include <LibForwarding/TargetNotices.h>

#include <algorithm>

namespace Wisteria {

TargetNoticeEffect TargetNotices::record(const TargetProcess &process, const TargetNotice &notice,
                                         absl::Time requestSentAt, absl::Time now)
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
        std::erase_if(known.backoffs, [&](const Backoff &old) { return old.end <= now; });
        if (known.backoffs.size() >= maxBackoffs) {
            const auto oldest = known.backoffs.front();
            known.backoffs.erase(known.backoffs.begin());
            auto &merged = known.backoffs.front();
            merged.countedFrom = std::min(merged.countedFrom, oldest.countedFrom);
            merged.end = std::max(merged.end, oldest.end);
            merged.requests = std::max(merged.requests, oldest.requests);
        }
        known.backoffs.push_back({.countedFrom = requestSentAt + uncountedTime, .end = end});
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

absl::Time TargetNotices::earliestUrgentRequest(const TargetId &id, absl::Time now) const
{
    const auto it = m_notices.find(id);
    auto earliest = now;
    if (it == m_notices.end())
        return earliest;
    // The end of one backoff may lie in another one.
    const auto &backoffs = it->second.backoffs;
    for (std::size_t n = 0; n < backoffs.size();) {
        if (backoffs[n].isExhausted(earliest)) {
            earliest = backoffs[n].end;
            n = 0;
        } else {
            ++n;
        }
    }
    return earliest;
}

bool TargetNotices::tryTakeUrgentRequest(const TargetId &id, absl::Time now)
{
    if (earliestUrgentRequest(id, now) > now)
        return false;
    const auto it = m_notices.find(id);
    if (it == m_notices.end())
        return true;
    for (auto &backoff : it->second.backoffs) {
        if (now >= backoff.countedFrom && now < backoff.end)
            ++backoff.requests;
    }
    return true;
}

} // namespace Wisteria
