// Configuration reload and graceful shutdown of a gateway.

#include <LibGateway/Gateway.h>

#include <LibPlatform/MonotonicClock.h>

namespace Wisteria {

namespace detail {

constexpr absl::Duration shutdownCheckInterval = absl::Milliseconds(100);
// Time to write the last responses before the event loop stops.
constexpr absl::Duration finalWriteDelay = absl::Milliseconds(200);

} // namespace detail

void Gateway::reload(const GatewaySettings &settings)
{
    const bool needsRestart = settings.id != m_settings.id || settings.callerListen != m_settings.callerListen
        || settings.entryPointListen != m_settings.entryPointListen
        || settings.readinessListen != m_settings.readinessListen
        || settings.metricsListen != m_settings.metricsListen || settings.peerListen != m_settings.peerListen
        || settings.store != m_settings.store;
    m_log.write("reloaded",
                {{"needs_restart", needsRestart},
                 {"entry_point_lifetime_s", absl::ToDoubleSeconds(settings.entryPointLifetime)},
                 {"stop_grace_s", absl::ToDoubleSeconds(settings.stopGrace)},
                 {"repeat_ratio", settings.retryLimits.ratio},
                 {"repeat_slack", settings.retryLimits.minRetriesPerWindow}},
                monotonicNow());
    m_settings.entryPointLifetime = settings.entryPointLifetime;
    m_settings.stopGrace = settings.stopGrace;
    m_settings.retryLimits = settings.retryLimits;
    for (auto &[service, budget] : m_budgets)
        budget.setLimits(settings.retryLimits);
}

void Gateway::reloadFailed(const Error &error)
{
    m_log.write("reload_failed", {{"error", errorName(error.code)}, {"detail", error.detail}},
                monotonicNow());
}

void Gateway::startShutdown()
{
    if (m_shutdownStartedAt)
        return;
    m_shutdownStartedAt = monotonicNow();
    m_log.write("stopping", {{"open_requests", m_sessions.size()}}, *m_shutdownStartedAt);
    // Routers of other groups would otherwise announce this one until its last report has expired.
    m_peerLink->sendReport(ReportAudience::Everyone);
    for (const auto &it : m_servers)
        it->startClosing();
    continueShutdown();
}

void Gateway::continueShutdown()
{
    const auto now = monotonicNow();
    const auto elapsed = now - *m_shutdownStartedAt;
    const bool isGraceOver = elapsed >= abortGraceFraction * m_settings.stopGrace;
    if (isGraceOver) {
        const auto sessions = m_sessions;
        for (const auto &it : sessions)
            it->stopNow();
    }
    if (isGraceOver || (elapsed >= stopListeningAfter && m_sessions.empty())) {
        for (const auto &it : m_servers)
            it->stopListening();
        m_log.write(
            "stopped",
            {{"after_ms", absl::ToInt64Milliseconds(elapsed)}, {"open_connections", connectionCount()}}, now);
        m_log.flush();
        m_shutdownTimer.expires_after(absl::ToChronoNanoseconds(detail::finalWriteDelay));
        m_shutdownTimer.async_wait([this](const auto &) { m_context.stop(); });
        return;
    }
    m_shutdownTimer.expires_after(absl::ToChronoNanoseconds(detail::shutdownCheckInterval));
    m_shutdownTimer.async_wait([this](const auto &ec) {
        if (!ec)
            continueShutdown();
    });
}

} // namespace Wisteria
