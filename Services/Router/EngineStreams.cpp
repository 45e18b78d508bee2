// Reads engine streams with cpp-httplib and turns them into routing events.

#include <Router/EngineStreams.h>

#include <LibCore/EventStream.h>
#include <LibPlatform/HttpClient.h>

#include <absl/cleanup/cleanup.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <atomic>

namespace Wisteria {

namespace detail {

constexpr absl::Duration cancelTimeout = absl::Seconds(1);
constexpr std::size_t maxCancelThreads = 4;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnprocessable = 422;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

AttemptFailure failureOf(int status)
{
    switch (status) {
    case statusBadRequest:
    case statusUnprocessable:
        return AttemptFailure::RequestRejected;
    case statusNotFound:
        return AttemptFailure::StreamUnknown;
    case statusTooManyRequests:
    case statusUnavailable:
        return AttemptFailure::EngineOverloaded;
    default:
        return AttemptFailure::StreamLost;
    }
}

} // namespace detail

struct EngineStreams::Stream
{
    explicit Stream(EngineRequest engineRequest)
        : request(std::move(engineRequest)), nextToken(request.from), streamId(request.stream)
    {
    }

    // Takes one event of the engine. Returns false when the stream is over or broken.
    bool takeEvent(const StreamEvent &event, EventSink &sink);

    const EngineRequest request;
    std::atomic<bool> isCancelled{false};
    EventStreamReader reader;
    // Next expected offset when the engine's events carry no id.
    TokenOffset nextToken;
    bool isFinished{false};
    bool wasAnswered{false};
    int status{0};

    absl::Mutex mutex;
    // Invariant: null, or the client that the stream's thread is using.
    httplib::Client *client ABSL_GUARDED_BY(mutex){nullptr};
    EngineStreamId streamId ABSL_GUARDED_BY(mutex);
};

bool EngineStreams::Stream::takeEvent(const StreamEvent &event, EventSink &sink)
{
    if (event.data == "[DONE]")
        return true;
    auto json = nlohmann::json::parse(event.data, nullptr, false);
    if (json.is_discarded() || !json.contains("choices") || json["choices"].empty())
        return false;
    const auto &choice = json["choices"][0];
    auto offset = nextToken;
    std::uint64_t sequence = 0;
    if (absl::SimpleAtoi(event.id, &sequence))
        offset = TokenOffset(request.streamStart.value() + sequence);
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
        auto reason = choice["finish_reason"] == "length" ? FinishReason::Length : FinishReason::Stop;
        isFinished = true;
        sink.post(RoutingEvent(AttemptFinished{request.attempt, nextToken, reason}));
        return true;
    }
    if (!choice.contains("text") || !choice["text"].is_string())
        return false;
    nextToken = nextOffset(offset);
    return sink.post(RoutingEvent(TokenArrived{request.attempt, offset, choice["text"].get<std::string>()}));
}

EngineStreams::EngineStreams(EventSink &sink, std::size_t maxStreams, StreamTimeouts timeouts)
    : m_sink(sink), m_timeouts(timeouts), m_pool("engine-stream", maxStreams),
      m_cancelPool("engine-cancel", detail::maxCancelThreads)
{
}

EngineStreams::~EngineStreams()
{
    std::vector<AttemptId> running;
    {
        absl::MutexLock lock(&m_mutex);
        for (const auto &[attempt, stream] : m_streams)
            running.push_back(attempt);
    }
    for (auto it : running)
        cancel(it, CancelMode::LeaveRunning);
}

void EngineStreams::open(EngineRequest request)
{
    auto stream = std::make_shared<Stream>(std::move(request));
    {
        absl::MutexLock lock(&m_mutex);
        m_streams[stream->request.attempt] = stream;
    }
    m_pool.post([this, stream] { run(stream); });
}

void EngineStreams::reportNotStarted(AttemptId attempt, const TargetId &target)
{
    // From a pool thread: the decision thread must never wait for room on its own ring.
    m_cancelPool.post([this, attempt, target] {
        m_sink.post(RoutingEvent(AttemptFailed{attempt, AttemptFailure::NotStarted}));
        m_sink.post(MembershipEvent(TargetObserved{target, false}));
    });
}

