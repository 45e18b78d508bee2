// The callers' library: generations that arrive whole over failing routers, and calls that run at most once.
// It stores nothing. One client serves one thread at a time.

#pragma once

#include <LibCaller/Backoff.h>
#include <LibCaller/CompletionStream.h>
#include <LibCaller/EntryPoints.h>
#include <LibConfig/FleetConfiguration.h>

#include <memory>
#include <optional>
#include <variant>

namespace Wisteria {

struct CallerOptions
{
    // "IP:port" of some routers, for the first discovery.
    std::vector<std::string> seeds;
    FailureDomain domain;
    RetryPolicy retry;
    // A router that sends nothing on a stream for this long is taken for lost. It sends a comment each half
    // second while it has nothing else to send.
    absl::Duration streamStallLimit{absl::Seconds(2)};
    // How long a router may stay silent over a call before it is asked again with the same key.
    absl::Duration callStallLimit{absl::Seconds(30)};
    absl::Duration discoveryTimeout{absl::Seconds(2)};
};

struct CompletionRequest
{
    WorkspaceName workspace;
    ServiceName service;
    std::string prompt;
    std::uint64_t maxTokens{256};
    Urgency urgency{Urgency::Patient};
    absl::Duration timeout{absl::Minutes(10)};
    std::optional<double> temperature{};
    std::optional<std::uint64_t> seed{};
};

struct Completion
{
    GenerationId generation;
    std::string text;
    std::uint64_t tokens{0};
    // "stop" or "length"; empty when the token receiver stopped the answer.
    std::string finishReason;
    // Connections after the first.
    int reconnects{0};
};

enum class Repetition { AtMostOnce, Idempotent };

struct ServiceCall
{
    WorkspaceName workspace;
    ServiceName service;
    std::string operation;
    // A JSON object.
    std::string arguments;
    Repetition repetition{Repetition::AtMostOnce};
    // The caller's own key of an at-most-once call. Empty: the library takes a ticket.
    std::optional<IdempotencyKey> key{};
    absl::Duration timeout{absl::Seconds(30)};
};

// It ran; the target's answer.
struct CallRan
{
    int status{0};
    // JSON.
    std::string result;
};

// It did not run and will not.
struct CallNotRun
{
    Error error;
};

// It may have run. Ask again with the key, where there is one.
struct CallUnknown
{
    Error error;
    std::optional<IdempotencyKey> key;
};

using CallResult = std::variant<CallRan, CallNotRun, CallUnknown>;

class CallerClient
{
public:
    // Errors: InvalidSettings without seeds.
    [[nodiscard]] static ErrorOr<std::unique_ptr<CallerClient>>
    create(CallerOptions options, Transport &transport, CallerClock &clock, RandomSource &random);

    // Passes each token on exactly once and in order. Errors: those of the router, DeadlineExceeded,
    // ProtocolViolation, and the last failure once the retry budget is spent.
    [[nodiscard]] ErrorOr<Completion> complete(const CompletionRequest &request, TokenReceiver onToken);

    [[nodiscard]] CallResult call(const ServiceCall &request);

    [[nodiscard]] EntryPoints &entryPoints() { return m_entryPoints; }

private:
    CallerClient(CallerOptions options, Transport &transport, CallerClock &clock, RandomSource &random);

    const CallerOptions m_options;
    Transport &m_transport;
    CallerClock &m_clock;
    RandomSource &m_random;
    EntryPoints m_entryPoints;
};

} // namespace Wisteria
