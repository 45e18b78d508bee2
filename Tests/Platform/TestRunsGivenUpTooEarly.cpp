// An engine that is silent for a while and goes on was given up for another one that then didn't take over,
// so that the caller lost an answer which its first engine would have completed.

#include "FakeDeployment.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestRunsGivenUpTooEarly : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestRunsGivenUpTooEarly);
    CPPUNIT_TEST(streamIsWholeWhenOtherEnginesAreFull);
    CPPUNIT_TEST(streamIsWholeWhenOtherEnginesBreakOff);
    CPPUNIT_TEST(streamIsWholeWhenAllEnginesAreSilent);
    CPPUNIT_TEST(streamMovesToAnotherEngineWhenItsOwnStaysSilent);
    CPPUNIT_TEST(answerIsDeliveredWhenOtherEnginesAreFull);
    CPPUNIT_TEST_SUITE_END();

public:
    // The stall limit of the route is 150 ms.
    void streamIsWholeWhenOtherEnginesAreFull()
    {
        startStreamOn("llm-0");
        setModesOfOthers(FakeEngineMode::Overloaded);
        m_engines.at("llm-0")->pauseFor(std::chrono::milliseconds(1000));
        checkStreamIsWhole();
        CPPUNIT_ASSERT_EQUAL(1, m_engineState.runsByRequest["r1"]);
    }

    // They accept the request and end in the middle of the next event.
    void streamIsWholeWhenOtherEnginesBreakOff()
    {
        m_engineState.eventsPerStream = 8;
        startStreamOn("llm-0");
        setModesOfOthers(FakeEngineMode::Crashing);
        m_engines.at("llm-0")->pauseFor(std::chrono::milliseconds(500));
        checkStreamIsWhole();
    }

    void streamIsWholeWhenAllEnginesAreSilent()
    {
        startStreamOn("llm-0");
        for (const auto &[id, engine] : m_engines)
            engine->pauseFor(std::chrono::milliseconds(1000));
        checkStreamIsWhole();
    }

    void streamMovesToAnotherEngineWhenItsOwnStaysSilent()
    {
        startStreamOn("llm-0");
        m_engines.at("llm-0")->pauseFor(std::chrono::milliseconds(4500));
        checkStreamIsWhole();
    }

    // An idempotent request without a stream is sent again after 300 ms.
    void answerIsDeliveredWhenOtherEnginesAreFull()
    {
        startGateway();
        preferEngine("app-0");
        m_engines.at("app-0")->pauseFor(std::chrono::milliseconds(1000));
        m_engines.at("app-1")->setMode(FakeEngineMode::Overloaded);
        const auto response = call("GET", "/look/x", "r1");
        CPPUNIT_ASSERT_EQUAL(200, response.head.status);
        CPPUNIT_ASSERT_EQUAL(std::string("answer of r1"), response.body);
        m_gateway.reset();
    }

private:
    void startStreamOn(const std::string &id)
    {
        startGateway();
        preferEngine(id);
        startCall("POST", "/stream/x", "r1", "key", m_response, m_isDone);
        CPPUNIT_ASSERT(runUntil([&] { return m_engines.at(id)->requestCount() > 0; }));
        m_context->run_for(std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(!m_isDone);
    }

    void setModesOfOthers(FakeEngineMode mode)
    {
        for (const char *id : {"llm-1", "llm-2", "llm-3"})
            m_engines.at(id)->setMode(mode);
    }

    void checkStreamIsWhole()
    {
        CPPUNIT_ASSERT(runUntil([&] { return m_isDone; }));
        CPPUNIT_ASSERT_EQUAL(200, m_response.head.status);
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), m_response.body);
        m_gateway.reset();
    }

    HttpResponse m_response;
    bool m_isDone{false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRunsGivenUpTooEarly);

} // namespace Wisteria
