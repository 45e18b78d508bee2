// The decision thread: takes one event at a time, hands it to its part, and wakes the parts when their time
// has come.

#include <Router/RouterProcess.h>

#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <random>

namespace Wisteria {

namespace detail {

constexpr absl::Duration longestSleep = absl::Milliseconds(250);
constexpr absl::Duration ownStateInterval = absl::Milliseconds(500);
constexpr absl::Duration ringFullRetryAfter = absl::Milliseconds(500);
constexpr absl::Duration changePatience = absl::Seconds(15);

// Greater than any earlier incarnation of the same router, also on a new VM: the wall clock counts across
// VMs.
Incarnation newIncarnation()
{
    return Incarnation(static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now())));
}

std::uint64_t newSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

RouterRecord selfRecord(const RouterSettings &settings)
{
    RouterRecord record;
    record.id = settings.id;
    record.incarnation = newIncarnation();
    record.callerAddress = settings.callerAdvertised;
    record.peerAddress = settings.peerAdvertised;
    record.domain = settings.domain;
    return record;
}

} // namespace detail

RouterProcess::RouterProcess(const RouterSettings &settings)
    : m_self(detail::selfRecord(settings)), m_maxStreams(settings.limits.streamThreads),
      m_random(detail::newSeed()), m_ring(settings.limits.eventRing), m_peers(PeerClient::create()),
      m_plainTargets(settings.domain), m_configuration(std::make_shared<FleetConfiguration>())
{
}

ErrorOr<std::unique_ptr<RouterProcess>> RouterProcess::create(const RouterSettings &settings)
{
    std::unique_ptr<RouterProcess> process(new RouterProcess(settings));
    TRY_VOID(process->start(settings));
    return process;
}

ErrorOr<void> RouterProcess::start(const RouterSettings &settings)
{
    m_store = TRY(HttpObjectStore::create(settings.platform.objectApi, settings.platform.callTimeout));
    std::unique_ptr<VmDirectory> vms;
    if (!settings.platform.vmList.empty())
        vms = TRY(createHttpVmDirectory(settings.platform.vmList, settings.platform.callTimeout));
    m_streams = std::make_unique<EngineStreams>(
        *this, settings.limits.streamThreads,
        StreamTimeouts{settings.timeouts.connect, settings.timeouts.targetIdle});
    m_targetCalls =
        std::make_unique<TargetCalls>(*this, m_plainTargets, m_log, m_metrics, settings.limits.callThreads);
    m_generations = std::make_unique<GenerationHost>(m_random, *m_streams, m_log, m_metrics);
    m_calls = std::make_unique<CallHost>(
        m_self.id, m_self.incarnation, m_random, *this, *m_store, *m_peers, *m_targetCalls, m_log, m_metrics,
        [this](const RouterId &router) { return m_fleet->peerAddress(router); });
    FleetListener &listener = *this;
    m_fleet = std::make_unique<FleetHost>(m_self, settings.seeds, m_random, *this, *m_store, *m_peers,
                                          listener, m_log, settings.timeouts.peerCall, monotonicNow());
    m_calls->handle(LedgerConfigurationFreshnessChanged{false}, monotonicNow());
    m_peerServer = TRY(PeerServer::create(settings.peerListen, m_self.id, *this));
    m_poller = std::make_unique<TargetPoller>(*this, std::move(vms));
    m_thread = std::thread([this] { run(); });
    pthread_setname_np(m_thread.native_handle(), "decisions");
    return {};
}

RouterProcess::~RouterProcess()
{
    if (m_peerServer)
        m_peerServer->stop(absl::ZeroDuration());
    // Closing the ring frees every thread that waits for room on it.
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
    m_poller.reset();
    m_streams.reset();
}

bool RouterProcess::post(HostEvent event)
{
    return m_ring.push(std::move(event));
}

ErrorOr<void> RouterProcess::tryPost(HostEvent event)
{
    auto pushed = m_ring.tryPush(std::move(event));
    if (!pushed)
        return makeError(pushed.error().code, "the router is busy", detail::ringFullRetryAfter);
    return {};
}

ErrorOr<void> RouterProcess::open(GenerationRequest request)
{
    auto shared = std::make_shared<GenerationRequest>(std::move(request));
    return tryPost(Task([this, shared] { m_generations->open(std::move(*shared), monotonicNow()); }));
}

ErrorOr<void> RouterProcess::submit(CallRequest request)
{
    auto shared = std::make_shared<CallRequest>(std::move(request));
    return tryPost(Task([this, shared] { m_calls->submit(std::move(*shared), monotonicNow()); }));
}

void RouterProcess::callerLeft(const GenerationId &generation, const std::shared_ptr<CallerSession> &session)
{
    post(Task(
        [this, generation, session] { m_generations->callerLeft(generation, session, monotonicNow()); }));
}

