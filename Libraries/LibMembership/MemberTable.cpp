// The gossip rounds: whom to ask, what to tell, and how differing tables are repaired.

#include <LibMembership/DemandBook.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/RouterBook.h>
#include <LibMembership/StoreReaders.h>
#include <LibMembership/TargetBook.h>

#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <tuple>

namespace Wisteria {

namespace detail {

namespace {

constexpr absl::Duration gossipInterval = absl::Milliseconds(500);
// A gap between ticks this long means that this process was paused.
constexpr absl::Duration pauseGap = absl::Seconds(2);
// Every so many rounds one more message goes to a store reader, which knows the configuration first, and one
// to a dead member or a seed, which joins separated halves again.
constexpr unsigned readerRounds = 4;
constexpr unsigned rejoinRounds = 10;
// A differing digest is only a gap once news has stopped coming, and full exchanges are rare.
constexpr absl::Duration quietBeforeFull = absl::Seconds(5);
constexpr absl::Duration fullInterval = absl::Seconds(20);
// The first message of a router is a full exchange, so that it knows the fleet before it takes work. One more
// some rounds later finds those that started with it.
constexpr std::uint64_t secondFullRound = 8;
// Bounds of one message.
constexpr std::size_t maxRouterRumors = 48;
constexpr std::size_t maxTargetRumors = 32;
constexpr std::size_t maxDemand = 32;

enum class Extent { Bare, Rumors, Full };

} // namespace

class Table final : public MemberTable
{
public:
    Table(RouterRecord self, std::vector<std::string> seeds, RandomSource &random)
        : m_random(random), m_seeds(std::move(seeds)), m_routers(std::move(self)),
          m_targets(m_routers.self().id)
    {
        std::erase(m_seeds, m_routers.self().peerAddress);
        refreshReaders();
    }

    MembershipActions handle(const MembershipEvent &event, absl::Time now) override
    {
        MembershipActions actions;
        m_now = now;
        std::visit([&](const auto &it) { on(it, now, actions); }, event);
        m_targets.report(now, actions);
        return actions;
    }

    absl::Time nextWakeUp() const override { return m_lastTick + gossipInterval; }

    GossipMessage answerTo(const GossipMessage &message, absl::Time now) override
    {
        m_now = now;
        const bool wantsFull = message.full;
        const bool wantsBare = message.digest == 0;
        auto answer = makeMessage(wantsFull ? Extent::Full : (wantsBare ? Extent::Bare : Extent::Rumors));
        // What is held of the sender and differs, so that it can refute a suspicion at once.
        const auto *held = m_routers.find(message.sender.id);
        if (!wantsFull && held && held->phase != message.sender.phase)
            answer.routers.push_back(*held);
        return answer;
    }

    std::vector<EntryPoint> entryPoints(const FailureDomain &callerDomain) const override
    {
        auto records = m_routers.all();
        const auto best = std::min_element(records.begin(), records.end(), [](const auto &a, const auto &b) {
                              return a.phase < b.phase;
                          })->phase;
        std::erase_if(records, [&](const auto &it) { return it.phase != best; });
        // Loads are compared in coarse steps, and equal ones in an order that changes by the round, so that
        // callers spread.
        constexpr std::uint32_t loadStep = 100;
        const auto key = [&](const RouterRecord &it) {
            const auto &id = it.id.value();
            return std::make_tuple(it.domain != callerDomain, it.loadPerMille / loadStep,
                                   XXH64(id.data(), id.size(), m_round));
        };
        std::sort(records.begin(), records.end(),
                  [&](const auto &a, const auto &b) { return key(a) < key(b); });
        std::vector<EntryPoint> points;
        points.reserve(records.size());
        for (const auto &it : records)
            points.push_back({it.id, it.callerAddress, it.domain});
        return points;
    }

