// The gateway: accepts callers' requests, selects their route and forwards them to targets.

#pragma once

#include <LibForwarding/PeerTopology.h>
#include <LibForwarding/RouterRegistry.h>
#include <LibForwarding/ServiceRetryBudget.h>
#include <LibGateway/DirectoryView.h>
#include <LibGateway/ForwardSession.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/ListenerRoles.h>
#include <LibGateway/PeerLink.h>
#include <LibGateway/ViewRelay.h>
#include <LibNet/HttpServer.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <absl/container/flat_hash_set.h>
#include <absl/container/node_hash_map.h>

#include <map>
#include <memory>

namespace Wisteria {

// Site-specific implementations that a gateway uses.
struct SiteAdapter
{
    const Dialect &dialect;
    const DirectoryDecoder &decoder;
    DirectoryStore &store;
};

class Gateway final : private DirectoryListener, private PeerLinkDelegate
{
public:
    // A router that is shutting down keeps listening for at least this long, because callers cache entry
    // points for their lifetime, and some for three times as long. New streams are refused with Retry-After.
    static constexpr absl::Duration stopListeningAfter = absl::Seconds(3);
    // Fraction of the stop grace period after which running streams are aborted; of a grace period of eight
    // seconds, this leaves about half a second for the last writes.
    static constexpr double abortGraceFraction = 0.94;
    // A request that arrives during a shutdown must end this long before open requests are aborted. It leaves
    // room for a loop that is held up when the signal comes or when the answer does.
    static constexpr absl::Duration lateRequestMargin = absl::Milliseconds(400);
    // Fraction of the stop grace period after which the process ends even if callers have not taken their
    // answers.
    static constexpr double exitGraceFraction = 0.985;

    // Errors: InvalidSettings.
    [[nodiscard]] static ErrorOr<std::unique_ptr<Gateway>>
    create(boost::asio::io_context &, const GatewaySettings &, const SiteAdapter &);

    // Flushes the log.
    ~Gateway() override;

    // Applies the settings that can change at run time; other changes are ignored. The log entry
    // says whether the identity, a listen address or the store changed, which needs a restart. A new grace
    // period applies to later shutdowns only.
    void reload(const GatewaySettings &);
    // Logs that the settings file could not be loaded; the current settings stay in force.
    void reloadFailed(const Error &);
    // Withdraws the gateway from the entry points, finishes running requests and stops the event loop.
    void startShutdown();

private:
    // Takes the requests of one listen address.
    class Listener final : public HttpRequestHandler
    {
    public:
        Listener(Gateway &gateway, const ListenerRoles &roles) : m_gateway(gateway), m_roles(roles) { }

        void handleRequest(const std::shared_ptr<HttpServerConnection> &, HttpRequest) override;
        void connectionClosed(const ConnectionClosure &closure) override { m_gateway.logClosure(closure); }
        void connectionShed(ShedReason reason) override { m_gateway.connectionShed(reason); }

    private:
        Gateway &m_gateway;
        ListenerRoles m_roles;
    };

    Gateway(boost::asio::io_context &, const GatewaySettings &, const SiteAdapter &);

    ErrorOr<void> listen();
    void start();

    void configurationChanged(std::shared_ptr<const RouteTable>) override;
    void targetChanged(const ForwardingTarget &) override;
    void targetRemoved(const TargetId &) override;
    void routerChanged(const RouterRecord &) override;
    void viewRead(DirectoryKind) override;
    void storeRestored(StorePosition from, StorePosition to) override;
    [[nodiscard]] PeerReport makeReport() override;
    void handleReport(const PeerReport &) override;
    [[nodiscard]] std::vector<ReportDestination> reportDestinations(ReportAudience) override;
    [[nodiscard]] std::string takeLimitNews() override;
    void handleLimitMessage(const LimitMessage &) override;
    void handleRolloutMessage(const RolloutMessage &) override;
    void rolloutChanged(const RolloutRecord &) override;
    void rolloutRemoved(const std::string &name) override;
    void rolloutUnreadable(const std::string &name) override;
    void viewAdvanced(DirectoryKind) override;
    // Null without settings for rollouts.
    [[nodiscard]] std::shared_ptr<RolloutGuard> makeRolloutGuard();
    // The view of the orders, if there are settings for rollouts.
    struct OrdersView
    {
        explicit OrdersView(Gateway &);

        DirectoryView view;
        ViewRelay relay;
        bool isStarted{false};
    };
    [[nodiscard]] std::unique_ptr<OrdersView> makeOrdersView();
    [[nodiscard]] bool isRolloutCoordinator(absl::Time now) const
    {
        return m_rolloutGuard && m_rolloutGuard->isCoordinator(now);
    }
    [[nodiscard]] std::optional<PeerReport::OrdersState> makeOrdersState() const;
    void mergeOrdersState(const PeerReport &, absl::Time now);
    // Returns when the view of the orders has to be looked at again.
    absl::Time keepOrdersConfirmed(std::size_t routersBefore, absl::Time now);
    void runRolloutTasks(absl::Time now);
    // Whether this router knows the others well enough to issue permits for limited targets.
    [[nodiscard]] bool canIssuePermits(absl::Time now) const;
    [[nodiscard]] absl::Duration loadReportInterval(absl::Duration minInterval) const override
    {
        return m_topology.loadReportInterval(minInterval);
    }
    // Returns true if this router is one of those that watch the store for the others.
    [[nodiscard]] bool shouldWatchStore(absl::Time now) const;
    // A router that watches the store is replaced if it has been silent for longer than this.
    [[nodiscard]] absl::Duration maxWatcherSilence() const;
    // Lets the views watch the store or follow other routers. Returns whether they watch.
    bool updateWatching(absl::Time now);
    // Reads the views that nobody has confirmed for too long, now and whenever that happens.
    void keepViewsConfirmed();
    // Recomputes the groups if the known routers have changed.
    void updateTopology();
    void addReportDestination(const RouterId &, bool isInOwnGroup, std::vector<ReportDestination> &) const;

