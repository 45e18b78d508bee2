// Store protocol of claimed calls: conditional writes, reads after lost replies, and takeover of voided
// claims.

#include <LibLedger/ClaimedCalls.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace Wisteria {

using detail::ClaimedCall;
using detail::ClaimPhase;
using detail::NewCallPolicy;
using detail::Ownership;
using detail::Purpose;
using detail::RecordingState;
using detail::Waiter;

namespace detail {

// Claim and void writes of a call before the store protocol gives up.
constexpr int maxTries = 6;
// Exponential backoff between attempts to write the outcome.
constexpr absl::Duration firstBackoff = absl::Milliseconds(200);
constexpr absl::Duration maxBackoff = absl::Seconds(20);

const Error &storeUnavailable()
{
    static const Error error{ErrorCode::StoreUnavailable, "the store could not be reached",
                             failureRetryAfter};
    return error;
}

const Error &storeOutcomeUnknown()
{
    static const Error error{ErrorCode::StoreOutcomeUnknown, "the state of the claim in the store is unknown",
                             failureRetryAfter};
    return error;
}

// Whether the waiter still needs the call to run.
bool wantsRun(const Waiter &waiter, absl::Time now)
{
    return waiter.purpose == Purpose::Run && waiter.deadline > now;
}

bool wantsRun(const ClaimedCall &call, absl::Time now)
{
    return std::any_of(call.waiters.begin(), call.waiters.end(),
                       [&](const Waiter &it) { return wantsRun(it, now); });
}

std::uint32_t highestAttempt(const ClaimedCall &call)
{
    std::uint32_t highest = call.highestVoidedAttempt;
    for (const auto &it : call.waiters)
        highest = std::max(highest, it.attempt);
    return highest;
}

} // namespace detail

void ClaimedCalls::proceedWithoutClaim(ClaimedCall &call, absl::Time now, LedgerActions &out)
{
    call.version = ObjectVersion();
    if (detail::wantsRun(call, now))
        return writeClaim(call, ObjectVersion(), now, out);
    writeVoid(call, ObjectVersion(), now, out);
}

void ClaimedCalls::proceedFromVoid(ClaimedCall &call, absl::Time now, LedgerActions &out)
{
    call.claimNonce = 0;
    call.ownership = Ownership::None;
    if (detail::wantsRun(call, now))
        return writeClaim(call, call.version, now, out);
    writeVoid(call, call.version, now, out);
}

void ClaimedCalls::proceedFromOwnClaim(ClaimedCall &call, absl::Time now, LedgerActions &out)
{
    // After a pause of the process, every waiter's deadline may have passed or the configuration may be
    // outdated.
    if (!detail::wantsRun(call, now) || m_newCallPolicy == NewCallPolicy::RejectAsStale)
        return writeVoid(call, call.version, now, out);
    // A void whose reply was lost could still be applied after the dispatch and let another router take over
    // the call. Writing the claim again changes its version, so that the conditional write of the void fails.
    if (call.delayedVoidVersion == call.version)
        return writeClaim(call, call.version, now, out);
    dispatch(call, out);
}

void ClaimedCalls::writeClaim(ClaimedCall &call, ObjectVersion expected, absl::Time now, LedgerActions &out)
{
    // A claim that may have been written keeps its nonce, so that a later read recognizes it.
    if (call.claimNonce == 0)
        call.claimNonce = newNonce();
    call.submittedRecord =
        ClaimRecord{m_self, m_incarnation, call.claimNonce, call.digest, ClaimState::Claimed};
    if (++call.tries > detail::maxTries)
        return handleStoreFailure(call, detail::storeOutcomeUnknown(), now, out);
    call.phase = ClaimPhase::Claiming;
    write(call, expected, out);
}

void ClaimedCalls::writeVoid(ClaimedCall &call, ObjectVersion expected, absl::Time now, LedgerActions &out)
{
    if (call.reason.detail.empty())
        call.reason = Error{detail::rejectionCode(m_newCallPolicy), "rejected before dispatch",
                            detail::otherRouterRetryAfter};
    call.submittedRecord = ClaimRecord{m_self, m_incarnation, newNonce(), call.digest, ClaimState::Voided};
    call.submittedRecord.attempt = detail::highestAttempt(call);
    call.delayedVoidVersion = expected;
    if (++call.tries > detail::maxTries)
        return handleStoreFailure(call, detail::storeOutcomeUnknown(), now, out);
    call.phase = ClaimPhase::VoidingClaim;
    write(call, expected, out);
}

void ClaimedCalls::write(ClaimedCall &call, ObjectVersion expected, LedgerActions &out)
{
    call.pendingCallId = call.callIds.back();
    setWakeUp(call, absl::InfiniteFuture());
    out.emplace_back(WriteClaim{call.pendingCallId, call.name, call.submittedRecord, expected});
}

