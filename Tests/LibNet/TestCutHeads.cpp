// Answers that are cut in or after their heads, and answers of odd framing: none of them may look complete.

#include <Support/FakeClosingPeer.h>

#include <LibNet/HttpClient.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

namespace detail {

const std::string statusLine = "HTTP/1.1 200 OK\r\nEngine-Seal: 3e1b.07\r\n";
const std::string lengthHead = statusLine + "Content-Length: 12\r\nKeep-Alive: timeout=5\r\n\r\n";
const std::string chunkedHead =
    statusLine + "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string plainHead = statusLine + "Content-Type: text/plain\r\n\r\n";
const std::string emptyHead = statusLine + "Content-Length: 0\r\n\r\n";
const std::string earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 0\r\n\r\n";

// An answer with the size of its heads, interim ones included.
struct SplitAnswer
{
    SplitAnswer(const std::string &head, const std::string &body)
        : bytes(head + body), headBytes(head.size()), body(body)
    {
    }

    std::string bytes;
    std::size_t headBytes;
    std::string body;
};

// Answers whose end shows from their bytes.
std::vector<SplitAnswer> framedAnswers()
{
    return {{lengthHead, "twelve bytes"},
            {emptyHead, ""},
            {chunkedHead, "6\r\nid: 1\n\r\n2\r\nab\r\n0\r\n\r\n"},
            {chunkedHead, "0\r\nX-Trailer: 1\r\n\r\n"},
            {"HTTP/1.1 204 No Content\r\nEngine-Seal: s\r\n\r\n", ""},
            {earlyHints + lengthHead, "twelve bytes"},
            {earlyHints + earlyHints + chunkedHead, "1\r\na\r\n0\r\n\r\n"}};
}

// Answers that end with their connection.
std::vector<SplitAnswer> unframedAnswers()
{
    return {{plainHead, "a body"},
            {earlyHints + plainHead, "a body"},
            {"HTTP/1.0 200 OK\r\nEngine-Seal: s\r\n\r\n", "a body"}};
}

class RecordingListener final : public HttpAnswerListener
{
public:
    void answerHead(const HttpResponseHead &head) override { m_status = head.status; }
    void answerBody(std::string_view data) override { m_body += data; }
    void answerEnded(AnswerEnd end) override { m_end = end; }
    void answerFailed(HttpFailure failure) override { m_failure = failure; }

    [[nodiscard]] bool hasEnded() const { return m_end || m_failure; }
    [[nodiscard]] bool isLost() const { return m_failure == HttpFailure::ConnectionLost; }

    int m_status{0};
    std::string m_body;
    std::optional<AnswerEnd> m_end;
    std::optional<HttpFailure> m_failure;
};

} // namespace detail

