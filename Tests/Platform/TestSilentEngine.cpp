// A sound engine that is silent for a while and goes on: its answers are not ended because of it.

#include "FakeDeployment.h"

#include <boost/asio/write.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace Wisteria {

namespace detail {

// Sends part of each stream, is silent, and goes on. It refuses connections from the first request on.
class PausingEngine final : public HttpRequestHandler
{
public:
    PausingEngine(boost::asio::io_context &context, int eventsBeforePause, std::chrono::milliseconds pause)
        : m_context(context), m_eventsBeforePause(eventsBeforePause), m_pause(pause),
          m_address(unusedLoopbackAddress())
    {
        acceptConnections();
    }

    void refuseConnections() { m_server.reset(); }
    void acceptConnections()
    {
        m_server = std::move(*HttpServer::create(m_context, *Address::parse(m_address), *this, {}));
    }

    [[nodiscard]] nlohmann::json storeRecord() const
    {
        return {{"service", "llm"}, {"address", m_address}, {"zone", "z0"},
                {"slots", 8},       {"state", "ready"},     {"born", 1},
                {"version", "v1"},  {"sequence", 1},        {"coldRemainingMs", 0}};
    }
    [[nodiscard]] int requestCount() const { return m_requestCount; }

    void handleRequest(const std::shared_ptr<HttpServerConnection> &connection, HttpRequest request) override
    {
        ++m_requestCount;
        m_server->stopListening();
        HttpResponseHead head = makeResponse(200, "text/event-stream", "").head;
        head.fields.set("Request-Id", std::string(fieldValue(request, "Request-Id")));
        head.fields.set("Engine-Seal", "seal");
        sendEvents(connection, head, 1, m_eventsBeforePause);
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_pause);
        timer->async_wait([this, timer, connection, head](const auto &) {
            sendEvents(connection, head, m_eventsBeforePause + 1, events);
            connection->endStream();
        });
    }

    static std::string completeStream()
    {
        std::string out;
        for (int n = 1; n <= events; ++n)
            out += absl::StrCat("id: ", n, "\ndata: x\n\n");
        return out;
    }

private:
    static constexpr int events = 6;

    void sendEvents(const std::shared_ptr<HttpServerConnection> &connection, const HttpResponseHead &head,
                    int first, int last)
    {
        if (last < first)
            return;
        if (first == 1)
            connection->openStream(head);
        for (int n = first; n <= last; ++n)
            connection->writeStream(absl::StrCat("id: ", n, "\ndata: x\n\n"));
    }

    boost::asio::io_context &m_context;
    int m_eventsBeforePause;
    std::chrono::milliseconds m_pause;
    std::string m_address;
    std::unique_ptr<HttpServer> m_server;
    int m_requestCount{0};
};

// Accepts one connection, reads nothing for a while, then reads a request and answers it.
class LateReader
{
public:
    LateReader(boost::asio::io_context &context, std::size_t bodyBytes, std::chrono::milliseconds pause)
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}), m_socket(context),
          m_timer(context), m_bytesLeft(bodyBytes)
    {
        m_acceptor.async_accept(m_socket, [this, pause](const auto &ec) {
            if (ec)
                return;
            m_timer.expires_after(pause);
            m_timer.async_wait([this](const auto &) { read(); });
        });
    }

    [[nodiscard]] nlohmann::json storeRecord() const
    {
        return {{"service", "app"},
                {"address", absl::StrCat("127.0.0.1:", m_acceptor.local_endpoint().port())},
                {"zone", "z0"},
                {"slots", 8},
                {"state", "ready"},
                {"born", 1},
                {"version", "v1"},
                {"sequence", 1},
                {"coldRemainingMs", 0}};
    }

private:
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buf), [this](const auto &ec, std::size_t n) {
            if (ec)
                return;
            if (n < m_bytesLeft) {
                m_bytesLeft -= n;
                read();
                return;
            }
            boost::asio::write(
                m_socket,
                boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                                                "Engine-Seal: seal\r\nContent-Length: 0\r\n\r\n")));
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::size_t m_bytesLeft;
    std::array<char, 65536> m_buf;
};

} // namespace detail

class TestSilentEngine : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestSilentEngine);
    CPPUNIT_TEST(streamGoesOnAfterSilenceOfItsOnlyEngine);
    CPPUNIT_TEST(requestOutlivesRefusedConnectsOfItsOnlyEngine);
    CPPUNIT_TEST(engineThatRefusedConnectionsIsUsedAgain);
    CPPUNIT_TEST(requestOutlivesEngineThatDoesNotReadForTwoSeconds);
    CPPUNIT_TEST_SUITE_END();

public:
    // The stall limit of the route is 150 ms.
    void streamGoesOnAfterSilenceOfItsOnlyEngine() { checkStreamIsWhole(3, std::chrono::milliseconds(1000)); }

    // The engine is probed while it reads the prompt, and refuses the connection.
    void requestOutlivesRefusedConnectsOfItsOnlyEngine()
    {
        checkStreamIsWhole(0, std::chrono::milliseconds(1500));
    }

    // A refused connect is no proof that the process has ended.
    void engineThatRefusedConnectionsIsUsedAgain()
    {
        removeEngines("llm");
        detail::PausingEngine engine(*m_context, 6, std::chrono::milliseconds(10));
        m_store->put("servers", "pausing", engine.storeRecord());
        startGateway();
        engine.refuseConnections();
        CPPUNIT_ASSERT_EQUAL(503, call("POST", "/stream/x", "r1").head.status);
        engine.acceptConnections();
        const auto end = monotonicNow() + absl::Seconds(4);
        int status = 0;
        while (status != 200 && monotonicNow() < end)
            status = call("POST", "/stream/x", "r2").head.status;
        CPPUNIT_ASSERT_EQUAL(200, status);
        m_gateway.reset();
    }

    // The request is larger than what the kernel takes for a peer that doesn't read.
    void requestOutlivesEngineThatDoesNotReadForTwoSeconds()
    {
        removeEngines("app");
        constexpr std::size_t bodyBytes = std::size_t{3} << 20U;
        detail::LateReader engine(*m_context, bodyBytes, std::chrono::milliseconds(2000));
        m_store->put("servers", "late", engine.storeRecord());
        startGateway();
        HttpResponse response;
        bool isDone = false;
        startCall("POST", "/book/x", "r1", "key", response, isDone, std::string(bodyBytes, 'x'));
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        CPPUNIT_ASSERT_EQUAL(200, response.head.status);
        m_gateway.reset();
    }

private:
    void removeEngines(const std::string &service)
    {
        for (const auto &[id, engine] : m_engines) {
            if (engine->service() == service)
                m_store->remove("servers", id);
        }
    }

    void checkStreamIsWhole(int eventsBeforePause, std::chrono::milliseconds pause)
    {
        removeEngines("llm");
        detail::PausingEngine engine(*m_context, eventsBeforePause, pause);
        m_store->put("servers", "pausing", engine.storeRecord());
        startGateway();
        CPPUNIT_ASSERT_EQUAL(detail::PausingEngine::completeStream(), call("POST", "/stream/x", "r1").body);
        CPPUNIT_ASSERT_EQUAL(1, engine.requestCount());
        m_gateway.reset();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSilentEngine);

} // namespace Wisteria
