// HTTP on both sides: framing, limits, late and extra answers, against raw bytes on loopback.

#include <LibCore/Random.h>
#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>
#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/write.hpp>

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

namespace detail {

const std::string shortRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

// Answers each request with its own body, or leaves it open.
class EchoHandler final : public HttpRequestHandler
{
public:
    void handleRequest(const std::shared_ptr<HttpServerConnection> &connection, HttpRequest request) override
    {
        bodies.push_back(request.body());
        heads.push_back(request.base());
        targets.emplace_back(request.target().data(), request.target().size());
        if (isHolding) {
            connection->setCallerLeftHandler([this] { ++callersLeft; });
            held = connection;
            return;
        }
        connection->respond(makeResponse(200, "text/plain", request.body()));
    }

    std::vector<std::string> bodies;
    std::vector<HttpFields> heads;
    std::vector<std::string> targets;
    // The connection of the last open request.
    std::shared_ptr<HttpServerConnection> held;
    bool isHolding{false};
    int callersLeft{0};
};

// Accepts one connection, reads a little and answers with fixed bytes.
class RawPeer
{
public:
    RawPeer(boost::asio::io_context &context, std::string answer, bool closes)
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}), m_socket(context),
          m_answer(std::move(answer)), m_closes(closes)
    {
        m_acceptor.async_accept(m_socket, [this](const auto &ec) {
            if (!ec)
                m_socket.async_read_some(boost::asio::buffer(m_buf),
                                         [this](const auto &, std::size_t) { reply(); });
        });
    }

    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    void reply()
    {
        boost::asio::async_write(m_socket, boost::asio::buffer(m_answer), [this](const auto &, std::size_t) {
            if (m_closes)
                m_socket.close();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_answer;
    bool m_closes;
    std::array<char, 4096> m_buf;
};

} // namespace detail

class TestHttp : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestHttp);
    CPPUNIT_TEST(chunkedAndSizedBodiesArrive);
    CPPUNIT_TEST(requestsInOnePacketAreAnsweredInOrder);
    CPPUNIT_TEST(conflictingLengthsAreRefused);
    CPPUNIT_TEST(bodiesWithoutAnEndAreRefused);
    CPPUNIT_TEST(unknownCodingsBesideALengthAreRefused);
    CPPUNIT_TEST(trailersAreNoFieldsOfTheHead);
    CPPUNIT_TEST(secondHostIsRefused);
    CPPUNIT_TEST(absoluteTargetBecomesPathAndHost);
    CPPUNIT_TEST(garbageIsRefused);
    CPPUNIT_TEST(largeHeadsAndBodiesAreRefused);
    CPPUNIT_TEST(slowRequestTimesOut);
    CPPUNIT_TEST(callerThatLeavesIsNoticed);
    CPPUNIT_TEST(largeAnswerIsDelivered);
    CPPUNIT_TEST(callerThatPausesReadingGetsItsWholeAnswer);
    CPPUNIT_TEST(burstOfAStreamReachesCallerThatReads);
    CPPUNIT_TEST(streamThatOutrunsItsCallerDoesNotGrowWithoutBound);
    CPPUNIT_TEST(streamsToSlowReadersStayWithinTheMemory);
    CPPUNIT_TEST(idleTimeoutDoesNotCutAnswerThatIsBeingSent);
    CPPUNIT_TEST(closingServerDoesNotCutAnswerThatIsBeingSent);
    CPPUNIT_TEST(closingServerAnswersRequestThatHasArrived);
    CPPUNIT_TEST(requestsInAcceptQueueAreAnsweredWhenListeningEnds);
    CPPUNIT_TEST(refusalDoesNotResetCallerThatStillSends);
    CPPUNIT_TEST(truncatedAnswerIsNoAnswer);
    CPPUNIT_TEST(answerWithoutLengthEndsWithItsConnection);
    CPPUNIT_TEST(extraAnswerClosesTheConnection);
    CPPUNIT_TEST(connectionThatItsPeerHasClosedIsNotReused);
    CPPUNIT_TEST(garbageAnswerIsBad);
    CPPUNIT_TEST(silentPeerTimesOut);
    CPPUNIT_TEST(refusedConnectIsTold);
    CPPUNIT_TEST(damagedRequestsDoNotCrash);
    CPPUNIT_TEST(requestOnConnectionThatOutlivesItsServerIsNotAnswered);
    CPPUNIT_TEST(connectionFieldsAreRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<boost::asio::io_context>(1);
        boost::asio::ip::tcp::acceptor probe(*m_context, {boost::asio::ip::address_v4::loopback(), 0});
        m_address = absl::StrCat("127.0.0.1:", probe.local_endpoint().port());
        probe.close();
        HttpServerLimits limits;
        limits.maxHeaderBytes = 1024;
        limits.maxBodyBytes = 4096;
        limits.requestTimeout = absl::Milliseconds(150);
        m_handler = {};
        m_server = std::move(*HttpServer::create(*m_context, *Address::parse(m_address), m_handler, limits));
    }
    void tearDown() override
    {
        m_connection.reset();
        m_handler.held.reset();
        m_server.reset();
        m_context.reset();
    }

    void requestOnConnectionThatOutlivesItsServerIsNotAnswered()
    {
        boost::asio::ip::tcp::socket caller(*m_context);
        caller.connect(*parseEndpoint(m_address));
        m_context->run_for(std::chrono::milliseconds(20));
        m_server.reset();
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        boost::asio::write(caller, boost::asio::buffer(request));
        m_context->restart();
        m_context->run_for(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT(m_handler.bodies.empty());
        char byte = 0;
        boost::system::error_code ec;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, caller.read_some(boost::asio::buffer(&byte, 1), ec));
        CPPUNIT_ASSERT(ec);
    }

    void chunkedAndSizedBodiesArrive()
    {
        const auto answer = exchange("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(answer.find("abcde") != std::string::npos);
        CPPUNIT_ASSERT(exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi").find("hi")
                       != std::string::npos);
    }

    void requestsInOnePacketAreAnsweredInOrder()
    {
        const auto answer = exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1"
                                     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n2");
        CPPUNIT_ASSERT(answer.find("\r\n\r\n1") < answer.find("\r\n\r\n2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_handler.bodies.size());
    }

    // Taken for requests without a body, what followed was run as a second request.
    void bodiesWithoutAnEndAreRefused()
    {
        for (const auto *codings :
             {"gzip", "identity", "chunked, gzip", "", "x;v=1, chunked", "X;V=1,Chunked", "\"x\", chunked",
              "\"x, chunked", "x y, chunked", "x;v=1\r\n , chunked", "x;v=1\r\nTransfer-Encoding: chunked",
              "chunked\r\nTransfer-Encoding: x;v=1, chunked", ", chunked", "chunked;v=1", "gzip, chunked"}) {
            const auto answer =
                exchange(absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: ", codings,
                                      "\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n"));
            CPPUNIT_ASSERT_MESSAGE(codings, answer.rfind("HTTP/1.1 400", 0) == 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(codings, std::string::npos, answer.find("HTTP/1.1 ", 1));
        }
    }

    // Taken for a request with this length, the rest of its chunk was run as a second request.
    void unknownCodingsBesideALengthAreRefused()
    {
        for (const auto *codings : {"x;v=1, chunked", "\"x\", chunked", "x y, chunked", "x;v=1\r\n , chunked",
                                    "gzip, chunked", "identity"}) {
            const auto answer =
                exchange(absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: ", codings,
                                      "\r\nContent-Length: 4\r\n\r\n22\r\n",
                                      "GET /second HTTP/1.1\r\nHost: a\r\n\r\n\r\n0\r\n\r\n"));
            CPPUNIT_ASSERT_MESSAGE(codings, answer.rfind("HTTP/1.1 400", 0) == 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(codings, std::string::npos, answer.find("HTTP/1.1 ", 1));
        }
        CPPUNIT_ASSERT(m_handler.bodies.empty());
    }

    void conflictingLengthsAreRefused()
    {
        for (const auto *fields : {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                                   "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                                   "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: -1\r\n",
                                   "Content-Length : 5\r\n", "Content-Length: 5x\r\n"}) {
            const auto answer = exchange(absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\n", fields, "\r\n12345"));
            CPPUNIT_ASSERT_MESSAGE(fields, answer.rfind("HTTP/1.1 400", 0) == 0);
        }
        CPPUNIT_ASSERT(m_handler.bodies.empty());
    }

    // They changed what was forwarded: a trailer named in the head's place took a field away, or added one.
    void trailersAreNoFieldsOfTheHead()
    {
        const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string rest = "1\r\nb\r\n0\r\nX: 2\r\nConnection: X, close\r\nHost: b\r\nY: 3\r\n\r\n";
        for (const auto pause : {std::chrono::milliseconds(0), std::chrono::milliseconds(20)}) {
            boost::asio::ip::tcp::socket socket(*m_context);
            socket.connect(*parseEndpoint(m_address));
            if (pause.count() == 0) {
                boost::asio::write(socket, boost::asio::buffer(head + rest));
            } else {
                boost::asio::write(socket, boost::asio::buffer(head));
                m_context->run_for(pause);
                boost::asio::write(socket, boost::asio::buffer(rest));
            }
            m_context->run_for(std::chrono::milliseconds(30));
            CPPUNIT_ASSERT_EQUAL(std::string("b"), m_handler.bodies.back());
            const auto &fields = m_handler.heads.back();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fields.count("X"));
            CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(fieldValue(fields, "X")));
            CPPUNIT_ASSERT_EQUAL(std::string("a"), std::string(fieldValue(fields, "Host")));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fields.count("Y"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fields.count("Connection"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_handler.bodies.size());
    }

    void secondHostIsRefused()
    {
        const auto answer = exchange("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
        CPPUNIT_ASSERT(answer.rfind("HTTP/1.1 400", 0) == 0);
        CPPUNIT_ASSERT(m_handler.bodies.empty());
    }

    void absoluteTargetBecomesPathAndHost()
    {
        const std::pair<const char *, const char *> targets[] = {
            {"http://b/x?y=1", "/x?y=1"}, {"HTTP://b", "/"}, {"http://b?y=1", "/?y=1"}};
        for (const auto &[target, path] : targets) {
            (void)exchange(absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: a\r\n\r\n"));
            CPPUNIT_ASSERT_EQUAL(std::string(path), m_handler.targets.back());
            CPPUNIT_ASSERT_EQUAL(std::string("b"), std::string(fieldValue(m_handler.heads.back(), "Host")));
        }
    }

    void garbageIsRefused()
    {
        CPPUNIT_ASSERT(exchange("\x16\x03\x01 nonsense\r\n\r\n").rfind("HTTP/1.1 400", 0) == 0);
    }

    void largeHeadsAndBodiesAreRefused()
    {
        CPPUNIT_ASSERT(
            exchange("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n").rfind("HTTP/1.1 431", 0)
            == 0);
        CPPUNIT_ASSERT(exchange("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n").rfind("HTTP/1.1 413", 0)
                       == 0);
    }

    void slowRequestTimesOut()
    {
        CPPUNIT_ASSERT(exchange("GET / HTTP/1.1\r\nHost").rfind("HTTP/1.1 408", 0) == 0);
    }

    void callerThatLeavesIsNoticed()
    {
        m_handler.isHolding = true;
        boost::asio::ip::tcp::socket socket(*m_context);
        socket.connect(*parseEndpoint(m_address));
        boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        m_context->run_for(std::chrono::milliseconds(30));
        socket.close();
        m_context->run_for(std::chrono::milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(1, m_handler.callersLeft);
    }

    // The limit of unsent bytes is for streams whose caller falls behind, not for one large answer.
    void largeAnswerIsDelivered()
    {
        m_handler.isHolding = true;
        boost::asio::ip::tcp::socket socket(*m_context);
        socket.connect(*parseEndpoint(m_address));
        boost::asio::write(socket, boost::asio::buffer(detail::shortRequest));
        m_context->run_for(std::chrono::milliseconds(10));
        const std::string body(4 * HttpServerConnection::maxUnsentBytes, 'x');
        std::exchange(m_handler.held, nullptr)->respond(makeResponse(200, "text/plain", body));
        CPPUNIT_ASSERT(readToEnd(socket).text.ends_with("\r\n\r\n" + body));
    }

    // A caller that reads nothing for a while is alive: its kernel acknowledges every probe of the window.
    void callerThatPausesReadingGetsItsWholeAnswer()
    {
        m_handler.isHolding = true;
        boost::asio::ip::tcp::socket socket(*m_context);
        socket.connect(*parseEndpoint(m_address));
        boost::asio::write(socket, boost::asio::buffer(detail::shortRequest));
        m_context->run_for(std::chrono::milliseconds(10));
        const std::string body(std::size_t{16} << 20U, 'x');
        std::exchange(m_handler.held, nullptr)->respond(makeResponse(200, "text/plain", body));
        const auto pause = HttpServerConnection::unreadAnswerTimeout / 2;
        m_context->run_for(absl::ToChronoMilliseconds(pause));
        const auto read = readToEnd(socket);
        CPPUNIT_ASSERT_MESSAGE(read.end.message(), read.text.ends_with("\r\n\r\n" + body));
    }

    // The caller reads all the time; the stream is faster than one round of the event loop.
    void burstOfAStreamReachesCallerThatReads()
    {
        m_handler.isHolding = true;
        boost::asio::ip::tcp::socket socket(*m_context);
        socket.connect(*parseEndpoint(m_address));
        boost::asio::write(socket, boost::asio::buffer(detail::shortRequest));
        m_context->run_for(std::chrono::milliseconds(10));
        const auto connection = std::exchange(m_handler.held, nullptr);
        connection->openStream(makeResponse(200, "text/plain", "").head);
        connection->writeStream(std::string(HttpServerConnection::maxUnsentBytes + 1, 'x'));
        connection->endStream();
        CPPUNIT_ASSERT(readToEnd(socket).text.ends_with("0\r\n\r\n"));
    }

    // A target may send events without end, faster than any caller reads.
    void streamThatOutrunsItsCallerDoesNotGrowWithoutBound()
    {
        m_handler.isHolding = true;
        boost::asio::ip::tcp::socket socket(*m_context);
        socket.connect(*parseEndpoint(m_address));
        boost::asio::write(socket, boost::asio::buffer(detail::shortRequest));
        m_context->run_for(std::chrono::milliseconds(10));
        const auto connection = std::exchange(m_handler.held, nullptr);
        connection->openStream(makeResponse(200, "text/plain", "").head);
        const std::string piece(std::size_t{64} * 1024, 'x');
        for (std::size_t n = 0; n < 3 * HttpServerConnection::maxStreamBacklogBytes; n += piece.size())
            connection->writeStream(piece);
        CPPUNIT_ASSERT(connection->unsentBytes()
                       < HttpServerConnection::maxStreamBacklogBytes + 2 * piece.size());
        CPPUNIT_ASSERT_EQUAL(1, m_handler.callersLeft);
    }

    // The idle time begins when the caller has taken the answer.
    // Each stream may lag by some megabytes; a crowd of slow readers took the process beyond its memory.
    void streamsToSlowReadersStayWithinTheMemory()
    {
        constexpr std::size_t capacity = std::size_t{8} << 20U;
        constexpr std::size_t piece = std::size_t{64} << 10U;
        // More than the kernel's buffers of a connection and the longest backlog together.
        constexpr std::size_t streamBytes = std::size_t{16} << 20U;
        auto &account = MemoryAccount::ofThread();
        account.setCapacity(capacity);
        const auto reset = absl::MakeCleanup([&] { account.setCapacity(MemoryAccount::unlimited); });
        m_handler.isHolding = true;
        std::vector<std::shared_ptr<HttpServerConnection>> streams;
        std::vector<boost::asio::ip::tcp::socket> readers;
        for (int n = 0; n < 8; ++n) {
            readers.emplace_back(*m_context).connect(*parseEndpoint(m_address));
            boost::asio::write(readers.back(), boost::asio::buffer(detail::shortRequest));
            while (!m_handler.held)
                m_context->run_one();
            streams.push_back(std::exchange(m_handler.held, nullptr));
            streams.back()->openStream(makeResponse(200, "text/plain", "").head);
        }
        const std::string data(piece, 'x');
        for (std::size_t sent = 0; sent < streamBytes; sent += piece) {
            for (const auto &it : streams) {
                it->writeStream(data);
                CPPUNIT_ASSERT(account.used() <= capacity);
            }
            // Slow, but not stalled.
            for (auto &it : readers) {
                std::array<char, 1024> buf{};
                boost::system::error_code ignored;
                it.non_blocking(true);
                (void)it.read_some(boost::asio::buffer(buf), ignored);
            }
            m_context->poll();
        }
        m_handler.isHolding = false;
        CPPUNIT_ASSERT(exchange(detail::shortRequest).rfind("HTTP/1.1 200", 0) == 0);
    }

    void idleTimeoutDoesNotCutAnswerThatIsBeingSent()
    {
        m_server->setLimits({.idleTimeout = absl::Milliseconds(60)});
        checkUnsentAnswerArrives([] {});
    }

    void closingServerDoesNotCutAnswerThatIsBeingSent()
    {
        checkUnsentAnswerArrives([this] { m_server->startClosing(); });
    }

    // The request is in the socket's buffer when its connection looks idle.
    void closingServerAnswersRequestThatHasArrived()
    {
        boost::asio::ip::tcp::socket socket(*m_context);
        socket.connect(*parseEndpoint(m_address));
        m_context->run_for(std::chrono::milliseconds(10));
        boost::asio::write(socket, boost::asio::buffer(detail::shortRequest));
        m_server->startClosing();
        CPPUNIT_ASSERT(readToEnd(socket).text.rfind("HTTP/1.1 200", 0) == 0);
    }

    void requestsInAcceptQueueAreAnsweredWhenListeningEnds()
    {
        constexpr std::size_t queued = 20;
        std::vector<boost::asio::ip::tcp::socket> sockets;
        for (std::size_t n = 0; n < queued; ++n) {
            sockets.emplace_back(*m_context);
            sockets.back().connect(*parseEndpoint(m_address));
            boost::asio::write(sockets.back(), boost::asio::buffer(detail::shortRequest));
        }
        m_server->startClosing();
        m_server->stopListening();
        for (auto &it : sockets) {
            const auto read = readToEnd(it);
            CPPUNIT_ASSERT_MESSAGE(read.end.message(), read.text.rfind("HTTP/1.1 200", 0) == 0);
        }
    }

    // A reset discards an answer that the caller has not read yet.
    void refusalDoesNotResetCallerThatStillSends()
    {
        boost::asio::ip::tcp::socket socket(*m_context);
        socket.connect(*parseEndpoint(m_address));
        const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(head + std::string(100000, 'x')));
        m_context->run_for(std::chrono::milliseconds(20));
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(std::string(100000, 'x')), ec);
        CPPUNIT_ASSERT_MESSAGE(ec.message(), !ec);
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
        const auto read = readToEnd(socket);
        CPPUNIT_ASSERT(read.text.rfind("HTTP/1.1 413", 0) == 0);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(read.end.message(), true, read.end == boost::asio::error::eof);
    }

    void truncatedAnswerIsNoAnswer()
    {
        CPPUNIT_ASSERT(failureOf("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true)
                       == HttpFailure::ConnectionLost);
        CPPUNIT_ASSERT(failureOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true)
                       == HttpFailure::ConnectionLost);
    }

    void answerWithoutLengthEndsWithItsConnection()
    {
        const auto result = ask("HTTP/1.1 200 OK\r\n\r\nwhole", true);
        CPPUNIT_ASSERT(result && result->body == "whole");
    }

    void extraAnswerClosesTheConnection()
    {
        const auto result =
            ask("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nContent-Length: "
                "1\r\n\r\n2",
                false);
        CPPUNIT_ASSERT(result && result->body == "1");
        CPPUNIT_ASSERT(!m_connection->isReusable());
    }

    // The end of the connection has arrived, but the event loop has not handled it yet. A request that may
    // run only once can't be repeated after it was sent there.
    void connectionThatItsPeerHasClosedIsNotReused()
    {
        boost::asio::ip::tcp::acceptor acceptor(*m_context, {boost::asio::ip::address_v4::loopback(), 0});
        const auto pool = std::make_shared<HttpPool>(*m_context, acceptor.local_endpoint(), SocketLimits{});
        HttpCallResult result = tl::unexpected(HttpFailure::Timeout);
        int ended = 0;
        const auto call = [&] {
            callHttp(*m_context, pool->take(monotonicNow()), serializeRequest("GET", "/", {}, ""),
                     absl::Milliseconds(500), 4096, [&](HttpCallResult answer) {
                         result = std::move(answer);
                         ++ended;
                     });
        };
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
        std::array<char, 4096> buf{};
        call();
        m_context->run_for(std::chrono::milliseconds(20));
        auto first = acceptor.accept();
        (void)first.read_some(boost::asio::buffer(buf));
        boost::asio::write(first, boost::asio::buffer(answer));
        m_context->run_for(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT(ended == 1 && result && result->body == "1");

        first.close();
        call();
        acceptor.non_blocking(true);
        m_context->run_for(std::chrono::milliseconds(20));
        boost::system::error_code ec;
        auto second = acceptor.accept(ec);
        CPPUNIT_ASSERT_MESSAGE(ec.message(), !ec);
        (void)second.read_some(boost::asio::buffer(buf));
        boost::asio::write(second, boost::asio::buffer(answer));
        m_context->run_for(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT(ended == 2 && result && result->body == "1");
    }

    void garbageAnswerIsBad()
    {
        CPPUNIT_ASSERT(failureOf("nonsense\r\n\r\n", false) == HttpFailure::BadAnswer);
    }

    void silentPeerTimesOut() { CPPUNIT_ASSERT(failureOf("", false) == HttpFailure::Timeout); }

    void refusedConnectIsTold()
    {
        boost::asio::ip::tcp::acceptor closed(*m_context, {boost::asio::ip::address_v4::loopback(), 0});
        const auto endpoint = closed.local_endpoint();
        closed.close();
        const auto result = askAt(endpoint);
        CPPUNIT_ASSERT(!result && result.error() == HttpFailure::Refused);
    }

    void damagedRequestsDoNotCrash()
    {
        const std::string whole =
            "POST /a/b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        SeededRandom random(5);
        for (int n = 0; n < 150; ++n) {
            auto damaged = whole;
            for (int k = 0; k < 3; ++k)
                damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
            boost::asio::ip::tcp::socket socket(*m_context);
            socket.connect(*parseEndpoint(m_address));
            boost::asio::write(socket, boost::asio::buffer(damaged));
            m_context->run_for(std::chrono::milliseconds(1));
        }
        CPPUNIT_ASSERT(exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi").find("hi")
                       != std::string::npos);
    }

    void connectionFieldsAreRemoved()
    {
        HttpFields fields;
        fields.set("Connection", "keep-alive, X-Hop");
        fields.set("X-Hop", "1");
        fields.set("Keep-Alive", "timeout=3");
        fields.set("X-End", "1");
        removeConnectionFields(fields);
        CPPUNIT_ASSERT(fieldValue(fields, "X-Hop").empty());
        CPPUNIT_ASSERT(fieldValue(fields, "Connection").empty());
        CPPUNIT_ASSERT(fieldValue(fields, "Keep-Alive").empty());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(fieldValue(fields, "X-End")));
    }

private:
    struct ReadResult
    {
        std::string text;
        // Unset while the connection is open.
        boost::system::error_code end;
    };

    // Reads until the connection ends or has been silent for a moment.
    ReadResult readToEnd(boost::asio::ip::tcp::socket &socket)
    {
        ReadResult out;
        std::array<char, 65536> buf{};
        std::function<void()> read = [&] {
            socket.async_read_some(boost::asio::buffer(buf), [&](const auto &ec, std::size_t n) {
                out.text.append(buf.data(), n);
                out.end = ec;
                if (!ec)
                    read();
            });
        };
        read();
        // Without a listener, the loop may have run out of work.
        m_context->restart();
        for (std::size_t size = 1; !out.end && size != out.text.size();) {
            size = out.text.size();
            m_context->run_for(std::chrono::milliseconds(100));
        }
        const auto end = out.end;
        socket.cancel();
        m_context->poll();
        out.end = end;
        return out;
    }

    // Ends an answer of which the kernel cannot take all, runs the step, waits and reads the answer.
    void checkUnsentAnswerArrives(const std::function<void()> &step)
    {
        m_handler.isHolding = true;
        boost::asio::ip::tcp::socket socket(*m_context);
        socket.connect(*parseEndpoint(m_address));
        boost::asio::write(socket, boost::asio::buffer(detail::shortRequest));
        m_context->run_for(std::chrono::milliseconds(10));
        auto connection = std::exchange(m_handler.held, nullptr);
        connection->openStream(makeResponse(200, "text/plain", "").head);
        const std::string piece(std::size_t{64} * 1024, 'x');
        std::size_t sent = 0;
        for (; connection->unsentBytes() < 3 * piece.size(); sent += piece.size()) {
            connection->writeStream(piece);
            m_context->poll();
        }
        connection->endStream();
        step();
        m_context->run_for(std::chrono::milliseconds(150));
        const auto text = readToEnd(socket).text;
        CPPUNIT_ASSERT(text.size() > sent);
        CPPUNIT_ASSERT(text.ends_with("0\r\n\r\n"));
    }

    // Sends bytes to the server and returns what comes back within a moment.
    std::string exchange(const std::string &bytes)
    {
        boost::asio::ip::tcp::socket socket(*m_context);
        socket.connect(*parseEndpoint(m_address));
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string out;
        std::array<char, 4096> buf{};
        std::function<void()> read = [&] {
            socket.async_read_some(boost::asio::buffer(buf), [&](const auto &ec, std::size_t n) {
                out.append(buf.data(), n);
                if (!ec)
                    read();
            });
        };
        read();
        m_context->run_for(std::chrono::milliseconds(out.empty() ? 220 : 50));
        socket.cancel();
        m_context->poll();
        return out;
    }

    HttpCallResult askAt(const boost::asio::ip::tcp::endpoint &endpoint)
    {
        m_connection = std::make_shared<HttpClientConnection>(*m_context, endpoint, SocketLimits{});
        HttpCallResult result = tl::unexpected(HttpFailure::Timeout);
        bool isDone = false;
        constexpr std::size_t maxBody = 4096;
        callHttp(*m_context, m_connection, serializeRequest("GET", "/", {}, ""), absl::Milliseconds(200),
                 maxBody, [&](HttpCallResult answer) {
                     result = std::move(answer);
                     isDone = true;
                 });
        while (!isDone)
            m_context->run_one();
        m_context->run_for(std::chrono::milliseconds(10));
        return result;
    }

    HttpCallResult ask(const std::string &answer, bool closes)
    {
        detail::RawPeer peer(*m_context, answer, closes);
        return askAt(peer.endpoint());
    }

    HttpFailure failureOf(const std::string &answer, bool closes)
    {
        const auto result = ask(answer, closes);
        CPPUNIT_ASSERT(!result);
        return result.error();
    }

    std::unique_ptr<boost::asio::io_context> m_context;
    std::string m_address;
    detail::EchoHandler m_handler;
    std::unique_ptr<HttpServer> m_server;
    std::shared_ptr<HttpClientConnection> m_connection;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestHttp);

} // namespace Wisteria