class TestCutHeads : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCutHeads);
    CPPUNIT_TEST(headCutAtAnyByteIsLost);
    CPPUNIT_TEST(headCutAtAnyByteOfAKeptConnectionIsLost);
    CPPUNIT_TEST(framedAnswerCutAfterItsHeadIsLost);
    CPPUNIT_TEST(answerWithoutLengthEndsOnlyInOrder);
    CPPUNIT_TEST(oddLengthsAreBad);
    CPPUNIT_TEST(oddStatusesAreBad);
    CPPUNIT_TEST(oddTransferCodingsAreBad);
    CPPUNIT_TEST(headThatGoesOnAsAnotherOneIsBad);
    CPPUNIT_TEST(repeatedLengthCounts);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_context = std::make_unique<boost::asio::io_context>(1); }
    void tearDown() override { m_context.reset(); }

    void headCutAtAnyByteIsLost() { checkCutHeads(""); }
    void headCutAtAnyByteOfAKeptConnectionIsLost() { checkCutHeads(detail::lengthHead + "twelve bytes"); }

    void framedAnswerCutAfterItsHeadIsLost()
    {
        for (const auto &answer : detail::framedAnswers()) {
            for (const auto ending : endings) {
                for (auto n = answer.headBytes; n < answer.bytes.size(); ++n) {
                    const auto listener = ask(answer.bytes.substr(0, n), ending);
                    CPPUNIT_ASSERT_MESSAGE(answer.bytes.substr(0, n), listener->isLost());
                }
            }
            const auto whole = ask(answer.bytes, FakeEnding::Close);
            CPPUNIT_ASSERT_MESSAGE(answer.bytes, whole->m_end == AnswerEnd::Framed);
        }
    }

    // That it ends in order is all that shows the end of such an answer.
    void answerWithoutLengthEndsOnlyInOrder()
    {
        for (const auto &answer : detail::unframedAnswers()) {
            for (auto n = answer.headBytes; n <= answer.bytes.size(); ++n) {
                const auto bytes = answer.bytes.substr(0, n);
                CPPUNIT_ASSERT_MESSAGE(bytes, ask(bytes, FakeEnding::Reset)->isLost());
                for (const auto ending : {FakeEnding::Close, FakeEnding::HalfClose}) {
                    const auto listener = ask(bytes, ending);
                    CPPUNIT_ASSERT_MESSAGE(bytes, listener->m_end == AnswerEnd::ConnectionClosed);
                    CPPUNIT_ASSERT_EQUAL(answer.body.substr(0, n - answer.headBytes), listener->m_body);
                }
            }
        }
    }

    void oddLengthsAreBad()
    {
        for (const auto *fields :
             {"Content-Length:", "Content-Length: ,", "Content-Length: -1", "Content-Length: +1",
              "Content-Length: 0x1", "Content-Length: 1 1", "Content-Length: 0, 1", "Content-Length: 0,",
              "Content-Length: 1;a", "Content-Length: 1.0", "Content-Length: 18446744073709551616",
              "Content-Length: 0\r\nContent-Length: 1", "Content-Length: 1\r\nContent-Length: 0",
              "Content-Length : 0", "Content-Length\r\nContent-Length: 0", "Content-Len",
              "Content-Length: 0\r\nTransfer-Encoding: chunked",
              "Transfer-Encoding: chunked\r\nContent-Length: 0"})
            checkBad(absl::StrCat(detail::statusLine, fields, "\r\n\r\nx"));
    }

    // An answer without a final status was taken for an interim one, and waited for until its timeout.
    void oddStatusesAreBad()
    {
        for (const auto *status : {"000", "001", "099", "101", "20", "2000", "abc", "-20", "+20", ""}) {
            checkBad(absl::StrCat("HTTP/1.1 ", status, " OK\r\nContent-Length: 0\r\n\r\n"));
            checkBad(absl::StrCat("HTTP/1.1 ", status, " OK\r\n\r\n", detail::lengthHead));
        }
    }

    // Their bodies end where no one can tell, or aren't the bytes that the peer encoded.
    void oddTransferCodingsAreBad()
    {
        for (const auto *coding :
             {"", "gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked;a=b",
              "chunk", "xchunked", "\"chunked\"", "chunked\r\nTransfer-Encoding: chunked",
              "chunked\r\nTransfer-Encoding: gzip", "gzip\r\nTransfer-Encoding: chunked",
              "gzip\r\nContent-Length: 1", "chunk\r\nContent-Length: 0"})
            checkBad(absl::StrCat(detail::statusLine, "Transfer-Encoding: ", coding,
                                  "\r\n\r\n1\r\na\r\n0\r\n\r\n"));
    }

    // The cut may be followed by another answer on the same connection.
    void headThatGoesOnAsAnotherOneIsBad()
    {
        for (const auto *start : {"HTTP/1.1 ", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nEngine-Seal",
                                  "HTTP/1.1 200 OK\r\nEngine-Seal: s\r\n"})
            checkBad(start + detail::lengthHead + "twelve bytes");
    }

    // A list of equal lengths is one length (RFC 9110, section 8.6).
    void repeatedLengthCounts()
    {
        for (const auto *fields : {"Content-Length: 2, 2", "Content-Length: 2\r\nContent-Length: 2"}) {
            const auto head = absl::StrCat(detail::statusLine, fields, "\r\n\r\n");
            CPPUNIT_ASSERT_EQUAL(std::string("ab"), ask(head + "ab", FakeEnding::Close)->m_body);
            CPPUNIT_ASSERT(ask(head + "a", FakeEnding::Close)->isLost());
        }
    }

private:
    static constexpr FakeEnding endings[] = {FakeEnding::Close, FakeEnding::Reset, FakeEnding::HalfClose};

    // No byte of the head may be missing, whatever the connection carried before.
    void checkCutHeads(const std::string &answerBefore)
    {
        auto answers = detail::framedAnswers();
        for (auto &it : detail::unframedAnswers())
            answers.push_back(std::move(it));
        for (const auto &answer : answers) {
            for (const auto ending : endings) {
                for (std::size_t n = 0; n < answer.headBytes; ++n) {
                    const auto bytes = answer.bytes.substr(0, n);
                    const auto listener = ask(bytes, ending, answerBefore);
                    CPPUNIT_ASSERT_MESSAGE(bytes, listener->isLost());
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, 0, listener->m_status);
                    CPPUNIT_ASSERT(!m_connection->isReusable());
                }
            }
        }
    }

    void checkBad(const std::string &bytes)
    {
        const auto listener = ask(bytes, FakeEnding::Close);
        CPPUNIT_ASSERT_MESSAGE(bytes, listener->m_failure == HttpFailure::BadAnswer);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, 0, listener->m_status);
        CPPUNIT_ASSERT(!m_connection->isReusable());
    }

    std::shared_ptr<detail::RecordingListener> ask(const std::string &answer, FakeEnding ending,
                                                   const std::string &answerBefore = "")
    {
        FakeClosingPeer peer(*m_context, answer, ending);
        peer.setAnswerBefore(answerBefore);
        m_connection = std::make_shared<HttpClientConnection>(*m_context, peer.endpoint(), SocketLimits{});
        if (!answerBefore.empty()) {
            CPPUNIT_ASSERT(send()->m_end == AnswerEnd::Framed);
            CPPUNIT_ASSERT(m_connection->isReusable());
        }
        return send();
    }

    std::shared_ptr<detail::RecordingListener> send()
    {
        auto listener = std::make_shared<detail::RecordingListener>();
        m_connection->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", listener, absl::Seconds(1));
        for (int n = 0; !listener->hasEnded() && n < maxSteps; ++n)
            m_context->run_one_for(std::chrono::seconds(1));
        CPPUNIT_ASSERT(listener->hasEnded());
        return listener;
    }

    static constexpr int maxSteps = 1000;

    std::unique_ptr<boost::asio::io_context> m_context;
    std::shared_ptr<HttpClientConnection> m_connection;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCutHeads);

} // namespace Wisteria
