// Bytes that a connection had taken from its socket were dropped when it closed before it looked at them.

#include <LibNet/HttpServer.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <functional>

namespace Wisteria {

namespace detail {

// Answers each request at once, then runs a step before the server goes on.
class SteppingHandler final : public HttpRequestHandler
{
public:
    void handleRequest(const std::shared_ptr<HttpServerConnection> &connection, HttpRequest) override
    {
        ++m_requests;
        connection->respond(makeResponse(200, "text/plain", "answer"));
        if (const auto step = std::exchange(m_step, nullptr))
            step();
    }
    void connectionClosed(const ConnectionClosure &closure) override { m_unreadBytes += closure.unreadBytes; }

    std::function<void()> m_step;
    int m_requests{0};
    std::size_t m_unreadBytes{0};
};

} // namespace detail

class TestReadAhead : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestReadAhead);
    CPPUNIT_TEST(requestThatArrivesBeforeTheServerClosesIsNotReadAndDropped);
    CPPUNIT_TEST(requestThatArrivesBeforeTheEventLoopEndsIsNotReadAndDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<boost::asio::io_context>(1);
        m_handler = std::make_unique<detail::SteppingHandler>();
        boost::asio::ip::tcp::acceptor free(*m_context, {boost::asio::ip::address_v4::loopback(), 0});
        m_endpoint = free.local_endpoint();
        free.close();
        m_server = std::move(*HttpServer::create(
            *m_context, *Address::parse(absl::StrCat("127.0.0.1:", m_endpoint.port())), *m_handler, {}));
        m_client = std::make_unique<boost::asio::ip::tcp::socket>(*m_context);
        m_client->connect(m_endpoint);
        run();
    }

    void tearDown() override
    {
        m_client.reset();
        m_server.reset();
        m_context.reset();
    }

    void requestThatArrivesBeforeTheServerClosesIsNotReadAndDropped()
    {
        sendNextRequestBefore([this] { m_server->startClosing(); });
        run();
        CPPUNIT_ASSERT_EQUAL(2, m_handler->m_requests);
        CPPUNIT_ASSERT(absl::StartsWith(read(), "HTTP/1.1 200"));
    }

    // The process ends if no connection has work under way.
    void requestThatArrivesBeforeTheEventLoopEndsIsNotReadAndDropped()
    {
        bool hadWork = true;
        sendNextRequestBefore([this, &hadWork] {
            hadWork = m_server->hasWorkUnderWay();
            m_context->stop();
        });
        CPPUNIT_ASSERT(hadWork);
    }

private:
    // The caller takes its answer and sends its next request before the server's handler returns; the step
    // runs before the server has looked at that request.
    void sendNextRequestBefore(const std::function<void()> &step)
    {
        m_handler->m_step = [this, step] {
            CPPUNIT_ASSERT(absl::StartsWith(read(), "HTTP/1.1 200"));
            boost::asio::write(*m_client, boost::asio::buffer(std::string(request)));
            boost::asio::post(*m_context, step);
        };
        boost::asio::write(*m_client, boost::asio::buffer(std::string(request)));
        run();
    }

    void run()
    {
        m_context->restart();
        m_context->run_for(std::chrono::milliseconds(20));
    }

    std::string read()
    {
        std::array<char, 1024> buf{};
        boost::system::error_code ec;
        m_client->non_blocking(true);
        const auto n = m_client->read_some(boost::asio::buffer(buf), ec);
        m_client->non_blocking(false);
        return {buf.data(), n};
    }

    static constexpr const char *request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<detail::SteppingHandler> m_handler;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestReadAhead);

} // namespace Wisteria
