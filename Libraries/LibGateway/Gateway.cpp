// Listeners, routing and periodic tasks of a gateway.

#include <LibGateway/Gateway.h>

#include <LibCore/Views.h>
#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/post.hpp>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>

#include <unistd.h>

namespace Wisteria {

namespace detail {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;
constexpr int statusUnavailable = 503;
// Target changes are small and must arrive quickly; a configuration of thousands of routes takes longer on a
// slow link.
constexpr absl::Duration targetsCallTimeout = absl::Milliseconds(600);
constexpr absl::Duration configurationCallTimeout = absl::Milliseconds(1500);
// Interval in seconds at which routers that do not watch the store request a full view from another router.
constexpr std::uint64_t reconcileIntervalSeconds = 10;
// Retry-After during shutdown; short because callers can retry at once at another entry point.
constexpr absl::Duration shutdownRetryAfter = absl::Milliseconds(100);
// Assumed timeout of a caller that does not send one.
constexpr absl::Duration defaultCallerTimeout = absl::Seconds(10);
// Watching routers that are silent for longer than this fraction of the change deadline are replaced.
constexpr double maxWatcherSilenceFraction = 0.5;
// A starting router has just listed all objects, and needs a moment to hear from those that watch them.
constexpr absl::Duration firstWatchDelay = absl::Milliseconds(900);

std::string requestPath(const HttpRequest &request)
{
    const auto target = request.target();
    const std::string_view view(target.data(), target.size());
    return std::string(view.substr(0, view.find('?')));
}

} // namespace detail

ErrorOr<std::unique_ptr<Gateway>> Gateway::create(boost::asio::io_context &context,
                                                  const GatewaySettings &settings, const SiteAdapter &site)
{
    std::unique_ptr<Gateway> gateway(new Gateway(context, settings, site));
    TRY_VOID(gateway->listen());
    gateway->start();
    return gateway;
}

Gateway::Gateway(boost::asio::io_context &context, const GatewaySettings &settings, const SiteAdapter &site)
    : m_context(context), m_settings(settings), m_site(site),
      m_random(static_cast<std::uint64_t>(absl::ToUnixNanos(absl::Now()))
               ^ static_cast<std::uint64_t>(getpid()) ^ absl::HashOf(settings.id)),
      m_log(STDOUT_FILENO, settings.id.value()), m_targets(settings.domain, m_random), m_connections(context),
      m_promptGuard(
          settings.id, m_routerRegistry, m_log, m_metrics,
          {.endRecorded = [this] { m_peerLink->scheduleReport(ReportUrgency::Urgent); },
           .verdictAdded = [this] { postToSessions([](ForwardSession &it) { it.promptsBarred(); }); }}),
      m_topology({.maxSingleGroup = settings.maxSingleGroup, .maxGroupSize = settings.maxGroupSize}),
      m_limitGuard(std::make_shared<LimitGuard>(
          context,
          LimitGuard::Router{
              .id = settings.id,
              .canIssue = [this](absl::Time now) { return canIssuePermits(now); },
              .send = [this](const auto &address, const auto &bytes) { m_peerLink->send(bytes, address); },
              .limitChanged = [this] { m_peerLink->scheduleReport(ReportUrgency::Urgent); }},
          m_routerRegistry, m_topology, m_targets, m_random, m_log, m_metrics)),
      m_rolloutGuard(makeRolloutGuard()),
      m_gatewayContext{
          .context = context,
          .dialect = site.dialect,
          .random = m_random,
          .targets = m_targets,
          .admissions = m_admissions,
          .connections = m_connections,
          .promptGuard = m_promptGuard,
          .limits = *m_limitGuard,
          .rollouts = m_rolloutGuard,
          .log = m_log,
          .metrics = m_metrics,
          .notices = std::make_shared<TargetNoticeRecorder>(site.dialect, m_targets, *m_limitGuard, m_log,
                                                            m_metrics),
          .targetFailed = [this](const auto &process, auto fault) { targetFailed(process, fault); },
          .loadChanged =
              [this] {
                  if (m_peerLink)
                      m_peerLink->scheduleReport(ReportUrgency::Load);
              },
          .sessionEnded =
              [this](const auto &session) {
                  boost::asio::post(m_context, [this, session] { m_sessions.erase(session); });
              }},
      m_configurationView(DirectoryKind::Configuration, settings.changeDeadline, context, site.store,
                          site.decoder, *this, m_log, m_random),
      m_targetsView(DirectoryKind::Targets, settings.changeDeadline, context, site.store, site.decoder, *this,
                    m_log, m_random),
      m_routersView(DirectoryKind::Routers, settings.changeDeadline, context, site.store, site.decoder, *this,
                    m_log, m_random),
      m_configurationRelay(context, m_configurationView, "configuration", detail::configurationCallTimeout,
                           m_log, m_random),
      m_targetsRelay(context, m_targetsView, "targets", detail::targetsCallTimeout, m_log, m_random),
      m_ordersView(makeOrdersView()), m_freshnessTimer(context), m_periodicTimer(context),
      m_shutdownTimer(context), m_publishTimer(context)
{
    m_self.id = settings.id;
    m_self.domain = settings.domain;
    m_self.callerAddress = settings.callerListen;
    m_self.peerAddress = settings.peerListen;
    m_startedAt = monotonicNow();
    m_self.incarnation = Incarnation(static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now())));
    m_routersView.setWatching(false);
    // Nothing is known of services before the first configuration.
    m_targets.setServices({});
}

