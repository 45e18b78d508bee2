// Routers with limited targets on a virtual clock: messages are delayed and lost, routers freeze, restart and
// are cut off, and know of each other only by what arrives.

#pragma once

#include <LibForwarding/RequestPermits.h>
#include <LibForwarding/TargetLimits.h>

#include <absl/container/btree_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Wisteria {

struct FakePermitFleetOptions
{
    int routers{7};
    std::uint64_t seed{1};
    // Targets with these limits in requests per second; the last one has none if `hasFreeTarget`.
    std::vector<double> limits{2, 2};
    bool hasFreeTarget{true};
    // Callers' requests per second at all routers together.
    double requestRate{40};
    // Fraction of messages between routers that are lost.
    double lostMessages{0};
    absl::Duration maxMessageDelay{absl::Milliseconds(5)};
};

class FakePermitFleet
{
public:
    explicit FakePermitFleet(const FakePermitFleetOptions &);
    ~FakePermitFleet();
    FakePermitFleet(const FakePermitFleet &) = delete;
    FakePermitFleet &operator=(const FakePermitFleet &) = delete;

    void run(absl::Duration);
    [[nodiscard]] absl::Time now() const { return m_now; }
    [[nodiscard]] std::size_t size() const { return m_routers.size(); }

    // The limit that the target names from now on; empty for none.
    void setLimit(std::size_t target, std::optional<double> perSecond);
    void setRequestRate(double perSecond) { m_options.requestRate = perSecond; }
    // One caller's request at each router.
    void sendRequestAtEachRouter();
    // So many routers ask the target to stop a run, which waits for a permit.
    void stopRuns(std::size_t target, std::size_t routers);

    // Faults. A frozen router handles nothing; a restarted one has forgotten everything; one that is cut off
    // sends and receives no messages of other routers.
    void freeze(std::size_t router, absl::Duration);
    void restart(std::size_t router);
    void cut(std::size_t router, absl::Duration);
    // The router tells the others that it stops, and issues no more permits. It still sends requests.
    void drain(std::size_t router);

    // The most requests that arrived at the target within any four seconds since the given time, from routers
    // without a fault in that period.
    [[nodiscard]] int mostInFourSeconds(std::size_t target, absl::Time since) const;
    // Requests that arrived at the target since the given time, per second.
    [[nodiscard]] double arrivalRate(std::size_t target, absl::Time since) const;
    [[nodiscard]] int served() const { return m_served; }
    [[nodiscard]] int rejected() const { return m_rejected; }
    [[nodiscard]] std::uint64_t permitMessages() const { return m_permitMessages; }
    // How long requests that were served had waited for permits at most.
    [[nodiscard]] absl::Duration longestWait() const { return m_longestWait; }
    // Requests to stop a run that were sent, and how long they had waited at most.
    [[nodiscard]] std::size_t stops() const { return m_stops; }
    [[nodiscard]] absl::Duration longestStopWait() const { return m_longestStopWait; }

private:
    class Router;
    struct Arrival
    {
        absl::Time at;
        std::size_t router{0};
    };
    struct Target
    {
        TargetProcess process;
        std::optional<double> limit;
        std::vector<Arrival> arrivals;
    };

    void schedule(absl::Time at, std::function<void()>);
    void scheduleNextRequest();
    // Calls the function at the router, later if the router is frozen, never if it has restarted since.
    void callAt(absl::Time at, std::size_t router, std::function<void(Router &)>);
    // Delivers the function to the router like a message from the other one.
    void deliver(std::size_t from, std::size_t to, std::function<void(Router &)>);
    void sendToTarget(std::size_t router, std::size_t target, absl::Duration waited);
    void sendStop(std::size_t router, std::size_t target, absl::Time askedAt);
    [[nodiscard]] bool isCut(std::size_t router) const { return m_now < m_cutUntil[router]; }
    void noteFault(std::size_t router, absl::Time until);
    [[nodiscard]] bool hadFault(std::size_t router, absl::Time from, absl::Time to) const;

    FakePermitFleetOptions m_options;
    SeededRandom m_random;
    absl::Time m_now;
    std::multimap<absl::Time, std::function<void()>> m_events;
    std::vector<Target> m_targets;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<std::uint64_t> m_boots;
    std::vector<absl::Time> m_frozenUntil;
    std::vector<absl::Time> m_cutUntil;
    // Periods of faults of each router.
    std::vector<std::vector<std::pair<absl::Time, absl::Time>>> m_faults;
    int m_served{0};
    int m_rejected{0};
    std::uint64_t m_permitMessages{0};
    absl::Duration m_longestWait;
    std::size_t m_stops{0};
    absl::Duration m_longestStopWait;
};

} // namespace Wisteria
