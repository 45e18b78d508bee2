// How a gateway follows the orders of rollouts, and connects its RolloutGuard with the other routers.
//
// Only the coordinator of rollouts watches the orders. The other routers learn of changes from its reports.

#include <LibGateway/Gateway.h>

#include <LibPlatform/MonotonicClock.h>

namespace Wisteria {

namespace detail {

// Time within which a change of an order should take effect. It is long, so that the watch is renewed rarely;
// the watch itself returns at once when there is a change.
constexpr absl::Duration ordersChangeDeadline = absl::Seconds(10);
constexpr absl::Duration ordersCallTimeout = absl::Milliseconds(600);

} // namespace detail

std::shared_ptr<RolloutGuard> Gateway::makeRolloutGuard()
{
    if (!m_settings.rollouts)
        return nullptr;
    return std::make_shared<RolloutGuard>(
        m_context,
        RolloutGuard::Router{
            .id = m_settings.id,
            .incarnation = [this] { return m_self.incarnation; },
            .isServing = [this] { return isReady(); },
            .isStoreTrusted = [this](absl::Time now) { return m_targetsView.isTrusted(now); },
            .isServiceKnown =
                [this](const ServiceName &service) { return m_routes && m_routes->findService(service); },
            .send = [this](const auto &address, const auto &bytes) { m_peerLink->send(bytes, address); },
            .readOrders = [this](auto done) { m_ordersView->view.reread(std::move(done)); }},
        *m_settings.rollouts, m_routerRegistry, m_targets, m_site.store, m_random, m_log, m_metrics);
}

Gateway::OrdersView::OrdersView(Gateway &gateway)
    : view(DirectoryKind::Rollouts, detail::ordersChangeDeadline, gateway.m_context, gateway.m_site.store,
           gateway.m_site.decoder, gateway, gateway.m_log, gateway.m_random),
      relay(gateway.m_context, view, "rollouts", detail::ordersCallTimeout, gateway.m_log, gateway.m_random)
{
    view.setWatching(false);
}

std::unique_ptr<Gateway::OrdersView> Gateway::makeOrdersView()
{
    return m_settings.rollouts ? std::make_unique<OrdersView>(*this) : nullptr;
}

void Gateway::handleRolloutMessage(const RolloutMessage &message)
{
    if (m_rolloutGuard)
        m_rolloutGuard->handleMessage(message, monotonicNow());
}

void Gateway::rolloutChanged(const RolloutRecord &record)
{
    m_rolloutGuard->orderChanged(record, monotonicNow());
    m_peerLink->scheduleReport(ReportUrgency::Urgent);
}

void Gateway::rolloutRemoved(const std::string &name)
{
    m_rolloutGuard->orderRemoved(name, monotonicNow());
    m_peerLink->scheduleReport(ReportUrgency::Urgent);
}

void Gateway::rolloutUnreadable(const std::string &name)
{
    m_rolloutGuard->orderUnreadable(name, monotonicNow());
}

void Gateway::viewAdvanced(DirectoryKind kind)
{
    if (!m_ordersView)
        return;
    if (kind == DirectoryKind::Rollouts) {
        m_rolloutGuard->ordersRead(m_ordersView->view.readPosition(), monotonicNow());
    } else if (kind == DirectoryKind::Targets && !std::exchange(m_ordersView->isStarted, true)) {
        // The first list of the orders is at least as new as the targets, so that none of them is held
        // because its order might be missing.
        m_ordersView->view.start();
    }
}

std::optional<PeerReport::OrdersState> Gateway::makeOrdersState() const
{
    if (!m_ordersView || !m_ordersView->view.hasView())
        return std::nullopt;
    const auto &view = m_ordersView->view;
    return PeerReport::OrdersState{view.changePosition(), view.storeAge(monotonicNow()), view.readPosition()};
}

void Gateway::mergeOrdersState(const PeerReport &report, absl::Time now)
{
    if (!m_ordersView || !report.orders)
        return;
    auto &view = m_ordersView->view;
    view.notePeerView(report.orders->position, report.orders->age, now);
    m_ordersView->relay.notePosition(report.router, report.orders->position);
    view.notePeerRead(report.orders->position, report.orders->readUpTo);
}

absl::Time Gateway::keepOrdersConfirmed(std::size_t routersBefore, absl::Time now)
{
    if (!m_ordersView || !m_ordersView->isStarted)
        return absl::InfiniteFuture();
    m_ordersView->view.setWatching(isRolloutCoordinator(now));
    return m_ordersView->view.readIfUnconfirmed(routersBefore, now);
}

void Gateway::runRolloutTasks(absl::Time now)
{
    if (!m_rolloutGuard)
        return;
    m_ordersView->view.setStoreTrustedByOthers(m_routerRegistry.isStoreTrustedByOthers(now));
    m_ordersView->view.setWatching(isRolloutCoordinator(now));
    m_rolloutGuard->runPeriodicTasks(now);
}

} // namespace Wisteria
