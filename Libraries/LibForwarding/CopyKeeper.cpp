// The transitions of the copy keeper.

#include <LibForwarding/CopyKeeper.h>

namespace Wisteria {

std::vector<CopyAction> CopyKeeper::handle(const CopyEvent &event, absl::Time now)
{
    std::visit([this, now](const auto &it) { on(it, now); }, event);
    return std::exchange(m_out, {});
}

void CopyKeeper::on(const CopyEvents::AttemptBegan &event, absl::Time)
{
    const int calls = m_calls;
    *this = CopyKeeper();
    m_calls = calls;
    if (event.holder)
        m_copy = KeptCopy{*event.holder, ""};
}

void CopyKeeper::on(const CopyEvents::EventsBegan &, absl::Time)
{
    if (std::exchange(m_hasEvents, true))
        return;
    if (!m_copy)
        makeCopy();
}

void CopyKeeper::on(const CopyEvents::TargetLost &event, absl::Time)
{
    if (!m_copy || m_copy->holder != event.target)
        return;
    m_copy.reset();
    m_copyAt.reset();
    if (m_hasEvents)
        makeCopy();
}

void CopyKeeper::on(const CopyEvents::CopyMade &event, absl::Time now)
{
    if (!endCall(event.call))
        return;
    m_copy = KeptCopy{event.holder, event.handle};
    setTimer(now + renewInterval);
}

void CopyKeeper::on(const CopyEvents::CopyRefused &event, absl::Time now)
{
    if (!endCall(event.call))
        return;
    m_copy.reset();
    setTimer(now + refusedPause);
}

void CopyKeeper::on(const CopyEvents::CopyImpossible &event, absl::Time)
{
    if (endCall(event.call))
        m_isImpossible = true;
}

void CopyKeeper::on(const CopyEvents::AttemptEnded &, absl::Time)
{
    if (m_copy && !m_copy->handle.empty())
        m_out.emplace_back(CopyActions::DropCopy{m_copy->handle});
    m_copy.reset();
    m_copyAt.reset();
    m_isImpossible = true;
}

void CopyKeeper::on(const CopyEvents::Tick &, absl::Time now)
{
    if (!m_copyAt || now < *m_copyAt)
        return;
    m_copyAt.reset();
    makeCopy();
}

void CopyKeeper::makeCopy()
{
    if (m_isCopying || m_isImpossible)
        return;
    m_isCopying = true;
    CopyActions::MakeCopy action{.call = ++m_calls};
    if (m_copy && !m_copy->handle.empty())
        action.holder = m_copy->holder;
    m_out.emplace_back(action);
}

bool CopyKeeper::endCall(int call)
{
    if (!m_isCopying || call != m_calls)
        return false;
    m_isCopying = false;
    return true;
}

void CopyKeeper::setTimer(absl::Time at)
{
    if (m_isImpossible)
        return;
    m_copyAt = at;
    m_out.emplace_back(CopyActions::SetTimer{at});
}

} // namespace Wisteria
