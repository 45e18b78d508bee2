// Events and actions of the at-most-once calls, with units. Only the router incarnation that owns a call may
// dispatch it, and it does so once. A call's key is either a ticket, whose issuer owns it, or the caller's
// own key, which one incarnation claims by a conditional create in the object API.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/Ids.h>

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Wisteria {

// Name of a claim's object: a hash over workspace, service and key.
using ClaimName = StrongId<struct ClaimNameTag, std::string>;
// Hash over the operation and its arguments: the same key with another body is refused.
using BodyDigest = StrongId<struct BodyDigestTag, std::uint64_t>;

// The three truthful outcomes.
enum class CallOutcome {
    // It ran; the target's answer is attached.
    Ran,
    // No byte of it can have reached a target, and none will under this claim or ticket.
    NotRun,
    // It may have run. Ask again with the same key.
    Unknown,
};

[[nodiscard]] inline std::string_view outcomeName(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Ran:
        return "ran";
    case CallOutcome::NotRun:
        return "not_run";
    case CallOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

struct CallAnswer
{
    CallOutcome outcome{CallOutcome::Unknown};
    // The target's status and body, for Ran.
    int status{0};
    std::string body{};
    // Why, for NotRun and Unknown; its retryAfter says when to come back. With Ran it is AnswerLost: the call
    // ran, but its body was too large to be kept for a later asker.
    std::optional<Error> error{};
};

enum class ClaimState { Claimed, Voided, Done };

// Whether a recorded outcome still has the target's body; one that is too large is recorded without it.
enum class BodyKept { Yes, No };

// The object that the object API keeps for a claim.
struct ClaimRecord
{
    RouterId owner;
    Incarnation incarnation;
    // Tells one claim attempt from another when a reply was lost.
    std::uint64_t nonce{0};
    BodyDigest digest;
    ClaimState state{ClaimState::Claimed};
    // For Voided: the caller's requests up to this one never run; see CallReceived::attempt.
    std::uint32_t attempt{0};
    // For Done.
    int status{0};
    std::string body;
    BodyKept bodyKept{BodyKept::Yes};

    bool operator==(const ClaimRecord &) const = default;
};

// ---- Events
// -----------------------------------------------------------------------------------------------------

// Who handed the call to this router.
enum class CallSource { Caller, Router };

struct CallReceived
{
    CallId call;
    WorkspaceName workspace;
    ServiceName service;
    IdempotencyKey key;
    BodyDigest digest;
    // When the caller stops waiting.
    absl::Time deadline{absl::InfiniteFuture()};
    // The caller's own count of its requests under this key, from 1; zero when it does not say. Without it a
    // router cannot tell the first request from a retry of one that ran elsewhere, and after NotRun the key
    // is used up. Not needed with tickets.
    std::uint32_t attempt{0};
    // Router for a call that another router forwarded; its caller may have given it up long ago.
    CallSource source{CallSource::Caller};
};

// How a conditional write ended.
enum class ClaimWriteResult {
    Applied,
    // Another version is there; the write had no effect.
    Conflict,
    // The store was not reached; the write had no effect.
    NotApplied,
    // The reply was lost; the write may have taken effect.
    Indeterminate,
};

struct ClaimWritten
{
    CallId call;
    ClaimWriteResult result{ClaimWriteResult::Indeterminate};
    // The object's new version, for Applied.
    ObjectVersion version;
};

struct ClaimRead
{
    CallId call;
    // False when the store gave no answer.
    bool answered{false};
    // Empty when the store has no such claim.
    std::optional<ClaimRecord> record;
    ObjectVersion version;
};

struct TargetAnswered
{
    CallId call;
    int status{0};
    std::string body;
};

enum class BytesSent { None, Maybe };

struct DispatchFailed
{
    CallId call;
    BytesSent sent{BytesSent::Maybe};
};

// What the owner said about a call that was forwarded to it; empty when it could not be reached.
struct OwnerAnswered
{
    CallId call;
    std::optional<CallAnswer> answer;
};

// Whether new calls may be dispatched. A router whose configuration may be old must not choose targets by it.
// A ledger starts as one that may.
struct LedgerConfigurationFreshnessChanged
{
    bool fresh{true};
};

struct LedgerDrainStarted
{
};

struct LedgerTick
{
};

using LedgerEvent =
    std::variant<CallReceived, ClaimWritten, ClaimRead, TargetAnswered, DispatchFailed, OwnerAnswered,
                 LedgerConfigurationFreshnessChanged, LedgerDrainStarted, LedgerTick>;

// ---- Actions
// ----------------------------------------------------------------------------------------------------

// A conditional write of the claim. `expected` zero means: create.
struct WriteClaim
{
    CallId call;
    ClaimName name;
    ClaimRecord record;
    ObjectVersion expected;
};

struct ReadClaim
{
    CallId call;
    ClaimName name;
};

// The one and only dispatch of the call. The host picks a live target; it must not retry once a byte was
// sent.
struct Dispatch
{
    CallId call;
    ServiceName service;
};

// Hands the call to the incarnation that owns its key; the host reports OwnerAnswered.
struct ForwardToOwner
{
    CallId call;
    RouterId owner;
    Incarnation incarnation;
};

struct AnswerCall
{
    CallId call;
    CallAnswer answer;
};

// One log line for a decision about a call.
struct RecordCallDecision
{
    CallId call;
    std::string decision;
    std::string reason;
};

using LedgerAction =
    std::variant<WriteClaim, ReadClaim, Dispatch, ForwardToOwner, AnswerCall, RecordCallDecision>;
using LedgerActions = std::vector<LedgerAction>;

} // namespace Wisteria