    std::vector<RouterRecord> routers() const override { return m_routers.all(); }
    std::vector<TargetRecord> targets() const override { return m_targets.health(m_now); }
    bool isStoreReader() const override { return m_readers.contains(m_routers.self().id); }

private:
    void on(const GossipReceived &event, absl::Time now, MembershipActions &actions)
    {
        const auto &message = event.message;
        const auto sender = message.sender.id;
        m_routers.merge(message.sender, RecordSource::Direct, now, actions);
        m_routers.heardFrom(sender);
        const auto source = message.full ? RecordSource::FullExchange : RecordSource::Relayed;
        for (const auto &it : message.routers)
            m_routers.merge(it, source, now, actions);
        for (const auto &it : message.targets)
            m_targets.merge(it, now);
        if (sender == m_routers.self().id)
            return;
        m_demand.heard(sender, message.demand, now);
        checkDigest(message, now);
    }

    void checkDigest(const GossipMessage &message, absl::Time now)
    {
        if (m_routers.hasRumors() || m_targets.hasRumors() || !message.routers.empty()
            || !message.targets.empty())
            m_lastNews = now;
        const bool mayAskFull = now - m_lastNews >= quietBeforeFull && now - m_lastFull >= fullInterval;
        if (message.digest == 0 || message.digest == digest() || message.full || !mayAskFull)
            return;
        m_lastFull = now;
        m_fullWith = message.sender.id;
    }

    void on(const GossipFailed &event, absl::Time now, MembershipActions &actions)
    {
        if (m_routers.gossipFailed(event.peer, now, actions))
            m_retry = event.peer;
    }

    void on(const TargetObserved &event, absl::Time now, MembershipActions &)
    {
        m_targets.observe(event, now);
    }

    void on(const VmListRead &event, absl::Time now, MembershipActions &)
    {
        m_targets.readVmList(event, now);
    }

    void on(const MembersConfigured &event, absl::Time now, MembershipActions &)
    {
        m_targets.configure(event.configuration, now);
        m_demand.configure(event.configuration);
        m_countedAddresses.clear();
        for (const auto &it : event.configuration.countedRouters) {
            if (it.id != m_routers.self().id)
                m_countedAddresses.push_back(it.peerAddress);
        }
    }

    void on(const OwnStateChanged &event, absl::Time now, MembershipActions &)
    {
        m_routers.setOwnLoad(event.loadPerMille, now);
        m_demand.setOwn(event.demand);
    }

    void on(const LeaveStarted &, absl::Time, MembershipActions &actions) { m_routers.leave(actions); }

    void on(const MembershipTick &, absl::Time now, MembershipActions &actions)
    {
        if (now - m_lastTick < gossipInterval)
            return;
        // After a pause the other routers had no chance to answer; nobody is declared dead for that.
        if (now - m_lastTick >= pauseGap)
            m_routers.restartSuspicions(now);
        m_lastTick = now;
        ++m_round;
        m_routers.tick(now, actions);
        if (m_seenChanges != m_routers.changes())
            refreshReaders();
        m_demand.report(m_liveCount, now, actions);
        gossip(actions);
    }

    void gossip(MembershipActions &actions)
    {
        const auto peer = nextPeer();
        if (peer)
            send(*peer, actions);
        if (m_round % readerRounds == 0)
            askReader(peer, actions);
        if (!peer || m_round % rejoinRounds == 0)
            rejoin(actions);
    }

    // A failed peer once more, then a full exchange that is due, then all peers in a shuffled order.
    std::optional<RouterId> nextPeer()
    {
        for (auto *wish : {&m_retry, &m_fullWith}) {
            auto id = std::exchange(*wish, std::nullopt);
            const auto *record = id ? m_routers.find(*id) : nullptr;
            if (!record || record->phase == MemberPhase::Dead)
                continue;
            m_sendFull = wish == &m_fullWith;
            return id;
        }
        if (m_order.empty())
            shuffleOrder();
        while (!m_order.empty()) {
            auto id = m_order.front();
            m_order.pop_front();
            const auto *record = m_routers.find(id);
            if (record && record->phase != MemberPhase::Dead)
                return id;
        }
        return std::nullopt;
    }

    void shuffleOrder()
    {
        for (const auto &it : m_routers.peers(MemberPhase::Leaving))
            m_order.push_back(it.id);
        for (std::size_t i = m_order.size(); i > 1; --i)
            std::swap(m_order[i - 1], m_order[m_random.below(i)]);
    }

