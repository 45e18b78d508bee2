// At-most-once calls under idempotency keys chosen by the callers. One incarnation claims a key in the object
// API, and only that incarnation dispatches the call. At most one dispatch may have sent bytes to a target; a
// dispatch that sent none may be followed by another, also under the same claim.
//
// `NotRun` with IdempotencyKeyReused applies only to the request that reused the key with another body.
// Otherwise `NotRun` applies to every request that the caller has sent under the key so far, and is returned
// in two cases only. Either a void of the claim has been written: any other router that tries to claim the
// key then reads the void. Or the caller numbers its requests and all earlier ones are known not to have run,
// because this is the first one or because a void covers the earlier ones.
//
// A void covers the requests up to its number; a later request of the caller may take over the claim.
// Requests without a number cannot be told apart, and a router that was paused may process an old one late. A
// void is therefore final for them, and their caller must continue with a new key.

#pragma once

#include <LibCore/Random.h>
#include <LibLedger/Answers.h>

#include <map>
#include <set>

namespace Wisteria {

namespace detail {

// State of a claimed call at this incarnation.
enum class ClaimPhase {
    // The write of the claim is in flight.
    Claiming,
    // The write of the void is in flight.
    VoidingClaim,
    // The claim is being read, because its state in the store is unknown or may have changed.
    Checking,
    // Another incarnation owns the claim; the call has been forwarded to it.
    Forwarding,
    // Dispatched; the target has not answered yet.
    Running,
    // Dispatched, but the answer was lost. A late answer is still accepted.
    Uncertain,
    // Dispatched, and the target has answered.
    Done,
    // The void has been written. Any router may take over the claim for a request with a greater number.
    ClaimVoided,
    // This incarnation owns or may own the claim, and has dispatched nothing under it.
    HeldUndispatched,
};

enum class Purpose { Run, VoidOnly };
// Whether the store holds the claim with the nonce `claimNonce`.
enum class Ownership { None, Possible, Confirmed };
enum class RecordingState { Pending, InFlight, Completed };

// A request that waits for the outcome of a call.
struct Waiter
{
    CallId call;
    std::uint32_t attempt{0};
    absl::Time deadline;
    Purpose purpose{Purpose::Run};
};

struct ClaimedCall
{
    ClaimName name;
    ServiceName service;
    BodyDigest digest;
    ClaimPhase phase{ClaimPhase::Claiming};
    std::vector<Waiter> waiters;
    // Ids under which results may still be reported for this call.
    std::vector<CallId> callIds;
    // Id of the store access or forward in flight; results with another id are ignored.
    CallId pendingCallId;
    CallId dispatchedCallId;
    // Version of the latest claim or void that this incarnation wrote, or read and accepted; zero when none
    // is known.
    ObjectVersion version;
    // Nonce of this incarnation's claim; zero for none. Invariant: no byte was sent to a target under it,
    // except in the phases Running, Uncertain and Done.
    std::uint64_t claimNonce{0};
    Ownership ownership{Ownership::None};
    ClaimRecord submittedRecord;
    // Version that the latest void write of this incarnation was conditional on; zero for none. If the reply
    // was lost, the write may still be applied to that version.
    ObjectVersion delayedVoidVersion;
    // Requests up to this number were answered, or may be answered, with NotRun. It also rises without a void
    // when a request is answered with NotRun because all earlier ones are known not to have run.
    std::uint32_t highestVoidedAttempt{0};
    // Greatest number among the requests that the forward to the owner covers.
    std::uint32_t forwardedAttempt{0};
    // Why the call was not dispatched; returned with NotRun.
    Error reason;
    int tries{0};
    CallAnswer answer;
    RecordingState recordingState{RecordingState::Pending};
    absl::Duration backoff;
    absl::Time wakeAt{absl::InfiniteFuture()};
};

} // namespace detail

class ClaimedCalls
{
public:
    ClaimedCalls(RouterId self, Incarnation incarnation, RandomSource &random);

    [[nodiscard]] bool containsCall(CallId call) const { return m_claimsByCall.contains(call); }
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] absl::Time nextWakeUp() const;

