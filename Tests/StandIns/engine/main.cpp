// Stand-in for a model engine: its HTTP interface. Tests/StandIns/README.md gives its form.

#include <StandIns/common/StandIn.h>
#include <StandIns/engine/Engine.h>
#include <StandIns/engine/EngineState.h>

#include <LibCore/EventStream.h>

#include <absl/cleanup/cleanup.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <atomic>

namespace Wisteria::StandIns {

constexpr absl::Duration readerPoll = absl::Milliseconds(200);

std::string tokenEvent(const Stream &stream, std::uint64_t offset, const std::string &text,
                       const Json &finishReason)
{
    Json json{{"id", stream.name},
              {"object", "text_completion"},
              {"model", stream.request.model},
              {"choices", {{{"index", 0}, {"text", text}, {"finish_reason", finishReason}}}}};
    return formatEvent({absl::StrCat(offset), "", json.dump()});
}

// Writes the stream's events from `offset` on, one step a call. False ends the connection.
class StreamWriter
{
public:
    StreamWriter(Engine &engine, std::shared_ptr<Stream> stream, std::uint64_t offset)
        : m_engine(engine), m_stream(std::move(stream)), m_offset(offset)
    {
    }
    ~StreamWriter() { m_engine.detach(*m_stream); }
    StreamWriter(const StreamWriter &) = delete;
    StreamWriter &operator=(const StreamWriter &) = delete;

    [[nodiscard]] bool write(httplib::DataSink &sink)
    {
        auto step = m_engine.next(*m_stream, m_offset, readerPoll);
        switch (step.kind) {
        case StreamStep::Kind::Nothing:
            return sink.is_writable();
        case StreamStep::Kind::Gone:
            return false;
        case StreamStep::Kind::Finished:
            return writeEnd(sink);
        case StreamStep::Kind::Token:
            break;
        }
        auto event = tokenEvent(*m_stream, m_offset, step.token, nullptr);
        if (auto cut = m_engine.takeCut(*m_stream, m_offset)) {
            if (*cut == CutKind::InsideEvent)
                sink.write(event.data(), event.size() / 2);
            return false;
        }
        ++m_offset;
        return sink.write(event.data(), event.size());
    }

private:
    bool writeEnd(httplib::DataSink &sink)
    {
        auto end = tokenEvent(*m_stream, m_offset, "", "length") + "data: [DONE]\n\n";
        if (!sink.write(end.data(), end.size()))
            return false;
        sink.done();
        return true;
    }

