// The fake network of the membership tests.

#include <LibMembership/FakeGossip.h>

#include <absl/numeric/bits.h>

namespace Wisteria {

namespace detail {

// How long a call without an answer takes to fail.
constexpr absl::Duration gossipCallTimeout = absl::Seconds(1);

std::string addressOf(std::size_t router)
{
    return "10.0." + std::to_string(router / 250) + "." + std::to_string(router % 250) + ":9000";
}

// Sizes in the protocol buffers' encoding of Libraries/LibPeer/Peer.proto.
std::uint64_t varintBytes(std::uint64_t value)
{
    return value == 0 ? 0 : 1 + (static_cast<std::uint64_t>(absl::bit_width(value)) + 6) / 7;
}

std::uint64_t textBytes(const std::string &text)
{
    return text.empty() ? 0 : 2 + text.size();
}

std::uint64_t recordBytes(const RouterRecord &it)
{
    return 2 + textBytes(it.id.value()) + varintBytes(it.incarnation.value()) + varintBytes(it.sequence)
        + varintBytes(static_cast<std::uint64_t>(it.phase)) + textBytes(it.callerAddress)
        + textBytes(it.peerAddress) + textBytes(it.domain.value()) + varintBytes(it.loadPerMille);
}

} // namespace detail

FakeGossip::FakeGossip(std::uint64_t seed, std::size_t routers) : m_random(seed), m_nodes(routers) { }

std::uint64_t FakeGossip::wireBytes(const GossipMessage &message)
{
    // The fields of the configuration's confirmation, 20 bytes, and the frames round one call's message.
    constexpr std::uint64_t fixedBytes = 20 + 120;
    auto bytes = fixedBytes + detail::recordBytes(message.sender) + 10;
    for (const auto &it : message.routers)
        bytes += detail::recordBytes(it);
    for (const auto &it : message.targets)
        bytes += 2 + detail::textBytes(it.id.value()) + 4 + detail::textBytes(it.observedBy.value());
    for (const auto &it : message.demand)
        bytes += 2 + detail::textBytes(it.workspace.value()) + detail::varintBytes(it.generations);
    return bytes;
}

void FakeGossip::run(absl::Duration duration)
{
    const auto end = m_now + duration;
    while (!m_queue.empty() && m_queue.begin()->first <= end) {
        auto first = m_queue.extract(m_queue.begin());
        m_now = first.key();
        ++m_events;
        first.mapped()();
    }
    m_now = end;
}

absl::Duration FakeGossip::runUntil(const std::function<bool()> &isDone, absl::Duration limit)
{
    const auto began = m_now;
    while (!isDone() && m_now - began < limit)
        run(absl::Milliseconds(100));
    return m_now - began;
}

void FakeGossip::start(std::size_t router)
{
    auto &node = m_nodes[router];
    ++node.incarnation;
    node.isPaused = false;
    node.backlog.clear();
    RouterRecord self{idOf(router), Incarnation(node.incarnation)};
    self.callerAddress = detail::addressOf(router);
    self.peerAddress = detail::addressOf(router);
    self.domain = FailureDomain("domain" + std::to_string(router % 6));
    node.table = MemberTable::create(self, {detail::addressOf(0), detail::addressOf(1)}, m_random);
    at(absl::Milliseconds(m_random.below(500)),
       [=, this, incarnation = node.incarnation] { tick(router, incarnation); });
}

void FakeGossip::setPaused(std::size_t router, bool isPaused)
{
    auto &node = m_nodes[router];
    node.isPaused = isPaused;
    if (isPaused)
        return;
    for (auto &work : std::exchange(node.backlog, {}))
        work();
}

void FakeGossip::deliver(std::size_t router, std::uint64_t incarnation, std::function<void()> work)
{
    auto &node = m_nodes[router];
    if (!node.table || node.incarnation != incarnation)
        return;
    if (node.isPaused)
        node.backlog.push_back(std::move(work));
    else
        work();
}

void FakeGossip::tick(std::size_t router, std::uint64_t incarnation)
{
    deliver(router, incarnation, [=, this] {
        feed(router, MembershipTick{});
        const auto wait = m_nodes[router].table->nextWakeUp() - m_now;
        at(std::max(wait, absl::Milliseconds(1)), [=, this] { tick(router, incarnation); });
    });
}

void FakeGossip::feed(std::size_t router, const MembershipEvent &event)
{
    for (const auto &action : m_nodes[router].table->handle(event, m_now)) {
        if (const auto *gossip = std::get_if<SendGossip>(&action))
            send(router, *gossip);
        if (const auto *demand = std::get_if<DemandElsewhere>(&action))
            m_nodes[router].elsewhere[demand->workspace] = demand->generations;
    }
}

void FakeGossip::feedAll(const MembershipEvent &event)
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (isUp(i))
            feed(i, event);
    }
}

