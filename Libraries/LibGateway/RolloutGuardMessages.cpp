// Exchanges reports and grants with the other routers, and performs the coordinator's actions.

#include <LibGateway/RolloutGuard.h>

#include <LibCore/Views.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace Wisteria {

namespace detail {

// Intervals between messages after which a router that sends them counts as lost.
constexpr int lostMessages = 3;

// The log keeps a reference to an event's name, so it must be one of these.
std::string_view stepName(std::string_view event)
{
    static constexpr std::array<std::string_view, 5> names = {
        "rollout_started", "rollout_phase", "rollout_verdict", "rollout_rejected", "rollout_write_failed"};
    const auto it = std::find(names.begin(), names.end(), event);
    return it == names.end() ? std::string_view("rollout_step") : *it;
}

} // namespace detail

std::vector<RouterId> RolloutGuard::leaders(std::size_t count, absl::Time now) const
{
    using StoreTrust = RouterRegistry::StoreTrust;
    std::vector<RouterId> out;
    // While no router reaches the store, one of them keeps the share as it is.
    for (const auto trust : {StoreTrust::Needed, StoreTrust::NotNeeded}) {
        bool isListed =
            !m_router.isServing() || (trust == StoreTrust::Needed && !m_router.isStoreTrusted(now));
        for (const auto *it : m_routers.longestServing(count, trust, now)) {
            const auto incarnation = m_router.incarnation();
            if (!isListed && std::tie(incarnation, m_router.id) < std::tie(it->incarnation, it->id)) {
                isListed = true;
                out.push_back(m_router.id);
            }
            out.push_back(it->id);
        }
        if (!isListed)
            out.push_back(m_router.id);
        if (!out.empty())
            break;
    }
    out.resize(std::min(out.size(), count));
    return out;
}

RouterId RolloutGuard::coordinator(absl::Time now) const
{
    const auto leader = leaders(1, now);
    return leader.empty() ? RouterId() : leader.front();
}

std::size_t RolloutGuard::aliveRouters(absl::Time now) const
{
    const auto lostAfter =
        std::max(RouterRegistry::livenessTimeout,
                 detail::lostMessages * RolloutCoordinator::messageInterval(m_routers.size() + 1));
    std::size_t n = m_routers.aliveCount(now) + 1;
    for (const auto &[id, at] : m_lastReportAt)
        n += now - at <= lostAfter && !m_routers.isAlive(id, now) ? 1 : 0;
    return n;
}

RolloutEvents::RoutersObserved RolloutGuard::observeRouters(absl::Time now) const
{
    return {.known = m_routers.size() + 1,
            .alive = aliveRouters(now),
            .isCoordinator = isCoordinator(now),
            .isStoreTrusted = m_router.isStoreTrusted(now)};
}

void RolloutGuard::scheduleMessages(absl::Time)
{
    const bool hasOpenOrder =
        std::any_of(m_services.begin(), m_services.end(), [](const auto &it) { return isOpen(it.second); });
    if (!hasOpenOrder || std::exchange(m_isExchangingMessages, true))
        return;
    m_messageTimer.expires_after(std::chrono::nanoseconds(0));
    m_messageTimer.async_wait([weak = weak_from_this()](const auto &ec) {
        if (const auto guard = weak.lock(); guard && !ec)
            guard->exchangeMessages();
    });
}

void RolloutGuard::exchangeMessages()
{
    const auto now = monotonicNow();
    const auto routers = m_routers.size() + 1;
    bool hasOpenOrder = false;
    for (auto &[name, service] : m_services) {
        hasOpenOrder = hasOpenOrder || isOpen(service);
        service.share.setFleet(routers, m_limits.slack);
    }
    if (!hasOpenOrder) {
        m_isExchangingMessages = false;
        return;
    }
    handle(observeRouters(now), now);
    sendReports(now);
    handle(RolloutEvents::Tick{}, now);
    m_messageTimer.expires_after(absl::ToChronoNanoseconds(RolloutCoordinator::messageInterval(routers)));
    m_messageTimer.async_wait([weak = weak_from_this()](const auto &ec) {
        if (const auto guard = weak.lock(); guard && !ec)
            guard->exchangeMessages();
    });
}

RolloutReport RolloutGuard::makeReport(const Service &service, absl::Time now) const
{
    RolloutReport report;
    report.sender = m_router.id;
    report.incarnation = m_router.incarnation();
    report.order = service.share.record()->order;
    report.phase = service.share.phase(now);
    report.orderAge = service.share.orderAge(now);
    report.counts = service.share.counts();
    for (const auto &[version, runs] : service.runs) {
        if (sideOf(service, version) == VersionSide::Candidate) {
            report.runs.candidate += runs.all;
        } else {
            report.runs.baseline += runs.all;
            report.runs.baselineAtMostOnce += runs.atMostOnce;
        }
    }
    report.tallies = service.tally.tallies();
    return report;
}

