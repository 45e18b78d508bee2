// The store protocol of the calls under claims: conditional writes, lost replies, read-backs, hand-over.

#include <LibLedger/ClaimedCalls.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace Wisteria {

using detail::ClaimedCall;
using detail::ClaimPhase;
using detail::NewCalls;
using detail::Possession;
using detail::Purpose;
using detail::Recording;
using detail::Waiter;

namespace detail {

// Writes and reads for one request before it is given up.
constexpr int maxTries = 6;
// Between writes of an outcome that the store did not take.
constexpr absl::Duration firstBackoff = absl::Milliseconds(200);
constexpr absl::Duration maxBackoff = absl::Seconds(20);

const Error &storeUnavailable()
{
    static const Error error{ErrorCode::StoreUnavailable, "the store was not reached", failureRetryAfter};
    return error;
}

const Error &storeOutcomeUnknown()
{
    static const Error error{ErrorCode::StoreOutcomeUnknown, "the claim's state is not known",
                             failureRetryAfter};
    return error;
}

// Whether a waiter still wants the call to run, at this time.
bool wantsRun(const Waiter &waiter, absl::Time now)
{
    return waiter.purpose == Purpose::Run && waiter.deadline > now;
}

bool wantsRun(const ClaimedCall &call, absl::Time now)
{
    return std::any_of(call.waiters.begin(), call.waiters.end(),
                       [&](const Waiter &it) { return wantsRun(it, now); });
}

std::uint32_t greatestAttempt(const ClaimedCall &call)
{
    std::uint32_t greatest = call.sealedAttempt;
    for (const auto &it : call.waiters)
        greatest = std::max(greatest, it.attempt);
    return greatest;
}

} // namespace detail

void ClaimedCalls::proceedFromNone(ClaimedCall &call, absl::Time now, LedgerActions &out)
{
    call.version = ObjectVersion();
    if (detail::wantsRun(call, now))
        return writeClaim(call, ObjectVersion(), now, out);
    writeVoid(call, ObjectVersion(), now, out);
}

void ClaimedCalls::proceedFromVoid(ClaimedCall &call, absl::Time now, LedgerActions &out)
{
    call.claimNonce = 0;
    call.possession = Possession::None;
    if (detail::wantsRun(call, now))
        return writeClaim(call, call.version, now, out);
    writeVoid(call, call.version, now, out);
}

void ClaimedCalls::proceedFromOwnClaim(ClaimedCall &call, absl::Time now, LedgerActions &out)
{
    // After a pause nobody may be waiting any more, or the configuration may be old.
    if (!detail::wantsRun(call, now) || m_newCalls == NewCalls::RefusedAsStale)
        return writeVoid(call, call.version, now, out);
    // A void whose reply was lost could land after the dispatch, and let another router take the call over.
    // Moving the claim to a new version keeps it out.
    if (call.voidMayLandOver == call.version)
        return writeClaim(call, call.version, now, out);
    dispatch(call, out);
}

void ClaimedCalls::writeClaim(ClaimedCall &call, ObjectVersion expected, absl::Time now, LedgerActions &out)
{
    // A claim that may have been written keeps its nonce, so that it is known again whenever it appears.
    if (call.claimNonce == 0)
        call.claimNonce = newNonce();
    call.written = ClaimRecord{m_self, m_incarnation, call.claimNonce, call.digest, ClaimState::Claimed};
    if (++call.tries > detail::maxTries)
        return giveUpWriting(call, detail::storeOutcomeUnknown(), now, out);
    call.phase = ClaimPhase::Claiming;
    write(call, expected, out);
}

void ClaimedCalls::writeVoid(ClaimedCall &call, ObjectVersion expected, absl::Time now, LedgerActions &out)
{
    if (call.reason.detail.empty())
        call.reason = Error{detail::refusalCode(m_newCalls), "given up before its dispatch",
                            detail::elsewhereRetryAfter};
    call.written = ClaimRecord{m_self, m_incarnation, newNonce(), call.digest, ClaimState::Voided};
    call.written.attempt = detail::greatestAttempt(call);
    call.voidMayLandOver = expected;
    if (++call.tries > detail::maxTries)
        return giveUpWriting(call, detail::storeOutcomeUnknown(), now, out);
    call.phase = ClaimPhase::Sealing;
    write(call, expected, out);
}

