// An engine that fell silent again and again, and went on each time, used up the attempts of its stream, so
// that a later loss of the engine ended the answer.

#include "FakeDeployment.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestAttemptsUsedUpBySilences : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestAttemptsUsedUpBySilences);
    CPPUNIT_TEST(streamOutlivesLossAfterPausesOf400Ms);
    CPPUNIT_TEST(streamOutlivesLossAfterSilencesOfOneSecond);
    CPPUNIT_TEST_SUITE_END();

public:
    void streamOutlivesLossAfterPausesOf400Ms() { checkStreamOutlivesLoss(std::chrono::milliseconds(400)); }

    void streamOutlivesLossAfterSilencesOfOneSecond()
    {
        checkStreamOutlivesLoss(std::chrono::milliseconds(1000));
    }

private:
    // The other engines take longer to begin than the silence lasts.
    void checkStreamOutlivesLoss(std::chrono::milliseconds silence)
    {
        m_callTimeout = std::chrono::milliseconds(12000);
        m_engineState.eventsPerStream = 150;
        auto configuration = fakeConfiguration(2);
        configuration["routes"][0]["timeoutMs"] = m_callTimeout.count();
        m_store->put("config", "main", configuration);
        startGateway();
        preferEngine("llm-0");
        HttpResponse response;
        bool isDone = false;
        startCall("POST", "/stream/x", "r1", "key", response, isDone);
        CPPUNIT_ASSERT(runUntil([&] { return m_engineState.acceptedByRequest["r1"] > 0; }));
        m_engineState.prefillTime = silence + std::chrono::milliseconds(300);
        for (int n = 0; n < 4; ++n) {
            m_context->run_for(std::chrono::milliseconds(100));
            m_engines.at("llm-0")->pauseFor(silence);
            m_context->run_for(silence);
        }
        m_context->run_for(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(!isDone);
        m_engines.at("llm-0")->restart("llm-0");
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        CPPUNIT_ASSERT_EQUAL(200, response.head.status);
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
        m_gateway.reset();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAttemptsUsedUpBySilences);

} // namespace Wisteria