Gateway::~Gateway()
{
    m_log.flush();
}

ErrorOr<void> Gateway::listen()
{
    for (const auto &it : planListeners(m_settings)) {
        m_listeners.push_back(std::make_unique<Listener>(*this, it.roles));
        m_servers.push_back(
            TRY(HttpServer::create(m_context, TRY(Address::parse(it.address)), *m_listeners.back(), {})));
    }
    applyResourceLimits();
    m_peerLink = TRY(PeerLink::create(m_context, m_settings.peerListen, *this));
    return {};
}

void Gateway::start()
{
    m_log.write("started",
                {{"domain", m_settings.domain.value()},
                 {"callers", m_settings.callerListen},
                 {"store", m_settings.store},
                 {"incarnation", m_self.incarnation.value()},
                 // Maps the log's timestamps, which count from the machine's boot, to wall-clock time.
                 {"unix_s", absl::ToDoubleSeconds(absl::Now() - absl::UnixEpoch())},
                 {"build", WISTERIA_VERSION}},
                monotonicNow());
    m_configurationView.start();
    m_targetsView.start();
    publishOwnRecord();
    m_peerLink->start();
    runPeriodicTasks();
    keepViewsConfirmed();
}

void Gateway::storeRestored(StorePosition from, StorePosition to)
{
    m_metrics.increment("store_restorations_total", "");
    // The copy may lack the record. The views notice the restoration one after the other.
    if (from.era < to.era && m_publishedEra && *m_publishedEra < to.era)
        publishOwnRecord();
}

bool Gateway::isReady() const
{
    return hasViews() && !m_shutdownStartedAt;
}

void Gateway::Listener::handleRequest(const std::shared_ptr<HttpServerConnection> &caller,
                                      HttpRequest message)
{
    const auto target = message.target();
    const auto request = readLocalRequest(m_roles, m_gateway.m_site.dialect, {target.data(), target.size()});
    if (!request && m_roles.has(ListenerRole::Callers))
        return m_gateway.forward(caller, std::move(message));
    if (!request) {
        caller->respond(makeResponse(detail::statusNotFound, "", ""));
        return;
    }
    if (message.method() != boost::beast::http::verb::get) {
        auto response = makeResponse(detail::statusMethodNotAllowed, "", "");
        response.head.fields.set("Allow", "GET");
        caller->respond(response);
        return;
    }
    caller->respond(std::visit([this](const auto &it) { return m_gateway.answer(it); }, *request));
}

void Gateway::logClosure(const ConnectionClosure &closure)
{
    const auto reason = closureReasonName(closure.reason);
    m_metrics.increment("connections_closed_total",
                        absl::StrCat("reason=\"", abslView(reason), "\",outstanding=\"",
                                     closure.hasOutstandingWork() ? "yes" : "no", "\""));
    if (!closure.hasOutstandingWork())
        return;
    m_log.write("connection_closed",
                {{"reason", reason},
                 {"peer", closure.peer},
                 {"open_request", closure.hasOpenRequest},
                 {"unparsed_bytes", closure.unparsedBytes},
                 {"unread_bytes", closure.unreadBytes},
                 {"unsent_bytes", closure.unsentBytes}},
                monotonicNow());
}

