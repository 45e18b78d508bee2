// Events and actions of the at-most-once calls. Only the router incarnation that owns a call may dispatch it,
// and at most one dispatch may have sent bytes to a target; a dispatch that sent none may be followed by
// another. A call's key is either a ticket, which is owned by its issuer, or a key chosen by the caller,
// which one incarnation claims by a conditional create in the object API.

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

// Name of the object that stores a claim: a hash over workspace, service and key.
using ClaimName = StrongId<struct ClaimNameTag, std::string>;
// Hash over the operation and its arguments. A request that reuses a key with another body is rejected.
using BodyDigest = StrongId<struct BodyDigestTag, std::uint64_t>;

// What is known about the execution of a call.
enum class CallOutcome {
    // The call ran; the target's answer is attached.
    Ran,
    // No byte of the call can have reached a target, and none will for the requests sent so far under its
    // key.
    // With IdempotencyKeyReused this applies only to the rejected request.
    NotRun,
    // The call may have run. The caller can retry with the same key.
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
    // HTTP status and body of the target's answer, for Ran.
    int status{0};
    std::string body{};
    // Reason for NotRun and Unknown; its retryAfter is the delay before a retry. For Ran it is AnswerLost
    // when the body was not retained for later requests: it was too large, or the total limit
    // maxRetainedBytes was reached.
    std::optional<Error> error{};
};

enum class ClaimState { Claimed, Voided, Done };

// Whether a recorded outcome includes the target's body. Bodies above the size limit, or beyond the total
// limit maxRetainedBytes, are not recorded.
enum class BodyKept { Yes, No };

// Content of the object that stores a claim.
struct ClaimRecord
{
    RouterId owner;
    Incarnation incarnation;
    // Distinguishes claim attempts after a lost reply.
    std::uint64_t nonce{0};
    BodyDigest digest;
    ClaimState state{ClaimState::Claimed};
    // For Voided: the caller's requests up to this number never run; see CallReceived::attempt.
    std::uint32_t attempt{0};
    // For Done.
    int status{0};
    std::string body;
    BodyKept bodyKept{BodyKept::Yes};

    bool operator==(const ClaimRecord &) const = default;
};

// Events.

// Sender of the call to this router.
enum class CallSource { Caller, Router };

struct CallReceived
{
    // One arrival of the call at this router. Several requests under one key have different ids.
    CallId call;
    WorkspaceName workspace;
    ServiceName service;
    IdempotencyKey key;
    BodyDigest digest;
    // Time when the caller stops waiting.
    absl::Time deadline{absl::InfiniteFuture()};
    // The caller's own number of its request under this key, from 1; zero when the caller does not number its
    // requests. Without it a router cannot distinguish the first request from a retry of one that ran
    // elsewhere, and the key cannot be used again after NotRun. Not needed with tickets.
    std::uint32_t attempt{0};
    // `Router` if another router forwarded the call; such a call under a ticket is not forwarded again. Its
    // caller may have timed out since.
    CallSource source{CallSource::Caller};
};

// Result of a conditional write.
enum class ClaimWriteResult {
    Applied,
    // The store holds another version; the write had no effect.
    Conflict,
    // The store could not be reached; the write had no effect.
    NotApplied,
    // The reply was lost; the write may have taken effect.
    Indeterminate,
};

struct ClaimWritten
{
    CallId call;
    ClaimWriteResult result{ClaimWriteResult::Indeterminate};
    // New version of the object, for Applied.
    ObjectVersion version;
};

struct ClaimRead
{
    CallId call;
    // False when the store did not answer.
    bool answered{false};
    // Empty when the store holds no such claim.
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

// Answer of the owner to a forwarded call; empty when the owner did not answer.
struct OwnerAnswered
{
    CallId call;
    std::optional<CallAnswer> answer;
};

// Reports whether the router's configuration is up to date. With an outdated configuration a router must not
// choose targets. A new ledger assumes a fresh configuration.
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

// Actions.

// Conditional write of a claim. `expected` zero means create.
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

// Dispatches the call; issued again for the same call only after a dispatch that sent no byte. The host
// chooses a live target and must not retry once any byte may have been sent.
struct Dispatch
{
    CallId call;
    ServiceName service;
};

// Forwards the call to the incarnation that owns its key. The host reports OwnerAnswered.
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

// Log record of a decision about a call.
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