void ClaimedCalls::write(ClaimedCall &call, ObjectVersion expected, LedgerActions &out)
{
    call.pending = call.ids.back();
    setWakeUp(call, absl::InfiniteFuture());
    out.emplace_back(WriteClaim{call.pending, call.name, call.written, expected});
}

void ClaimedCalls::read(ClaimedCall &call, LedgerActions &out)
{
    call.phase = ClaimPhase::Checking;
    setWakeUp(call, absl::InfiniteFuture());
    call.pending = call.ids.back();
    out.emplace_back(ReadClaim{call.pending, call.name});
}

void ClaimedCalls::handleWritten(const ClaimWritten &event, absl::Time now, LedgerActions &out)
{
    ClaimedCall *call = findPending(event.call);
    if (!call)
        return;
    if (call->phase == ClaimPhase::Done)
        return handleRecorded(*call, event, now);
    if (call->phase != ClaimPhase::Claiming && call->phase != ClaimPhase::Sealing)
        return;
    call->pending = CallId();
    switch (event.result) {
    case WriteResult::Applied:
        call->version = event.version;
        if (call->phase == ClaimPhase::Sealing)
            return handleSealed(*call, now, out);
        call->possession = Possession::Certain;
        return proceedFromOwnClaim(*call, now, out);
    case WriteResult::NotApplied:
        return giveUpWriting(*call, detail::storeUnavailable(), now, out);
    case WriteResult::Unsure:
        if (call->phase == ClaimPhase::Claiming)
            call->possession = Possession::Maybe;
        return read(*call, out);
    case WriteResult::Conflict:
        // The reply does not say whose record is there; the record does.
        return read(*call, out);
    }
}

void ClaimedCalls::handleRead(const ClaimRead &event, absl::Time now, LedgerActions &out)
{
    ClaimedCall *call = findPending(event.call);
    if (!call || call->phase != ClaimPhase::Checking)
        return;
    call->pending = CallId();
    if (!event.answered)
        return giveUpWriting(*call, detail::storeOutcomeUnknown(), now, out);
    if (!event.record)
        return proceedFromNone(*call, now, out);
    const ClaimRecord &record = *event.record;
    if (record.digest != call->digest) {
        answerAll(*call,
                  detail::failedAnswer(CallOutcome::NotRun, ErrorCode::IdempotencyKeyReused,
                                       "the key came with another body before", std::nullopt),
                  out);
        return forget(*call);
    }
    switch (record.state) {
    case ClaimState::Claimed:
        return meetClaim(*call, record, event.version, now, out);
    case ClaimState::Done:
        answerAll(*call, detail::ranAnswer(record.status, record.body, record.bodyKept), out);
        return forget(*call);
    case ClaimState::Voided:
        call->version = event.version;
        call->sealedAttempt = std::max(call->sealedAttempt, record.attempt);
        if (record == call->written)
            return handleSealed(*call, now, out);
        call->reason = Error{ErrorCode::NoTargetAvailable, "given up before; use a new key", std::nullopt};
        answerSealed(*call, out);
        if (call->waiters.empty())
            return settle(*call, ClaimPhase::Sealed, now);
        return proceedFromVoid(*call, now, out);
    }
}

// The record names an owner. It is this entry's claim only if it carries its nonce: anything older of this
// router may have been dispatched before a restart, or before it was forgotten.
void ClaimedCalls::meetClaim(ClaimedCall &call, const ClaimRecord &record, ObjectVersion version,
                             absl::Time now, LedgerActions &out)
{
    if (record.owner != m_self)
        return forward(call, record, out);
    if (record.incarnation == m_incarnation && record.nonce == call.claimNonce) {
        call.version = version;
        call.possession = Possession::Certain;
        return proceedFromOwnClaim(call, now, out);
    }
    answerAll(call,
              detail::failedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost,
                                   "its owner lost the outcome in a restart"),
              out);
    forget(call);
}

void ClaimedCalls::handleSealed(ClaimedCall &call, absl::Time now, LedgerActions &out)
{
    call.sealedAttempt = std::max(call.sealedAttempt, call.written.attempt);
    call.claimNonce = 0;
    call.possession = Possession::None;
    answerSealed(call, out);
    std::vector<Waiter> later;
    later.swap(call.waiters);
    settle(call, ClaimPhase::Sealed, now);
    // Greater numbers came while the void was being written.
    for (const auto &it : later)
        join(call, it, now, out);
}