std::size_t Gateway::connectionCount() const
{
    std::size_t n = 0;
    for (const auto &it : m_servers)
        n += it->connectionCount();
    return n;
}

HttpResponse Gateway::answer(const ReadinessCheck &) const
{
    return makeResponse(isReady() ? detail::statusOk : detail::statusUnavailable, "", "");
}

HttpResponse Gateway::answer(const EntryPointQuery &query) const
{
    auto addresses = m_routerRegistry.entryPoints(query.domain, monotonicNow());
    if (isReady())
        addresses.insert(addresses.begin(), m_self.callerAddress);
    if (addresses.empty())
        return makeResponse(detail::statusUnavailable, "", "");
    return m_site.dialect.writeEntryPoints(addresses, m_settings.entryPointLifetime);
}

HttpResponse Gateway::answer(const ViewRequest &request)
{
    for (auto *it : {&m_configurationRelay, &m_targetsRelay, m_ordersView ? &m_ordersView->relay : nullptr}) {
        if (it && it->name() == request.view)
            return it->responseFor(request.after);
    }
    return makeResponse(detail::statusNotFound, "", "");
}

HttpResponse Gateway::answer(const MetricsQuery &) const
{
    return makeResponse(detail::statusOk, "text/plain; version=0.0.4", m_metrics.render());
}

void Gateway::refuse(const std::shared_ptr<HttpServerConnection> &caller, int status, std::string_view reason,
                     const std::string &requestId, std::optional<absl::Duration> after)
{
    auto response = makeResponse(status, "text/plain", "");
    if (after)
        setRetryAfter(response, *after, m_random);
    m_metrics.increment("requests_refused_total", absl::StrCat("reason=\"", std::string(reason), "\""));
    m_log.write("refused",
                {{"request", requestId},
                 {"status", status},
                 {"reason", reason},
                 {"config_version", m_routes ? m_routes->version().value() : 0}},
                monotonicNow());
    caller->respond(response);
}

void Gateway::forward(const std::shared_ptr<HttpServerConnection> &caller, HttpRequest message)
{
    auto request = m_site.dialect.readRequest(message);
    if (!request)
        return refuse(caller, detail::statusBadRequest, request.error().detail, "");
    const auto id = request->id.value();
    const auto callerTimeout = request->callerTimeout.value_or(detail::defaultCallerTimeout);
    if (!hasViews()) {
        // Target records that expired while the store was unavailable reappear only some time after it
        // recovers.
        const auto expiryGrace =
            m_targetsView.isStoreLost() ? DirectorySynchronizer::removalGracePeriod : absl::ZeroDuration();
        return refuse(caller, detail::statusUnavailable, "no_configuration", id,
                      retryAfter(callerTimeout, monotonicNow() - m_startedAt + expiryGrace));
    }
    RoutedRequest routed{.request = std::move(*request), .table = m_routes};
    const auto host = fieldValue(message, "Host");
    routed.route = m_routes->findRoute(host, detail::requestPath(message));
    if (!routed.route)
        return refuse(caller, detail::statusNotFound, "no_route", id);
    if (m_routes->requiresApiKey() && !routed.route->isAnonymous) {
        routed.workspace = m_routes->findWorkspace(routed.request.apiKey);
        if (!routed.workspace)
            return refuse(caller, detail::statusUnauthorized, "unknown_key", id);
    }
    routed.service = m_routes->findService(RouteTable::chooseService(*routed.route, m_random.fraction()));
    if (!routed.service) {
        return refuse(caller, detail::statusUnavailable, "unknown_service", id,
                      retryAfter(callerTimeout, absl::ZeroDuration()));
    }
    const auto now = monotonicNow();
    if (!canServeBeforeExit(routed, now)) {
        return refuse(caller, detail::statusUnavailable, "stopping", id, detail::shutdownRetryAfter);
    }
    routed.message = std::move(message);
    auto &budget = budgetFor(routed.service->name);
    budget.recordRequest(now);
    auto session = std::make_shared<ForwardSession>(m_gatewayContext, caller, std::move(routed), budget, now);
    m_sessions.insert(session);
    session->start();
}

