// Answers that arrive in pieces. A head with a length was taken for a bad answer if no byte of its body came
// with it.

#include <Support/FakeEndlessPeer.h>

#include <LibNet/HttpClient.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

namespace detail {

const std::string statusLine = "HTTP/1.1 200 OK\r\nEngine-Seal: 3e1b.07\r\n";
const std::string lengthHead = statusLine + "Content-Length: 12\r\n\r\n";
const std::string chunkedHead = statusLine + "Transfer-Encoding: chunked\r\n\r\n";
const std::string chunkedBody = "7\r\ntwelve \r\n5\r\nbytes\r\n0\r\nX-Trailer: 1\r\n\r\n";
const std::string earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

constexpr std::chrono::milliseconds pause{1};

} // namespace detail

class TestAnswersInPieces : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAnswersInPieces);
    CPPUNIT_TEST(headWithLengthThatComesAloneIsRead);
    CPPUNIT_TEST(twoPiecesAreRead);
    CPPUNIT_TEST(singleBytesAreRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void headWithLengthThatComesAloneIsRead() { checkPieces(detail::lengthHead, {"twelve bytes"}); }

    void twoPiecesAreRead()
    {
        for (const auto &answer : answers) {
            for (std::size_t n = 1; n < answer.size(); ++n)
                checkPieces(answer.substr(0, n), {answer.substr(n)});
        }
    }

    void singleBytesAreRead()
    {
        for (const auto &answer : answers) {
            std::vector<std::string> pieces;
            for (const char c : answer.substr(1))
                pieces.emplace_back(1, c);
            checkPieces(answer.substr(0, 1), pieces);
        }
    }

private:
    static inline const std::vector<std::string> answers{
        detail::lengthHead + "twelve bytes", detail::earlyHints + detail::lengthHead + "twelve bytes",
        detail::chunkedHead + detail::chunkedBody,
        detail::earlyHints + detail::chunkedHead + detail::chunkedBody};

    static void checkPieces(const std::string &start, const std::vector<std::string> &pieces)
    {
        boost::asio::io_context context(1);
        const auto piece = [&pieces](std::uint64_t n) { return n < pieces.size() ? pieces[n] : ""; };
        FakeEndlessPeer peer(context, {start, piece, detail::pause});
        std::optional<HttpCallResult> result;
        const auto connection =
            std::make_shared<HttpClientConnection>(context, peer.endpoint(), SocketLimits{});
        constexpr std::size_t maxBodyBytes = 1024;
        callHttp(context, connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", absl::Seconds(5), maxBodyBytes,
                 [&result](HttpCallResult it) { result = std::move(it); });
        while (!result)
            context.run_one();
        CPPUNIT_ASSERT_MESSAGE(start, *result);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(start, 200, (*result)->head.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(start, std::string("twelve bytes"), (*result)->body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAnswersInPieces);

} // namespace Wisteria
