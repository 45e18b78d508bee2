// What goes wrong in the fake fleet, what its operators do, and what must hold all the same.

#include <LibConfig/FakeConfigFleet.h>

#include <stdexcept>

namespace Wisteria {

void FakeConfigFleet::runWithFaults(absl::Duration duration)
{
    const auto end = m_now + duration;
    while (m_now < end) {
        if (chance(50))
            injectFault();
        if (chance(70))
            operate();
        runUntil(m_now + absl::Milliseconds(m_random.below(1500)));
    }
}

void FakeConfigFleet::injectFault()
{
    ++m_counts.faults;
    const auto node = m_random.below(m_nodes.size());
    switch (m_random.below(8)) {
    case 0:
        return pause(node);
    case 1:
    case 2:
        return restart(node);
    case 3:
        m_storeUp = false;
        return at(absl::Seconds(m_random.below(40)), [this] { m_storeUp = true; });
    case 4:
        // One direction between two routers, or between a router and the store.
        m_cut[m_random.below(m_cut.size())][m_random.below(m_cut.size())] = true;
        return at(absl::Seconds(m_random.below(20)), [this] { healNetwork(); });
    case 5:
        cutIsland();
        return at(absl::Seconds(m_random.below(20)), [this] { healNetwork(); });
    case 6:
        m_nodes[node].readsStore = !m_nodes[node].readsStore;
        return m_nodes[node].keeper->setReadsStore(m_nodes[node].readsStore);
    default:
        return healNetwork();
    }
}

void FakeConfigFleet::pause(std::size_t node)
{
    // A router that is down, or paused already, wakes by its own event.
    if (m_nodes[node].isPaused)
        return;
    m_nodes[node].isPaused = true;
    at(absl::Milliseconds(m_random.below(20000)), [=, this, incarnation = m_nodes[node].incarnation] {
        auto &it = m_nodes[node];
        if (it.incarnation != incarnation || !it.isPaused)
            return;
        it.isPaused = false;
        // Before anything else runs here: a router that wakes may be asked for new work at once.
        check();
        for (auto &work : std::exchange(it.backlog, {}))
            deliver(node, incarnation, std::move(work));
    });
}

void FakeConfigFleet::restart(std::size_t node)
{
    ++m_nodes[node].incarnation;
    m_nodes[node].keeper = ConfigurationKeeper::create(RouterId("down"), false, clockOf(m_nodes[node]));
    m_nodes[node].isPaused = true;
    const auto down = chance(70) ? m_random.below(200) : m_random.below(8000);
    at(absl::Milliseconds(down), [=, this, incarnation = m_nodes[node].incarnation] {
        if (m_nodes[node].incarnation == incarnation)
            start(node);
    });
}

void FakeConfigFleet::cutIsland()
{
    std::vector<bool> isInside(m_cut.size());
    for (std::size_t i = 0; i < isInside.size(); ++i)
        isInside[i] = chance(50);
    for (std::size_t a = 0; a < m_cut.size(); ++a) {
        for (std::size_t b = 0; b < m_cut.size(); ++b)
            m_cut[a][b] = m_cut[a][b] || isInside[a] != isInside[b];
    }
}

void FakeConfigFleet::healNetwork()
{
    for (auto &row : m_cut)
        row.assign(row.size(), false);
}

Edit FakeConfigFleet::randomEdit(const FleetConfiguration &seen)
{
    const PresetName name(chance(50) ? "peak" : "ordinary");
    const RouterId router("r" + std::to_string(m_random.below(m_nodes.size())));
    switch (m_random.below(5)) {
    case 0:
        return PutInForce{name, seen.presetInForceStamp.changedIn};
    case 1:
        if (seen.countedRouters.size() > 2)
            return RemoveCountedRouter{router};
        [[fallthrough]];
    case 2:
        return PutCountedRouter{{router}};
    default:
        const auto it = seen.presets.find(name);
        const auto expected = it == seen.presets.end() ? ConfigVersion() : it->second.stamp.changedIn;
        return PutPreset{PresetSpec{.name = name}, expected};
    }
}

void FakeConfigFleet::operate()
{
    // Operators act on what any router shows them, so they race.
    const auto seenAt = m_random.below(m_nodes.size());
    const auto node = m_random.below(m_nodes.size());
    const auto edit = randomEdit(m_nodes[seenAt].keeper->configuration());
    const ConfigurationChange change{"c" + std::to_string(m_nextChange++), "asha", edit};
    m_requested.emplace(change.changeId, change);
    deliver(node, m_nodes[node].incarnation, [=, this] { feed(node, ChangeRequested{change}); });
}

void FakeConfigFleet::check()
{
    ConfigVersion due;
    for (const auto &[at, version] : m_accepted) {
        if (m_now - at > freshnessBound)
            due = std::max(due, version);
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        auto &node = m_nodes[i];
        if (node.isPaused)
            continue;
        const auto &held = node.keeper->configuration();
        if (node.keeper->isFresh(clockOf(node)) && held.version < due)
            fail("r" + std::to_string(i) + " takes new work with version "
                 + std::to_string(held.version.value()) + " after " + std::to_string(due.value()));
        if (held.version < node.lastHeld)
            fail("r" + std::to_string(i) + " reverted");
        if (held.version == node.lastHeld)
            continue;
        node.lastHeld = held.version;
        if (!(held == m_history.at(held.version)))
            fail("r" + std::to_string(i) + " holds another configuration under the same version");
    }
}

void FakeConfigFleet::checkConvergence(absl::Duration bound)
{
    m_isFaulty = false;
    m_storeUp = true;
    healNetwork();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].readsStore = i < 3;
        m_nodes[i].keeper->setReadsStore(i < 3);
        if (m_nodes[i].isPaused)
            start(i);
    }
    runUntil(m_now + bound);
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const auto &keeper = *m_nodes[i].keeper;
        if (keeper.configuration().version != m_history.rbegin()->first)
            fail("r" + std::to_string(i) + " does not hold the latest version after the faults");
        if (!keeper.isFresh(clockOf(m_nodes[i])))
            fail("r" + std::to_string(i) + " is not fresh after the faults");
    }
}

void FakeConfigFleet::checkRefusals() const
{
    for (const auto &id : m_withoutEffect) {
        if (m_history.rbegin()->second.versionOfChange(id))
            fail("change " + id + " was refused as without effect, but is in force");
    }
}

} // namespace Wisteria
