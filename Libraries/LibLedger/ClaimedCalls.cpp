// Requests, outcomes and retention of claimed calls. The store protocol is in ClaimedCallsStore.cpp.

#include <LibLedger/ClaimedCalls.h>

#include <LibCore/Verify.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <xxhash.h>

namespace Wisteria {

using detail::ClaimedCall;
using detail::ClaimPhase;
using detail::NewCallPolicy;
using detail::Purpose;
using detail::RecordingState;
using detail::Waiter;

namespace detail {

[[nodiscard]] bool isSettled(const ClaimedCall &call)
{
    switch (call.phase) {
    case ClaimPhase::Uncertain:
    case ClaimPhase::ClaimVoided:
    case ClaimPhase::HeldUndispatched:
        return true;
    case ClaimPhase::Done:
        return call.recordingState == RecordingState::Completed;
    default:
        return false;
    }
}

// Prefixes each part with its length, so that different (workspace, service, key) triples never give the same
// text.
void appendLengthPrefixed(std::string &out, const std::string &part)
{
    absl::StrAppend(&out, part.size(), ":", part);
}

} // namespace detail

ClaimName claimName(const CallReceived &received)
{
    std::string text;
    detail::appendLengthPrefixed(text, received.workspace.value());
    detail::appendLengthPrefixed(text, received.service.value());
    detail::appendLengthPrefixed(text, received.key.value());
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return ClaimName(
        absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16), absl::Hex(hash.low64, absl::kZeroPad16)));
}

ClaimedCalls::ClaimedCalls(RouterId self, Incarnation incarnation, RandomSource &random)
    : m_self(std::move(self)), m_incarnation(incarnation), m_random(random)
{
}

bool ClaimedCalls::isIdle() const
{
    return m_settledCount == m_calls.size();
}

absl::Time ClaimedCalls::nextWakeUp() const
{
    return m_wakeUps.empty() ? absl::InfiniteFuture() : m_wakeUps.begin()->first;
}

void ClaimedCalls::receive(const CallReceived &received, absl::Time now, LedgerActions &out)
{
    const bool mayRun = m_newCallPolicy == NewCallPolicy::Admit && received.deadline > now;
    const Waiter waiter{received.call, received.attempt, received.deadline,
                        mayRun ? Purpose::Run : Purpose::VoidOnly};
    auto it = m_calls.find(claimName(received));
    if (it == m_calls.end()) {
        if (!rejectOnArrival(received, waiter, out))
            create(received, waiter, now, out);
        return;
    }
    if (it->second.digest != received.digest)
        return detail::answerCall(
            out, received.call,
            detail::makeFailedAnswer(CallOutcome::NotRun, ErrorCode::IdempotencyKeyReused,
                                     "the idempotency key was already used with a different body",
                                     std::nullopt));
    join(it->second, waiter, now, out);
}

// Rejects a request that must not start a call here, if this needs no store access and the call is unknown
// here. Returns true if the request was answered.
bool ClaimedCalls::rejectOnArrival(const CallReceived &received, const Waiter &waiter, LedgerActions &out)
{
    // A request with a later number is rejected by writing a void, which also prevents earlier ones from
    // running.
    if (waiter.purpose == Purpose::Run || received.attempt > 1)
        return false;
    const ErrorCode code = detail::rejectionCode(m_newCallPolicy);
    // A first request cannot have run elsewhere. A request without a number can, and a void would invalidate
    // its key.
    const CallOutcome outcome = received.attempt == 1 ? CallOutcome::NotRun : CallOutcome::Unknown;
    detail::answerCall(
        out, waiter.call,
        detail::makeFailedAnswer(outcome, code, "rejected before dispatch", detail::otherRouterRetryAfter));
    return true;
}

void ClaimedCalls::create(const CallReceived &received, Waiter waiter, absl::Time now, LedgerActions &out)
{
    const CallOutcome rejectedOutcome = received.attempt == 1 ? CallOutcome::NotRun : CallOutcome::Unknown;
    if (!ensureCapacity())
        return detail::answerCall(
            out, waiter.call,
            detail::makeFailedAnswer(rejectedOutcome, ErrorCode::Overloaded, "too many calls in progress"));
    ClaimedCall &call = m_calls[claimName(received)];
    call.name = claimName(received);
    call.service = received.service;
    call.digest = received.digest;
    addWaiter(call, waiter);
    proceedWithoutClaim(call, now, out);
}

