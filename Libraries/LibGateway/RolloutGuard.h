// Hosts the rollouts of a gateway: for each service the share and the tally of its order, and the coordinator
// of the fleet's orders.
//
// It sends their messages, runs their timers, writes the verdicts, and holds targets whose version may be the
// subject of an order that this router does not know yet.

#pragma once

#include <LibForwarding/RolloutCoordinator.h>
#include <LibForwarding/RolloutShare.h>
#include <LibForwarding/RouterRegistry.h>
#include <LibForwarding/TargetPool.h>
#include <LibGateway/DirectoryStore.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/StructuredLog.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <absl/container/node_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Wisteria {

class RolloutGuard;

// One run of a request at a target. It counts as under way until it is destroyed.
class CountedRun
{
public:
    CountedRun(std::weak_ptr<RolloutGuard> guard, ServiceName service, TargetVersion version,
               bool isAtMostOnce)
        : m_guard(std::move(guard)), m_service(std::move(service)), m_version(std::move(version)),
          m_isAtMostOnce(isAtMostOnce)
    {
    }
    ~CountedRun();
    CountedRun(const CountedRun &) = delete;
    CountedRun &operator=(const CountedRun &) = delete;

private:
    std::weak_ptr<RolloutGuard> m_guard;
    ServiceName m_service;
    TargetVersion m_version;
    bool m_isAtMostOnce;
};

class RolloutGuard final : public std::enable_shared_from_this<RolloutGuard>
{
public:
    // Orders that could not be read are read again after this time.
    static constexpr absl::Duration readRetryInterval = absl::Milliseconds(500);

    struct Router
    {
        RouterId id;
        std::function<Incarnation()> incarnation;
        // This router takes requests.
        std::function<bool()> isServing;
        // This router's view of the store is reliable, as it tells the others.
        std::function<bool(absl::Time now)> isStoreTrusted;
        std::function<bool(const ServiceName &)> isServiceKnown;
        std::function<void(const std::string &peerAddress, const std::string &bytes)> send;
        // Reads the orders from the store; their changes are told before `done` is called.
        std::function<void(std::function<void(ErrorOr<void>)> done)> readOrders;
    };

    RolloutGuard(boost::asio::io_context &, Router, const RolloutLimits &, const RouterRegistry &,
                 TargetPool &, DirectoryStore &, RandomSource &, StructuredLog &, GatewayMetrics &);

    // The directory.
    //
    // The target is in the pool already.
    void targetListed(const ForwardingTarget &, absl::Time now);
    void targetRemoved(const TargetId &, absl::Time now);
    void orderChanged(const RolloutRecord &, absl::Time now);
    void orderRemoved(const std::string &name, absl::Time now);
    // The order's object can't be read. Versions that come up meanwhile get no requests.
    void orderUnreadable(const std::string &name, absl::Time now);
    // All orders written up to the position are known.
    void ordersRead(StorePosition, absl::Time now);

    // Requests.
    //
    // The rule for the next attempt at the service.
    [[nodiscard]] VersionRule ruleFor(const ServiceName &, absl::Time now);
    // The rule for a copy of a run on this target.
    [[nodiscard]] VersionRule copyRuleFor(const ForwardingTarget &, absl::Time now);
    // Whether an attempt may go to the target rather than to one of the other version.
    [[nodiscard]] bool mayPrefer(const ForwardingTarget &, absl::Time now);
    // No attempt may be sent to the target now, even if no other target takes it.
    [[nodiscard]] bool isClosed(const ForwardingTarget &, absl::Time now);
    // With such a rule, an attempt that no candidate takes goes to a baseline target.
    [[nodiscard]] bool mayFallBack(const ServiceName &, absl::Time now);
    // An attempt is being sent to the target.
    [[nodiscard]] std::unique_ptr<CountedRun> recordAttempt(const ForwardingTarget &, bool isAtMostOnce);
    // The sample's side is set here.
    void recordAnswer(const ServiceName &, const TargetVersion &, AnswerSample, absl::Time now);

    // The fleet.
    //
    // The router that leads the rollouts and watches the orders, as far as this one knows; empty if none
    // does. It is the one that has served longest, so that a router that restarts does not take the role
    // over without the answers that were counted before.
    [[nodiscard]] RouterId coordinator(absl::Time now) const;
    [[nodiscard]] bool isCoordinator(absl::Time now) const { return coordinator(now) == m_router.id; }
    void handleMessage(const RolloutMessage &, absl::Time now);
    void runPeriodicTasks(absl::Time now);

private:
    friend class CountedRun;

