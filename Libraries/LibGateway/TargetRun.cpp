// Load accounting and progress of one run.

#include <LibGateway/TargetRun.h>

#include <utility>

namespace Wisteria {

TargetRun::TargetRun(GatewayContext &gatewayContext, const ForwardingTarget &record, const Origin &origin,
                     absl::Time now)
    : m_gatewayContext(gatewayContext), m_process(record.process()), m_version(record.version),
      m_origin(origin), m_sentAt(now)
{
    if (m_gatewayContext.rollouts)
        m_counted = m_gatewayContext.rollouts->recordAttempt(record, origin.isAtMostOnce);
}

TargetRun::~TargetRun()
{
    cancel();
    m_gatewayContext.targets.subtractLoad(target(), m_load);
    reserveCopy(std::nullopt, 0);
    m_gatewayContext.loadChanged();
}

void TargetRun::cancel()
{
    if (m_attempt)
        m_attempt->cancel();
}

void TargetRun::reserve(const TargetLoad &load)
{
    m_load = load;
    m_gatewayContext.targets.addLoad(target(), m_load);
    m_gatewayContext.loadChanged();
}

void TargetRun::reserveCopy(const std::optional<TargetId> &holder, std::int64_t memoryTokens)
{
    if (m_copyHolder)
        m_gatewayContext.targets.subtractLoad(*m_copyHolder, std::exchange(m_copyLoad, {}));
    m_copyHolder = holder;
    if (!m_copyHolder)
        return;
    m_copyLoad = {.requests = 0, .pendingPrefillTokens = 0, .memoryTokens = memoryTokens};
    m_gatewayContext.targets.addLoad(*m_copyHolder, m_copyLoad);
}

void TargetRun::setStreamHead(const HttpResponseHead &head, absl::Time now)
{
    m_acceptedAt = now;
    m_streamHead = head;
    removeConnectionFields(m_streamHead->fields, m_gatewayContext.dialect);
}

bool TargetRun::recordEvents(std::size_t n, absl::Time now)
{
    markPromptProcessed();
    m_eventCount += static_cast<std::int64_t>(n);
    if (m_firstEventAt)
        return false;
    m_firstEventAt = now;
    m_windowStart = now;
    m_windowBegin = m_eventCount;
    return true;
}

std::optional<TargetRun::DecodingWindow> TargetRun::takeDecodingWindow(absl::Duration minLength,
                                                                       absl::Time now)
{
    if (!m_firstEventAt || now - m_windowStart < minLength)
        return std::nullopt;
    const DecodingWindow window{m_eventCount - m_windowBegin, now - m_windowStart};
    m_windowStart = now;
    m_windowBegin = m_eventCount;
    return window;
}

void TargetRun::markPromptProcessed()
{
    if (m_load.pendingPrefillTokens == 0)
        return;
    m_gatewayContext.targets.subtractLoad(
        target(), {.pendingPrefillTokens = std::exchange(m_load.pendingPrefillTokens, 0)});
    m_gatewayContext.loadChanged();
}

absl::Duration TargetRun::writingTime(absl::Time now) const
{
    return m_firstEventAt ? now - *m_firstEventAt : absl::ZeroDuration();
}

} // namespace Wisteria
