// Carries out the actions of membership and of the configuration's keeper, and tells the other parts what
// they mean for them. Runs on the decision thread only.

#pragma once

#include <LibConfig/ConfigurationKeeper.h>
#include <LibMembership/MemberTable.h>
#include <LibPeer/PeerClient.h>
#include <LibPlatform/ElasticPool.h>
#include <LibPlatform/ObjectStore.h>
#include <Router/DecisionLog.h>
#include <Router/HostEvents.h>

#include <functional>
#include <map>
#include <memory>

namespace Wisteria {

// What the fleet's state means for the rest of the process.
class FleetListener
{
public:
    virtual ~FleetListener() = default;

    virtual void onConfiguration(const FleetConfiguration &configuration) = 0;
    virtual void onTarget(const TargetSpec &spec, TargetPhase phase) = 0;
    virtual void onTargetRemoved(const TargetSpec &spec) = 0;
    virtual void onFreshness(bool fresh) = 0;
    virtual void onDemandElsewhere(const DemandElsewhere &demand) = 0;
};

class FleetHost
{
public:
    using ChangeCallback = std::function<void(ErrorOr<ConfigVersion>)>;

    // All references must outlive the host. `self` carries the advertised addresses.
    FleetHost(const RouterRecord &self, std::vector<std::string> seeds, RandomSource &random, EventSink &sink,
              ObjectStore &store, PeerClient &peers, FleetListener &listener, DecisionLog &log,
              absl::Duration peerTimeout, absl::Time now);

    void handle(const MembershipEvent &event, absl::Time now);
    void handle(const KeeperEvent &event, absl::Time now);
    // The callback runs once, on the decision thread.
    void submitChange(ConfigurationChange change, ChangeCallback callback, absl::Time now);
    // Tells the listener when freshness has changed by time alone, for example over a pause of the process.
    void checkFreshness(absl::Time now);

    [[nodiscard]] absl::Time nextWakeUp() const;
    [[nodiscard]] PeerGossip answerGossip(const PeerGossip &gossip, absl::Time now);
    [[nodiscard]] ConfigurationDigest digest(absl::Time now) const;
    [[nodiscard]] std::optional<std::string> peerAddress(const RouterId &router) const;
    [[nodiscard]] const MemberTable &members() const { return *m_members; }
    [[nodiscard]] const ConfigurationKeeper &keeper() const { return *m_keeper; }
    [[nodiscard]] TargetPhase phaseOf(const TargetId &target) const;

private:
    void carryOut(const MembershipAction &action, absl::Time now);
    void carryOut(const KeeperAction &action, absl::Time now);
    void sendGossip(const SendGossip &action, absl::Time now);
    void applyConfiguration(const FleetConfiguration &configuration, absl::Time now);
    void readConfiguration();
    void writeConfiguration(const WriteConfiguration &action);
    void fetchConfiguration(const FetchConfiguration &action);
    void pushConfiguration(const PushConfiguration &action);
    void pollRouters(const PollCountedRouters &action);
    void answerChange(const AnswerChange &action);

    const RouterId m_self;
    EventSink &m_sink;
    ObjectStore &m_store;
    PeerClient &m_peers;
    FleetListener &m_listener;
    DecisionLog &m_log;
    const absl::Duration m_peerTimeout;
    std::unique_ptr<MemberTable> m_members;
    std::unique_ptr<ConfigurationKeeper> m_keeper;
    FleetConfiguration m_configuration;
    std::map<TargetId, TargetHealth> m_health;
    std::map<std::string, ChangeCallback> m_changes;
    bool m_wasFresh{false};
    // Declared last: its threads use everything above.
    ElasticPool m_pool;
};

} // namespace Wisteria
