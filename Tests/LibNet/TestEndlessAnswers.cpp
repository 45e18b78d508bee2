// Answers that never end: what the client reads before it closes the connection.

#include <Support/FakeEndlessPeer.h>

#include <LibNet/HttpClient.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

namespace detail {

constexpr std::chrono::milliseconds dripInterval{5};
// What a client may read of an answer without a body, kernel buffers aside.
constexpr std::size_t maxReadBytes = std::size_t{256} << 10U;

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace detail

class TestEndlessAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEndlessAnswers);
    CPPUNIT_TEST(statusLineWithoutEndIsBad);
    CPPUNIT_TEST(fieldsWithoutEndAreBad);
    CPPUNIT_TEST(fieldsWithoutEndThatArriveOneByOneAreBad);
    CPPUNIT_TEST(oneFieldWithoutEndIsBad);
    CPPUNIT_TEST(interimAnswersWithoutEndAreBad);
    CPPUNIT_TEST(interimAnswersWithoutEndThatArriveOneByOneAreBad);
    CPPUNIT_TEST(chunkSizeWithoutEndIsBad);
    CPPUNIT_TEST(chunkExtensionWithoutEndIsBad);
    CPPUNIT_TEST(chunksOfLittleDataWithLongExtensionsAreBad);
    CPPUNIT_TEST(trailersWithoutEndAreBad);
    CPPUNIT_TEST(oneTrailerWithoutEndIsBad);
    CPPUNIT_TEST(bodyWithoutLengthIsBoundedBySize);
    CPPUNIT_TEST(chunksWithoutEndAreBoundedBySize);
    CPPUNIT_TEST(hugeAnnouncedLengthAllocatesNothing);
    CPPUNIT_TEST(slowAnswerIsBoundedByTheCallsTimeout);
    CPPUNIT_TEST(smallChunksOfALongAnswerAreDelivered);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_context = std::make_unique<boost::asio::io_context>(1); }
    void tearDown() override { m_context.reset(); }

    void statusLineWithoutEndIsBad() { assertBad({"HTTP/1.1 200 ", repeated("OK")}); }
    void fieldsWithoutEndAreBad() { assertBad({"HTTP/1.1 200 OK\r\n", repeated("X-A: 1\r\n")}); }
    void fieldsWithoutEndThatArriveOneByOneAreBad()
    {
        assertBad({"HTTP/1.1 200 OK\r\n", repeated(absl::StrCat("X-A: ", std::string(1000, 'a'), "\r\n")),
                   detail::dripInterval});
    }
    void oneFieldWithoutEndIsBad() { assertBad({"HTTP/1.1 200 OK\r\nX-A: ", repeated("a")}); }
    void interimAnswersWithoutEndAreBad() { assertBad({"", repeated("HTTP/1.1 102 Processing\r\n\r\n")}); }
    void interimAnswersWithoutEndThatArriveOneByOneAreBad()
    {
        assertBad({"", repeated("HTTP/1.1 102 Processing\r\n\r\n"), detail::dripInterval});
    }
    void chunkSizeWithoutEndIsBad() { assertBad({detail::chunkedHead, repeated("0")}); }
    void chunkExtensionWithoutEndIsBad() { assertBad({detail::chunkedHead + "1;a=", repeated("b")}); }
    void chunksOfLittleDataWithLongExtensionsAreBad()
    {
        assertBad({detail::chunkedHead, repeated(absl::StrCat("1;a=", std::string(4000, 'b'), "\r\nx\r\n"))});
    }
    void trailersWithoutEndAreBad() { assertBad({detail::chunkedHead + "0\r\n", repeated("X-A: 1\r\n")}); }
    void oneTrailerWithoutEndIsBad() { assertBad({detail::chunkedHead + "0\r\nX-A: ", repeated("a")}); }

    void bodyWithoutLengthIsBoundedBySize()
    {
        assertBad({"HTTP/1.1 200 OK\r\n\r\n", repeated("abcd")}, maxBodyBytes + detail::maxReadBytes);
    }
    void chunksWithoutEndAreBoundedBySize()
    {
        assertBad({detail::chunkedHead, repeated("4\r\nabcd\r\n")}, 3 * maxBodyBytes + detail::maxReadBytes);
    }

    // The announced length is more than any memory.
    void hugeAnnouncedLengthAllocatesNothing()
    {
        assertBad({"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\n", repeated("abcd")},
                  maxBodyBytes + detail::maxReadBytes);
    }

    // No single read is late, so that only the time of the whole call can end it.
    void slowAnswerIsBoundedByTheCallsTimeout()
    {
        for (const auto *start : {"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-A: ", "HTTP/1.1 200 OK\r\n\r\n"}) {
            FakeEndlessPeer peer(*m_context, {start, repeated("a"), detail::dripInterval});
            const auto begin = monotonicNow();
            const auto result = ask(peer, absl::Milliseconds(200));
            CPPUNIT_ASSERT(!result && result.error() == HttpFailure::Timeout);
            CPPUNIT_ASSERT(monotonicNow() - begin < absl::Seconds(1));
            CPPUNIT_ASSERT(isClosed(peer));
        }
    }

    // Framing is most of the bytes of a stream of short events; that is no fault.
    void smallChunksOfALongAnswerAreDelivered()
    {
        constexpr std::uint64_t chunks = 100000;
        const auto piece = [](std::uint64_t n) -> std::string {
            return n < chunks ? "1\r\nx\r\n" : "0\r\n\r\n";
        };
        FakeEndlessPeer peer(*m_context, {detail::chunkedHead, piece});
        const auto result = ask(peer, absl::Seconds(5));
        CPPUNIT_ASSERT(result && result->body.size() == chunks);
    }

private:
    static constexpr std::size_t maxBodyBytes = std::size_t{1} << 20U;

    static std::function<std::string(std::uint64_t)> repeated(const std::string &text)
    {
        return [text](std::uint64_t) { return text; };
    }

    HttpCallResult ask(FakeEndlessPeer &peer, absl::Duration timeout)
    {
        std::optional<HttpCallResult> result;
        auto connection = std::make_shared<HttpClientConnection>(*m_context, peer.endpoint(), SocketLimits{});
        callHttp(*m_context, connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", timeout, maxBodyBytes,
                 [&result](HttpCallResult it) { result = std::move(it); });
        while (!result)
            m_context->run_one();
        return std::move(*result);
    }

    bool isClosed(const FakeEndlessPeer &peer)
    {
        m_context->run_for(std::chrono::milliseconds(50));
        return peer.openConnectionCount() == 0;
    }

    void assertBad(const EndlessAnswer &answer, std::size_t maxBytes = detail::maxReadBytes)
    {
        // The kernel's buffers of a loopback connection.
        constexpr std::size_t kernelBytes = std::size_t{16} << 20U;
        FakeEndlessPeer peer(*m_context, answer);
        const auto result = ask(peer, absl::Seconds(1));
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("failure is BadAnswer", true, result.error() == HttpFailure::BadAnswer);
        CPPUNIT_ASSERT(peer.sentBytes() <= maxBytes + kernelBytes);
        CPPUNIT_ASSERT(isClosed(peer));
    }

    std::unique_ptr<boost::asio::io_context> m_context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEndlessAnswers);

} // namespace Wisteria