void ClaimedCalls::join(ClaimedCall &call, Waiter waiter, absl::Time now, LedgerActions &out)
{
    switch (call.phase) {
    case ClaimPhase::Done:
    case ClaimPhase::Uncertain:
        return detail::answerCall(out, waiter.call, call.answer);
    case ClaimPhase::ClaimVoided:
    case ClaimPhase::HeldUndispatched:
        return joinUndispatched(call, waiter, now, out);
    default:
        break;
    }
    addWaiter(call, waiter);
    if (call.phase == ClaimPhase::Running || call.phase == ClaimPhase::Forwarding)
        setDeadlineWakeUp(call);
}

// Handles a request for a call that was voided or abandoned before its dispatch.
void ClaimedCalls::joinUndispatched(ClaimedCall &call, const Waiter &waiter, absl::Time now,
                                    LedgerActions &out)
{
    // A void is final for requests without a number. A request with a number up to the voided one must not
    // run either, because a later request has already been answered with NotRun.
    const bool isCovered = waiter.attempt <= call.highestVoidedAttempt;
    if (isCovered && (call.phase == ClaimPhase::ClaimVoided || waiter.attempt > 0))
        return detail::answerCall(out, waiter.call, CallAnswer{CallOutcome::NotRun, 0, {}, call.reason});
    --m_settledCount;
    addWaiter(call, waiter);
    call.tries = 0;
    call.reason = Error();
    if (call.phase == ClaimPhase::HeldUndispatched)
        return read(call, out);
    proceedFromVoid(call, now, out);
}

bool ClaimedCalls::ensureCapacity()
{
    if (m_calls.size() < maxRetainedCalls)
        return true;
    // After its removal, a call is answered from the store's record, or with `Unknown`.
    for (const auto &[time, name] : m_wakeUps) {
        ClaimedCall &call = m_calls.at(name);
        if (detail::isSettled(call)) {
            removeCall(call);
            return true;
        }
    }
    return false;
}

void ClaimedCalls::handleTargetAnswer(const TargetAnswered &event, LedgerActions &out)
{
    ClaimedCall *call = find(event.call);
    const bool isExpected = call
        && (call->phase == ClaimPhase::Running || call->phase == ClaimPhase::Uncertain)
        && call->dispatchedCallId == event.call;
    if (!isExpected)
        return;
    if (call->phase == ClaimPhase::Uncertain)
        --m_settledCount;
    call->phase = ClaimPhase::Done;
    setWakeUp(*call, absl::InfiniteFuture());
    call->answer = detail::makeRanAnswer(event.status, event.body, BodyKept::Yes);
    answerAll(*call, call->answer, out);
    retainOutcome(*call);
    recordOutcome(*call, out);
}

void ClaimedCalls::handleDispatchFailure(const DispatchFailed &event, absl::Time now, LedgerActions &out)
{
    ClaimedCall *call = find(event.call);
    if (!call || call->phase != ClaimPhase::Running || call->dispatchedCallId != event.call)
        return;
    if (event.sent == BytesSent::Maybe) {
        call->answer = detail::makeFailedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost,
                                                "the target's answer was lost");
        answerAll(*call, call->answer, out);
        return settle(*call, ClaimPhase::Uncertain, now);
    }
    call->reason =
        Error{ErrorCode::NoTargetAvailable, "no target accepted the call", detail::failureRetryAfter};
    for (auto &it : call->waiters)
        it.purpose = Purpose::VoidOnly;
    proceedFromOwnClaim(*call, now, out);
}

void ClaimedCalls::handleOwnerAnswer(const OwnerAnswered &event, LedgerActions &out)
{
    ClaimedCall *call = findPending(event.call);
    if (!call || call->phase != ClaimPhase::Forwarding)
        return;
    const CallAnswer answer = event.answer.value_or(detail::makeFailedAnswer(
        CallOutcome::Unknown, ErrorCode::AnswerLost, "the router that owns the call did not answer"));
    if (answer.outcome != CallOutcome::NotRun) {
        answerAll(*call, answer, out);
        return removeCall(*call);
    }
    // The owner's `NotRun` covers the forwarded request and the requests with smaller numbers.
    auto isCovered = [&](const Waiter &it) {
        return it.call == event.call || (it.attempt > 0 && it.attempt <= call->forwardedAttempt);
    };
    for (const auto &it : call->waiters) {
        if (isCovered(it))
            detail::answerCall(out, it.call, answer);
    }
    std::erase_if(call->waiters, isCovered);
    if (call->waiters.empty())
        return removeCall(*call);
    read(*call, out);
}

