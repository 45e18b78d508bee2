// State transitions of the KV cache copies.

#include <LibForwarding/KvCopyManager.h>

namespace Wisteria {

std::vector<KvCopyAction> KvCopyManager::handle(const KvCopyEvent &event, absl::Time now)
{
    std::visit([this, now](const auto &it) { on(it, now); }, event);
    return std::exchange(m_actions, {});
}

void KvCopyManager::on(const KvCopyEvents::AttemptStarted &event, absl::Time)
{
    const int lastCallId = m_lastCallId;
    *this = KvCopyManager();
    m_lastCallId = lastCallId;
    if (event.holder)
        m_copy = KvCopy{*event.holder, ""};
}

void KvCopyManager::on(const KvCopyEvents::FirstEventReceived &, absl::Time)
{
    if (std::exchange(m_hasEvents, true))
        return;
    if (!m_copy)
        requestCopy();
}

void KvCopyManager::on(const KvCopyEvents::TargetLost &event, absl::Time)
{
    if (!m_copy || m_copy->holder != event.target)
        return;
    m_copy.reset();
    m_nextCopyAt.reset();
    if (m_hasEvents)
        requestCopy();
}

void KvCopyManager::on(const KvCopyEvents::CopyCreated &event, absl::Time now)
{
    if (!completeCall(event.callId))
        return;
    m_copy = KvCopy{event.holder, event.handle};
    setTimer(now + renewInterval);
}

void KvCopyManager::on(const KvCopyEvents::CopyFailed &event, absl::Time now)
{
    if (!completeCall(event.callId))
        return;
    m_copy.reset();
    setTimer(now + retryDelay);
}

void KvCopyManager::on(const KvCopyEvents::CopyUnsupported &event, absl::Time)
{
    if (completeCall(event.callId))
        m_isDisabled = true;
}

void KvCopyManager::on(const KvCopyEvents::AttemptEnded &, absl::Time)
{
    if (m_copy && !m_copy->handle.empty())
        m_actions.emplace_back(KvCopyActions::DeleteCopy{m_copy->handle});
    m_copy.reset();
    m_nextCopyAt.reset();
    m_isDisabled = true;
}

void KvCopyManager::on(const KvCopyEvents::Tick &, absl::Time now)
{
    if (!m_nextCopyAt || now < *m_nextCopyAt)
        return;
    m_nextCopyAt.reset();
    requestCopy();
}

void KvCopyManager::requestCopy()
{
    if (m_isCallPending || m_isDisabled)
        return;
    m_isCallPending = true;
    KvCopyActions::CreateCopy action{.callId = ++m_lastCallId};
    if (m_copy && !m_copy->handle.empty())
        action.holder = m_copy->holder;
    m_actions.emplace_back(action);
}

bool KvCopyManager::completeCall(int callId)
{
    if (!m_isCallPending || callId != m_lastCallId)
        return false;
    m_isCallPending = false;
    return true;
}

void KvCopyManager::setTimer(absl::Time at)
{
    if (m_isDisabled)
        return;
    m_nextCopyAt = at;
    m_actions.emplace_back(KvCopyActions::SetTimer{at});
}

} // namespace Wisteria
