// Everything that blocks runs on a pool and comes back as an event.

#include <Router/FleetHost.h>

#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>

namespace Wisteria {

namespace detail {

constexpr const char *configurationKind = "configuration";
constexpr const char *configurationName = "fleet";
constexpr std::size_t maxFleetThreads = 32;

TargetPhase phaseOf(const TargetSpec &spec, TargetHealth health)
{
    if (health == TargetHealth::Gone)
        return TargetPhase::Gone;
    if (spec.retiring || health == TargetHealth::Leaving)
        return TargetPhase::Leaving;
    return health == TargetHealth::Suspect ? TargetPhase::Suspect : TargetPhase::Live;
}

} // namespace detail

FleetHost::FleetHost(const RouterRecord &self, std::vector<std::string> seeds, RandomSource &random,
                     EventSink &sink, ObjectStore &store, PeerClient &peers, FleetListener &listener,
                     DecisionLog &log, absl::Duration peerTimeout, absl::Time now)
    : m_self(self.id), m_sink(sink), m_store(store), m_peers(peers), m_listener(listener), m_log(log),
      m_peerTimeout(peerTimeout), m_members(MemberTable::create(self, std::move(seeds), random)),
      m_keeper(ConfigurationKeeper::create(self.id, true, now)), m_pool("fleet", detail::maxFleetThreads)
{
}

absl::Time FleetHost::nextWakeUp() const
{
    return std::min(m_members->nextWakeUp(), m_keeper->nextWakeUp());
}

void FleetHost::handle(const MembershipEvent &event, absl::Time now)
{
    for (const auto &it : m_members->handle(event, now))
        carryOut(it, now);
    m_keeper->setReadsStore(m_members->isStoreReader());
}

void FleetHost::handle(const KeeperEvent &event, absl::Time now)
{
    for (const auto &it : m_keeper->handle(event, now))
        carryOut(it, now);
    checkFreshness(now);
}

void FleetHost::checkFreshness(absl::Time now)
{
    bool isFresh = m_keeper->isFresh(now);
    if (isFresh == m_wasFresh)
        return;
    m_wasFresh = isFresh;
    m_log.recordLine(absl::StrCat("decision=freshness chosen=", isFresh ? "fresh" : "stale",
                                  " version=", m_keeper->configuration().version.value()));
    m_listener.onFreshness(isFresh);
}

void FleetHost::submitChange(ConfigurationChange change, ChangeCallback callback, absl::Time now)
{
    m_changes[change.changeId] = std::move(callback);
    handle(ChangeRequested{std::move(change)}, now);
}

PeerGossip FleetHost::answerGossip(const PeerGossip &gossip, absl::Time now)
{
    handle(GossipReceived{gossip.message}, now);
    return PeerGossip{m_members->answerTo(gossip.message, now), digest(now)};
}

ConfigurationDigest FleetHost::digest(absl::Time now) const
{
    return ConfigurationDigest{m_keeper->configuration().version, m_keeper->confirmedSinceStart(),
                               m_keeper->confirmation(now)};
}

std::optional<std::string> FleetHost::peerAddress(const RouterId &router) const
{
    for (const auto &it : m_members->routers()) {
        if (it.id == router)
            return it.peerAddress;
    }
    // A router that has just started knows some peers from the configuration before gossip names them.
    for (const auto &it : m_configuration.countedRouters) {
        if (it.id == router)
            return it.peerAddress;
    }
    return std::nullopt;
}

TargetPhase FleetHost::phaseOf(const TargetId &target) const
{
    auto spec = m_configuration.targets.find(target);
    if (spec == m_configuration.targets.end())
        return TargetPhase::Gone;
    auto health = m_health.find(target);
    return detail::phaseOf(spec->second, health == m_health.end() ? TargetHealth::Up : health->second);
}

void FleetHost::carryOut(const MembershipAction &action, absl::Time now)
{
    if (const auto *it = std::get_if<SendGossip>(&action)) {
        sendGossip(*it, now);
    } else if (const auto *it = std::get_if<TargetHealthChanged>(&action)) {
        m_health[it->target] = it->health;
        m_log.recordLine(absl::StrCat("decision=target chosen=", it->target.value(),
                                      " health=", std::string(targetHealthName(it->health)), " reason=\"",
                                      it->reason, "\""));
        auto spec = m_configuration.targets.find(it->target);
        if (spec != m_configuration.targets.end())
            m_listener.onTarget(spec->second, phaseOf(it->target));
    } else if (const auto *it = std::get_if<RouterPhaseChanged>(&action)) {
        m_log.recordLine(absl::StrCat("decision=router chosen=", it->record.id.value(),
                                      " incarnation=", it->record.incarnation.value(),
                                      " phase=", std::string(memberPhaseName(it->record.phase))));
    } else if (const auto *it = std::get_if<DemandElsewhere>(&action)) {
        m_listener.onDemandElsewhere(*it);
    }
}

void FleetHost::sendGossip(const SendGossip &action, absl::Time now)
{
    PeerGossip gossip{action.message, digest(now)};
    m_pool.post([this, peer = action.peer, address = action.peerAddress, gossip = std::move(gossip)] {
        auto began = monotonicNow();
        auto reply = m_peers.gossip(address, gossip, m_peerTimeout);
        if (!reply) {
            m_sink.post(MembershipEvent(GossipFailed{peer}));
            return;
        }
        m_sink.post(MembershipEvent(GossipReceived{reply->message}));
        // Only an answer to an own question has a known latest age; a message that came in may have waited
        // anywhere.
        m_sink.post(KeeperEvent(ConfirmationReceived{reply->message.sender.id, reply->digest.held,
                                                     reply->digest.confirmation, began}));
    });
}

void FleetHost::carryOut(const KeeperAction &action, absl::Time now)
{
    if (std::holds_alternative<ReadConfiguration>(action)) {
        readConfiguration();
    } else if (const auto *it = std::get_if<WriteConfiguration>(&action)) {
        writeConfiguration(*it);
    } else if (const auto *it = std::get_if<ApplyConfiguration>(&action)) {
        applyConfiguration(it->configuration, now);
    } else if (const auto *it = std::get_if<PushConfiguration>(&action)) {
        pushConfiguration(*it);
    } else if (const auto *it = std::get_if<FetchConfiguration>(&action)) {
        fetchConfiguration(*it);
    } else if (const auto *it = std::get_if<PollCountedRouters>(&action)) {
        pollRouters(*it);
    } else if (const auto *it = std::get_if<AnswerChange>(&action)) {
        answerChange(*it);
    }
    // NOTE: SetFreshness needs no step of its own, since checkFreshness() runs after every event.
}

void FleetHost::applyConfiguration(const FleetConfiguration &configuration, absl::Time now)
{
    auto previous = std::exchange(m_configuration, configuration);
    m_log.recordLine(absl::StrCat("decision=configuration version=", configuration.version.value(),
                                  " preset=", configuration.presetInForce.value()));
    m_listener.onConfiguration(configuration);
    for (const auto &[id, spec] : configuration.targets)
        m_listener.onTarget(spec, phaseOf(id));
    for (const auto &[id, spec] : previous.targets) {
        if (!configuration.targets.contains(id))
            m_listener.onTargetRemoved(spec);
    }
    handle(MembersConfigured{configuration}, now);
}

void FleetHost::readConfiguration()
{
    m_pool.post([this] {
        auto began = monotonicNow();
        auto object = m_store.get(detail::configurationKind, detail::configurationName);
        if (!object) {
            m_sink.post(KeeperEvent(ConfigurationReadFailed{}));
            return;
        }
        ConfigurationRead read;
        read.began = began;
        if (*object) {
            auto configuration = fleetConfigurationFromJson((*object)->body);
            if (!configuration) {
                m_log.recordLine("decision=configuration reason=\"unreadable: " + configuration.error().detail
                                 + "\"");
                m_sink.post(KeeperEvent(ConfigurationReadFailed{}));
                return;
            }
            read.configuration = *std::move(configuration);
            read.objectVersion = (*object)->version;
        }
        m_sink.post(KeeperEvent(std::move(read)));
    });
}

void FleetHost::writeConfiguration(const WriteConfiguration &action)
{
    m_pool.post([this, action] {
        auto result = m_store.put(detail::configurationKind, detail::configurationName,
                                  toJson(action.configuration), action.expected);
        m_sink.post(KeeperEvent(ConfigurationWritten{action.changeId, std::move(result)}));
    });
}

void FleetHost::fetchConfiguration(const FetchConfiguration &action)
{
    auto address = peerAddress(action.from);
    if (!address)
        return;
    m_pool.post([this, address = *address] {
        if (auto configuration = m_peers.fetchConfiguration(address, m_peerTimeout))
            m_sink.post(KeeperEvent(ConfigurationReceived{*std::move(configuration)}));
    });
}

void FleetHost::pushConfiguration(const PushConfiguration &action)
{
    auto configuration = std::make_shared<FleetConfiguration>(action.configuration);
    for (const auto &router : action.to) {
        m_pool.post([this, configuration, router, began = action.began] {
            auto held = m_peers.pushConfiguration(router.peerAddress, *configuration, pushCallTimeout);
            // A process that took over the address under another name must not count for this one.
            if (held && held->router == router.id)
                m_sink.post(KeeperEvent(PushAcknowledged{router.id, held->digest.held, began}));
        });
    }
}

void FleetHost::pollRouters(const PollCountedRouters &action)
{
    auto began = monotonicNow();
    for (const auto &router : action.to) {
        m_pool.post([this, router, began] {
            auto held = m_peers.poll(router.peerAddress, m_peerTimeout);
            if (!held || held->router != router.id)
                return;
            m_sink.post(KeeperEvent(
                PollAnswered{router.id, held->digest.held, held->digest.confirmedSinceStart, began}));
        });
    }
}

void FleetHost::answerChange(const AnswerChange &action)
{
    auto it = m_changes.find(action.changeId);
    if (it == m_changes.end())
        return;
    auto callback = std::move(it->second);
    m_changes.erase(it);
    callback(action.result);
}

} // namespace Wisteria
