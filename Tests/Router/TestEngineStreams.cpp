// Guards against streams that run on at an engine beside their successor: an engine that lost the connection
// of a stream was never asked to stop it, and one that was asked in vain not again.

#include <LibNet/HttpServer.h>
#include <Platform/FakeHttp.h>
#include <Router/EngineStreams.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Wisteria {

namespace detail {

// Starts a stream named "s1", and takes requests to stop it.
class StreamingEngine final : public HttpRequestHandler
{
public:
    // Requests to stop the stream that are left without an answer.
    int lostStops{0};
    // Closes the connection of the stream after its first event.
    bool losesStream{true};
    int statusOfStops{200};
    std::atomic<int> stops{0};

    StreamingEngine() { m_server = std::move(*HttpServer::create(m_context, m_address, *this, {})); }

    [[nodiscard]] const Address &address() const { return m_address; }
    [[nodiscard]] boost::asio::io_context &context() { return m_context; }

    void handleRequest(const std::shared_ptr<HttpServerConnection> &connection, HttpRequest request) override
    {
        const std::string target(request.target().data(), request.target().size());
        if (target == "/v1/completions/s1/cancel") {
            if (++stops <= lostStops)
                connection->abort();
            else
                connection->respond(makeResponse(statusOfStops, "application/json", "{}"));
            return;
        }
        auto head = makeResponse(200, "text/event-stream", "").head;
        head.fields.set("X-Request-Id", "s1");
        connection->openStream(head);
        connection->writeStream("id: 0\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n");
        if (losesStream)
            connection->abort();
    }

private:
    const Address m_address{*Address::parse(unusedLoopbackAddress())};
    boost::asio::io_context m_context{1};
    std::unique_ptr<HttpServer> m_server;
};

class CountingSink final : public EventSink
{
public:
    std::atomic<int> failures{0};
    std::atomic<int> tokens{0};

    bool post(HostEvent event) override
    {
        if (const auto *it = std::get_if<RoutingEvent>(&event)) {
            failures += std::holds_alternative<AttemptFailed>(*it) ? 1 : 0;
            tokens += std::holds_alternative<TokenArrived>(*it) ? 1 : 0;
        }
        return true;
    }
    ErrorOr<void> tryPost(HostEvent event) override
    {
        post(std::move(event));
        return {};
    }
};

} // namespace detail

class TestEngineStreams : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEngineStreams);
    CPPUNIT_TEST(lostStreamIsStopped);
    CPPUNIT_TEST(stopIsRepeatedUntilItIsAnswered);
    CPPUNIT_TEST(unknownStreamNeedsNoFurtherStop);
    CPPUNIT_TEST(cancelledStreamIsStopped);
    CPPUNIT_TEST(streamThatRunsOnIsNotStopped);
    CPPUNIT_TEST_SUITE_END();

public:
    void lostStreamIsStopped()
    {
        detail::StreamingEngine engine;
        run(engine, [&](EngineStreams &) { return m_sink->failures == 1 && engine.stops == 1; });
        CPPUNIT_ASSERT_EQUAL(1, engine.stops.load());
    }

    void stopIsRepeatedUntilItIsAnswered()
    {
        detail::StreamingEngine engine;
        engine.lostStops = 3;
        run(engine, [&](EngineStreams &) { return engine.stops == 4; });
        CPPUNIT_ASSERT_EQUAL(4, engine.stops.load());
    }

    void unknownStreamNeedsNoFurtherStop()
    {
        detail::StreamingEngine engine;
        engine.statusOfStops = 404;
        run(engine, [&](EngineStreams &) { return engine.stops == 1; });
        CPPUNIT_ASSERT_EQUAL(1, engine.stops.load());
    }

    void cancelledStreamIsStopped() { checkCancelled(CancelMode::StopEngine, 3); }

    // The caller may return at another router, which re-attaches to it.
    void streamThatRunsOnIsNotStopped() { checkCancelled(CancelMode::LeaveRunning, 0); }

private:
    void checkCancelled(CancelMode mode, int stops)
    {
        detail::StreamingEngine engine;
        engine.losesStream = false;
        engine.lostStops = 2;
        bool isCancelled = false;
        run(engine, [&](EngineStreams &streams) {
            if (m_sink->tokens == 1 && !std::exchange(isCancelled, true))
                streams.cancel(AttemptId(1), mode);
            return isCancelled && engine.stops == stops;
        });
        CPPUNIT_ASSERT_EQUAL(stops, engine.stops.load());
    }

    // Opens a stream, and serves until the check passes and some time more.
    void run(detail::StreamingEngine &engine, const std::function<bool(EngineStreams &)> &isDone)
    {
        m_sink = std::make_unique<detail::CountingSink>();
        EngineStreams streams(*m_sink, 2, {.connect = absl::Seconds(1), .idle = absl::Seconds(5)});
        streams.open({.attempt = AttemptId(1),
                      .target = TargetId("t"),
                      .address = engine.address(),
                      .body = "{}",
                      .stream = EngineStreamId(),
                      .streamStart = TokenOffset(),
                      .from = TokenOffset()});
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!isDone(streams) && std::chrono::steady_clock::now() < end)
            engine.context().run_for(std::chrono::milliseconds(5));
        CPPUNIT_ASSERT(isDone(streams));
        engine.context().run_for(std::chrono::milliseconds(400));
    }

    std::unique_ptr<detail::CountingSink> m_sink;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEngineStreams);

} // namespace Wisteria
