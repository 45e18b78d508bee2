// Guards against an engine that writes an earlier answer once more on a kept connection: a repeated refusal
// was taken for the answer to the next request, which had run and was refused as not run, or ran twice.

#include "FakeDeployment.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <istream>

namespace Wisteria {

namespace detail {

// Runs each request. Writes an extra answer before that of each request but the first one of a connection.
class RepeatingEngine
{
public:
    RepeatingEngine(boost::asio::io_context &context, std::string extraAnswer)
        : m_extraAnswer(std::move(extraAnswer)), m_acceptor(context)
    {
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), 0);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        accept();
    }

    [[nodiscard]] std::string address() const
    {
        return absl::StrCat("127.0.0.1:", m_acceptor.local_endpoint().port());
    }
    [[nodiscard]] int runs() const { return m_runs; }
    [[nodiscard]] int extraAnswers() const { return m_extraAnswers; }

private:
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket it) : socket(std::move(it)) { }

        boost::asio::ip::tcp::socket socket;
        boost::asio::streambuf buf;
        std::string sending;
        bool hasAnswered{false};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const auto &ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            read(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    // Bodies are sent with the head and have no blank line.
    void read(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(connection->socket, connection->buf, "\r\n\r\n",
                                      [this, connection](const auto &ec, std::size_t) {
                                          if (!ec)
                                              answer(connection);
                                      });
    }

    void answer(const std::shared_ptr<Connection> &connection)
    {
        std::istream in(&connection->buf);
        const std::string text(std::istreambuf_iterator<char>(in), {});
        constexpr std::string_view idField = "Request-Id: ";
        const auto at = text.find(idField) + idField.size();
        const auto id = text.substr(at, text.find('\r', at) - at);
        const bool hasAnswered = std::exchange(connection->hasAnswered, true);
        ++m_runs;
        m_extraAnswers += hasAnswered ? 1 : 0;
        write(connection,
              absl::StrCat(hasAnswered ? m_extraAnswer : "",
                           "HTTP/1.1 200 OK\r\nEngine-Seal: s\r\nRequest-Id: ", id,
                           "\r\nContent-Length: ", id.size(), "\r\n\r\n", id));
    }

    void write(const std::shared_ptr<Connection> &connection, std::string text)
    {
        connection->sending = std::move(text);
        boost::asio::async_write(connection->socket, boost::asio::buffer(connection->sending),
                                 [this, connection](const auto &ec, std::size_t) {
                                     if (!ec)
                                         read(connection);
                                 });
    }

    std::string m_extraAnswer;
    boost::asio::ip::tcp::acceptor m_acceptor;
    int m_runs{0};
    int m_extraAnswers{0};
};

} // namespace detail

class TestRepeatedAnswers : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestRepeatedAnswers);
    CPPUNIT_TEST(repeatedRefusalWithoutIdIsNotBelieved);
    CPPUNIT_TEST(repeatedRefusalOfAnotherRequestIsNotBelieved);
    CPPUNIT_TEST(repeatedMisdirectionIsNotBelieved);
    CPPUNIT_TEST(repeatedSuccessIsNotBelieved);
    CPPUNIT_TEST(refusalOnNewConnectionNeedsNoId);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        m_gateway.reset();
        m_engine.reset();
        FakeDeployment::tearDown();
    }

    void repeatedRefusalWithoutIdIsNotBelieved()
    {
        check("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n");
    }
    void repeatedRefusalOfAnotherRequestIsNotBelieved()
    {
        check("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n");
    }
    void repeatedMisdirectionIsNotBelieved()
    {
        check("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
    }
    void repeatedSuccessIsNotBelieved()
    {
        check("HTTP/1.1 200 OK\r\nEngine-Seal: s\r\nContent-Length: 5\r\n\r\nother");
    }

    // Nothing was asked for on the connection before.
    void refusalOnNewConnectionNeedsNoId()
    {
        HttpResponseHead head;
        head.status = 503;
        head.fields.set("Not-Executed", "1");
        CPPUNIT_ASSERT(m_dialect.classifyResponse(head, RequestId("a"), ConnectionAge::New)
                       == ResponseClass::RejectedFull);
        CPPUNIT_ASSERT(m_dialect.classifyResponse(head, RequestId("a"), ConnectionAge::Kept)
                       == ResponseClass::Untrusted);
    }

private:
    // The requests must not be repeated. None that ran is refused as not run, and none gets the extra answer.
    void check(const std::string &extraAnswer)
    {
        m_engine = std::make_unique<detail::RepeatingEngine>(*m_context, extraAnswer);
        auto record = m_engines.at("app-0")->storeRecord();
        record["address"] = m_engine->address();
        record["slots"] = 1;
        m_store->remove("servers", "app-1");
        m_store->put("servers", "app-0", record);
        startGateway();
        CPPUNIT_ASSERT_EQUAL(std::string("first"), call("POST", "/book/x", "first").body);
        for (int n = 0; n < 4; ++n) {
            const int before = m_engine->runs();
            const auto id = absl::StrCat("r", n);
            const auto response = call("POST", "/book/x", id);
            if (m_engine->runs() == before)
                continue;
            CPPUNIT_ASSERT_EQUAL(before + 1, m_engine->runs());
            CPPUNIT_ASSERT_MESSAGE(absl::StrCat(response.head.status),
                                   response.head.status == 502 || response.body == id);
        }
        CPPUNIT_ASSERT(m_engine->extraAnswers() > 0);
    }

    std::unique_ptr<detail::RepeatingEngine> m_engine;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRepeatedAnswers);

} // namespace Wisteria
