// Member tables that gossip over a fake network on a virtual clock, from one seed.

#pragma once

#include <LibCore/Random.h>
#include <LibMembership/MemberTable.h>

#include <functional>
#include <map>
#include <set>

namespace Wisteria {

class FakeGossip
{
public:
    FakeGossip(std::uint64_t seed, std::size_t routers);

    void run(absl::Duration);
    // Runs until the condition holds and returns how long that took, or the limit.
    [[nodiscard]] absl::Duration runUntil(const std::function<bool()> &, absl::Duration limit);

    void start(std::size_t router);
    void stop(std::size_t router) { m_nodes[router].table.reset(); }
    void setPaused(std::size_t router, bool isPaused);
    void cut(std::size_t from, std::size_t to) { m_cuts.emplace(from, to); }
    void heal() { m_cuts.clear(); }
    void feed(std::size_t router, const MembershipEvent &);
    void feedAll(const MembershipEvent &);

    [[nodiscard]] bool isUp(std::size_t router) const { return m_nodes[router].table != nullptr; }
    [[nodiscard]] bool isPaused(std::size_t router) const { return m_nodes[router].isPaused; }
    [[nodiscard]] MemberTable &table(std::size_t router) { return *m_nodes[router].table; }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    // The phase in which one router sees another; Dead when it does not know it.
    [[nodiscard]] MemberPhase phaseSeen(std::size_t by, std::size_t of) const;
    [[nodiscard]] TargetHealth healthSeen(std::size_t by, const std::string &target) const;
    // Whether all routers that run see the phase.
    [[nodiscard]] bool allSee(std::size_t router, MemberPhase) const;
    [[nodiscard]] bool allSeeTarget(const std::string &target, TargetHealth) const;
    // Whether all routers that run see each other live.
    [[nodiscard]] bool allLive() const;

    // What a router was told last of the others' demand.
    [[nodiscard]] std::uint32_t elsewhere(std::size_t router, const std::string &workspace)
    {
        return m_nodes[router].elsewhere[WorkspaceName(workspace)];
    }
    [[nodiscard]] SeededRandom &random() { return m_random; }
    // Bytes of gossip that a router sent and received, and the most of any.
    [[nodiscard]] std::uint64_t bytesOf(std::size_t router) const { return m_nodes[router].bytes; }
    void resetBytes();
    [[nodiscard]] std::uint64_t events() const { return m_events; }

    [[nodiscard]] static RouterId idOf(std::size_t router)
    {
        return RouterId("router" + std::to_string(router));
    }

private:
    struct Node
    {
        std::unique_ptr<MemberTable> table;
        std::uint64_t incarnation{0};
        bool isPaused{false};
        std::vector<std::function<void()>> backlog;
        std::uint64_t bytes{0};
        std::map<WorkspaceName, std::uint32_t> elsewhere;
    };

    void at(absl::Duration after, std::function<void()> work)
    {
        m_queue.emplace(m_now + after, std::move(work));
    }
    void deliver(std::size_t router, std::uint64_t incarnation, std::function<void()> work);
    void tick(std::size_t router, std::uint64_t incarnation);
    void send(std::size_t from, const SendGossip &);
    using SharedMessage = std::shared_ptr<const GossipMessage>;
    void answer(std::size_t from, std::uint64_t incarnation, std::size_t to, const SharedMessage &);
    [[nodiscard]] static std::uint64_t wireBytes(const GossipMessage &);

    SeededRandom m_random;
    absl::Time m_now{absl::FromUnixSeconds(1000000)};
    std::multimap<absl::Time, std::function<void()>> m_queue;
    std::vector<Node> m_nodes;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::uint64_t m_events{0};
};

// A configuration with this many targets "t0", "t1", ... and workspaces.
[[nodiscard]] FleetConfiguration configurationWithTargets(std::size_t targets, std::size_t workspaces = 0);

} // namespace Wisteria
