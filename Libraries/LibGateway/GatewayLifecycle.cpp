// Registration in the store, configuration reload and graceful shutdown of a gateway.

#include <LibGateway/Gateway.h>

#include <LibPlatform/MonotonicClock.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr absl::Duration publishRetryInterval = absl::Milliseconds(500);
constexpr absl::Duration shutdownCheckInterval = absl::Milliseconds(100);
// After the end of listening, requests on open connections are answered for at least this long.
constexpr absl::Duration finalRequestPeriod = absl::Milliseconds(200);

} // namespace detail

void Gateway::publishOwnRecord()
{
    if (m_shutdownStartedAt || std::exchange(m_isPublishing, true))
        return;
    const RouterRecord record{m_self.id, m_self.domain, m_self.callerAddress, m_self.peerAddress};
    m_site.store.publish(record, [this](const ErrorOr<StoreEra> &era) {
        m_isPublishing = false;
        if (era) {
            ownRecordPublished(*era);
            return;
        }
        m_log.write("publish_failed",
                    {{"error", errorName(era.error().code)}, {"detail", era.error().detail}}, monotonicNow());
        retryPublishing();
    });
}

void Gateway::ownRecordPublished(StoreEra era)
{
    // Routers are listed only after the own record is written, so that of two routers starting together at
    // least one sees the other. An outdated list would lack all routers of a fleet that starts at once.
    if (!std::exchange(m_publishedEra, era))
        m_routersView.start();
    // The store was restored while the write was on its way.
    if (era < m_targetsView.changePosition().era)
        retryPublishing();
}

void Gateway::retryPublishing()
{
    m_publishTimer.expires_after(absl::ToChronoNanoseconds(detail::publishRetryInterval));
    m_publishTimer.async_wait([this](const auto &ec) {
        if (!ec)
            publishOwnRecord();
    });
}

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
    m_settings.memoryLimitMb = settings.memoryLimitMb;
    m_settings.descriptors = settings.descriptors;
    applyResourceLimits();
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
    m_shutdownGrace = m_settings.stopGrace;
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
    const bool isGraceOver = elapsed >= abortGraceFraction * m_shutdownGrace;
    if (isGraceOver) {
        const auto sessions = m_sessions;
        for (const auto &it : sessions)
            it->stopNow();
    }
    if (!m_listeningStoppedAt && (isGraceOver || (elapsed >= stopListeningAfter && m_sessions.empty())))
        stopListening(now);
    if (m_listeningStoppedAt && canExit(now)) {
        m_log.write(
            "stopped",
            {{"after_ms", absl::ToInt64Milliseconds(elapsed)}, {"open_connections", connectionCount()}}, now);
        m_log.flush();
        m_context.stop();
        return;
    }
    auto next = now + detail::shutdownCheckInterval;
    for (const double fraction : {abortGraceFraction, exitGraceFraction}) {
        if (const auto at = *m_shutdownStartedAt + fraction * m_shutdownGrace; at > now)
            next = std::min(next, at);
    }
    m_shutdownTimer.expires_after(absl::ToChronoNanoseconds(next - now));
    m_shutdownTimer.async_wait([this](const auto &ec) {
        if (!ec)
            continueShutdown();
    });
}

bool Gateway::canServeBeforeExit(const RoutedRequest &routed, absl::Time now) const
{
    if (!m_shutdownStartedAt)
        return true;
    if (m_listeningStoppedAt || isStream(routed.route->kind))
        return false;
    const auto timeout =
        std::min(routed.route->timeout, routed.request.callerTimeout.value_or(routed.route->timeout));
    // A grace period that was reloaded to a shorter one may be in force already.
    const auto grace = std::min(m_shutdownGrace, m_settings.stopGrace);
    return now + timeout + lateRequestMargin <= *m_shutdownStartedAt + abortGraceFraction * grace;
}

void Gateway::stopListening(absl::Time now)
{
    m_listeningStoppedAt = now;
    for (const auto &it : m_servers)
        it->stopListening();
    m_log.write("listening_stopped", {{"open_connections", connectionCount()}}, now);
}

bool Gateway::canExit(absl::Time now) const
{
    if (now - *m_shutdownStartedAt >= exitGraceFraction * m_shutdownGrace)
        return true;
    return now - *m_listeningStoppedAt >= detail::finalRequestPeriod
        && std::none_of(m_servers.begin(), m_servers.end(),
                        [](const auto &it) { return it->hasWorkUnderWay(); });
}

} // namespace Wisteria