void ClaimedCalls::read(ClaimedCall &call, LedgerActions &out)
{
    call.phase = ClaimPhase::Checking;
    setWakeUp(call, absl::InfiniteFuture());
    call.pendingCallId = call.callIds.back();
    out.emplace_back(ReadClaim{call.pendingCallId, call.name});
}

void ClaimedCalls::handleWritten(const ClaimWritten &event, absl::Time now, LedgerActions &out)
{
    ClaimedCall *call = findPending(event.call);
    if (!call)
        return;
    if (call->phase == ClaimPhase::Done)
        return handleOutcomeWritten(*call, event, now);
    if (call->phase != ClaimPhase::Claiming && call->phase != ClaimPhase::VoidingClaim)
        return;
    call->pendingCallId = CallId();
    switch (event.result) {
    case ClaimWriteResult::Applied:
        call->version = event.version;
        if (call->phase == ClaimPhase::VoidingClaim)
            return handleVoidApplied(*call, now, out);
        call->ownership = Ownership::Confirmed;
        return proceedFromOwnClaim(*call, now, out);
    case ClaimWriteResult::NotApplied:
        return handleStoreFailure(*call, detail::storeUnavailable(), now, out);
    case ClaimWriteResult::Indeterminate:
        if (call->phase == ClaimPhase::Claiming)
            call->ownership = Ownership::Possible;
        return read(*call, out);
    case ClaimWriteResult::Conflict:
        // A conflict does not say which record the store holds, so the record is read.
        return read(*call, out);
    }
}

void ClaimedCalls::handleRead(const ClaimRead &event, absl::Time now, LedgerActions &out)
{
    ClaimedCall *call = findPending(event.call);
    if (!call || call->phase != ClaimPhase::Checking)
        return;
    call->pendingCallId = CallId();
    if (!event.answered)
        return handleStoreFailure(*call, detail::storeOutcomeUnknown(), now, out);
    if (!event.record)
        return proceedWithoutClaim(*call, now, out);
    const ClaimRecord &record = *event.record;
    if (record.digest != call->digest) {
        answerAll(*call,
                  detail::makeFailedAnswer(CallOutcome::NotRun, ErrorCode::IdempotencyKeyReused,
                                           "the idempotency key was already used with a different body",
                                           std::nullopt),
                  out);
        return removeCall(*call);
    }
    switch (record.state) {
    case ClaimState::Claimed:
        return handleExistingClaim(*call, record, event.version, now, out);
    case ClaimState::Done:
        answerAll(*call, detail::makeRanAnswer(record.status, record.body, record.bodyKept), out);
        return removeCall(*call);
    case ClaimState::Voided:
        call->version = event.version;
        call->highestVoidedAttempt = std::max(call->highestVoidedAttempt, record.attempt);
        if (record == call->submittedRecord)
            return handleVoidApplied(*call, now, out);
        call->reason = Error{ErrorCode::NoTargetAvailable,
                             "an earlier request voided the call; retry with a greater request number, "
                             "or with a new key if requests are not numbered",
                             std::nullopt};
        answerVoided(*call, out);
        if (call->waiters.empty())
            return settle(*call, ClaimPhase::ClaimVoided, now);
        return proceedFromVoid(*call, now, out);
    }
}

// Handles a claim found in the store. It belongs to the current attempt only if it has the same nonce: an
// older claim of this router may have been dispatched before a restart, or before the call was removed from
// memory.
void ClaimedCalls::handleExistingClaim(ClaimedCall &call, const ClaimRecord &record, ObjectVersion version,
                                       absl::Time now, LedgerActions &out)
{
    if (record.owner != m_self)
        return forward(call, record, out);
    if (record.incarnation == m_incarnation && record.nonce == call.claimNonce) {
        call.version = version;
        call.ownership = Ownership::Confirmed;
        return proceedFromOwnClaim(call, now, out);
    }
    answerAll(call,
              detail::makeFailedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost,
                                       "the router that owned the call lost its outcome"),
              out);
    removeCall(call);
}

void ClaimedCalls::handleVoidApplied(ClaimedCall &call, absl::Time now, LedgerActions &out)
{
    call.highestVoidedAttempt = std::max(call.highestVoidedAttempt, call.submittedRecord.attempt);
    call.claimNonce = 0;
    call.ownership = Ownership::None;
    answerVoided(call, out);
    std::vector<Waiter> laterWaiters;
    laterWaiters.swap(call.waiters);
    settle(call, ClaimPhase::ClaimVoided, now);
    // Requests with greater numbers may have arrived while the void was being written.
    for (const auto &it : laterWaiters)
        join(call, it, now, out);
}