    void logClosure(const ConnectionClosure &);
    // Applies `[memory]` of the settings.
    void applyResourceLimits();
    void connectionShed(ShedReason);
    void updateResourceMetrics();
    // Answers a request addressed to the gateway itself.
    [[nodiscard]] HttpResponse answer(const ReadinessCheck &) const;
    [[nodiscard]] HttpResponse answer(const EntryPointQuery &) const;
    [[nodiscard]] HttpResponse answer(const ViewRequest &);
    [[nodiscard]] HttpResponse answer(const MetricsQuery &) const;
    void forward(const std::shared_ptr<HttpServerConnection> &, HttpRequest);
    void refuse(const std::shared_ptr<HttpServerConnection> &, int status, std::string_view reason,
                const std::string &requestId, std::optional<absl::Duration> after = std::nullopt);
    [[nodiscard]] bool isReady() const;
    // All views that requests depend on are complete.
    [[nodiscard]] bool hasViews() const
    {
        return m_routes && m_targetsView.hasView() && (!m_ordersView || m_ordersView->view.hasView());
    }
    [[nodiscard]] ServiceRetryBudget &budgetFor(const ServiceName &);
    void targetFailed(const TargetProcess &, TargetFault);
    void notifySessions(const TargetProcess &, TargetFault);
    // Calls the function for each open session, but not from within the current call.
    void postToSessions(std::function<void(ForwardSession &)>);
    // Probes a target that lost a connection to find out whether it is still reachable.
    void verifyTarget(const TargetProcess &);
    // The directory lists a later process at the address of this one. Asks the address which process is there
    // if runs are at work.
    void checkReplaced(const TargetProcess &, int number = 1);
    void replacedChecked(const TargetProcess &, TargetIdentity, int number);
    void addReportedCounts(const PeerReport &, absl::Time now);

    // Writes the router's own record to the store, and again while it fails or a later era lacks it.
    void publishOwnRecord();
    void ownRecordPublished(StoreEra);
    void retryPublishing();
    // Requests the full view of targets from another router.
    void reconcile(absl::Time now);
    void runPeriodicTasks();
    [[nodiscard]] std::size_t connectionCount() const;
    void continueShutdown();
    // Takes no more connections; requests on open ones are refused from now on.
    void stopListening(absl::Time now);
    // During a shutdown, only requests whose timeout ends well before open requests are aborted are passed
    // on.
    [[nodiscard]] bool canServeBeforeExit(const RoutedRequest &, absl::Time now) const;
    // Every answer was sent, or the grace period is over.
    [[nodiscard]] bool canExit(absl::Time now) const;

    boost::asio::io_context &m_context;
    GatewaySettings m_settings;
    SiteAdapter m_site;
    SeededRandom m_random;
    StructuredLog m_log;
    GatewayMetrics m_metrics;
    TargetPool m_targets;
    ServiceAdmissions m_admissions;
    TargetConnections m_connections;
    RouterRegistry m_routerRegistry;
    PromptGuard m_promptGuard;
    PeerTopology m_topology;
    // Never null.
    std::shared_ptr<LimitGuard> m_limitGuard;
    // Null without settings for rollouts.
    std::shared_ptr<RolloutGuard> m_rolloutGuard;
    GatewayContext m_gatewayContext;
    RouterRegistry::Member m_self;
    // Version of the registry's membership that the topology was computed from.
    std::uint64_t m_topologyVersion{0};
    DirectoryView m_configurationView;
    DirectoryView m_targetsView;
    DirectoryView m_routersView;
    ViewRelay m_configurationRelay;
    ViewRelay m_targetsRelay;
    // Null without settings for rollouts.
    std::unique_ptr<OrdersView> m_ordersView;
    std::shared_ptr<const RouteTable> m_routes;
    // Sessions hold references to the budgets, so the map must not move its elements.
    absl::node_hash_map<ServiceName, ServiceRetryBudget> m_budgets;
    absl::flat_hash_set<std::shared_ptr<ForwardSession>> m_sessions;
    // The servers refer to the listeners.
    std::vector<std::unique_ptr<Listener>> m_listeners;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::unique_ptr<PeerLink> m_peerLink;
    boost::asio::steady_timer m_freshnessTimer;
    boost::asio::steady_timer m_periodicTimer;
    std::uint64_t m_periodicRuns{0};
    boost::asio::steady_timer m_shutdownTimer;
    boost::asio::steady_timer m_publishTimer;
    bool m_isPublishing{false};
    // Era that the router's own record was last written in.
    std::optional<StoreEra> m_publishedEra;
    absl::Time m_startedAt;
    std::optional<absl::Time> m_shutdownStartedAt;
    // Grace period of the shutdown. Fixed at its start, since the kill at its end was scheduled then.
    absl::Duration m_shutdownGrace;
    std::optional<absl::Time> m_listeningStoppedAt;
    std::uint64_t m_reportSequence{0};
    // Targets that this router found faulty since its last report.
    std::vector<TargetProcess> m_unreportedFaults;
    // Targets that this router found replaced since its last report.
    std::vector<TargetProcess> m_unreportedGone;
    absl::flat_hash_set<TargetId> m_targetsUnderVerification;
    // Request counts of each router's last report.
    struct ReportedCounts
    {
        Incarnation incarnation;
        ServiceCounts counts;
    };
    std::map<RouterId, ReportedCounts> m_lastReportedCounts;
};

} // namespace Wisteria
