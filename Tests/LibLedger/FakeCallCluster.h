// Fake store, target, peers and retrying callers for the ledgers of several routers, on a virtual clock. The
// checks use only what is visible from outside: runs at the target and answers to the callers.

#pragma once

#include <LibLedger/CallLedger.h>
#include <Support/VirtualTime.h>

#include <deque>
#include <map>

namespace Wisteria {

enum class KeyKind { Numbered, Unnumbered, Ticket };

struct CallCounts
{
    int bookings{0};
    int requests{0};
    int runs{0};
    int ran{0};
    int notRun{0};
    int unknown{0};
    int lostReplies{0};
    int faults{0};

    void add(const CallCounts &other);
};

class FakeCallCluster
{
public:
    explicit FakeCallCluster(std::uint64_t seed);

    // Runs the simulation with faults, then without; returns the first invariant violation, or an empty
    // string.
    [[nodiscard]] std::string run();
    [[nodiscard]] const CallCounts &counts() const { return m_counts; }

private:
    // An operation that must run at most once, whatever keys its caller uses for it.
    struct Booking
    {
        KeyKind kind{KeyKind::Numbered};
        IdempotencyKey key;
        std::uint32_t attempt{0};
        // The caller's current request; answers to earlier ones are ignored.
        std::uint64_t request{0};
        int requests{0};
        int runs{0};
        // The caller received NotRun and has sent no new request since.
        bool wasReportedNotRun{false};
        bool finished{false};
    };

    // Destination of the answer to a call: a caller's request, or a peer's forwarded call.
    struct ReplyDestination
    {
        std::size_t booking{0};
        std::uint64_t request{0};
        std::function<void(const CallAnswer &)> peer;
    };

    struct Process
    {
        std::uint64_t incarnation{0};
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<CallLedger> ledger;
        absl::Time pausedUntil{absl::InfinitePast()};
        bool draining{false};
        std::deque<VirtualTime::Step> inbox;
        std::map<CallId, ReplyDestination> replies;
        std::map<CallId, CallReceived> requests;
        std::uint64_t lastCall{0};
    };

    struct StoredClaim
    {
        ClaimRecord record;
        ObjectVersion version;
    };

    // Routers.
    void start(Process &);
    void deliver(std::size_t process, std::uint64_t incarnation, const VirtualTime::Step &);
    void handle(std::size_t process, const LedgerEvent &);
    void report(std::size_t process, std::uint64_t incarnation, const LedgerEvent &);
    void scheduleTick(std::size_t process);
    void perform(std::size_t process, const LedgerAction &);
    void writeClaim(std::size_t process, const WriteClaim &);
    void readClaim(std::size_t process, const ReadClaim &);
    void dispatch(std::size_t process, const Dispatch &);
    void forward(std::size_t process, const ForwardToOwner &);
    void answer(std::size_t process, const AnswerCall &);
    void receive(std::size_t process, std::size_t booking, ReplyDestination, CallReceived);

    // Target and callers.
    void runAtTarget(std::size_t booking);
    void startBooking();
    void request(std::size_t booking);
    void receiveAnswer(std::size_t booking, std::uint64_t request, const CallAnswer &);
    void retryLater(std::size_t booking);

    void injectFault();
    void resumeProcess(std::size_t process);
    [[nodiscard]] bool areFaultsEnabled() const { return m_time.now() < m_faultsEnd; }
    void reportViolation(std::size_t booking, const std::string &);

    VirtualTime m_time;
    TestRandom m_random;
    std::vector<Process> m_processes;
    std::vector<Booking> m_bookings;
    std::map<ClaimName, StoredClaim> m_store;
    std::uint64_t m_lastRequest{0};
    std::uint64_t m_lastVersion{0};
    absl::Time m_storeDownUntil{absl::InfinitePast()};
    // End times of one-way network partitions between routers, by (from, to).
    std::map<std::pair<std::size_t, std::size_t>, absl::Time> m_partitions;
    absl::Time m_faultsEnd;
    CallCounts m_counts;
    std::string m_violation;
};

} // namespace Wisteria
