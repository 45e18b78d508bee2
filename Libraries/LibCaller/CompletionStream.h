// Reads one answer from the event streams of one or several connections and proves that it is whole: each
// token has the offset that follows the one before, and all belong to one generation.

#pragma once

#include <LibCaller/Transport.h>
#include <LibCore/EventStream.h>
#include <LibCore/Ids.h>

#include <functional>
#include <optional>
#include <string>

namespace Wisteria {

// The event id of a token, "GENERATION/TARGET/STREAM/STREAMSTART/OFFSET".
struct TokenId
{
    GenerationId generation;
    TargetId target;
    EngineStreamId stream;
    // Offset in the answer of the engine stream's first token.
    TokenOffset streamStart;
    TokenOffset offset;

    // Errors: ProtocolViolation.
    [[nodiscard]] static ErrorOr<TokenId> parse(std::string_view text);
};

struct Token
{
    TokenId id;
    std::string text;
    // The router that delivered the token.
    RouterId router;
};

using TokenReceiver = std::function<StreamControl(const Token &)>;

// How one connection's stream ended.
enum class StreamEnd {
    // The bytes stopped without an end event: go on elsewhere.
    Cut,
    Complete,
    HandOver,
    // The router gave the request up; error() says why.
    GivenUp,
    // The answer broke its own rules; error() says how.
    Violation,
    // The token receiver asked for it.
    StoppedByUser,
};

class CompletionStream final : public BodyReceiver
{
public:
    explicit CompletionStream(TokenReceiver onToken) : m_onToken(std::move(onToken)) { }

    // Starts on a new connection. What was received before is kept.
    void beginConnection(RouterId router);
    [[nodiscard]] StreamControl take(std::string_view bytes) override;

    // How the present connection's stream ended, Cut while no end came.
    [[nodiscard]] StreamEnd end() const { return m_end; }
    [[nodiscard]] const Error &error() const { return m_error; }

    // Tokens received so far on all connections together.
    [[nodiscard]] std::uint64_t tokenCount() const { return m_tokenCount; }
    [[nodiscard]] const std::string &text() const { return m_text; }
    // Empty before the first token.
    [[nodiscard]] const std::string &lastEventId() const { return m_lastEventId; }
    [[nodiscard]] const std::string &finishReason() const { return m_finishReason; }
    [[nodiscard]] const std::optional<GenerationId> &generation() const { return m_generation; }

private:
    void takeEvent(const StreamEvent &event);
    void takeData(const StreamEvent &event);
    void takeToken(const StreamEvent &event, const std::string &text);
    void fail(std::string detail);

    const TokenReceiver m_onToken;
    EventStreamReader m_reader;
    RouterId m_router;
    StreamEnd m_end{StreamEnd::Cut};
    Error m_error;
    // Invariant: the offset that the next token must have.
    std::uint64_t m_tokenCount{0};
    // Invariant: the texts of the tokens in order; resent when the request goes on elsewhere.
    std::string m_text;
    std::string m_lastEventId;
    std::string m_finishReason;
    std::optional<GenerationId> m_generation;
};

} // namespace Wisteria