// Answers the requests that the void covers.
void ClaimedCalls::answerSealed(ClaimedCall &call, LedgerActions &out)
{
    auto isCovered = [&](const Waiter &it) { return it.attempt <= call.sealedAttempt; };
    for (const auto &it : call.waiters) {
        if (isCovered(it))
            detail::answerCall(out, it.call, CallAnswer{CallOutcome::NotRun, 0, {}, call.reason});
    }
    std::erase_if(call.waiters, isCovered);
}

// The store does not help for now. What may be in the store decides what is remembered.
void ClaimedCalls::giveUpWriting(ClaimedCall &call, const Error &error, absl::Time now, LedgerActions &out)
{
    const bool metAnother = call.phase == ClaimPhase::Checking && call.possession == Possession::None;
    if (metAnother)
        answerAll(call, CallAnswer{CallOutcome::Unknown, 0, {}, error}, out);
    else
        answerNotStarted(call, error, out);
    call.reason = error;
    if (call.possession != Possession::None)
        return settle(call, ClaimPhase::Held, now);
    call.claimNonce = 0;
    if (call.version != ObjectVersion() && !metAnother)
        return settle(call, ClaimPhase::Sealed, now);
    forget(call);
}

// Nothing was dispatched here. Whether nothing was dispatched anywhere is known only where the caller's
// numbers leave no request that could have been.
void ClaimedCalls::answerNotStarted(ClaimedCall &call, const Error &error, LedgerActions &out)
{
    std::sort(call.waiters.begin(), call.waiters.end(),
              [](const Waiter &left, const Waiter &right) { return left.attempt < right.attempt; });
    for (const auto &it : call.waiters) {
        const bool proven = it.attempt > 0 && it.attempt <= call.sealedAttempt + 1;
        if (proven)
            call.sealedAttempt = std::max(call.sealedAttempt, it.attempt);
        detail::answerCall(out, it.call,
                           CallAnswer{proven ? CallOutcome::NotRun : CallOutcome::Unknown, 0, {}, error});
    }
    call.waiters.clear();
}

void ClaimedCalls::dispatch(ClaimedCall &call, LedgerActions &out)
{
    call.phase = ClaimPhase::Running;
    call.dispatchedAs = call.waiters.back().call;
    detail::record(out, call.dispatchedAs, "dispatch", "this incarnation owns the claim");
    out.emplace_back(Dispatch{call.dispatchedAs, call.service});
    setDeadlineWakeUp(call);
}

void ClaimedCalls::forward(ClaimedCall &call, const ClaimRecord &record, LedgerActions &out)
{
    call.phase = ClaimPhase::Forwarding;
    const auto it = std::max_element(
        call.waiters.begin(), call.waiters.end(),
        [](const Waiter &left, const Waiter &right) { return left.attempt < right.attempt; });
    VERIFY(it != call.waiters.end());
    call.pending = it->call;
    call.forwardedAttempt = it->attempt;
    detail::record(out, call.pending, "forward", "another incarnation owns the claim");
    out.emplace_back(ForwardToOwner{call.pending, record.owner, record.incarnation});
    setDeadlineWakeUp(call);
}

void ClaimedCalls::recordOutcome(ClaimedCall &call, LedgerActions &out)
{
    ClaimRecord done{m_self, m_incarnation, call.claimNonce, call.digest, ClaimState::Done};
    done.status = call.answer.status;
    done.body = call.answer.body;
    done.bodyKept = call.answer.error ? BodyKept::No : BodyKept::Yes;
    call.recording = Recording::UnderWay;
    call.pending = call.dispatchedAs;
    out.emplace_back(WriteClaim{call.pending, call.name, std::move(done), call.version});
}

void ClaimedCalls::handleRecorded(ClaimedCall &call, const ClaimWritten &event, absl::Time now)
{
    if (call.recording != Recording::UnderWay)
        return;
    call.pending = CallId();
    // Nobody else writes over this claim: a conflict means that an earlier write of the outcome took effect.
    if (event.result == WriteResult::Applied || event.result == WriteResult::Conflict) {
        call.recording = Recording::Written;
        return settle(call, ClaimPhase::Done, now);
    }
    call.recording = Recording::Due;
    call.backoff = std::clamp(call.backoff * 2, detail::firstBackoff, detail::maxBackoff);
    setWakeUp(call, now + call.backoff);
}

} // namespace Wisteria
