// Hosts the permits of a gateway: sends their messages, runs their timers and tells other routers which
// targets are limited.

#pragma once

#include <LibForwarding/PeerTopology.h>
#include <LibForwarding/RequestPermits.h>
#include <LibForwarding/RouterRegistry.h>
#include <LibForwarding/TargetPool.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/StructuredLog.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>

namespace Wisteria {

class LimitGuard;

// Withdraws the request when it is destroyed before the permit was granted or denied.
class PermitTicket
{
public:
    PermitTicket(std::weak_ptr<LimitGuard> guard, PermitRequestId id)
        : m_guard(std::move(guard)), m_id(id) { }
    // NOLINTNEXTLINE(bugprone-exception-escape): std::visit() throws only for a variant without a value.
    ~PermitTicket();
    PermitTicket(const PermitTicket &) = delete;
    PermitTicket &operator=(const PermitTicket &) = delete;

private:
    std::weak_ptr<LimitGuard> m_guard;
    PermitRequestId m_id;
};

class LimitGuard final : public std::enable_shared_from_this<LimitGuard>, private PermitRouters
{
public:
    // Limits that have not changed are told this often, for routers that have missed them.
    static constexpr absl::Duration newsInterval = absl::Milliseconds(500);

    // Called once. If the permit is granted, the request may be sent now.
    using PermitHandler = std::function<void(const PermitOutcome &)>;

    struct Router
    {
        RouterId id;
        // Whether this router can issue permits: it serves, and has run long enough to know the others.
        std::function<bool(absl::Time now)> canIssue;
        std::function<void(const std::string &peerAddress, const std::string &bytes)> send;
        // Other routers should hear of a limit at once.
        std::function<void()> limitChanged;
    };

    LimitGuard(boost::asio::io_context &context, Router router, const RouterRegistry &routers,
               const PeerTopology &topology, TargetPool &targets, RandomSource &random, StructuredLog &log,
               GatewayMetrics &metrics)
        : m_context(context), m_router(std::move(router)), m_routers(routers), m_topology(topology),
          m_targets(targets), m_log(log), m_metrics(metrics), m_permits(*this, random), m_timer(context)
    {
    }

    // Asks for a permit that is valid at most `maxWait` from now. The target's limit must be in force. The
    // handler is never called from within this call.
    [[nodiscard]] std::unique_ptr<PermitTicket> request(const TargetLimit &, absl::Duration maxWait,
                                                        PermitHandler);
    // Takes a permit that can be used now. If there is none, one is asked for, which a later call may take.
    [[nodiscard]] bool tryTake(const TargetLimit &, absl::Time now);
    // Nothing was sent with the permit.
    void giveBack(const TargetProcess &);

    // An answer has changed a limit.
    void limitChanged(const TargetProcess &, TargetLimitChange, absl::Time now);
    void handleMessage(const LimitMessage &, absl::Time now);
    // Limits that other routers should know of; empty if there are none, or if a message has just told them.
    [[nodiscard]] std::string takeNews(absl::Time now);
    // A router has started; the next report is followed by the limits.
    void routerFound() { m_newsDueAt = absl::InfinitePast(); }
    void runPeriodicTasks();

private:
    friend class PermitTicket;

    [[nodiscard]] const RouterId &self() const override { return m_router.id; }
    [[nodiscard]] std::vector<RouterId> issuers(const TargetId &, absl::Time now) const override;

    void withdraw(PermitRequestId);
    void handle(const PermitEvent &);
    void perform(const PermitActions::Granted &);
    void perform(const PermitActions::Denied &);
    void perform(const PermitActions::SendRequest &);
    void perform(const PermitActions::SendAnswer &);
    void perform(const PermitActions::SetTimer &);
    void decide(PermitRequestId, const PermitOutcome &);
    void sendTo(const RouterId &, const LimitMessage &);
    void on(const LimitNews &, absl::Time now);
    void on(const PermitRequest &, absl::Time now);
    void on(const PermitAnswer &, absl::Time now);
    // `toldBy` is empty if the target itself said so.
    void noteChange(const TargetProcess &, TargetLimitChange, const RouterId &toldBy, absl::Time now);

    boost::asio::io_context &m_context;
    Router m_router;
    const RouterRegistry &m_routers;
    const PeerTopology &m_topology;
    TargetPool &m_targets;
    StructuredLog &m_log;
    GatewayMetrics &m_metrics;
    RequestPermits m_permits;
    boost::asio::steady_timer m_timer;
    // Time that `m_timer` is set to.
    absl::Time m_timerAt{absl::InfiniteFuture()};
    absl::Time m_newsDueAt{absl::InfinitePast()};
    std::uint64_t m_lastRequest{0};
    absl::flat_hash_map<PermitRequestId, PermitHandler> m_handlers;
};

} // namespace Wisteria