// Answers the requests that the void covers.
void ClaimedCalls::answerVoided(ClaimedCall &call, LedgerActions &out)
{
    auto isCovered = [&](const Waiter &it) { return it.attempt <= call.highestVoidedAttempt; };
    for (const auto &it : call.waiters) {
        if (isCovered(it))
            detail::answerCall(out, it.call, CallAnswer{CallOutcome::NotRun, 0, {}, call.reason});
    }
    std::erase_if(call.waiters, isCovered);
}

// Ends the store protocol after a failure. The retained state depends on what the store may hold.
void ClaimedCalls::handleStoreFailure(ClaimedCall &call, const Error &error, absl::Time now,
                                      LedgerActions &out)
{
    const bool foundOtherClaim = call.phase == ClaimPhase::Checking && call.ownership == Ownership::None;
    if (foundOtherClaim)
        answerAll(call, CallAnswer{CallOutcome::Unknown, 0, {}, error}, out);
    else
        answerNotDispatched(call, error, out);
    call.reason = error;
    if (call.ownership != Ownership::None)
        return settle(call, ClaimPhase::HeldUndispatched, now);
    call.claimNonce = 0;
    if (call.version != ObjectVersion() && !foundOtherClaim)
        return settle(call, ClaimPhase::ClaimVoided, now);
    removeCall(call);
}

// Answers all waiters after nothing was dispatched here. `NotRun` is proven only for requests whose earlier
// requests are all known not to have run; the others get `Unknown`.
void ClaimedCalls::answerNotDispatched(ClaimedCall &call, const Error &error, LedgerActions &out)
{
    std::sort(call.waiters.begin(), call.waiters.end(),
              [](const Waiter &left, const Waiter &right) { return left.attempt < right.attempt; });
    for (const auto &it : call.waiters) {
        const bool isProven = it.attempt > 0 && it.attempt <= call.highestVoidedAttempt + 1;
        if (isProven)
            call.highestVoidedAttempt = std::max(call.highestVoidedAttempt, it.attempt);
        detail::answerCall(out, it.call,
                           CallAnswer{isProven ? CallOutcome::NotRun : CallOutcome::Unknown, 0, {}, error});
    }
    call.waiters.clear();
}

void ClaimedCalls::dispatch(ClaimedCall &call, LedgerActions &out)
{
    call.phase = ClaimPhase::Running;
    call.dispatchedCallId = call.waiters.back().call;
    detail::recordDecision(out, call.dispatchedCallId, "dispatch", "this incarnation owns the claim");
    out.emplace_back(Dispatch{call.dispatchedCallId, call.service});
    setDeadlineWakeUp(call);
}

void ClaimedCalls::forward(ClaimedCall &call, const ClaimRecord &record, LedgerActions &out)
{
    call.phase = ClaimPhase::Forwarding;
    const auto it = std::max_element(
        call.waiters.begin(), call.waiters.end(),
        [](const Waiter &left, const Waiter &right) { return left.attempt < right.attempt; });
    VERIFY(it != call.waiters.end());
    call.pendingCallId = it->call;
    call.forwardedAttempt = it->attempt;
    detail::recordDecision(out, call.pendingCallId, "forward", "another incarnation owns the claim");
    out.emplace_back(ForwardToOwner{call.pendingCallId, record.owner, record.incarnation});
    setDeadlineWakeUp(call);
}

void ClaimedCalls::recordOutcome(ClaimedCall &call, LedgerActions &out)
{
    ClaimRecord done{m_self, m_incarnation, call.claimNonce, call.digest, ClaimState::Done};
    done.status = call.answer.status;
    done.body = call.answer.body;
    done.bodyKept = call.answer.error ? BodyKept::No : BodyKept::Yes;
    call.recordingState = RecordingState::InFlight;
    call.pendingCallId = call.dispatchedCallId;
    out.emplace_back(WriteClaim{call.pendingCallId, call.name, std::move(done), call.version});
}

void ClaimedCalls::handleOutcomeWritten(ClaimedCall &call, const ClaimWritten &event, absl::Time now)
{
    if (call.recordingState != RecordingState::InFlight)
        return;
    call.pendingCallId = CallId();
    // No other router overwrites a dispatched claim: a conflict means that an earlier write of the outcome
    // was applied.
    if (event.result == ClaimWriteResult::Applied || event.result == ClaimWriteResult::Conflict) {
        call.recordingState = RecordingState::Completed;
        return settle(call, ClaimPhase::Done, now);
    }
    call.recordingState = RecordingState::Pending;
    call.backoff = std::clamp(call.backoff * 2, detail::firstBackoff, detail::maxBackoff);
    setWakeUp(call, now + call.backoff);
}

} // namespace Wisteria