ServiceRetryBudget &Gateway::budgetFor(const ServiceName &service)
{
    return m_budgets.try_emplace(service, m_settings.retryLimits).first->second;
}

void Gateway::configurationChanged(std::shared_ptr<const RouteTable> routes)
{
    m_log.write("configuration",
                {{"version", routes->version().value()},
                 {"routes", routes->configuration().routes.size()},
                 {"workspaces", routes->configuration().workspaces.size()},
                 {"before", m_routes ? m_routes->version().value() : 0}},
                monotonicNow());
    const auto &limits = routes->configuration().limits;
    for (const auto &it : m_servers) {
        it->setLimits({.maxHeaderBytes = limits.maxHeaderBytes,
                       .maxBodyBytes = limits.maxBodyBytes,
                       .requestTimeout = limits.headerTimeout,
                       .idleTimeout = limits.idleTimeout});
    }
    absl::flat_hash_set<ServiceName> services;
    for (const auto &it : routes->configuration().services)
        services.insert(it.name);
    m_targets.setServices(std::move(services));
    m_routes = std::move(routes);
    m_peerLink->scheduleReport(ReportUrgency::Urgent);
}

void Gateway::targetChanged(const ForwardingTarget &record)
{
    const auto *known = m_targets.find(record.id);
    const auto before = known ? std::optional(*known) : std::nullopt;
    const auto replacedProcess = m_targets.upsert(record);
    const auto &now = *m_targets.find(record.id);
    if (now.startedAtMs != record.startedAtMs) {
        m_log.write("unusable_object",
                    {{"kind", "targets"}, {"name", record.id.value()}, {"reason", "the start is missing"}},
                    monotonicNow());
        return;
    }
    if (!before || before->phase != now.phase || before->address != now.address
        || before->startedAtMs != now.startedAtMs) {
        m_log.write("target",
                    {{"target", now.id.value()},
                     {"service", now.service.value()},
                     {"domain", now.domain.value()},
                     {"address", now.address},
                     {"phase", now.phase == ForwardingTargetPhase::Ready ? "ready" : "leaving"},
                     {"started_at_ms", now.startedAtMs}},
                    monotonicNow());
    }
    if (m_targets.isKnownService(now.service))
        m_promptGuard.processListed(now.process(), monotonicNow());
    if (m_rolloutGuard)
        m_rolloutGuard->targetListed(now, monotonicNow());
    if (replacedProcess)
        checkReplaced(*replacedProcess);
}

void Gateway::targetRemoved(const TargetId &id)
{
    m_log.write("target_removed", {{"target", id.value()}}, monotonicNow());
    const auto *record = m_targets.find(id);
    const auto process = record ? record->process() : TargetProcess{.id = id, .address = {}};
    m_targets.remove(id);
    if (m_rolloutGuard)
        m_rolloutGuard->targetRemoved(id, monotonicNow());
    // Retryable requests probe the target rather than being aborted, since a target that is removed without
    // notice keeps serving its running requests for a while.
    notifySessions(process, TargetFault::Unreachable);
    m_connections.remove(id);
}

void Gateway::routerChanged(const RouterRecord &record)
{
    if (record.id == m_self.id)
        return;
    m_routerRegistry.upsertRecord({.id = record.id,
                                   .domain = record.domain,
                                   .callerAddress = record.callerAddress,
                                   .peerAddress = record.peerAddress});
    m_peerLink->scheduleReport(ReportUrgency::Urgent);
}

void Gateway::viewRead(DirectoryKind)
{
    m_metrics.increment("unconfirmed_view_reads_total", "");
    m_peerLink->scheduleReport(ReportUrgency::Urgent);
}

void Gateway::updateTopology()
{
    if (m_topologyVersion == m_routerRegistry.membershipVersion())
        return;
    m_topologyVersion = m_routerRegistry.membershipVersion();
    std::vector<PeerTopology::Router> others;
    for (const auto &it : m_routerRegistry.members())
        others.push_back({it.id, it.domain});
    m_topology.update({m_self.id, m_self.domain}, others);
    m_targets.setGroup(m_topology.ownGroupIndex(), m_topology.groupCount());
}