    void receive(const CallReceived &, absl::Time now, LedgerActions &out);
    void handleWritten(const ClaimWritten &, absl::Time now, LedgerActions &out);
    void handleRead(const ClaimRead &, absl::Time now, LedgerActions &out);
    void handleTargetAnswer(const TargetAnswered &, LedgerActions &out);
    void handleDispatchFailure(const DispatchFailed &, absl::Time now, LedgerActions &out);
    void handleOwnerAnswer(const OwnerAnswered &, LedgerActions &out);
    void setNewCallPolicy(detail::NewCallPolicy newCallPolicy) { m_newCallPolicy = newCallPolicy; }
    void tick(absl::Time now, LedgerActions &out);

private:
    using Calls = std::map<ClaimName, detail::ClaimedCall>;

    // Incoming requests.
    void create(const CallReceived &, detail::Waiter, absl::Time now, LedgerActions &out);
    void join(detail::ClaimedCall &, detail::Waiter, absl::Time now, LedgerActions &out);
    [[nodiscard]] bool rejectOnArrival(const CallReceived &, const detail::Waiter &, LedgerActions &out);
    void joinUndispatched(detail::ClaimedCall &, const detail::Waiter &, absl::Time now, LedgerActions &out);
    [[nodiscard]] bool ensureCapacity();

    // Store protocol.
    void proceedWithoutClaim(detail::ClaimedCall &, absl::Time now, LedgerActions &out);
    void proceedFromVoid(detail::ClaimedCall &, absl::Time now, LedgerActions &out);
    void proceedFromOwnClaim(detail::ClaimedCall &, absl::Time now, LedgerActions &out);
    void handleExistingClaim(detail::ClaimedCall &, const ClaimRecord &, ObjectVersion, absl::Time now,
                             LedgerActions &out);
    void writeClaim(detail::ClaimedCall &, ObjectVersion expected, absl::Time now, LedgerActions &out);
    void writeVoid(detail::ClaimedCall &, ObjectVersion expected, absl::Time now, LedgerActions &out);
    void write(detail::ClaimedCall &, ObjectVersion expected, LedgerActions &out);
    void read(detail::ClaimedCall &, LedgerActions &out);
    void handleVoidApplied(detail::ClaimedCall &, absl::Time now, LedgerActions &out);
    void handleStoreFailure(detail::ClaimedCall &, const Error &, absl::Time now, LedgerActions &out);
    void handleOutcomeWritten(detail::ClaimedCall &, const ClaimWritten &, absl::Time now);
    void recordOutcome(detail::ClaimedCall &, LedgerActions &out);

    // Dispatch, forwarding and answers.
    void dispatch(detail::ClaimedCall &, LedgerActions &out);
    void forward(detail::ClaimedCall &, const ClaimRecord &, LedgerActions &out);
    void answerAll(detail::ClaimedCall &, const CallAnswer &, LedgerActions &out);
    void answerNotDispatched(detail::ClaimedCall &, const Error &, LedgerActions &out);
    void answerVoided(detail::ClaimedCall &, LedgerActions &out);
    void retainOutcome(detail::ClaimedCall &);
    void settle(detail::ClaimedCall &, detail::ClaimPhase, absl::Time now);
    void expireWaiters(detail::ClaimedCall &, absl::Time now, LedgerActions &out);

    [[nodiscard]] detail::ClaimedCall *find(CallId);
    // Returns the call whose operation in flight has this id; null when there is none.
    [[nodiscard]] detail::ClaimedCall *findPending(CallId);
    void addWaiter(detail::ClaimedCall &, const detail::Waiter &);
    void setWakeUp(detail::ClaimedCall &, absl::Time);
    void setDeadlineWakeUp(detail::ClaimedCall &);
    void removeCall(detail::ClaimedCall &);
    [[nodiscard]] std::uint64_t newNonce();

    RouterId m_self;
    Incarnation m_incarnation;
    RandomSource &m_random;
    detail::NewCallPolicy m_newCallPolicy{detail::NewCallPolicy::Admit};
    Calls m_calls;
    // Invariant: holds exactly the `callIds` of the calls in m_calls.
    std::map<CallId, ClaimName> m_claimsByCall;
    // Invariant: holds the finite `wakeAt` times of the calls in m_calls.
    std::set<std::pair<absl::Time, ClaimName>> m_wakeUps;
    // Total size of the bodies retained in Done calls, in bytes.
    std::size_t m_retainedBytes{0};
    // Number of calls in m_calls with no store access, dispatch or forward in progress and no outcome that
    // remains to be written. Calls whose answer was lost count as settled.
    std::size_t m_settledCount{0};
};

// Name of the object that stores the claim.
[[nodiscard]] ClaimName claimName(const CallReceived &);

} // namespace Wisteria
