// Fakes for placers on a virtual clock: a store that loses replies, engines of both kinds, processes that
// pause.

#pragma once

#include <LibPlacement/Placer.h>
#include <Support/VirtualTime.h>

#include <deque>
#include <map>

namespace Wisteria {

// What checks, seen from the outside.
struct FleetCounts
{
    int ordersApplied{0};
    int crossedOrders{0};
    int refusedOrders{0};
    int takeOvers{0};
    int lostReplies{0};
    int pauses{0};
    int restarts{0};
};

class FakeFleet
{
public:
    FakeFleet(std::uint64_t seed, std::size_t placers, std::size_t engines);

    // Runs with faults for a while, then without; returns what was broken, or nothing.
    [[nodiscard]] std::string run(absl::Duration faulty, absl::Duration quiet);
    [[nodiscard]] const FleetCounts &counts() const { return m_counts; }

private:
    struct Process
    {
        std::string name;
        std::uint64_t incarnation{0};
        std::unique_ptr<Placer> placer;
        absl::Time pausedUntil{absl::InfinitePast()};
        // When the last pause began that is over now or still lasts.
        absl::Time pauseBegan{absl::InfinitePast()};
        std::deque<PlacerEvent> inbox;
        // Readings sent since the last order, by engine.
        std::map<TargetId, int> readings;
    };

    struct FakeEngine
    {
        OrderChecking checking{OrderChecking::Unchecked};
        EngineState state;
        FencingNumber greatest;
    };

    void start(Process &);
    void deliver(std::size_t process, std::uint64_t incarnation, const PlacerEvent &);
    void handle(Process &, const PlacerEvent &);
    void perform(std::size_t process, const PlacerAction &);
    void readLease(std::size_t process);
    void writeLease(std::size_t process, const WriteLease &);
    [[nodiscard]] LeaseWritten apply(const WriteLease &);
    void readEngine(std::size_t process, const TargetId &);
    void sendOrder(std::size_t process, const SendOrder &);
    void applyOrder(std::size_t process, std::uint64_t incarnation, const SendOrder &);
    void injectFault();
    void wake(std::size_t process);
    void changeWishes();
    void check();

    VirtualTime m_time;
    TestRandom m_random;
    std::vector<Process> m_processes;
    std::map<TargetId, FakeEngine> m_engines;
    FleetConfiguration m_configuration;
    std::optional<LeaseRecord> m_record;
    ObjectVersion m_version;
    absl::Time m_storeDownUntil{absl::InfinitePast()};
    absl::Time m_faultsEnd{absl::InfiniteFuture()};
    FleetCounts m_counts;
    std::string m_broken;
};

} // namespace Wisteria
