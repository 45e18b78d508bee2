// Performs the actions of RequestPermits and merges the limits that other routers report.

#include <LibGateway/LimitGuard.h>

#include <LibCore/Views.h>
#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/post.hpp>

#include <absl/strings/str_cat.h>

namespace Wisteria {

namespace detail {

std::string_view limitChangeName(TargetLimitChange change)
{
    switch (change) {
    case TargetLimitChange::None:
        return "none";
    case TargetLimitChange::Named:
        return "named";
    case TargetLimitChange::Changed:
        return "changed";
    case TargetLimitChange::Ended:
        return "ended";
    }
    return "unknown";
}

} // namespace detail

// NOLINTNEXTLINE(bugprone-exception-escape): std::visit() throws only for a variant without a value.
PermitTicket::~PermitTicket()
{
    if (const auto guard = m_guard.lock())
        guard->withdraw(m_id);
}

std::vector<RouterId> LimitGuard::issuers(const TargetId &target, absl::Time now) const
{
    std::vector<RouterId> known;
    for (const auto &it : m_routers.members())
        known.push_back(it.id);
    known.push_back(self());
    sortByIssuerRank(target, known);
    // The group of the router with the highest rank issues the permits, since only the members of a group
    // know which of them are alive.
    const auto *group = m_topology.otherGroupOf(known.front());
    if (group) {
        std::vector<RouterId> members = *group;
        sortByIssuerRank(target, members);
        return members;
    }
    std::erase_if(known, [&](const RouterId &it) {
        if (it == self())
            return !m_router.canIssue(now);
        const auto *router = m_routers.find(it);
        return !m_topology.isInOwnGroup(it) || !m_routers.isAlive(it, now)
            || router->phase != RouterPhase::Serving;
    });
    return known;
}

std::unique_ptr<PermitTicket> LimitGuard::request(const TargetLimit &limit, absl::Duration maxWait,
                                                  PermitHandler handler)
{
    const PermitRequestId id(++m_lastRequest);
    m_handlers[id] = std::move(handler);
    handle(PermitEvents::Requested{id, limit, maxWait});
    return std::make_unique<PermitTicket>(weak_from_this(), id);
}

bool LimitGuard::tryTake(const TargetLimit &limit, absl::Time now)
{
    if (m_permits.tryTake(limit, now))
        return true;
    const PermitRequestId id(++m_lastRequest);
    m_handlers.emplace(id, [this, process = limit.process](const PermitOutcome &outcome) {
        if (outcome.isGranted)
            giveBack(process);
    });
    handle(PermitEvents::Requested{id, limit, absl::ZeroDuration()});
    return false;
}

void LimitGuard::giveBack(const TargetProcess &process)
{
    handle(PermitEvents::Unused{process});
}

void LimitGuard::withdraw(PermitRequestId id)
{
    if (m_handlers.erase(id) > 0)
        handle(PermitEvents::Withdrawn{id});
}

void LimitGuard::handle(const PermitEvent &event)
{
    for (const auto &it : m_permits.handle(event, monotonicNow()))
        std::visit([this](const auto &action) { perform(action); }, it);
}

void LimitGuard::decide(PermitRequestId id, const PermitOutcome &outcome)
{
    m_metrics.increment("limit_permits_total",
                        outcome.isGranted ? R"(outcome="granted")" : R"(outcome="denied")");
    boost::asio::post(m_context, [weak = weak_from_this(), id, outcome] {
        const auto guard = weak.lock();
        const auto entry = guard ? guard->m_handlers.extract(id) : decltype(guard->m_handlers)::node_type();
        if (entry)
            entry.mapped()(outcome);
    });
}

void LimitGuard::perform(const PermitActions::Granted &action)
{
    decide(action.id, {true, absl::ZeroDuration()});
}

void LimitGuard::perform(const PermitActions::Denied &action)
{
    decide(action.id, {false, action.delay});
}

void LimitGuard::perform(const PermitActions::SendRequest &action)
{
    sendTo(action.to, action.request);
}

void LimitGuard::perform(const PermitActions::SendAnswer &action)
{
    sendTo(action.to, action.answer);
}

void LimitGuard::perform(const PermitActions::SetTimer &action)
{
    if (m_timerAt == action.at)
        return;
    m_timerAt = action.at;
    m_timer.expires_after(
        absl::ToChronoNanoseconds(std::max(action.at - monotonicNow(), absl::ZeroDuration())));
    m_timer.async_wait([weak = weak_from_this()](const auto &ec) {
        const auto guard = weak.lock();
        if (ec || !guard)
            return;
        guard->m_timerAt = absl::InfiniteFuture();
        guard->handle(PermitEvents::Tick{});
    });
}

void LimitGuard::sendTo(const RouterId &id, const LimitMessage &message)
{
    if (const auto *router = m_routers.find(id); router && !router->peerAddress.empty())
        m_router.send(router->peerAddress, encodeLimitMessage(message, monotonicNow()));
    else
        m_log.write("limit_message_undelivered", {{"router", id.value()}}, monotonicNow());
}

void LimitGuard::noteChange(const TargetProcess &process, TargetLimitChange change, const RouterId &toldBy,
                            absl::Time now)
{
    const auto name = detail::limitChangeName(change);
    const auto *limit = m_targets.limitOf(process.id);
    m_metrics.increment("target_limits_total", absl::StrCat("change=\"", abslView(name), "\""));
    m_log.write("target_limit",
                {{"target", process.id.value()},
                 {"started_at_ms", process.startedAtMs},
                 {"change", name},
                 {"per_second", limit ? limit->rate->requestsPerSecond() : 0},
                 // Empty if the target itself said so.
                 {"told_by", toldBy.value()}},
                now);
    if (change == TargetLimitChange::Ended)
        handle(PermitEvents::LimitEnded{process});
}

void LimitGuard::limitChanged(const TargetProcess &process, TargetLimitChange change, absl::Time now)
{
    if (change == TargetLimitChange::None)
        return;
    noteChange(process, change, RouterId(), now);
    m_newsDueAt = absl::InfinitePast();
    m_router.limitChanged();
}

void LimitGuard::handleMessage(const LimitMessage &message, absl::Time now)
{
    std::visit([this, now](const auto &it) { on(it, now); }, message);
}

void LimitGuard::on(const LimitNews &news, absl::Time now)
{
    for (const auto &it : news.limits) {
        if (const auto change = m_targets.mergeLimit(it); change != TargetLimitChange::None)
            noteChange(it.process, change, news.sender, now);
    }
}

void LimitGuard::on(const PermitRequest &request, absl::Time now)
{
    if (const auto change = m_targets.mergeLimit(request.limit); change != TargetLimitChange::None)
        noteChange(request.limit.process, change, request.asker, now);
    auto known = request.limit;
    if (const auto *limit = m_targets.limitOf(known.process.id))
        known = *limit;
    else
        known.rate.reset();
    handle(PermitEvents::RequestReceived{request, known});
}

void LimitGuard::on(const PermitAnswer &answer, absl::Time)
{
    handle(PermitEvents::AnswerReceived{answer});
}

std::string LimitGuard::takeNews(absl::Time now)
{
    if (now < m_newsDueAt)
        return {};
    m_newsDueAt = now + newsInterval;
    LimitNews news{.sender = self(), .limits = m_targets.limits().recent(LimitNews::maxLimits, now)};
    return news.limits.empty() ? std::string() : encodeLimitMessage(news, now);
}

void LimitGuard::runPeriodicTasks()
{
    handle(PermitEvents::LimitsObserved{m_targets.limits().inForce()});
    m_metrics.setGauge("targets_limited", static_cast<double>(m_targets.limits().countInForce()));
}

} // namespace Wisteria
