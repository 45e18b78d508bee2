// Reload and planned stop of a gateway.

#include <LibGateway/Gateway.h>

#include <LibPlatform/MonotonicClock.h>

namespace Wisteria {

namespace detail {

constexpr absl::Duration stopCheckInterval = absl::Milliseconds(100);
// Time for the last answers to leave the process.
constexpr absl::Duration lastWrites = absl::Milliseconds(200);

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
                 {"repeat_ratio", settings.repeats.ratio},
                 {"repeat_slack", settings.repeats.minRetriesPerWindow}},
                monotonicNow());
    m_settings.entryPointLifetime = settings.entryPointLifetime;
    m_settings.stopGrace = settings.stopGrace;
    m_settings.repeats = settings.repeats;
    for (auto &[service, budget] : m_budgets)
        budget.setLimits(settings.repeats);
}

void Gateway::reloadFailed(const Error &error)
{
    m_log.write("reload_failed", {{"error", errorName(error.code)}, {"detail", error.detail}},
                monotonicNow());
}

void Gateway::startStop()
{
    if (m_stopStarted)
        return;
    m_stopStarted = monotonicNow();
    m_log.write("stopping", {{"open_requests", m_sessions.size()}}, *m_stopStarted);
    m_peerLink->reportNow();
    for (const auto &it : m_servers)
        it->startClosing();
    checkStopped();
}

void Gateway::checkStopped()
{
    const auto now = monotonicNow();
    const auto elapsed = now - *m_stopStarted;
    const bool isOver = elapsed >= breakOffShare * m_settings.stopGrace;
    if (isOver) {
        const auto sessions = m_sessions;
        for (const auto &it : sessions)
            it->stopNow();
    }
    if (isOver || (elapsed >= stopListeningAfter && m_sessions.empty())) {
        for (const auto &it : m_servers)
            it->stopListening();
        m_log.write("stopped", {{"after_ms", absl::ToInt64Milliseconds(elapsed)}}, now);
        m_log.flush();
        m_stopTimer.expires_after(absl::ToChronoNanoseconds(detail::lastWrites));
        m_stopTimer.async_wait([this](const auto &) { m_context.stop(); });
        return;
    }
    m_stopTimer.expires_after(absl::ToChronoNanoseconds(detail::stopCheckInterval));
    m_stopTimer.async_wait([this](const auto &ec) {
        if (!ec)
            checkStopped();
    });
}

} // namespace Wisteria
