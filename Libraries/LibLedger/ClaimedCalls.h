// At-most-once calls under the callers' own keys: one incarnation claims a key in the object API, and it
// alone dispatches the call, once.
//
// `NotRun` is a promise about every request that the caller made under the key so far. It is given in two
// cases only. Either the claim was voided by a write that took effect: any other router that is about to
// claim then meets the void. Or the caller numbers its requests and all earlier ones are known not to have
// run: because this is the first, or by a void that covers them.
//
// A void covers the requests up to its number; a later request of the caller may take the claim over.
// Requests without a number cannot be told apart, an old one may be read late by a router that was paused:
// for them a void is final, and their caller goes on under a new key.

#pragma once

#include <LibCore/Random.h>
#include <LibLedger/Answers.h>

#include <map>
#include <set>

namespace Wisteria {

namespace detail {

// Where a claimed call stands at this incarnation.
enum class ClaimPhase {
    // The write that takes the claim is under way.
    Claiming,
    // The write that voids the claim is under way.
    VoidingClaim,
    // The claim is being read, after a lost reply or a conflict.
    Checking,
    // Another incarnation owns the claim and is asked.
    Forwarding,
    // Dispatched; the target has not answered.
    Running,
    // Dispatched; the outcome was lost. A late answer still counts.
    Uncertain,
    // Dispatched and answered.
    Done,
    // Voided: any router may take the claim over for a request of a greater number.
    ClaimVoided,
    // The claim is, or may be, in this incarnation's name; nothing was dispatched under it.
    HeldUndispatched,
};

enum class Purpose { Run, VoidOnly };
// Whether the claim under `claimNonce` is in the store.
enum class Ownership { None, Possible, Confirmed };
enum class RecordingState { Pending, InFlight, Completed };

// One request of a caller that waits for the call's outcome.
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
    // The call ids under which results may still be reported for this claim.
    std::vector<CallId> callIds;
    // The id of the store access or forward that is under way; others' results are ignored.
    CallId pendingCallId;
    CallId dispatchedCallId;
    // The newest version of the object that is known to be of the state in `phase`; zero for no object.
    ObjectVersion version;
    // Of the claim that this incarnation takes; zero for none. Invariant: before Running, nothing was
    // dispatched under it.
    std::uint64_t claimNonce{0};
    Ownership ownership{Ownership::None};
    ClaimRecord submittedRecord;
    // The version over which a void of this incarnation may still land; zero for none.
    ObjectVersion delayedVoidVersion;
    // Requests up to this one were told, or may be told, that they did not run.
    std::uint32_t highestVoidedAttempt{0};
    // The greatest number among the requests that the owner was asked about.
    std::uint32_t forwardedAttempt{0};
    // Why a voided call did not run.
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

    // Arrivals.
    void create(const CallReceived &, detail::Waiter, absl::Time now, LedgerActions &out);
    void join(detail::ClaimedCall &, detail::Waiter, absl::Time now, LedgerActions &out);
    [[nodiscard]] bool rejectOnArrival(const CallReceived &, const detail::Waiter &, LedgerActions &out);
    void joinUndispatched(detail::ClaimedCall &, const detail::Waiter &, absl::Time now, LedgerActions &out);
    [[nodiscard]] bool ensureCapacity();

    // The store protocol.
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
    // The call, when the result belongs to what is under way for it.
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
    // Invariant: holds exactly the `ids` of the calls in m_calls.
    std::map<CallId, ClaimName> m_claimsByCall;
    // Invariant: holds the finite `wakeAt` of the calls in m_calls.
    std::set<std::pair<absl::Time, ClaimName>> m_wakeUps;
    // Bytes of the bodies kept in Done calls.
    std::size_t m_retainedBytes{0};
    // Calls between their claim and their recorded outcome are the others.
    std::size_t m_settledCount{0};
};

// The name of a claim's object.
[[nodiscard]] ClaimName claimName(const CallReceived &);

} // namespace Wisteria
