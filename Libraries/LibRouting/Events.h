// Input events and output actions of the routing logic, with their units. A host passes each event with the
// current time and executes the returned actions in order; embedding this library needs nothing else. The
// routing logic uses no sockets, threads, clocks or logs, so a recorded event log replays deterministically.

#pragma once

#include <LibConfig/FleetConfiguration.h>
#include <LibCore/Error.h>
#include <LibCore/Ids.h>

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Wisteria {

// Hash of the first block of a prompt. Prompts with equal hashes can share an engine's cached prefix.
using PromptPrefixHash = StrongId<struct PromptPrefixHashTag, std::uint64_t>;

// Live targets accept work. Suspect targets accept work only if each live target is cooling down or has
// failed the generation. Leaving targets only finish their running work.
enum class TargetPhase { Live, Suspect, Leaving, Gone };
[[nodiscard]] std::string_view targetPhaseName(TargetPhase);

enum class FinishReason { Stop, Length };

// Why an attempt ended before the answer was complete.
enum class AttemptFailure {
    // The engine did no work: the request was never sent, for example because the connection was refused.
    NotStarted,
    // The engine reported that it is overloaded.
    EngineOverloaded,
    // The stream broke off, an event was malformed, or the engine reported an internal error.
    StreamLost,
    // The engine rejected the request as invalid. Other engines would reject it too.
    RequestRejected,
    // The engine no longer knows the stream to re-attach to.
    StreamUnknown,
};

// Events accepted by Router::handle().

// The stream position of a reconnecting caller, taken from its last event id.
struct ResumePoint
{
    TargetId target;
    EngineStreamId stream;
    // Offset of the stream's first token in the answer.
    TokenOffset streamStart;
    // Number of tokens that the caller already has. The answer continues at this offset.
    TokenOffset received;
};

struct RequestOpened
{
    GenerationId generation;
    WorkspaceName workspace;
    ServiceName service;
    Urgency urgency{Urgency::Patient};
    PromptPrefixHash prefixHash;
    std::uint32_t promptTokens{0};
    std::uint32_t maxTokens{0};
    // When the caller stops waiting for the answer.
    absl::Time deadline{absl::InfiniteFuture()};
    std::optional<ResumePoint> resume;
    // For a reconnecting caller: version of the configuration that had last changed the service
    // (ItemStamp::changedIn) when the answer started. If set, no new stream extends delivered tokens after
    // the service has changed again, so the answer cannot continue with a different model. A host may carry
    // it in the event id.
    std::optional<ConfigVersion> openedUnder;
};

struct CallerLeft
{
    GenerationId generation;
};

// The engine accepted the attempt and assigned a stream id.
struct AttemptStarted
{
    AttemptId attempt;
    EngineStreamId stream;
};

struct TokenArrived
{
    AttemptId attempt;
    TokenOffset offset;
    std::string text;
};

struct AttemptFinished
{
    AttemptId attempt;
    // One past the offset of the last token.
    TokenOffset end;
    FinishReason reason{FinishReason::Stop};
};

struct AttemptFailed
{
    AttemptId attempt;
    AttemptFailure failure{AttemptFailure::StreamLost};
};

struct TargetChanged
{
    TargetId target;
    ServiceName service;
    FailureDomain domain;
    std::uint32_t slots{0};
    TargetPhase phase{TargetPhase::Live};
};

// The engine's load report, measured `age` ago.
struct LoadReported
{
    TargetId target;
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    absl::Duration age{absl::ZeroDuration()};
};

// Changes to an engine's prefix cache. Reports arrive late and with gaps, so they are only hints.
struct CacheReported
{
    TargetId target;
    std::vector<PromptPrefixHash> stored;
    std::vector<PromptPrefixHash> evicted;
};

struct ConfigurationChanged
{
    FleetConfiguration configuration;
};

// Whether the configuration is fresh enough to accept new work.
struct FreshnessChanged
{
    bool fresh{false};
};

// The other routers' use of the shared workspace limits, from gossip.
struct WorkspaceDemandReported
{
    WorkspaceName workspace;
    // Generations running or queued at all other live routers together.
    std::uint32_t remoteGenerations{0};
    // Includes this router.
    std::uint32_t liveRouters{1};
};

struct DrainStarted
{
};

// The time returned by nextWakeUp() has been reached.
struct Tick
{
};

using RoutingEvent =
    std::variant<RequestOpened, CallerLeft, AttemptStarted, TokenArrived, AttemptFinished, AttemptFailed,
                 TargetChanged, LoadReported, CacheReported, ConfigurationChanged, FreshnessChanged,
                 WorkspaceDemandReported, DrainStarted, Tick>;

// Actions returned by Router::handle().

// Opens a stream. Its prefix is the prompt and the first `from` tokens of the answer.
struct StartAttempt
{
    AttemptId attempt;
    GenerationId generation;
    TargetId target;
    TokenOffset from;
    Urgency urgency{Urgency::Patient};
};

// Attaches to a running stream and reads its tokens from answer offset `from`.
struct ReattachAttempt
{
    AttemptId attempt;
    GenerationId generation;
    TargetId target;
    EngineStreamId stream;
    TokenOffset streamStart;
    TokenOffset from;
};

struct CancelAttempt
{
    AttemptId attempt;
};

// Each token is delivered once, in offset order.
struct DeliverToken
{
    GenerationId generation;
    AttemptId attempt;
    TokenOffset offset;
    std::string text;
    // Values that the last event id must contain so that the caller can resume at another router.
    TargetId target;
    EngineStreamId stream;
    TokenOffset streamStart;
};

struct CompleteGeneration
{
    GenerationId generation;
    TokenOffset end;
    FinishReason reason{FinishReason::Stop};
};

// Final error response of a request that is given up, sent immediately.
struct RefuseGeneration
{
    GenerationId generation;
    Error error;
};

// Tells the caller to continue at another router, from its last event id if it has one. Streams named by that
// id keep running; the host closes their connections without cancelling them. Other attempts get a
// CancelAttempt.
struct HandOverGeneration
{
    GenerationId generation;
};

// Resume is the next attempt after a failure, with or without delivered tokens.
enum class DecisionKind { Start, Queue, Resume, Hedge, Reattach, Adopt, Refuse, HandOver, Complete };
[[nodiscard]] std::string_view decisionName(DecisionKind);

// One decision log line: the decision, its generation, the alternatives and the reason.
struct RecordDecision
{
    DecisionKind kind{DecisionKind::Start};
    GenerationId generation;
    TargetId chosen;
    std::vector<TargetId> alternatives;
    std::string reason;
};

using RoutingAction = std::variant<StartAttempt, ReattachAttempt, CancelAttempt, DeliverToken,
                                   CompleteGeneration, RefuseGeneration, HandOverGeneration, RecordDecision>;
using RoutingActions = std::vector<RoutingAction>;

} // namespace Wisteria
