// A wait that has expired can't be cancelled any more: its handler acted on the request that arrived in the
// same round of the event loop.

#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>

#include <boost/asio/write.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <thread>

namespace Wisteria {

namespace detail {

// Answers each request at once.
class ImmediateHandler final : public HttpRequestHandler
{
public:
    void handleRequest(const std::shared_ptr<HttpServerConnection> &connection, HttpRequest) override
    {
        connection->respond(makeResponse(200, "text/plain", "answer"));
    }
    void connectionClosed(const ConnectionClosure &) override { ++m_closed; }

    int m_closed{0};
};

} // namespace detail

class TestExpiredTimers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestExpiredTimers);
    CPPUNIT_TEST(connectionStaysOpenAfterAnswerAtItsIdleLimit);
    CPPUNIT_TEST(requestThatBeginsAtTheIdleLimitIsNotRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<boost::asio::io_context>(1);
        m_handler = std::make_unique<detail::ImmediateHandler>();
        boost::asio::ip::tcp::acceptor free(*m_context, {boost::asio::ip::address_v4::loopback(), 0});
        m_endpoint = free.local_endpoint();
        free.close();
        m_server = std::move(
            *HttpServer::create(*m_context, *Address::parse(absl::StrCat("127.0.0.1:", m_endpoint.port())),
                                *m_handler, {.idleTimeout = absl::FromChrono(idleTimeout)}));
        m_client = std::make_unique<boost::asio::ip::tcp::socket>(*m_context);
        m_client->connect(m_endpoint);
        m_context->run_for(std::chrono::milliseconds(20));
    }

    void tearDown() override
    {
        m_client.reset();
        m_server.reset();
        m_context.reset();
    }

    void connectionStaysOpenAfterAnswerAtItsIdleLimit()
    {
        sendAtIdleLimit(request);
        CPPUNIT_ASSERT(hasAnswer());
        CPPUNIT_ASSERT_EQUAL(0, m_handler->m_closed);
        boost::asio::write(*m_client, boost::asio::buffer(std::string(request)));
        CPPUNIT_ASSERT(hasAnswer());
    }

    void requestThatBeginsAtTheIdleLimitIsNotRejected()
    {
        const std::string text = request;
        sendAtIdleLimit(text.substr(0, text.size() / 2));
        boost::asio::write(*m_client, boost::asio::buffer(text.substr(text.size() / 2)));
        CPPUNIT_ASSERT(hasAnswer());
    }

private:
    static constexpr std::chrono::milliseconds idleTimeout{100};
    static constexpr const char *request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    // The bytes are readable and the wait has expired before the loop runs again.
    void sendAtIdleLimit(const std::string &text)
    {
        boost::asio::write(*m_client, boost::asio::buffer(text));
        std::this_thread::sleep_for(2 * idleTimeout);
        m_context->restart();
        m_context->run_for(std::chrono::milliseconds(20));
    }

    bool hasAnswer()
    {
        m_context->restart();
        m_context->run_for(std::chrono::milliseconds(20));
        std::array<char, 1024> buf{};
        boost::system::error_code ec;
        m_client->non_blocking(true);
        const auto n = m_client->read_some(boost::asio::buffer(buf), ec);
        m_client->non_blocking(false);
        return !ec && absl::StartsWith(absl::string_view(buf.data(), n), "HTTP/1.1 200");
    }

    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<detail::ImmediateHandler> m_handler;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestExpiredTimers);

} // namespace Wisteria
