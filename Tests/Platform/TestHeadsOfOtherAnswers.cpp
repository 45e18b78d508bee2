// A caller got the head of one engine's answer with the body of another's.

#include "FakeDeployment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace Wisteria {

class TestHeadsOfOtherAnswers : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestHeadsOfOtherAnswers);
    CPPUNIT_TEST(failureIsNotSentWithTheHeadOfALostStream);
    CPPUNIT_TEST(streamIsNotSentWithTheHeadOfAFailure);
    CPPUNIT_TEST_SUITE_END();

public:
    void failureIsNotSentWithTheHeadOfALostStream()
    {
        const auto response = callWithModes({FakeEngineMode::Failing, FakeEngineMode::LosingStreams,
                                             FakeEngineMode::LosingStreams, FakeEngineMode::LosingStreams});
        CPPUNIT_ASSERT_EQUAL(500, response.head.status);
        CPPUNIT_ASSERT_EQUAL(std::string("failure of r1"), response.body);
        m_gateway.reset();
    }

    void streamIsNotSentWithTheHeadOfAFailure()
    {
        const auto response =
            callWithModes({FakeEngineMode::LosingStreams, FakeEngineMode::Failing, FakeEngineMode::Healthy});
        CPPUNIT_ASSERT_EQUAL(200, response.head.status);
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
        m_gateway.reset();
    }

private:
    // The n-th engine that the request reaches is in the n-th mode.
    HttpResponse callWithModes(const std::vector<FakeEngineMode> &modes)
    {
        std::size_t n = 0;
        m_engineState.onRequest = [&](const std::string &id) {
            CPPUNIT_ASSERT(n < modes.size());
            m_engines.at(id)->setMode(modes[n++]);
        };
        startGateway();
        auto response = call("POST", "/stream/x", "r1");
        CPPUNIT_ASSERT_EQUAL(modes.size(), n);
        m_engineState.onRequest = nullptr;
        return response;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestHeadsOfOtherAnswers);

} // namespace Wisteria
