// Guards against an answer without a length that is reset while its request is still being sent: the failed
// write took the socket's error, so that the reader saw an end in order and the answer looked whole.

#include <Support/FakeClosingPeer.h>

#include <LibNet/HttpClient.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestAnswersResetBesideTheirRequest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAnswersResetBesideTheirRequest);
    CPPUNIT_TEST(resetAnswerIsLost);
    CPPUNIT_TEST(answerBeforeAnUnreadRequestIsLost);
    CPPUNIT_TEST(answerThatEndsInOrderIsWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    void resetAnswerIsLost()
    {
        for (const auto *body : {"", "half"}) {
            const auto result = ask(body, FakeEnding::Reset);
            CPPUNIT_ASSERT_MESSAGE(body, !result);
            CPPUNIT_ASSERT(result.error() == HttpFailure::ConnectionLost);
        }
    }

    // The peer ends its answer in order and closes, so that its machine resets the connection: either the
    // write fails with a broken pipe, or the reset follows the end that was read.
    void answerBeforeAnUnreadRequestIsLost()
    {
        for (const auto ending : {FakeEnding::Close, FakeEnding::HalfCloseThenClose}) {
            for (const auto *body : {"", "half"}) {
                const auto result = ask(body, ending);
                CPPUNIT_ASSERT_MESSAGE(body, !result);
                CPPUNIT_ASSERT(result.error() == HttpFailure::ConnectionLost);
            }
        }
    }

    void answerThatEndsInOrderIsWhole()
    {
        for (const auto *body : {"", "whole"}) {
            const auto result = ask(body, FakeEnding::HalfClose);
            CPPUNIT_ASSERT_MESSAGE(body, result);
            CPPUNIT_ASSERT_EQUAL(std::string(body), result->body);
        }
    }

private:
    // Until its end, the peer reads the beginning of the request only.
    static HttpCallResult ask(const std::string &body, FakeEnding ending)
    {
        // More than the kernel's buffers of a loopback connection hold.
        constexpr std::size_t requestBytes = std::size_t{32} << 20U;
        // Until the buffers are full, and the answer has been read.
        constexpr std::chrono::milliseconds pause{50};
        boost::asio::io_context context(1);
        FakeClosingPeer peer(context, absl::StrCat("HTTP/1.1 200 OK\r\n\r\n", body), ending);
        peer.setPause(pause);
        std::optional<HttpCallResult> result;
        callHttp(context, std::make_shared<HttpClientConnection>(context, peer.endpoint(), SocketLimits{}),
                 serializeRequest("POST", "/", {}, std::string(requestBytes, 'x')), absl::Seconds(2), 1024,
                 [&result](HttpCallResult it) { result = std::move(it); });
        while (!result)
            context.run_one();
        return std::move(*result);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAnswersResetBesideTheirRequest);

} // namespace Wisteria