    // The coordinator and the routers that would follow it, in order; at most so many.
    [[nodiscard]] std::vector<RouterId> leaders(std::size_t count, absl::Time now) const;

    struct ListedTarget
    {
        TargetProcess process;
        TargetVersion version;
        // Position of the directory's first record of the process with this version. Targets are listed again
        // at each heartbeat.
        StorePosition firstListedAt;
    };
    struct RunCount
    {
        std::int32_t all{0};
        std::int32_t atMostOnce{0};
    };
    struct Service
    {
        RolloutShare share;
        VersionTally tally;
        std::map<TargetId, ListedTarget> targets;
        std::map<TargetVersion, RunCount> runs;
        // Versions in use whose targets were listed before the orders were last read.
        std::set<TargetVersion> known;
        // Versions whose order ended without having been completed.
        std::set<TargetVersion> unproven;
        // Set while the object of the order can't be read.
        bool isOrderUnreadable{false};
        // Listed targets that are not held because of an earlier order, by side. All are baseline targets
        // without an order.
        std::size_t baselineTargets{0};
        std::size_t candidateTargets{0};
        // What the coordinator was told last.
        RolloutContext context;
    };

    [[nodiscard]] Service *find(const ServiceName &);
    // Null without an order.
    [[nodiscard]] static const RolloutOrder *orderOf(const Service &);
    [[nodiscard]] static VersionSide sideOf(const Service &, const TargetVersion &);
    // The store holds no verdict on the order yet.
    [[nodiscard]] static bool isOpen(const Service &);
    // To be called when the order or the targets of the service have changed.
    void targetsChanged(Service &);
    [[nodiscard]] RolloutContext contextOf(const Service &) const;
    // Takes the order of the service from its objects: the one named after the service, or else the first.
    void updateOrder(const ServiceName &, absl::Time now);
    void updateHolds(Service &);
    void rememberKnownVersions(Service &);
    // Tells the coordinator of the order, and again when what is known of its service has changed.
    void announceOrder(Service &, absl::Time now);
    void updatePhaseMetric(const ServiceName &, const Service &, absl::Time now);
    void runEnded(const ServiceName &, const TargetVersion &, bool isAtMostOnce);

    [[nodiscard]] std::size_t aliveRouters(absl::Time now) const;
    [[nodiscard]] RolloutEvents::RoutersObserved observeRouters(absl::Time now) const;
    [[nodiscard]] RolloutReport makeReport(const Service &, absl::Time now) const;
    void sendReports(absl::Time now);
    void scheduleMessages(absl::Time now);
    void exchangeMessages();
    void on(const RolloutReport &, absl::Time now);
    void on(const RolloutGrant &, absl::Time now);

    void handle(const RolloutEvent &, absl::Time now);
    void perform(const RolloutActions::SendGrant &);
    void perform(const RolloutActions::WriteStatus &);
    void perform(const RolloutActions::ReadOrders &);
    void perform(const RolloutActions::LogStep &);
    void perform(const RolloutActions::SetTimer &);
    void statusWritten(const RolloutStatusWrite &, const ErrorOr<ObjectVersion> &);
    void readOrders();

    boost::asio::io_context &m_context;
    Router m_router;
    RolloutLimits m_limits;
    const RouterRegistry &m_routers;
    TargetPool &m_targets;
    DirectoryStore &m_store;
    RandomSource &m_random;
    StructuredLog &m_log;
    GatewayMetrics &m_metrics;
    RolloutCoordinator m_coordinator;
    // Invariant: an entry for each service with a listed target or an order.
    absl::node_hash_map<ServiceName, Service> m_services;
    std::map<TargetId, ServiceName> m_serviceOfTarget;
    // Objects of the store by name.
    std::map<std::string, RolloutRecord> m_records;
    StorePosition m_ordersReadUpTo;
    // When each router last sent a report of a rollout. In a large fleet, routers of other groups are heard
    // through these only.
    std::map<RouterId, absl::Time> m_lastReportAt;
    boost::asio::steady_timer m_messageTimer;
    bool m_isExchangingMessages{false};
    boost::asio::steady_timer m_coordinatorTimer;
    absl::Time m_coordinatorTimerAt{absl::InfiniteFuture()};
    boost::asio::steady_timer m_readTimer;
    bool m_isReadingOrders{false};
};

} // namespace Wisteria