ErrorOr<ConfigVersion> RouterProcess::change(ConfigurationChange change)
{
    struct Shared
    {
        absl::Notification done;
        ErrorOr<ConfigVersion> result{makeError(ErrorCode::Internal)};
    };
    auto shared = std::make_shared<Shared>();
    TRY_VOID(tryPost(Task([this, shared, change = std::move(change)] {
        auto answer = [shared](ErrorOr<ConfigVersion> result) {
            shared->result = std::move(result);
            shared->done.Notify();
        };
        m_fleet->submitChange(change, answer, monotonicNow());
    })));
    if (!shared->done.WaitForNotificationWithTimeout(detail::changePatience))
        return makeError(ErrorCode::NotAcknowledged, "ask again with the same change id", absl::Seconds(1));
    return shared->result;
}

CallAnswer RouterProcess::runIdempotent(const ServiceName &service, const std::string &body,
                                        absl::Time deadline)
{
    return m_targetCalls->runIdempotent(service, body, deadline);
}

std::shared_ptr<const FleetConfiguration> RouterProcess::configuration() const
{
    absl::MutexLock lock(&m_configurationMutex);
    return m_configuration;
}

GenerationId RouterProcess::newGenerationId()
{
    return GenerationId(
        absl::StrCat(m_self.id.value(), "-", m_self.incarnation.value(), "-", ++m_lastGeneration));
}

void RouterProcess::startDrain()
{
    post(Task([this] {
        if (m_drainFrom != absl::InfiniteFuture())
            return;
        auto now = monotonicNow();
        LOG(INFO) << "decision=drain reason=\"planned stop\"";
        m_fleet->handle(MembershipEvent(LeaveStarted{}), now);
        // Callers keep an answer for its lifetime and must find this router serving until then.
        m_drainFrom = now + entryPointLifetime;
    }));
}

// ---- The decision thread
// ----------------------------------------------------------------------------------------

void RouterProcess::run()
{
    while (!m_ring.isClosed()) {
        auto wait = std::clamp(nextWakeUp() - monotonicNow(), absl::ZeroDuration(), detail::longestSleep);
        auto event = m_ring.pop(wait);
        auto now = monotonicNow();
        // After a pause the configuration may be old, and that must be known before any event is taken.
        m_fleet->checkFreshness(now);
        if (event)
            handle(*event, now);
        wakeUp(now);
    }
}

void RouterProcess::handle(HostEvent &event, absl::Time now)
{
    if (auto *routing = std::get_if<RoutingEvent>(&event))
        m_generations->handle(*routing, now);
    else if (auto *ledger = std::get_if<LedgerEvent>(&event))
        m_calls->handle(*ledger, now);
    else if (auto *membership = std::get_if<MembershipEvent>(&event))
        m_fleet->handle(*membership, now);
    else if (auto *keeper = std::get_if<KeeperEvent>(&event))
        m_fleet->handle(*keeper, now);
    else
        std::get<Task>(event)();
}

absl::Time RouterProcess::nextWakeUp() const
{
    auto next = std::min(m_generations->router().nextWakeUp(), m_calls->ledger().nextWakeUp());
    return std::min({next, m_fleet->nextWakeUp(), m_nextOwnState});
}

void RouterProcess::wakeUp(absl::Time now)
{
    if (m_fleet->nextWakeUp() <= now) {
        m_fleet->handle(MembershipEvent(MembershipTick{}), now);
        m_fleet->handle(KeeperEvent(KeeperTick{}), now);
    }
    if (m_generations->router().nextWakeUp() <= now)
        m_generations->handle(Tick{}, now);
    if (m_calls->ledger().nextWakeUp() <= now)
        m_calls->handle(LedgerTick{}, now);
    if (m_nextOwnState <= now)
        reportOwnState(now);
    if (std::exchange(m_targetListsAreOld, false))
        refreshTargetLists();
    if (m_drainFrom <= now)
        continueDrain(now);
}

void RouterProcess::reportOwnState(absl::Time now)
{
    constexpr std::size_t perMille = 1000;
    m_nextOwnState = now + detail::ownStateInterval;
    OwnStateChanged state;
    state.loadPerMille =
        static_cast<std::uint32_t>(m_streams->running() * perMille / std::max<std::size_t>(m_maxStreams, 1));
    for (const auto &[workspace, n] : m_generations->router().demand())
        state.demand.push_back(WorkspaceDemand{workspace, n});
    m_fleet->handle(MembershipEvent(std::move(state)), now);
    m_metrics.setGauge("engine_streams", static_cast<double>(m_streams->running()));
    m_metrics.setGauge("decision_ring_events", static_cast<double>(m_ring.size()));
    m_metrics.setGauge("config_version",
                       static_cast<double>(m_fleet->keeper().configuration().version.value()));
    m_metrics.setGauge("config_fresh", m_fleet->keeper().isFresh(now) ? 1 : 0);
}