    Engine &m_engine;
    // Invariant: attached as long as the writer lives.
    const std::shared_ptr<Stream> m_stream;
    std::uint64_t m_offset;
};

void answerStream(Engine &engine, std::shared_ptr<Stream> stream, std::uint64_t offset,
                  httplib::Response &response)
{
    response.set_header("X-Request-Id", stream->name);
    auto writer = std::make_shared<StreamWriter>(engine, std::move(stream), offset);
    response.set_chunked_content_provider(
        "text/event-stream", [writer](std::size_t, httplib::DataSink &sink) { return writer->write(sink); });
}

// Empty when the body is wrong.
std::optional<EngineRequest> readRequest(const Json &json)
{
    try {
        EngineRequest request;
        request.model = json.value("model", "");
        request.prompt = json.at("prompt").get<std::string>();
        auto maxTokens = json.value("max_tokens", std::int64_t{16});
        request.temperature = json.value("temperature", 0.0);
        request.priority = json.value("priority", std::int64_t{0});
        if (maxTokens < 1 || !json.value("stream", false))
            return std::nullopt;
        request.maxTokens = static_cast<std::uint64_t>(maxTokens);
        return request;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

void handleCompletion(Engine &engine, EngineState &state, const httplib::Request &request,
                      httplib::Response &response)
{
    auto json = readObject(request, response);
    if (!json)
        return;
    auto engineRequest = readRequest(*json);
    if (!engineRequest)
        return answerError(response, statusBadRequest, "prompt, max_tokens above 0 and stream are required");
    if (!state.serves(engineRequest->model))
        return answerError(response, statusNotFound, "the model is not loaded");
    engineRequest->streamName = request.get_header_value("X-Request-Id");
    auto result = engine.submit(std::move(*engineRequest));
    if (auto *stream = std::get_if<std::shared_ptr<Stream>>(&result))
        return answerStream(engine, std::move(*stream), 0, response);
    if (std::get<SubmitError>(result) == SubmitError::NameTaken)
        return answerError(response, statusConflict, "the stream's name is taken");
    response.set_header("Retry-After", "1");
    answerError(response, statusUnavailable, "slots and queue are full");
}

void handleResume(Engine &engine, const httplib::Request &request, httplib::Response &response)
{
    std::int64_t after = -1;
    auto text = request.get_param_value("starting_after");
    if (!text.empty() && (!absl::SimpleAtoi(text, &after) || after < -1))
        return answerError(response, statusBadRequest, "starting_after must be a number from -1 on");
    auto stream = engine.attach(request.matches[1].str());
    if (!stream)
        return answerError(response, statusNotFound, "unknown stream");
    answerStream(engine, std::move(stream), static_cast<std::uint64_t>(after + 1), response);
}

void handleCacheEvents(Engine &engine, const httplib::Request &request, httplib::Response &response)
{
    std::uint64_t after = 0;
    if (request.has_param("after") && !absl::SimpleAtoi(request.get_param_value("after"), &after))
        return answerError(response, statusBadRequest, "after must be a number");
    auto events = Json::array();
    auto next = after;
    for (const auto &it : engine.cacheEvents(after)) {
        next = it.sequence;
        auto evicted = it.evicted.empty() ? Json::array() : Json::array({it.evicted});
        events.push_back(
            {{"sequence", it.sequence}, {"stored", Json::array({it.stored})}, {"evicted", evicted}});
    }
    answer(response, statusOk, {{"next", next}, {"events", events}});
}

void handleFault(Engine &engine, const httplib::Request &request, httplib::Response &response)
{
    auto json = readObject(request, response);
    if (!json)
        return;
    auto kind = json->value("kind", "");
    auto tokens = json->value("tokens", std::uint64_t{0});
    if (kind == "freeze")
        engine.freeze(absl::Milliseconds(json->value("ms", 0)));
    else if (kind == "cut_after")
        engine.setCut(CutFault{tokens, CutKind::BetweenEvents});
    else if (kind == "cut_mid_event")
        engine.setCut(CutFault{tokens, CutKind::InsideEvent});
    else if (kind == "none")
        engine.clearFaults();
    else
        answerError(response, statusBadRequest, "unknown fault");
}

void handleExpected(const httplib::Request &request, httplib::Response &response)
{
    auto json = readObject(request, response);
    if (!json)
        return;
    auto text = expectedText(json->value("prompt", ""), json->value("max_tokens", std::uint64_t{0}));
    answer(response, statusOk, {{"text", text}});
}

void addStandInRoutes(httplib::Server &server, Engine &engine)
{
    server.Post("/standin/fault",
                [&](const auto &request, auto &response) { handleFault(engine, request, response); });
    server.Post("/standin/expected",
                [](const auto &request, auto &response) { handleExpected(request, response); });
    server.Get("/standin/stats", [&](const auto &, auto &response) {
        auto n = engine.stats();
        answer(response, statusOk,
               {{"prefill_tokens", n.prefillTokens},
                {"cached_tokens", n.cachedTokens},
                {"generated_tokens", n.generatedTokens},
                {"streams", n.streams},
                {"cancelled", n.cancelled}});
    });
}

void addRoutes(httplib::Server &server, Engine &engine, EngineState &state)
{
    server.set_pre_routing_handler([&](const auto &request, auto &) {
        if (request.path.rfind("/standin/", 0) != 0)
            engine.waitWhileFrozen();
        return httplib::Server::HandlerResponse::Unhandled;
    });
    server.Post("/v1/completions", [&](const auto &request, auto &response) {
        handleCompletion(engine, state, request, response);
    });
    server.Get(R"(/v1/completions/([^/]+))",
               [&](const auto &request, auto &response) { handleResume(engine, request, response); });
    server.Post(R"(/v1/completions/([^/]+)/cancel)", [&](const auto &request, auto &response) {
        if (!engine.cancel(request.matches[1].str()))
            return answerError(response, statusNotFound, "unknown stream");
        answer(response, statusOk, Json::object());
    });
    server.Get("/load", [&](const auto &, auto &response) {
        auto load = engine.load();
        answer(response, statusOk, {{"running", load.running}, {"waiting", load.waiting}});
    });
    server.Get("/v1/cache-events",
               [&](const auto &request, auto &response) { handleCacheEvents(engine, request, response); });
    server.Get("/v1/engine/state",
               [&](const auto &, auto &response) { answer(response, statusOk, state.toJson()); });
    server.Put("/v1/engine/state",
               [&](const auto &request, auto &response) { state.handlePut(request, response); });
}

int run(int argc, char **argv)
{
    cxxopts::Options options("standin-engine", "Stand-in for a model engine");
    auto add = options.add_options();
    auto number = [](const char *value) { return cxxopts::value<std::size_t>()->default_value(value); };
    auto real = [](const char *value) { return cxxopts::value<double>()->default_value(value); };
    add("slots", "streams that are batched together", number("16"));
    add("queue", "streams that may wait", number("64"));
    add("token-ms", "time between two tokens of a stream", real("40"));
    add("prefill-tokens-per-s", "speed at which uncached prompt tokens are read", real("8000"));
    add("cache-heads", "prompt heads that the cache holds", number("64"));
    add("linger-ms", "how long a stream runs on without a client", real("10000"));
    add("load-lag-ms", "age of the load that is reported", real("200"));
    add("cache-event-delay-ms", "how late cache events show", real("500"));
    add("lose-every-cache-event", "each N-th cache event never shows; 0: none", number("0"));
    add("check-fencing", "refuse orders with an old fencing number");
    add("model", "the loaded model; empty: any", cxxopts::value<std::string>()->default_value(""));
    add("model-version", "its version", cxxopts::value<std::string>()->default_value(""));
    auto arguments = parseArguments(options, argc, argv);
    Engine engine({arguments["slots"].as<std::size_t>(), arguments["queue"].as<std::size_t>(),
                   milliseconds(arguments, "token-ms"), arguments["prefill-tokens-per-s"].as<double>(),
                   arguments["cache-heads"].as<std::size_t>(), milliseconds(arguments, "linger-ms"),
                   milliseconds(arguments, "load-lag-ms"), milliseconds(arguments, "cache-event-delay-ms"),
                   arguments["lose-every-cache-event"].as<std::size_t>()});
    EngineState state(arguments["model"].as<std::string>(), arguments["model-version"].as<std::string>(),
                      arguments.count("check-fencing") ? FencingCheck::On : FencingCheck::Off);
    httplib::Server server;
    addRoutes(server, engine, state);
    addStandInRoutes(server, engine);
    return serve(server, arguments);
}

} // namespace Wisteria::StandIns

int main(int argc, char **argv)
{
    return Wisteria::StandIns::runGuarded(Wisteria::StandIns::run, argc, argv);
}
