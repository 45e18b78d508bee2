// Reads engine streams, each in an event loop of its own thread, and turns them into routing events.

#include <Router/EngineStreams.h>

#include <LibCore/EventStream.h>
#include <LibNet/HttpClient.h>
#include <LibPlatform/BlockingHttpClient.h>

#include <absl/cleanup/cleanup.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <optional>

namespace Wisteria {

namespace detail {

constexpr std::size_t maxReportThreads = 4;

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

    absl::Mutex mutex;
    // Invariant: null, or the event loop of the stream's thread.
    boost::asio::io_context *context ABSL_GUARDED_BY(mutex){nullptr};
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

namespace detail {

// After the last token, for the end of the answer.
constexpr absl::Duration endTimeout = absl::Seconds(1);

std::string streamRequest(const EngineRequest &request)
{
    HttpFields fields;
    fields.set("Host", hostField(request.address));
    fields.set("Connection", "close");
    fields.set("Accept", "text/event-stream");
    if (request.stream.value().empty()) {
        fields.set("Content-Type", "application/json");
        return serializeRequest("POST", "/v1/completions", fields, request.body);
    }
    const auto lastSeen = static_cast<std::int64_t>(request.from.value() - request.streamStart.value()) - 1;
    return serializeRequest(
        "GET",
        absl::StrCat("/v1/completions/", request.stream.value(), "?stream=true&starting_after=", lastSeen),
        fields, "");
}

} // namespace detail

// Takes the answer of an engine in the event loop of the stream's thread, which ends with the answer.
class EngineStreams::Answer final : public HttpAnswerListener, public std::enable_shared_from_this<Answer>
{
public:
    Answer(boost::asio::io_context &context, std::shared_ptr<Stream> stream, EventSink &sink,
           const StreamTimeouts &timeouts)
        : m_context(context), m_idleTimer(context), m_stream(std::move(stream)), m_sink(sink),
          m_timeouts(timeouts),
          m_connection(std::make_shared<HttpClientConnection>(
              context,
              boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(m_stream->request.address.host()),
                                             static_cast<std::uint16_t>(m_stream->request.address.port())),
              SocketLimits{}))
    {
    }

    void start()
    {
        m_connection->send(detail::streamRequest(m_stream->request), weak_from_this(), m_timeouts.connect);
    }

    // Null unless the engine's answer has failed.
    [[nodiscard]] const std::optional<AttemptFailure> &failure() const { return m_failure; }

    void connected() override { armIdleTimer(m_timeouts.idle); }

    void answerHead(const HttpResponseHead &head) override
    {
        if (head.status != detail::statusOk) {
            fail(detail::failureOf(head.status));
            return;
        }
        const std::string id(fieldValue(head.fields, "X-Request-Id"));
        if (!id.empty()) {
            absl::MutexLock lock(&m_stream->mutex);
            m_stream->streamId = EngineStreamId(id);
        }
        m_sink.post(RoutingEvent(AttemptStarted{m_stream->request.attempt, EngineStreamId(id)}));
        armIdleTimer(m_timeouts.idle);
    }

    void answerBody(std::string_view data) override
    {
        // What follows the last token says nothing more, and need not end.
        if (m_stream->isFinished)
            return;
        const auto events = m_stream->reader.feed(data);
        if (!events) {
            fail(AttemptFailure::StreamLost);
            return;
        }
        for (const auto &it : *events) {
            if (m_stream->isCancelled || !m_stream->takeEvent(it, m_sink)) {
                fail(AttemptFailure::StreamLost);
                return;
            }
        }
        armIdleTimer(m_stream->isFinished ? detail::endTimeout : m_timeouts.idle);
    }

    void answerEnded(AnswerEnd) override { fail(AttemptFailure::StreamLost); }

    void answerFailed(HttpFailure failure) override
    {
        fail(wasNeverSent(failure) ? AttemptFailure::NotStarted : AttemptFailure::StreamLost);
    }

private:
    // Ends the event loop. A stream that is finished has not failed, however its answer ends.
    void fail(AttemptFailure failure)
    {
        if (!m_stream->isFinished && !m_failure)
            m_failure = failure;
        m_connection->cancel();
        m_context.stop();
    }

    void armIdleTimer(absl::Duration timeout)
    {
        m_idleTimer.expires_after(absl::ToChronoNanoseconds(timeout));
        m_idleTimer.async_wait([self = shared_from_this()](const auto &ec) {
            if (!ec)
                self->fail(AttemptFailure::StreamLost);
        });
    }

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_idleTimer;
    std::shared_ptr<Stream> m_stream;
    EventSink &m_sink;
    const StreamTimeouts m_timeouts;
    std::shared_ptr<HttpClientConnection> m_connection;
    std::optional<AttemptFailure> m_failure;
};

EngineStreams::EngineStreams(EventSink &sink, std::size_t maxStreams, StreamTimeouts timeouts)
    : m_sink(sink), m_timeouts(timeouts), m_pool("engine-stream", maxStreams),
      m_reportPool("engine-report", detail::maxReportThreads)
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
    m_reportPool.post([this, attempt, target] {
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
        if (stream->context)
            stream->context->stop();
    }
    if (mode == CancelMode::StopEngine)
        tellEngineToStop(*stream);
}

std::size_t EngineStreams::running() const
{
    absl::MutexLock lock(&m_mutex);
    return m_streams.size();
}

void EngineStreams::tellEngineToStop(Stream &stream)
{
    EngineStreamId id;
    {
        absl::MutexLock lock(&stream.mutex);
        id = stream.streamId;
    }
    // An engine that has not named the stream yet sees the closed connection and cancels it by itself later.
    if (!id.value().empty())
        m_stopper.stop(stream.request.address, id.value());
}

void EngineStreams::run(const std::shared_ptr<Stream> &stream)
{
    const auto &request = stream->request;
    auto forget = absl::MakeCleanup([&] {
        absl::MutexLock lock(&m_mutex);
        m_streams.erase(request.attempt);
    });
    boost::asio::io_context context(1);
    {
        absl::MutexLock lock(&stream->mutex);
        if (stream->isCancelled)
            return;
        stream->context = &context;
    }
    auto release = absl::MakeCleanup([&] {
        absl::MutexLock lock(&stream->mutex);
        stream->context = nullptr;
    });
    const auto answer = std::make_shared<Answer>(context, stream, m_sink, m_timeouts);
    answer->start();
    context.run();
    if (stream->isCancelled || stream->isFinished)
        return;
    const auto failure = answer->failure().value_or(AttemptFailure::StreamLost);
    // The generation goes on elsewhere. That the connection is lost doesn't end the stream.
    if (failure == AttemptFailure::StreamLost)
        tellEngineToStop(*stream);
    m_sink.post(RoutingEvent(AttemptFailed{request.attempt, failure}));
    if (failure == AttemptFailure::NotStarted)
        m_sink.post(MembershipEvent(TargetObserved{request.target, false}));
}

} // namespace Wisteria