void RolloutGuard::sendReports(absl::Time now)
{
    std::vector<RolloutReport> reports;
    for (const auto &[name, service] : m_services) {
        if (isOpen(service))
            reports.push_back(makeReport(service, now));
    }
    // The next coordinator knows the answers that lost routers had reported.
    for (const auto &to : leaders(2, now)) {
        const auto *router = m_routers.find(to);
        for (const auto &it : reports) {
            if (to == m_router.id)
                handle(RolloutEvents::ReportReceived{it}, now);
            else if (router)
                m_router.send(router->peerAddress, encodeRolloutMessage(it));
        }
    }
}

void RolloutGuard::handleMessage(const RolloutMessage &message, absl::Time now)
{
    std::visit([this, now](const auto &it) { on(it, now); }, message);
}

void RolloutGuard::on(const RolloutReport &report, absl::Time now)
{
    if (report.sender == m_router.id)
        return;
    // Only routers that the directory lists, or that report themselves, count.
    if (m_routers.find(report.sender))
        m_lastReportAt[report.sender] = now;
    handle(RolloutEvents::ReportReceived{report}, now);
}

void RolloutGuard::on(const RolloutGrant &grant, absl::Time now)
{
    auto *service = find(grant.order.service);
    if (!service)
        return;
    service->share.grant(grant, now);
    updatePhaseMetric(grant.order.service, *service, now);
}

void RolloutGuard::handle(const RolloutEvent &event, absl::Time now)
{
    for (const auto &it : m_coordinator.handle(event, now))
        std::visit([this](const auto &action) { perform(action); }, it);
}

void RolloutGuard::perform(const RolloutActions::SendGrant &action)
{
    const auto bytes = encodeRolloutMessage(action.grant);
    for (const auto &it : m_routers.members()) {
        if (!it.peerAddress.empty())
            m_router.send(it.peerAddress, bytes);
    }
    on(action.grant, monotonicNow());
}

void RolloutGuard::perform(const RolloutActions::WriteStatus &action)
{
    const RolloutStatusWrite write{action.name, action.revision, action.state, action.target};
    m_store.writeRolloutStatus(write, [weak = weak_from_this(), write](const auto &result) {
        if (const auto guard = weak.lock())
            guard->statusWritten(write, result);
    });
}

void RolloutGuard::statusWritten(const RolloutStatusWrite &write, const ErrorOr<ObjectVersion> &result)
{
    const auto now = monotonicNow();
    const auto outcome = result ? std::string_view("written") : errorName(result.error().code);
    m_metrics.increment("rollout_status_writes_total", absl::StrCat("outcome=\"", abslView(outcome), "\""));
    handle(RolloutEvents::StatusWritten{write.name, result}, now);
    const auto it = m_records.find(write.name);
    // The view of the orders shows the object a little later.
    if (!result || it == m_records.end() || it->second.revision != write.revision
        || it->second.order.target != write.target)
        return;
    auto record = it->second;
    record.revision = *result;
    record.state = write.state;
    record.stateTarget = write.target;
    orderChanged(record, now);
}

void RolloutGuard::perform(const RolloutActions::ReadOrders &)
{
    readOrders();
}

void RolloutGuard::readOrders()
{
    if (std::exchange(m_isReadingOrders, true))
        return;
    m_router.readOrders([weak = weak_from_this()](const ErrorOr<void> &result) {
        const auto guard = weak.lock();
        if (!guard)
            return;
        guard->m_isReadingOrders = false;
        const auto now = monotonicNow();
        if (result) {
            // An object that has not changed was not told again.
            for (auto &[name, service] : guard->m_services) {
                if (service.share.record())
                    guard->handle(RolloutEvents::OrderSeen{*service.share.record(), service.context}, now);
            }
            return;
        }
        guard->m_readTimer.expires_after(absl::ToChronoNanoseconds(readRetryInterval));
        guard->m_readTimer.async_wait([weak](const auto &ec) {
            if (const auto self = weak.lock(); self && !ec && self->isCoordinator(monotonicNow()))
                self->readOrders();
        });
    });
}

void RolloutGuard::perform(const RolloutActions::LogStep &action)
{
    m_log.write(detail::stepName(action.event),
                {{"rollout", action.name},
                 {"target", action.target.value()},
                 {"phase", rolloutPhaseName(action.phase)},
                 {"reason", action.reason},
                 {"answers", action.answers},
                 {"bad_answers", action.badAnswers}},
                monotonicNow());
}

void RolloutGuard::perform(const RolloutActions::SetTimer &action)
{
    if (m_coordinatorTimerAt == action.at)
        return;
    m_coordinatorTimerAt = action.at;
    m_coordinatorTimer.expires_after(
        absl::ToChronoNanoseconds(std::max(action.at - monotonicNow(), absl::ZeroDuration())));
    m_coordinatorTimer.async_wait([weak = weak_from_this()](const auto &ec) {
        const auto guard = weak.lock();
        if (ec || !guard)
            return;
        guard->m_coordinatorTimerAt = absl::InfiniteFuture();
        const auto now = monotonicNow();
        guard->handle(guard->observeRouters(now), now);
        guard->handle(RolloutEvents::Tick{}, now);
    });
}

} // namespace Wisteria
