// A chunked answer that was cut inside the line end after a chunk's data was taken for whole by the client of
// that time (cpp-httplib), with the chunks so far as its body.

#include <Support/FakeClosingPeer.h>

#include <LibPlatform/BlockingHttpClient.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace Wisteria {

class TestChunkedAnswersCutInALineEnd : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestChunkedAnswersCutInALineEnd);
    CPPUNIT_TEST(answerCutAtAnyByteIsNone);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerCutAtAnyByteIsNone()
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "7\r\ntwelve \r\n5\r\nbytes\r\n0\r\n\r\n";
        for (const auto ending : {FakeEnding::Close, FakeEnding::Reset, FakeEnding::HalfClose}) {
            for (std::size_t n = 0; n < answer.size(); ++n)
                CPPUNIT_ASSERT_MESSAGE(answer.substr(0, n), !isTaken(answer.substr(0, n), ending));
        }
        CPPUNIT_ASSERT(isTaken(answer, FakeEnding::Close));
    }

private:
    static bool isTaken(const std::string &bytes, FakeEnding ending)
    {
        boost::asio::io_context context(1);
        FakeClosingPeer peer(context, bytes, ending);
        std::thread thread([&context] { context.run(); });
        const BlockingHttpClient client(*Address::parse(peer.address()), absl::Seconds(2));
        const auto result = client.post("/v1/calls", "{}");
        context.stop();
        thread.join();
        return result && result->head.status == 200;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestChunkedAnswersCutInALineEnd);

} // namespace Wisteria
