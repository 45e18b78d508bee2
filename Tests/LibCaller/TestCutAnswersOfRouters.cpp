// Answers of routers that are cut at any byte: no caller takes one for whole.

#include <Support/FakeClosingPeer.h>

#include <LibCaller/HttpTransport.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace Wisteria {

class TestCutAnswersOfRouters : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCutAnswersOfRouters);
    CPPUNIT_TEST(answerWithLengthCutAtAnyByteIsLost);
    CPPUNIT_TEST(answerWithoutLengthCutInItsHeadIsLost);
    CPPUNIT_TEST(wholeAnswerIsTaken);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerWithLengthCutAtAnyByteIsLost() { checkCut(m_lengthAnswer, m_lengthAnswer.size()); }
    // The end of such an answer is the end of its connection.
    void answerWithoutLengthCutInItsHeadIsLost()
    {
        checkCut(m_plainAnswer, m_plainAnswer.find("\r\n\r\n") + 4);
    }

    void wholeAnswerIsTaken()
    {
        const auto answer = send(m_lengthAnswer, FakeEnding::Close);
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200, answer->status);
        CPPUNIT_ASSERT_EQUAL(std::string("twelve bytes"), answer->body);
    }

private:
    using Result = tl::expected<HttpAnswer, TransportError>;

    static void checkCut(const std::string &answer, std::size_t end)
    {
        for (const auto ending : {FakeEnding::Close, FakeEnding::Reset, FakeEnding::HalfClose}) {
            for (std::size_t n = 0; n < end; ++n) {
                const auto result = send(answer.substr(0, n), ending);
                CPPUNIT_ASSERT_MESSAGE(answer.substr(0, n), !result);
                CPPUNIT_ASSERT(result.error().delivery == Delivery::MaybeSent);
            }
        }
    }

    static Result send(const std::string &bytes, FakeEnding ending)
    {
        boost::asio::io_context context(1);
        FakeClosingPeer peer(context, bytes, ending);
        std::thread thread([&context] { context.run(); });
        HttpTransport transport(absl::Seconds(1));
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/calls";
        request.body = "{}";
        request.idleTimeout = absl::Seconds(2);
        auto result = transport.send(peer.address(), request, nullptr);
        context.stop();
        thread.join();
        return result;
    }

    const std::string m_head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    const std::string m_lengthAnswer = m_head + "Content-Length: 12\r\n\r\ntwelve bytes";
    const std::string m_plainAnswer = m_head + "\r\ntwelve bytes";
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCutAnswersOfRouters);

} // namespace Wisteria
