// Guards against an answer that a target writes a second time, late, where the answer to a control request is
// due: the copy of one run was taken for that of another, and a caller got another caller's text.

#include <LibGateway/TargetConnections.h>

#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <cppunit/extensions/HelperMacros.h>

#include <istream>
#include <memory>
#include <optional>
#include <string>

namespace Wisteria {

namespace detail {

// Answers each request with its path. On each connection it first writes its previous answer once more.
class RepeatingTarget
{
public:
    explicit RepeatingTarget(boost::asio::io_context &context)
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    [[nodiscard]] std::string address() const
    {
        return absl::StrCat("127.0.0.1:", m_acceptor.local_endpoint().port());
    }

private:
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket it) : socket(std::move(it)) { }

        boost::asio::ip::tcp::socket socket;
        boost::asio::streambuf buf;
        std::string sending;
        std::string previous;
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

    void read(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(connection->socket, connection->buf, "\r\n\r\n",
                                      [this, connection](const auto &ec, std::size_t n) {
                                          if (!ec)
                                              answer(connection, n);
                                      });
    }

    void answer(const std::shared_ptr<Connection> &connection, std::size_t headBytes)
    {
        std::string head(headBytes, ' ');
        std::istream(&connection->buf).read(head.data(), static_cast<std::streamsize>(headBytes));
        const std::vector<std::string> words = absl::StrSplit(head, ' ');
        const auto own =
            absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", words.at(1).size(), "\r\n\r\n", words.at(1));
        connection->sending = std::exchange(connection->previous, own) + own;
        boost::asio::async_write(connection->socket, boost::asio::buffer(connection->sending),
                                 [this, connection](const auto &ec, std::size_t) {
                                     if (!ec)
                                         read(connection);
                                 });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace detail

class TestControlRequests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestControlRequests);
    CPPUNIT_TEST(answerToAnotherControlRequestIsNotTaken);
    CPPUNIT_TEST(answerToAnEarlierRequestIsNotTaken);
    CPPUNIT_TEST(simultaneousControlRequestsGetTheirOwnAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerToAnotherControlRequestIsNotTaken()
    {
        for (const auto *path : {"/copy-1", "/copy-2", "/copy-3"}) {
            send(path);
            CPPUNIT_ASSERT_EQUAL(std::string(path), waitForAnswer());
        }
    }

    // Requests that carry an id use kept connections.
    void answerToAnEarlierRequestIsNotTaken()
    {
        std::optional<HttpCallResult> result;
        callHttp(m_context, m_connections.take(m_record, monotonicNow()),
                 serializeRequest("GET", "/request", {}, ""), absl::Seconds(2), 1024,
                 [&result](HttpCallResult it) { result = std::move(it); });
        while (!result)
            m_context.run_one();
        CPPUNIT_ASSERT_EQUAL(std::string("/request"), (*result)->body);
        send("/copy-1");
        CPPUNIT_ASSERT_EQUAL(std::string("/copy-1"), waitForAnswer());
    }

    void simultaneousControlRequestsGetTheirOwnAnswers()
    {
        std::vector<std::optional<HttpCallResult>> results(8);
        for (std::size_t n = 0; n < results.size(); ++n) {
            m_connections.sendControlRequest(
                m_record, {"POST", absl::StrCat("/copy-", n), ""}, absl::Seconds(2),
                [&result = results[n]](HttpCallResult it) { result = std::move(it); });
        }
        for (std::size_t n = 0; n < results.size(); ++n) {
            while (!results[n])
                m_context.run_one();
            CPPUNIT_ASSERT_EQUAL(absl::StrCat("/copy-", n), (*results[n])->body);
        }
    }

private:
    void send(const std::string &path)
    {
        m_result.reset();
        m_connections.sendControlRequest(m_record, {"POST", path, ""}, absl::Seconds(2),
                                         [this](HttpCallResult it) { m_result = std::move(it); });
    }

    std::string waitForAnswer()
    {
        while (!m_result)
            m_context.run_one();
        return *m_result ? (*m_result)->body : "";
    }

    boost::asio::io_context m_context{1};
    detail::RepeatingTarget m_target{m_context};
    TargetConnections m_connections{m_context};
    ForwardingTarget m_record{.id = TargetId("llm-0"), .address = m_target.address()};
    std::optional<HttpCallResult> m_result;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestControlRequests);

} // namespace Wisteria