void Gateway::addReportDestination(const RouterId &id, bool isInOwnGroup,
                                   std::vector<ReportDestination> &out) const
{
    if (const auto *it = m_routerRegistry.find(id))
        out.push_back(
            {.address = it->peerAddress, .isInOwnGroup = isInOwnGroup, .lastReportAt = it->lastReportAt});
}

std::vector<ReportDestination> Gateway::reportDestinations(ReportAudience audience)
{
    updateTopology();
    std::vector<ReportDestination> out;
    for (const auto &it : m_topology.ownGroup())
        addReportDestination(it, true, out);
    // The coordinator is known to all routers by its reports.
    if (audience == ReportAudience::GroupAndOthers && isRolloutCoordinator(monotonicNow()))
        audience = ReportAudience::Everyone;
    if (audience == ReportAudience::GroupAndOthers) {
        for (const auto &it : m_topology.selectBriefPeers(m_random))
            addReportDestination(it, false, out);
    } else if (audience == ReportAudience::Everyone) {
        for (const auto &it : m_routerRegistry.members()) {
            if (!m_topology.isInOwnGroup(it.id))
                addReportDestination(it.id, false, out);
        }
    }
    return out;
}

std::string Gateway::takeLimitNews()
{
    return m_limitGuard->takeNews(monotonicNow());
}

void Gateway::handleLimitMessage(const LimitMessage &message)
{
    m_limitGuard->handleMessage(message, monotonicNow());
}

bool Gateway::canIssuePermits(absl::Time now) const
{
    return !m_shutdownStartedAt && isReady() && now - m_startedAt >= RouterRegistry::livenessTimeout;
}

PeerReport Gateway::makeReport()
{
    PeerReport report;
    report.router = m_self;
    report.router.phase = m_shutdownStartedAt ? RouterPhase::Draining
        : isReady()                           ? RouterPhase::Serving
                                              : RouterPhase::Starting;
    report.router.reportSequence = ++m_reportSequence;
    report.configurationPosition = m_configurationView.changePosition();
    report.configurationVersion = m_configurationView.configurationVersion();
    report.targetsPosition = m_targetsView.changePosition();
    report.configurationAge = m_configurationView.storeAge(monotonicNow());
    report.targetsAge = m_targetsView.storeAge(monotonicNow());
    report.orders = makeOrdersState();
    report.loads = m_targets.ownLoads();
    report.speeds = m_targets.speeds().reports(monotonicNow());
    report.faults = std::exchange(m_unreportedFaults, {});
    report.gone = std::exchange(m_unreportedGone, {});
    for (const auto &[service, budget] : m_budgets)
        report.counts[service] = budget.counts();
    report.router.isStoreTrusted = m_targetsView.isTrusted(monotonicNow());
    report.promptEvidence = m_promptGuard.evidenceForGroup(monotonicNow());
    if (m_topology.groupCount() > 1)
        report.promptEvidenceForOthers = m_promptGuard.evidenceForOthers(monotonicNow());
    return report;
}

