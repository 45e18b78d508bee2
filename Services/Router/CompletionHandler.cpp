// A caller's thread: it waits on the session's ring and writes what comes to the connection.

#include <Router/CompletionHandler.h>

#include <LibCore/EventStream.h>
#include <Router/CallHeaders.h>
#include <Router/EventId.h>
#include <Router/HttpReply.h>

#include <absl/strings/match.h>
#include <xxhash.h>

namespace Wisteria {

using nlohmann::json;

namespace detail {

constexpr std::size_t sessionCapacity = 4096;
constexpr std::size_t maxPromptBytes = std::size_t{1024} * 1024;
constexpr std::uint64_t maxTokensLimit = 1'000'000;
constexpr absl::Duration defaultPatience = absl::Hours(1);
// Until then a refusal still travels as an HTTP status.
constexpr absl::Duration firstMessagePatience = absl::Milliseconds(300);
// Comments at this interval tell the caller that the router lives, and the router that the caller does.
constexpr absl::Duration keepAliveInterval = absl::Milliseconds(500);
// Engines key their prefix caches by blocks of the prompt; the first block stands for the rest.
constexpr std::size_t headBytes = 256;
constexpr std::size_t bytesPerToken = 4;

PromptPrefixHash headOf(const std::string &prompt)
{
    return PromptPrefixHash(XXH64(prompt.data(), std::min(prompt.size(), headBytes), 0));
}

ErrorOr<Urgency> readUrgency(const httplib::Request &request)
{
    auto value = request.get_header_value("Wisteria-Urgency");
    if (value.empty() || absl::EqualsIgnoreCase(value, "patient"))
        return Urgency::Patient;
    if (absl::EqualsIgnoreCase(value, "urgent"))
        return Urgency::Urgent;
    return makeError(ErrorCode::InvalidRequest, "Wisteria-Urgency must be urgent or patient");
}

// Sampling parameters pass through; their types are checked so that an engine's error is not ours.
ErrorOr<std::string> readSampling(const json &body)
{
    json sampling = json::object();
    for (const char *field : {"temperature", "seed"}) {
        auto it = body.find(field);
        if (it == body.end())
            continue;
        if (!it->is_number())
            return makeError(ErrorCode::InvalidRequest, std::string(field) + " must be a number");
        sampling[field] = *it;
    }
    return sampling.dump();
}

std::string tokenData(const std::string &id, const std::string &model, const std::string &text,
                      const json &finishReason)
{
    json choice = {{"index", 0}, {"text", text}, {"finish_reason", finishReason}};
    json data = {{"id", id}, {"object", "text_completion"}, {"model", model}, {"choices", {choice}}};
    return data.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Writes a session's messages in the form that callers read.
class SessionWriter
{
public:
    SessionWriter(GenerationId id, std::string model) : m_id(std::move(id)), m_model(std::move(model)) { }

    [[nodiscard]] std::string format(const SessionMessage &message) const
    {
        if (const auto *token = std::get_if<TokenMessage>(&message))
            return formatEvent({token->eventId, {}, tokenData(m_id.value(), m_model, token->text, nullptr)});
        if (const auto *end = std::get_if<EndMessage>(&message)) {
            const char *reason = end->reason == FinishReason::Length ? "length" : "stop";
            return formatEvent({{}, {}, tokenData(m_id.value(), m_model, "", reason)})
                + formatEvent({{}, {}, "[DONE]"});
        }
        if (const auto *refused = std::get_if<RefusedMessage>(&message))
            return formatEvent({{}, "error", json{{"error", errorBody(refused->error)}}.dump()});
        return formatEvent({{}, "handover", "{}"});
    }

private:
    const GenerationId m_id;
    const std::string m_model;
};

bool isFinal(const SessionMessage &message)
{
    return !std::holds_alternative<TokenMessage>(message);
}

} // namespace detail

CompletionHandler::CompletionHandler(RouterProcess &process) : m_process(process) { }

void CompletionHandler::handle(const httplib::Request &request, httplib::Response &response)
{
    auto generation = readRequest(request);
    if (!generation) {
        replyError(response, generation.error());
        return;
    }
    auto model = generation->opened.service.value();
    stream(*std::move(generation), std::move(model), response);
}

ErrorOr<GenerationRequest> CompletionHandler::readRequest(const httplib::Request &request)
{
    auto body = TRY(readJsonBody(request));
    GenerationRequest generation;
    generation.opened.workspace = TRY(readWorkspace(request));
    generation.opened.urgency = TRY(detail::readUrgency(request));
    generation.opened.deadline = TRY(readDeadline(request, detail::defaultPatience));
    generation.opened.service = ServiceName(TRY(readText(body, "model")));
    generation.opened.maxTokens =
        static_cast<std::uint32_t>(TRY(readNumber(body, "max_tokens", 1, detail::maxTokensLimit)));
    generation.prompt = TRY(readText(body, "prompt"));
    generation.sampling = TRY(detail::readSampling(body));
    if (generation.prompt.size() > detail::maxPromptBytes)
        return makeError(ErrorCode::PayloadTooLarge, "prompt is above 1 MiB");
    if (body.value("stream", json()) != json(true))
        return makeError(ErrorCode::InvalidRequest, "stream must be true");
    generation.opened.generation = m_process.newGenerationId();
    if (request.has_header("Last-Event-ID")) {
        auto id = TRY(EventId::parse(request.get_header_value("Last-Event-ID")));
        generation.received = TRY(readText(body, "received"));
        generation.opened.generation = id.generation;
        generation.opened.openedUnder = id.openedUnder;
        generation.opened.resume = id.resumePoint();
        if (id.offset.value() >= generation.opened.maxTokens)
            return makeError(ErrorCode::InvalidRequest, "Last-Event-ID is beyond max_tokens");
    }
    generation.opened.prefixHash = detail::headOf(generation.prompt);
    generation.opened.promptTokens =
        static_cast<std::uint32_t>(generation.prompt.size() / detail::bytesPerToken);
    generation.session = std::make_shared<CallerSession>(detail::sessionCapacity);
    return generation;
}

void CompletionHandler::stream(GenerationRequest request, std::string model, httplib::Response &response)
{
    auto id = request.opened.generation;
    auto session = request.session;
    if (auto opened = m_process.open(std::move(request)); !opened) {
        replyError(response, opened.error());
        return;
    }
    auto first = session->pop(detail::firstMessagePatience);
    if (first && std::holds_alternative<RefusedMessage>(*first)) {
        replyError(response, std::get<RefusedMessage>(*first).error);
        return;
    }
    struct State
    {
        detail::SessionWriter writer;
        std::optional<SessionMessage> pending;
        bool isDone{false};
    };
    auto state =
        std::make_shared<State>(State{detail::SessionWriter(id, std::move(model)), std::move(first), false});
    auto provide = [state, session](std::size_t, httplib::DataSink &sink) {
        auto message = state->pending ? std::exchange(state->pending, std::nullopt)
                                      : session->pop(detail::keepAliveInterval);
        if (!message && session->isClosed()) {
            // The reader was too slow for the ring. What it missed, it gets by coming back.
            message = HandOverMessage{};
        }
        auto buf = message ? state->writer.format(*message) : std::string(": keep-alive\n\n");
        if (!sink.is_writable() || !sink.write(buf.data(), buf.size()))
            return false;
        if (message && detail::isFinal(*message)) {
            state->isDone = true;
            sink.done();
        }
        return true;
    };
    auto release = [this, state, session, id](bool) {
        session->close();
        // Only the connection's own generation: the caller may have come back on another connection already.
        if (!state->isDone)
            m_process.callerLeft(id, session);
    };
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider("text/event-stream", provide, release);
}

} // namespace Wisteria