void EngineStreams::cancel(AttemptId attempt, CancelMode mode)
{
    std::shared_ptr<Stream> stream;
    {
        absl::MutexLock lock(&m_mutex);
        auto it = m_streams.find(attempt);
        if (it == m_streams.end())
            return;
        stream = it->second;
    }
    stream->isCancelled = true;
    {
        absl::MutexLock lock(&stream->mutex);
        if (stream->client)
            stream->client->stop();
    }
    if (mode == CancelMode::StopEngine)
        m_cancelPool.post([this, stream] { tellEngineToStop(stream); });
}

std::size_t EngineStreams::running() const
{
    absl::MutexLock lock(&m_mutex);
    return m_streams.size();
}

void EngineStreams::tellEngineToStop(const std::shared_ptr<Stream> &stream)
{
    EngineStreamId id;
    {
        absl::MutexLock lock(&stream->mutex);
        id = stream->streamId;
    }
    // An engine that has not named the stream yet sees the closed connection and cancels it by itself later.
    if (id.value().empty())
        return;
    auto client = makeHttpClient(stream->request.address, detail::cancelTimeout);
    (void)client.Post(absl::StrCat("/v1/completions/", id.value(), "/cancel"));
}

void EngineStreams::run(const std::shared_ptr<Stream> &stream)
{
    const auto &request = stream->request;
    auto forget = absl::MakeCleanup([&] {
        absl::MutexLock lock(&m_mutex);
        m_streams.erase(request.attempt);
    });
    auto client = makeHttpClient(request.address, m_timeouts.idle);
    client.set_connection_timeout(std::chrono::milliseconds(absl::ToInt64Milliseconds(m_timeouts.connect)));
    {
        absl::MutexLock lock(&stream->mutex);
        if (stream->isCancelled)
            return;
        stream->client = &client;
    }
    auto release = absl::MakeCleanup([&] {
        absl::MutexLock lock(&stream->mutex);
        stream->client = nullptr;
    });

    httplib::Request http;
    http.headers.emplace("Accept", "text/event-stream");
    if (request.stream.value().empty()) {
        http.method = "POST";
        http.path = "/v1/completions";
        http.headers.emplace("Content-Type", "application/json");
        http.body = request.body;
    } else {
        auto lastSeen = static_cast<std::int64_t>(request.from.value() - request.streamStart.value()) - 1;
        http.method = "GET";
        http.path = absl::StrCat("/v1/completions/", request.stream.value(),
                                 "?stream=true&starting_after=", lastSeen);
    }
    http.response_handler = [&](const httplib::Response &response) {
        stream->status = response.status;
        stream->wasAnswered = true;
        if (response.status != detail::statusOk)
            return true;
        auto id = response.get_header_value("X-Request-Id");
        if (!id.empty()) {
            absl::MutexLock lock(&stream->mutex);
            stream->streamId = EngineStreamId(id);
        }
        m_sink.post(RoutingEvent(AttemptStarted{request.attempt, EngineStreamId(id)}));
        return !stream->isCancelled.load();
    };
    http.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (stream->status != detail::statusOk)
            return true;
        auto events = stream->reader.feed(std::string_view(data, size));
        if (!events)
            return false;
        for (const auto &it : *events) {
            if (stream->isCancelled || !stream->takeEvent(it, m_sink))
                return false;
        }
        return true;
    };

    httplib::Response response;
    auto error = httplib::Error::Success;
    (void)client.send(http, response, error);
    if (stream->isCancelled || stream->isFinished)
        return;
    auto failure = AttemptFailure::StreamLost;
    if (!stream->wasAnswered && wasNeverSent(error))
        failure = AttemptFailure::NotStarted;
    else if (stream->wasAnswered && stream->status != detail::statusOk)
        failure = detail::failureOf(stream->status);
    m_sink.post(RoutingEvent(AttemptFailed{request.attempt, failure}));
    if (failure == AttemptFailure::NotStarted)
        m_sink.post(MembershipEvent(TargetObserved{request.target, false}));
}

} // namespace Wisteria