void ClaimedCalls::tick(absl::Time now, LedgerActions &out)
{
    while (!m_wakeUps.empty() && m_wakeUps.begin()->first <= now) {
        ClaimedCall &call = m_calls.at(m_wakeUps.begin()->second);
        setWakeUp(call, absl::InfiniteFuture());
        if (detail::isSettled(call))
            removeCall(call);
        else if (call.phase == ClaimPhase::Done)
            recordOutcome(call, out);
        else
            expireWaiters(call, now, out);
    }
}

void ClaimedCalls::expireWaiters(ClaimedCall &call, absl::Time now, LedgerActions &out)
{
    const CallAnswer answer = detail::makeFailedAnswer(CallOutcome::Unknown, ErrorCode::DeadlineExceeded,
                                                       "the deadline passed before the outcome was known");
    for (const auto &it : call.waiters) {
        if (it.deadline <= now)
            detail::answerCall(out, it.call, answer);
    }
    std::erase_if(call.waiters, [&](const Waiter &it) { return it.deadline <= now; });
    if (call.waiters.empty() && call.phase == ClaimPhase::Forwarding)
        return removeCall(call);
    setDeadlineWakeUp(call);
}

void ClaimedCalls::answerAll(ClaimedCall &call, const CallAnswer &answer, LedgerActions &out)
{
    for (const auto &it : call.waiters)
        detail::answerCall(out, it.call, answer);
    call.waiters.clear();
}

// Drops the body of a finished call if it exceeds the retention limits.
void ClaimedCalls::retainOutcome(ClaimedCall &call)
{
    const std::size_t size = call.answer.body.size();
    if (size > maxRetainedBodyBytes || m_retainedBytes + size > maxRetainedBytes) {
        call.answer = detail::makeRanAnswer(call.answer.status, {}, BodyKept::No);
        return;
    }
    m_retainedBytes += size;
}

// Ends the processing of a call and retains its state for outcomeRetention.
void ClaimedCalls::settle(ClaimedCall &call, ClaimPhase phase, absl::Time now)
{
    call.phase = phase;
    VERIFY(detail::isSettled(call) && call.waiters.empty());
    ++m_settledCount;
    setWakeUp(call, now + outcomeRetention);
    // Only a late answer of the target can still arrive, under the id of the dispatch.
    std::erase_if(call.callIds, [&](CallId id) {
        if (phase == ClaimPhase::Uncertain && id == call.dispatchedCallId)
            return false;
        m_claimsByCall.erase(id);
        return true;
    });
}

void ClaimedCalls::addWaiter(ClaimedCall &call, const Waiter &waiter)
{
    call.waiters.push_back(waiter);
    call.callIds.push_back(waiter.call);
    m_claimsByCall[waiter.call] = call.name;
}

ClaimedCall *ClaimedCalls::find(CallId id)
{
    auto it = m_claimsByCall.find(id);
    return it == m_claimsByCall.end() ? nullptr : &m_calls.at(it->second);
}

ClaimedCall *ClaimedCalls::findPending(CallId id)
{
    ClaimedCall *call = find(id);
    return call && call->pendingCallId == id ? call : nullptr;
}

void ClaimedCalls::setWakeUp(ClaimedCall &call, absl::Time time)
{
    m_wakeUps.erase({call.wakeAt, call.name});
    call.wakeAt = time;
    if (time != absl::InfiniteFuture())
        m_wakeUps.emplace(time, call.name);
}

void ClaimedCalls::setDeadlineWakeUp(ClaimedCall &call)
{
    absl::Time earliest = absl::InfiniteFuture();
    for (const auto &it : call.waiters)
        earliest = std::min(earliest, it.deadline);
    setWakeUp(call, earliest);
}

void ClaimedCalls::removeCall(ClaimedCall &call)
{
    if (detail::isSettled(call))
        --m_settledCount;
    if (call.phase == ClaimPhase::Done)
        m_retainedBytes -= call.answer.body.size();
    setWakeUp(call, absl::InfiniteFuture());
    for (const auto &it : call.callIds)
        m_claimsByCall.erase(it);
    m_calls.erase(ClaimName(call.name));
}

std::uint64_t ClaimedCalls::newNonce()
{
    std::uint64_t nonce = 0;
    while (nonce == 0)
        nonce = m_random.next();
    return nonce;
}

} // namespace Wisteria