    void askReader(const std::optional<RouterId> &asked, MembershipActions &actions)
    {
        if (isStoreReader() || m_readers.empty())
            return;
        auto it = m_readers.begin();
        std::advance(it, m_random.below(m_readers.size()));
        const auto *record = it == m_readers.end() || asked == *it ? nullptr : m_routers.find(*it);
        if (record)
            actions.emplace_back(SendGossip{*it, record->peerAddress, makeMessage(Extent::Bare)});
    }

    void rejoin(MembershipActions &actions)
    {
        auto addresses = m_seeds;
        addresses.insert(addresses.end(), m_countedAddresses.begin(), m_countedAddresses.end());
        for (const auto &it : m_routers.peers(MemberPhase::Dead)) {
            if (it.phase == MemberPhase::Dead)
                addresses.push_back(it.peerAddress);
            else
                std::erase(addresses, it.peerAddress);
        }
        if (addresses.empty())
            return;
        const auto &address = addresses[m_random.below(addresses.size())];
        // The name behind an address may have changed, so a failure here says nothing about a member.
        auto message = makeMessage(m_round == 1 ? Extent::Full : Extent::Rumors);
        // What is said of the one behind the address, so that it can refute its death.
        if (const auto *record = m_routers.findByAddress(address))
            message.routers.push_back(*record);
        actions.emplace_back(SendGossip{RouterId(), address, std::move(message)});
    }

    void send(const RouterId &peer, MembershipActions &actions)
    {
        const bool isFull = std::exchange(m_sendFull, false) || m_round == 1 || m_round == secondFullRound;
        const auto extent = isFull ? Extent::Full : Extent::Rumors;
        const auto *record = m_routers.find(peer);
        auto message = makeMessage(extent);
        // A suspect that is alive learns of it here, and refutes.
        if (extent == Extent::Rumors && record->phase == MemberPhase::Suspect)
            message.routers.push_back(*record);
        actions.emplace_back(SendGossip{peer, record->peerAddress, std::move(message)});
    }

    GossipMessage makeMessage(Extent extent)
    {
        GossipMessage message;
        message.sender = m_routers.self();
        // NOTE: Readers are asked by everybody, so these messages are kept small.
        if (extent == Extent::Bare)
            return message;
        message.digest = digest();
        message.demand = m_demand.takeOwn(maxDemand);
        message.full = extent == Extent::Full;
        if (extent == Extent::Full) {
            message.routers = m_routers.all();
            message.targets = m_targets.records();
            return message;
        }
        message.routers = m_routers.takeRumors(maxRouterRumors);
        message.targets = m_targets.takeRumors(maxTargetRumors, m_routers.memberCount());
        return message;
    }

    std::uint64_t digest() const { return m_routers.digest() ^ m_targets.digest(); }

    void refreshReaders()
    {
        m_seenChanges = m_routers.changes();
        auto live = m_routers.all();
        std::erase_if(live, [](const auto &it) { return it.phase != MemberPhase::Live; });
        m_liveCount = std::max<std::size_t>(live.size(), 1);
        m_readers = chooseStoreReaders(live);
    }

    RandomSource &m_random;
    // Invariant: without this router's own address.
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_countedAddresses;
    RouterBook m_routers;
    TargetBook m_targets;
    DemandBook m_demand;
    // The live members that read the object API, as of m_seenChanges.
    std::set<RouterId> m_readers;
    std::size_t m_liveCount{1};
    std::uint64_t m_seenChanges{0};
    absl::Time m_now{absl::InfinitePast()};
    absl::Time m_lastTick{absl::InfinitePast()};
    absl::Time m_lastNews{absl::InfinitePast()};
    absl::Time m_lastFull{absl::InfinitePast()};
    std::uint64_t m_round{0};
    // The peers that are still to be asked in this cycle, shuffled.
    std::deque<RouterId> m_order;
    std::optional<RouterId> m_retry;
    std::optional<RouterId> m_fullWith;
    bool m_sendFull{false};
};

} // namespace detail

std::unique_ptr<MemberTable>
MemberTable::create(RouterRecord self, std::vector<std::string> seedPeerAddresses, RandomSource &random)
{
    return std::make_unique<detail::Table>(std::move(self), std::move(seedPeerAddresses), random);
}

} // namespace Wisteria