void Gateway::handleReport(const PeerReport &report)
{
    if (report.router.id == m_self.id)
        return;
    const auto now = monotonicNow();
    const auto order = m_routerRegistry.recordReport(report.router, now);
    updateTopology();
    const bool isInOwnGroup = m_topology.isInOwnGroup(report.router.id);
    // Routers of other groups report rarely, so they are often silent for a while.
    if (order == ReportOrder::First && isInOwnGroup) {
        m_log.write("router_found",
                    {{"router", report.router.id.value()},
                     {"incarnation", report.router.incarnation.value()},
                     {"phase", static_cast<int>(report.router.phase)}},
                    now);
        m_promptGuard.routerFound();
        m_limitGuard->routerFound();
        m_peerLink->scheduleReport(ReportUrgency::Urgent);
    }
    // These are not repeated in later reports.
    for (const auto &it : report.faults) {
        m_targets.recordPeerFault(it, now);
        notifySessions(it, TargetFault::Unresponsive);
    }
    for (const auto &it : report.gone) {
        m_targets.markGone(it);
        if (!m_targets.isSuperseded(it))
            m_promptGuard.targetEnded(it.id, now);
        notifySessions(it, TargetFault::Gone);
    }
    if (order == ReportOrder::Outdated)
        return;
    if (isInOwnGroup) {
        m_targets.setPeerLoads(report.router.id, report.loads, now);
        m_targets.speeds().merge(report.router.id, report.speeds, now);
        addReportedCounts(report, now);
    }
    m_promptGuard.merge(report.promptEvidence,
                        isInOwnGroup ? PromptQuarantine::EvidenceSource::OwnGroup
                                     : PromptQuarantine::EvidenceSource::OtherGroup,
                        now);
    m_configurationView.notePeerView(report.configurationPosition, report.configurationAge, now);
    m_targetsView.notePeerView(report.targetsPosition, report.targetsAge, now);
    m_configurationRelay.notePosition(report.router, report.configurationPosition);
    if (report.configurationVersion > m_configurationView.configurationVersion()
        && report.configurationPosition <= m_configurationView.changePosition())
        m_configurationRelay.noteNewerContent(report.router);
    m_targetsRelay.notePosition(report.router, report.targetsPosition);
    mergeOrdersState(report, now);
    // Routers that ran before this one may know that a target has left which the store still lists.
    if (isInOwnGroup && report.router.phase == RouterPhase::Serving
        && report.router.incarnation < m_self.incarnation && !m_targetsRelay.hasMergedView())
        m_targetsRelay.noteNewerContent(report.router);
}

void Gateway::addReportedCounts(const PeerReport &report, absl::Time now)
{
    auto &last = m_lastReportedCounts[report.router.id];
    if (last.incarnation != report.router.incarnation)
        last = {report.router.incarnation, report.counts};
    for (const auto &[service, counts] : report.counts) {
        auto &before = last.counts[service];
        if (counts.requests >= before.requests && counts.retries >= before.retries) {
            budgetFor(service).recordPeerCounts(counts.requests - before.requests,
                                                counts.retries - before.retries, now);
            // Peers may name services that this router doesn't know.
            if (const auto it = m_admissions.find(service); it != m_admissions.end())
                it->second.demand.recordPeerRequests(counts.requests - before.requests, now);
        }
        before = counts;
    }
}

void Gateway::targetFailed(const TargetProcess &process, TargetFault fault)
{
    if (fault == TargetFault::InvalidResponse)
        return;
    auto &unreported = fault == TargetFault::Gone ? m_unreportedGone : m_unreportedFaults;
    if (std::find(unreported.begin(), unreported.end(), process) == unreported.end())
        unreported.push_back(process);
    m_peerLink->scheduleReport(ReportUrgency::Urgent);
    notifySessions(process, fault);
    if (fault == TargetFault::ConnectionLost)
        verifyTarget(process);
}

void Gateway::notifySessions(const TargetProcess &process, TargetFault fault)
{
    postToSessions([process, fault](ForwardSession &it) { it.targetFailed(process, fault); });
}

void Gateway::postToSessions(std::function<void(ForwardSession &)> notify)
{
    boost::asio::post(m_context, [this, notify = std::move(notify)] {
        const std::vector<std::shared_ptr<ForwardSession>> sessions(m_sessions.begin(), m_sessions.end());
        for (const auto &it : sessions)
            notify(*it);
    });
}

void Gateway::verifyTarget(const TargetProcess &process)
{
    const auto *record = m_targets.find(process.id);
    if (!record || m_targets.isSuperseded(process) || !m_targetsUnderVerification.insert(process.id).second)
        return;
    m_connections.probe(*record, [this, process = record->process()](ProbeResult result) {
        const auto &id = process.id;
        m_targetsUnderVerification.erase(id);
        const auto now = monotonicNow();
        if (result == ProbeResult::Connected) {
            m_targets.markReachable(id);
            return;
        }
        const auto fault = result == ProbeResult::Refused ? TargetFault::Refused : TargetFault::Unreachable;
        m_targets.recordFault(process, fault, now);
        m_log.write("target_verified", {{"target", id.value()}, {"fault", targetFaultName(fault)}}, now);
        if (fault == TargetFault::Refused && !m_targets.isSuperseded(process))
            m_promptGuard.targetEnded(id, now);
        targetFailed(process, fault);
    });
}

