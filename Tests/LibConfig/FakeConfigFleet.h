// Routers with a fake store, network, clocks and operators, on a virtual clock and from one seed. Faults come
// at random, and the promises are checked from outside: by what the store holds and what operators were told.

#pragma once

#include <LibConfig/ConfigurationKeeper.h>
#include <LibCore/Random.h>

#include <functional>
#include <string>

namespace Wisteria {

class FakeConfigFleet
{
public:
    FakeConfigFleet(std::uint64_t seed, std::size_t routers);

    // Runs faults and operators for the duration. Fails by throwing std::runtime_error with what broke.
    void runWithFaults(absl::Duration);
    // Ends all faults and checks that every router holds the latest version and is fresh within the bound.
    void checkConvergence(absl::Duration bound);
    // Answers that named an error promised "no effect" where they said so.
    void checkRefusals() const;

    // What the run tried and saw.
    struct Counts
    {
        std::uint64_t events{0};
        std::uint64_t accepted{0};
        std::uint64_t acceptedByPollOnly{0};
        std::uint64_t refused{0};
        std::uint64_t faults{0};
    };
    [[nodiscard]] const Counts &counts() const { return m_counts; }

private:
    using Work = std::function<void()>;

    struct Node
    {
        std::unique_ptr<ConfigurationKeeper> keeper;
        std::uint64_t incarnation{0};
        bool isPaused{false};
        bool readsStore{false};
        // This router's clock is ahead of the others by this much.
        absl::Duration skew;
        std::vector<Work> backlog;
        ConfigVersion lastHeld;
    };

    [[nodiscard]] bool chance(std::uint64_t percent) { return m_random.below(100) < percent; }
    [[nodiscard]] absl::Duration delay();
    [[nodiscard]] absl::Time clockOf(const Node &node) const { return m_now + node.skew; }
    [[nodiscard]] std::size_t indexOf(const RouterId &) const;
    void at(absl::Duration after, Work work) { m_queue.emplace(m_now + after, std::move(work)); }
    void runUntil(absl::Time);

    // Runs the work at the node once it is awake, if it still is the same incarnation.
    void deliver(std::size_t node, std::uint64_t incarnation, Work);
    void call(std::size_t from, std::size_t to, const std::function<Work(Node &)> &atPeer);
    void start(std::size_t node);
    void tick(std::size_t node, std::uint64_t incarnation);
    void gossip(std::size_t node, std::uint64_t incarnation);
    void feed(std::size_t node, const KeeperEvent &);
    void perform(std::size_t node, const KeeperAction &);
    void readStore(std::size_t node);
    void writeStore(std::size_t node, const WriteConfiguration &);
    void answer(const AnswerChange &);

    void injectFault();
    void pause(std::size_t node);
    void restart(std::size_t node);
    void cutIsland();
    void healNetwork();
    void operate();
    [[nodiscard]] Edit randomEdit(const FleetConfiguration &seen);

    void check();
    [[noreturn]] void fail(const std::string &what) const;

    SeededRandom m_random;
    absl::Time m_now{absl::FromUnixSeconds(1000000)};
    std::multimap<absl::Time, Work> m_queue;
    std::vector<Node> m_nodes;
    // m_cut[a][b]: messages from a to b are lost. The store is the last row and column.
    std::vector<std::vector<bool>> m_cut;
    bool m_isFaulty{true};

    bool m_storeUp{true};
    ObjectVersion m_objectVersion;
    // Every configuration that the store ever held, by version.
    std::map<ConfigVersion, FleetConfiguration> m_history;
    std::map<std::string, ConfigurationChange> m_requested;
    std::map<std::string, int> m_retries;
    // Change ids that were answered with "no effect" and not asked again.
    std::set<std::string> m_withoutEffect;
    // What was accepted, and when.
    std::vector<std::pair<absl::Time, ConfigVersion>> m_accepted;
    std::uint64_t m_nextChange{1};
    Counts m_counts;
};

} // namespace Wisteria
