// The answers and log entries that the ledger's parts share, and the limits of what they remember.

#pragma once

#include <LibLedger/Events.h>

#include <string_view>

namespace Wisteria {

// How long an outcome is remembered by the incarnation that dispatched the call.
inline constexpr absl::Duration outcomeRetention = absl::Minutes(10);
// A longer body is given to the callers that wait for it, but not kept for later ones.
inline constexpr std::size_t maxRetainedBodyBytes = std::size_t(64) * 1024;
// All kept bodies of claims, and all of tickets, each.
inline constexpr std::size_t maxRetainedBytes = std::size_t(16) * 1024 * 1024;
// Calls remembered under claims, and under tickets, each. At some 300 bytes a call.
inline constexpr std::size_t maxRetainedCalls = 30000;

namespace detail {

// What the router does with calls that have not been dispatched yet.
enum class NewCallPolicy {
    Admit,
    // The configuration may be old: neither new calls nor those that were claimed already are dispatched.
    RejectAsStale,
    // The router is leaving: new calls are refused, claimed ones are dispatched.
    RejectAsDraining,
};

[[nodiscard]] inline ErrorCode rejectionCode(NewCallPolicy newCallPolicy)
{
    switch (newCallPolicy) {
    case NewCallPolicy::RejectAsStale:
        return ErrorCode::ConfigurationStale;
    case NewCallPolicy::RejectAsDraining:
        return ErrorCode::Draining;
    case NewCallPolicy::Admit:
        break;
    }
    return ErrorCode::DeadlineExceeded;
}

// When a caller should come back: after the store, a target or a peer failed.
inline constexpr absl::Duration failureRetryAfter = absl::Seconds(1);
// After a refusal that another router would not give.
inline constexpr absl::Duration otherRouterRetryAfter = absl::Milliseconds(100);

[[nodiscard]] inline CallAnswer makeRanAnswer(int status, std::string body, BodyKept kept)
{
    CallAnswer answer{CallOutcome::Ran, status, std::move(body), std::nullopt};
    if (kept == BodyKept::No)
        answer.error = Error{ErrorCode::AnswerLost, "it ran; its body was too large to be kept"};
    return answer;
}

[[nodiscard]] inline CallAnswer makeFailedAnswer(CallOutcome outcome, ErrorCode code, std::string_view detail,
                                                 std::optional<absl::Duration> retryAfter = failureRetryAfter)
{
    return CallAnswer{outcome, 0, {}, Error{code, std::string(detail), retryAfter}};
}

inline void recordDecision(LedgerActions &out, CallId call, std::string_view decision,
                           std::string_view reason)
{
    out.emplace_back(RecordCallDecision{call, std::string(decision), std::string(reason)});
}

// Answers the call and logs why.
inline void answerCall(LedgerActions &out, CallId call, const CallAnswer &answer)
{
    recordDecision(out, call, outcomeName(answer.outcome),
                   answer.error ? errorName(answer.error->code) : "target answered");
    out.emplace_back(AnswerCall{call, answer});
}

} // namespace detail

} // namespace Wisteria
