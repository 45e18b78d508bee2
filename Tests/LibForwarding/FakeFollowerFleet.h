// Routers that follow a store, on a virtual clock: some watch it, the others rely on the reports of their
// peers. Hosts RouterRegistry, PeerTopology and ViewFreshness as a gateway does, without I/O.

#pragma once

#include <LibForwarding/PeerTopology.h>
#include <LibForwarding/RouterRegistry.h>
#include <LibForwarding/ViewFreshness.h>

#include "../Support/VirtualTime.h"

#include <optional>
#include <vector>

namespace Wisteria {

enum class FollowerState {
    Sound,
    // Sends and receives nothing.
    Lost,
    // Reaches its peers, but gets no answers from the store.
    CutFromStore,
};

class FakeFollowerFleet
{
public:
    FakeFollowerFleet(std::size_t routers, std::size_t domains, absl::Duration changeDeadline,
                      std::uint64_t seed);

    void runFor(absl::Duration);
    // The store acknowledges a change.
    void change();
    void setState(std::size_t router, FollowerState);
    [[nodiscard]] std::size_t size() const { return m_routers.size(); }
    [[nodiscard]] bool isWatching(std::size_t router) const { return m_routers[router].isWatching; }
    [[nodiscard]] std::vector<std::size_t> watchers() const;
    // Sound routers that don't know the last change.
    [[nodiscard]] std::vector<std::size_t> soundRoutersBehind() const;
    // Calls of the store since the last time that this was asked.
    [[nodiscard]] int takeStoreCalls() { return std::exchange(m_storeCalls, 0); }

private:
    struct Router
    {
        RouterRegistry::Member self;
        FollowerState state{FollowerState::Sound};
        RouterRegistry registry;
        PeerTopology topology;
        ViewFreshness freshness;
        StorePosition position;
        bool isWatching{false};
        bool isPulling{false};
        // An open watch, and how long the store may hold it.
        std::optional<absl::Time> watchedSince;
        absl::Duration wait;
        absl::Time storeConfirmedAt;
        absl::Time reportedAt;
    };

    [[nodiscard]] bool isLost(std::size_t router) const
    {
        return m_routers[router].state == FollowerState::Lost;
    }
    void report(std::size_t router);
    void sendReport(std::size_t from, std::size_t to);
    void receiveReport(std::size_t router, const RouterRegistry::Member &from, StorePosition,
                       std::optional<absl::Duration> age);
    void pull(std::size_t router, std::size_t from);
    void take(std::size_t router, StorePosition);
    void startWatch(std::size_t router);
    void answerWatch(std::size_t router, absl::Time since);
    void storeAnswered(std::size_t router, absl::Time completeUpTo);
    void keepConfirmed(std::size_t router);
    [[nodiscard]] std::optional<absl::Duration> storeAge(const Router &) const;
    [[nodiscard]] absl::Duration jittered(absl::Duration);

    VirtualTime m_time;
    SeededRandom m_random;
    absl::Duration m_changeDeadline;
    StorePosition m_store{StoreEra(1), ObjectVersion(1)};
    std::vector<Router> m_routers;
    int m_storeCalls{0};
};

} // namespace Wisteria
