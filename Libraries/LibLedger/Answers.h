// Helpers that build the answers and log records of at-most-once calls, and the retention limits.

#pragma once

#include <LibLedger/Events.h>

#include <string_view>

namespace Wisteria {

// How long an incarnation retains a settled call. A claimed call may be removed earlier when maxRetainedCalls
// is reached; a ticketed call never is.
inline constexpr absl::Duration outcomeRetention = absl::Minutes(10);
// A larger body is sent to the callers that are waiting, but not retained for later requests.
inline constexpr std::size_t maxRetainedBodyBytes = std::size_t(64) * 1024;
// Total size of the retained bodies; a body beyond it is not retained for later requests. Applies separately
// to claimed and to ticketed calls.
inline constexpr std::size_t maxRetainedBytes = std::size_t(16) * 1024 * 1024;
// Number of retained calls; applies separately to claimed and to ticketed calls. A call takes about 300
// bytes.
inline constexpr std::size_t maxRetainedCalls = 30000;

namespace detail {

// How the router treats calls that have not been dispatched yet. Under Admit, a call is rejected only because
// its deadline has passed.
enum class NewCallPolicy {
    Admit,
    // The configuration may be outdated: neither new calls nor calls that are already claimed are dispatched.
    RejectAsStale,
    // The router is draining: new calls are rejected, calls that are already claimed are dispatched.
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

// Retry delay for the caller after the store, a target or a peer failed.
inline constexpr absl::Duration failureRetryAfter = absl::Seconds(1);
// Retry delay after a rejection that does not apply to other routers.
inline constexpr absl::Duration otherRouterRetryAfter = absl::Milliseconds(100);

[[nodiscard]] inline CallAnswer makeRanAnswer(int status, std::string body, BodyKept kept)
{
    CallAnswer answer{CallOutcome::Ran, status, std::move(body), std::nullopt};
    if (kept == BodyKept::No)
        answer.error = Error{ErrorCode::AnswerLost, "the call ran; its body was not retained"};
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

// Answers the call and records the reason.
inline void answerCall(LedgerActions &out, CallId call, const CallAnswer &answer)
{
    recordDecision(out, call, outcomeName(answer.outcome),
                   answer.error ? errorName(answer.error->code) : "target answered");
    out.emplace_back(AnswerCall{call, answer});
}

} // namespace detail

} // namespace Wisteria
