// Every event that the routing decisions take and every action that they give, with units.
// A host feeds events with the current time and carries the actions out in order; it needs nothing else to
// embed this library. The decisions hold no socket, thread, clock or log, and replay bit for bit from a log
// of events.

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

// A hash of a prompt's first block; equal heads share an engine's cached prefix.
using PromptPrefixHash = StrongId<struct PromptPrefixHashTag, std::uint64_t>;

// Live targets take work. Suspect ones take it only when no other is left. Leaving ones finish what runs.
enum class TargetPhase { Live, Suspect, Leaving, Gone };
[[nodiscard]] std::string_view targetPhaseName(TargetPhase);

enum class FinishReason { Stop, Length };

// Why an attempt ended before its answer was whole.
enum class AttemptFailure {
    // The engine did no work: connection refused, or a status that says so.
    NotStarted,
    // The engine is full and says so.
    EngineOverloaded,
    // The stream broke off, an event was malformed, or the engine reported an error of its own.
    StreamLost,
    // The engine says that the request itself is wrong. Another engine would say the same.
    RequestRejected,
    // A re-attach found no such stream any more.
    StreamUnknown,
};

// ---- Events
// -----------------------------------------------------------------------------------------------------

// Where the stream of a caller that comes back stood, from its last event id.
struct ResumePoint
{
    TargetId target;
    EngineStreamId stream;
    // Offset in the answer of the stream's first token.
    TokenOffset streamStart;
    // Tokens that the caller holds already; the answer goes on with this offset.
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
    // When the caller stops waiting.
    absl::Time deadline{absl::InfiniteFuture()};
    std::optional<ResumePoint> resume;
    // ItemStamp::changedIn of the service when the generation was first opened, for a caller that comes back.
    // A host that carries it along (in the generation's id, say) keeps an answer from going on with another
    // model.
    std::optional<ConfigVersion> openedUnder;
};

struct CallerLeft
{
    GenerationId generation;
};

// The engine accepted the attempt and named its stream.
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
    // One past the last token's offset.
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

// An engine's own load report; it lags by `age`.
struct LoadReported
{
    TargetId target;
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    absl::Duration age{absl::ZeroDuration()};
};

// Changes of an engine's prefix cache. They come late and with gaps, so they are hints.
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

// Whether new work may be taken; a router that may hold an old configuration takes none.
struct FreshnessChanged
{
    bool fresh{false};
};

// Demand of the other routers for the shared workspace limits, from gossip.
struct WorkspaceDemandReported
{
    WorkspaceName workspace;
    // Generations that run or wait at all other live routers together.
    std::uint32_t remoteGenerations{0};
    std::uint32_t liveRouters{1};
};

struct DrainStarted
{
};

// The time that nextWakeUp() asked for has come.
struct Tick
{
};

using RoutingEvent =
    std::variant<RequestOpened, CallerLeft, AttemptStarted, TokenArrived, AttemptFinished, AttemptFailed,
                 TargetChanged, LoadReported, CacheReported, ConfigurationChanged, FreshnessChanged,
                 WorkspaceDemandReported, DrainStarted, Tick>;

// ---- Actions
// ----------------------------------------------------------------------------------------------------

// Opens a stream with the prompt and the answer's first `from` tokens as the prefix.
struct StartAttempt
{
    AttemptId attempt;
    GenerationId generation;
    TargetId target;
    TokenOffset from;
    Urgency urgency{Urgency::Patient};
};

// Attaches to a stream that runs already and takes its tokens from offset `from` of the answer on.
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

// Tokens come in the order of their offsets, each once.
struct DeliverToken
{
    GenerationId generation;
    AttemptId attempt;
    TokenOffset offset;
    std::string text;
    // What the caller's last event id must name to resume elsewhere.
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

// The final answer of a request that was given up, sent at once.
struct RefuseGeneration
{
    GenerationId generation;
    Error error;
};

// The caller should go on at another router from its last event id. No token is lost, no work is thrown away:
// the host closes the generation's engine connections without cancelling their streams, except for the
// attempts that a CancelAttempt names.
struct HandOverGeneration
{
    GenerationId generation;
};

enum class DecisionKind { Start, Queue, Resume, Hedge, Reattach, Adopt, Refuse, HandOver, Complete };
[[nodiscard]] std::string_view decisionName(DecisionKind);

// One log line: what was decided for which request, the alternatives and the reason.
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