void RouterProcess::continueDrain(absl::Time now)
{
    if (!m_isDraining) {
        m_isDraining = true;
        m_state = ServingState::Draining;
        m_generations->handle(DrainStarted{}, now);
        m_calls->handle(LedgerDrainStarted{}, now);
    }
    if (m_generations->router().isIdle() && m_calls->ledger().isIdle())
        m_isDrained = true;
}

// ---- What the fleet's state means
// -------------------------------------------------------------------------------

void RouterProcess::onConfiguration(const FleetConfiguration &configuration)
{
    {
        absl::MutexLock lock(&m_configurationMutex);
        m_configuration = std::make_shared<const FleetConfiguration>(configuration);
    }
    m_generations->handle(ConfigurationChanged{configuration}, monotonicNow());
    m_targetListsAreOld = true;
}

void RouterProcess::onTarget(const TargetSpec &spec, TargetPhase phase)
{
    m_generations->handle(TargetChanged{spec.id, spec.service, spec.domain, spec.slots, phase},
                          monotonicNow());
    m_targetListsAreOld = true;
}

void RouterProcess::onTargetRemoved(const TargetSpec &spec)
{
    onTarget(spec, TargetPhase::Gone);
}

void RouterProcess::refreshTargetLists()
{
    auto current = configuration();
    std::vector<PlainTarget> plain;
    std::vector<PolledTarget> polled;
    for (const auto &[id, spec] : current->targets) {
        auto service = current->services.find(spec.service);
        auto address = Address::parse(spec.address);
        auto phase = m_fleet->phaseOf(id);
        if (service == current->services.end() || !address || phase == TargetPhase::Gone)
            continue;
        bool isPlain = service->second.kind == ServiceKind::Plain;
        polled.push_back(PolledTarget{id, *address, isPlain ? PollKind::PlainService : PollKind::Engine});
        if (isPlain)
            plain.push_back(PlainTarget{id, spec.service, *address, spec.domain, phase});
    }
    m_plainTargets.replace(std::move(plain));
    m_poller->replace(std::move(polled));
}

void RouterProcess::onFreshness(bool fresh)
{
    if (!m_isDraining)
        m_state = fresh ? ServingState::Serving : ServingState::Stale;
    m_generations->handle(FreshnessChanged{fresh}, monotonicNow());
    m_calls->handle(LedgerConfigurationFreshnessChanged{fresh}, monotonicNow());
}

void RouterProcess::onDemandElsewhere(const DemandElsewhere &demand)
{
    m_generations->handle(WorkspaceDemandReported{demand.workspace, demand.generations, demand.liveRouters},
                          monotonicNow());
}

// ---- What peers ask
// ---------------------------------------------------------------------------------------------

ErrorOr<PeerGossip> RouterProcess::onGossip(const PeerGossip &gossip)
{
    return ask<PeerGossip>([this, gossip](absl::Time now) { return m_fleet->answerGossip(gossip, now); });
}

ErrorOr<FleetConfiguration> RouterProcess::onFetchConfiguration()
{
    return *configuration();
}

ErrorOr<ConfigurationDigest> RouterProcess::onPushConfiguration(FleetConfiguration configuration)
{
    return ask<ConfigurationDigest>([this, configuration = std::move(configuration)](absl::Time now) {
        m_fleet->handle(KeeperEvent(ConfigurationReceived{configuration}), now);
        return m_fleet->digest(now);
    });
}

ErrorOr<ConfigurationDigest> RouterProcess::onPoll()
{
    return ask<ConfigurationDigest>([this](absl::Time now) { return m_fleet->digest(now); });
}

ErrorOr<CallAnswer> RouterProcess::onForwardedCall(const ForwardedCall &call)
{
    if (call.incarnation != m_self.incarnation)
        return makeError(ErrorCode::LeaseLost, "another incarnation owned the call");
    struct Shared
    {
        absl::Notification done;
        CallAnswer answer;
    };
    auto shared = std::make_shared<Shared>();
    CallRequest request;
    request.workspace = call.workspace;
    request.service = call.service;
    request.key = call.key;
    request.body = call.body;
    request.attempt = call.attempt;
    request.source = CallSource::Router;
    request.deadline = monotonicNow() + call.remaining;
    request.answer = [shared](CallAnswer answer) {
        shared->answer = std::move(answer);
        shared->done.Notify();
    };
    TRY_VOID(submit(std::move(request)));
    if (!shared->done.WaitForNotificationWithTimeout(call.remaining))
        return makeError(ErrorCode::Timeout);
    return shared->answer;
}

} // namespace Wisteria