void FakeGossip::send(std::size_t from, const SendGossip &gossip)
{
    const auto incarnation = m_nodes[from].incarnation;
    m_nodes[from].bytes += wireBytes(gossip.message);
    std::size_t to = 0;
    while (to < size() && detail::addressOf(to) != gossip.peerAddress)
        ++to;
    const bool isAnswered = to < size() && isUp(to) && !isPaused(to) && !m_cuts.contains({from, to})
        && !m_cuts.contains({to, from});
    // NOTE: A request may arrive although its answer is lost.
    if (to < size() && isUp(to) && !m_cuts.contains({from, to})) {
        at(absl::Milliseconds(1 + m_random.below(5)),
           [=, this, message = std::make_shared<const GossipMessage>(gossip.message)] {
               answer(from, incarnation, to, message);
           });
    }
    if (!isAnswered && !gossip.peer.value().empty()) {
        at(detail::gossipCallTimeout, [=, this, peer = gossip.peer] {
            deliver(from, incarnation, [=, this] { feed(from, GossipFailed{peer}); });
        });
    }
}

void FakeGossip::answer(std::size_t from, std::uint64_t incarnation, std::size_t to,
                        const SharedMessage &message)
{
    deliver(to, m_nodes[to].incarnation, [=, this] {
        feed(to, GossipReceived{*message});
        const auto reply =
            std::make_shared<const GossipMessage>(m_nodes[to].table->answerTo(*message, m_now));
        m_nodes[to].bytes += wireBytes(*message) + wireBytes(*reply);
        if (m_cuts.contains({to, from}))
            return;
        at(absl::Milliseconds(1 + m_random.below(5)), [=, this] {
            deliver(from, incarnation, [=, this] {
                m_nodes[from].bytes += wireBytes(*reply);
                feed(from, GossipReceived{*reply});
            });
        });
    });
}

MemberPhase FakeGossip::phaseSeen(std::size_t by, std::size_t of) const
{
    for (const auto &it : m_nodes[by].table->routers()) {
        if (it.id == idOf(of))
            return it.phase;
    }
    return MemberPhase::Dead;
}

TargetHealth FakeGossip::healthSeen(std::size_t by, const std::string &target) const
{
    for (const auto &it : m_nodes[by].table->targets()) {
        if (it.id.value() == target)
            return it.health;
    }
    return TargetHealth::Up;
}

bool FakeGossip::allSee(std::size_t router, MemberPhase phase) const
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (isUp(i) && i != router && phaseSeen(i, router) != phase)
            return false;
    }
    return true;
}

bool FakeGossip::allSeeTarget(const std::string &target, TargetHealth health) const
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (isUp(i) && !isPaused(i) && healthSeen(i, target) != health)
            return false;
    }
    return true;
}

bool FakeGossip::allLive() const
{
    std::set<RouterId> up;
    for (std::size_t i = 0; i < size(); ++i) {
        if (isUp(i))
            up.insert(idOf(i));
    }
    for (std::size_t i = 0; i < size(); ++i) {
        if (!isUp(i))
            continue;
        std::size_t live = 0;
        for (const auto &it : m_nodes[i].table->routers())
            live += up.contains(it.id) && it.phase == MemberPhase::Live ? 1 : 0;
        if (live != up.size())
            return false;
    }
    return true;
}

void FakeGossip::resetBytes()
{
    for (auto &node : m_nodes)
        node.bytes = 0;
}

FleetConfiguration configurationWithTargets(std::size_t targets, std::size_t workspaces)
{
    FleetConfiguration configuration;
    for (std::size_t i = 0; i < targets; ++i) {
        const TargetId id("t" + std::to_string(i));
        configuration.targets[id] = TargetSpec{.id = id};
    }
    for (std::size_t i = 0; i < workspaces; ++i) {
        const WorkspaceName name("workspace" + std::to_string(i));
        configuration.workspaces[name] = WorkspaceSpec{.name = name};
    }
    return configuration;
}

} // namespace Wisteria
