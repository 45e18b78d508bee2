// An engine whose head comes some time before its body: the answer was dropped, so that a request that may
// not be repeated failed after it had run.

#include "FakeDeployment.h"

#include <Support/FakeEndlessPeer.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestEngineHeadsThatComeAlone : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestEngineHeadsThatComeAlone);
    CPPUNIT_TEST(answerWithLengthIsDelivered);
    CPPUNIT_TEST(chunkedAnswerIsDelivered);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        m_peer.reset();
        FakeDeployment::tearDown();
    }

    void answerWithLengthIsDelivered() { check("Content-Length: 5\r\n\r\n", "whole"); }
    void chunkedAnswerIsDelivered()
    {
        check("Transfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\n\r\n");
    }

private:
    void check(const std::string &framing, const std::string &body)
    {
        constexpr std::chrono::milliseconds pause{20};
        const auto piece = [body](std::uint64_t n) { return n == 0 ? body : ""; };
        m_peer = std::make_unique<FakeEndlessPeer>(
            *m_context, EndlessAnswer{"HTTP/1.1 200 OK\r\nEngine-Seal: seal\r\n" + framing, piece, pause});
        m_store->remove("servers", "app-1");
        m_engines["app-0"]->setPublishedAddress(m_peer->address());
        m_store->put("servers", "app-0", m_engines["app-0"]->storeRecord());
        startGateway();
        const auto response = call("POST", "/book/x", "r");
        CPPUNIT_ASSERT_EQUAL(200, response.head.status);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.body);
        CPPUNIT_ASSERT_EQUAL(1, m_peer->connectionCount());
    }

    std::unique_ptr<FakeEndlessPeer> m_peer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEngineHeadsThatComeAlone);

} // namespace Wisteria