void Gateway::reconcile(absl::Time now)
{
    std::vector<RouterRegistry::Member> candidates;
    for (const auto &it : m_routerRegistry.members()) {
        if (it.isStoreTrusted && m_routerRegistry.isAlive(it.id, now))
            candidates.push_back(it);
    }
    if (candidates.empty())
        return;
    m_targetsRelay.pullFullView(candidates[m_random.below(candidates.size())]);
}

bool Gateway::shouldWatchStore(absl::Time now) const
{
    if (now - m_startedAt < detail::firstWatchDelay)
        return false;
    const auto watchers =
        std::max<std::size_t>(m_settings.watchersPerDomain / m_topology.groupsInOwnDomain(), 1);
    return m_routerRegistry.shouldWatchStore(m_self, m_topology.ownGroup(), watchers, maxWatcherSilence(),
                                             now);
}

absl::Duration Gateway::maxWatcherSilence() const
{
    // A lost report is no reason for another watcher.
    return std::clamp(detail::maxWatcherSilenceFraction * m_settings.changeDeadline,
                      2 * PeerLink::maxReportInterval, RouterRegistry::livenessTimeout);
}

bool Gateway::updateWatching(absl::Time now)
{
    const bool isWatcher = shouldWatchStore(now);
    m_configurationView.setWatching(isWatcher);
    m_targetsView.setWatching(isWatcher);
    return isWatcher;
}

void Gateway::keepViewsConfirmed()
{
    const auto now = monotonicNow();
    updateWatching(now);
    const auto routersBefore =
        m_routerRegistry.countHeardBefore(m_self.id, m_topology.ownGroup(), maxWatcherSilence(), now);
    const auto nextAt = std::min({m_configurationView.readIfUnconfirmed(routersBefore, now),
                                  m_targetsView.readIfUnconfirmed(routersBefore, now),
                                  keepOrdersConfirmed(routersBefore, now)});
    m_freshnessTimer.expires_after(absl::ToChronoNanoseconds(nextAt - now));
    m_freshnessTimer.async_wait([this](const auto &ec) {
        if (!ec)
            keepViewsConfirmed();
    });
}

void Gateway::runPeriodicTasks()
{
    const auto now = monotonicNow();
    m_connections.dropOld(now);
    m_promptGuard.expire(now);
    m_limitGuard->runPeriodicTasks();
    runRolloutTasks(now);
    updateTopology();
    const auto groupRouters = m_routerRegistry.aliveCountAmong(m_topology.ownGroup(), now) + 1;
    const bool othersTrusted = m_routerRegistry.isStoreTrustedByOthers(now);
    m_configurationView.setStoreTrustedByOthers(othersTrusted);
    m_targetsView.setStoreTrustedByOthers(othersTrusted);
    const bool isWatcher = updateWatching(now);
    for (auto &[service, budget] : m_budgets)
        budget.setRouterCounts(groupRouters, m_routerRegistry.size() + 1);
    if (++m_periodicRuns % detail::reconcileIntervalSeconds == 0 && !isWatcher)
        reconcile(now);
    m_metrics.setGauge("routers_alive", static_cast<double>(m_routerRegistry.aliveCount(now) + 1));
    m_metrics.setGauge("routers_known", static_cast<double>(m_routerRegistry.size() + 1));
    m_metrics.setGauge("router_group_alive", static_cast<double>(groupRouters));
    m_metrics.setGauge("router_groups", static_cast<double>(m_topology.groupCount()));
    m_metrics.setGauge("report_bytes_sent", static_cast<double>(m_peerLink->sentBytes()));
    m_metrics.setGauge("targets", static_cast<double>(m_targets.size()));
    m_metrics.setGauge("requests_open", static_cast<double>(m_sessions.size()));
    m_metrics.setGauge("configuration_version",
                       m_routes ? static_cast<double>(m_routes->version().value()) : 0);
    m_metrics.setGauge("log_lines_dropped", static_cast<double>(m_log.droppedLines()));
    updateResourceMetrics();
    m_log.flush();
    m_periodicTimer.expires_after(std::chrono::seconds(1));
    m_periodicTimer.async_wait([this](const auto &ec) {
        if (!ec)
            runPeriodicTasks();
    });
}

} // namespace Wisteria
