// A stream went on at another engine while the engine before was silent but still worked on it, and both
// worked on it for as long as the replacement took to its first event. The same when the first engine lost
// its answer, or sent bytes that were none, and worked on: it was never asked to stop.

#include "FakeDeployment.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace Wisteria {

class TestTwoRunsOfOneStream : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestTwoRunsOfOneStream);
    CPPUNIT_TEST(replacementIsSlowToItsHead);
    CPPUNIT_TEST(replacementIsSlowToItsFirstEvent);
    CPPUNIT_TEST(silentEngineGoesOnBeforeItsReplacementBegins);
    CPPUNIT_TEST(replacementReadsThePromptAgain);
    CPPUNIT_TEST(replacementIsSilentToo);
    CPPUNIT_TEST(firstEventIsLate);
    CPPUNIT_TEST(silentEngineIgnoresTheCloseOfItsConnection);
    CPPUNIT_TEST(silentReplacementIgnoresTheCloseOfItsConnection);
    CPPUNIT_TEST(engineWorksOnAfterItsAnswersAreLost);
    CPPUNIT_TEST(unlistedEngineWorksOnAfterItsAnswersAreLost);
    CPPUNIT_TEST(engineWorksOnAfterWrongEvents);
    CPPUNIT_TEST(engineWorksOnAfterItsAnswersAreLostBeforeTheirFirstEvents);
    CPPUNIT_TEST_SUITE_END();

public:
    // The stall limit of the route is 150 ms.
    void replacementIsSlowToItsHead()
    {
        startStreams();
        m_engineState.prefillTime = std::chrono::milliseconds(1300);
        pauseFirst(std::chrono::milliseconds(3000));
        checkStreams();
    }

    void replacementIsSlowToItsFirstEvent()
    {
        startStreams();
        m_engineState.firstEventDelay = std::chrono::milliseconds(1300);
        pauseFirst(std::chrono::milliseconds(3000));
        checkStreams();
    }

    void silentEngineGoesOnBeforeItsReplacementBegins()
    {
        startStreams();
        m_engineState.prefillTime = std::chrono::milliseconds(1300);
        pauseFirst(std::chrono::milliseconds(900));
        checkStreams();
    }

    void replacementReadsThePromptAgain()
    {
        startStreams();
        m_engineState.copies.clear();
        m_engineState.prefillTime = std::chrono::milliseconds(1000);
        pauseFirst(std::chrono::milliseconds(3000));
        checkStreams();
    }

    void replacementIsSilentToo()
    {
        startStreams();
        for (const auto &[id, engine] : m_engines)
            engine->pauseFor(std::chrono::milliseconds(2500));
        checkStreams();
    }

    // The engine accepts the request and is silent from then on.
    void firstEventIsLate()
    {
        m_engineState.firstEventDelay = std::chrono::milliseconds(3500);
        prepare();
        startCalls();
        CPPUNIT_ASSERT(runUntil([&] { return m_engineState.acceptedByRequest.size() == calls; }));
        m_engineState.firstEventDelay = std::chrono::milliseconds(600);
        checkStreams();
    }

    void silentEngineIgnoresTheCloseOfItsConnection()
    {
        for (const auto &[id, engine] : m_engines)
            engine->setIgnoresCloses(true);
        m_engineState.eventsPerStream = 120;
        startStreams();
        // It answers other requests, such as one to stop.
        m_engines.at("llm-0")->stallStreamsFor(std::chrono::milliseconds(2000));
        checkStreams();
    }

    // The suspected run goes on, so that its replacement is cancelled.
    void silentReplacementIgnoresTheCloseOfItsConnection()
    {
        for (const auto &[id, engine] : m_engines)
            engine->setIgnoresCloses(true);
        m_engineState.eventsPerStream = 120;
        startStreams();
        m_engineState.firstEventDelay = std::chrono::milliseconds(150);
        m_engines.at("llm-0")->stallStreamsFor(std::chrono::milliseconds(250));
        checkStreams();
    }

    void engineWorksOnAfterItsAnswersAreLost()
    {
        startStreamsThatIgnoreCloses();
        for (const auto &it : m_engineState.runs.spans())
            m_engines.at(it.engine)->loseStreams();
        checkStreams();
        CPPUNIT_ASSERT_EQUAL(calls, m_engineState.stoppedRuns);
    }

    void unlistedEngineWorksOnAfterItsAnswersAreLost()
    {
        startStreamsThatIgnoreCloses();
        std::set<std::string> engines;
        for (const auto &it : m_engineState.runs.spans())
            engines.insert(it.engine);
        for (const auto &it : engines)
            m_store->remove("servers", it);
        m_context->run_for(std::chrono::milliseconds(100));
        for (const auto &it : engines)
            m_engines.at(it)->loseStreams();
        checkStreams();
        CPPUNIT_ASSERT_EQUAL(calls, m_engineState.stoppedRuns);
    }

    void engineWorksOnAfterWrongEvents()
    {
        startStreamsThatIgnoreCloses();
        for (const auto &it : m_engineState.runs.spans())
            m_engines.at(it.engine)->sendWrongEvents();
        checkStreams();
        CPPUNIT_ASSERT_EQUAL(calls, m_engineState.stoppedRuns);
    }

    void engineWorksOnAfterItsAnswersAreLostBeforeTheirFirstEvents()
    {
        m_engineState.firstEventDelay = std::chrono::milliseconds(300);
        startStreamsThatIgnoreCloses();
        for (const auto &it : m_engineState.runs.spans())
            m_engines.at(it.engine)->loseStreams();
        checkStreams();
        CPPUNIT_ASSERT_EQUAL(calls, m_engineState.stoppedRuns);
    }

private:
    static constexpr int calls = 8;
    // The stated limit of two runs side by side.
    static constexpr std::chrono::milliseconds allowedOverlap{400};

    struct Call
    {
        HttpResponse response;
        bool isDone{false};
    };

    void startCalls()
    {
        m_callTimeout = std::chrono::milliseconds(8000);
        m_calls = std::vector<Call>(calls);
        for (int n = 0; n < calls; ++n) {
            auto &it = m_calls.at(static_cast<std::size_t>(n));
            startCall("POST", "/stream/x", absl::StrCat("r", n), "key", it.response, it.isDone);
        }
    }

    void prepare()
    {
        auto configuration = fakeConfiguration(1);
        configuration["routes"][0]["timeoutMs"] = 8000;
        m_store->put("config", "main", configuration);
        startGateway();
        preferEngine("llm-0");
        m_engineState.eventsPerStream = std::max(m_engineState.eventsPerStream, 40);
    }

    // All of them have sent some events.
    void startStreams()
    {
        prepare();
        startCalls();
        CPPUNIT_ASSERT(runUntil([&] { return m_engineState.acceptedByRequest.size() == calls; }));
        m_context->run_for(std::chrono::milliseconds(100));
    }

    void startStreamsThatIgnoreCloses()
    {
        for (const auto &[id, engine] : m_engines)
            engine->setIgnoresCloses(true);
        m_engineState.eventsPerStream = 120;
        startStreams();
    }

    // Whichever engines the streams began at.
    void pauseFirst(std::chrono::milliseconds time)
    {
        for (const auto &it : m_engineState.runs.spans())
            m_engines.at(it.engine)->pauseFor(time);
    }

    void checkStreams()
    {
        for (auto &it : m_calls)
            CPPUNIT_ASSERT(runUntil([&] { return it.isDone; }));
        m_gateway.reset();
        for (const auto &it : m_calls) {
            CPPUNIT_ASSERT_EQUAL(200, it.response.head.status);
            CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), it.response.body);
        }
        const auto longest = m_engineState.runs.longestOverlap();
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("two engines at work for ", longest.count(), " ms"),
                               longest < allowedOverlap);
    }

    std::vector<Call> m_calls;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTwoRunsOfOneStream);

} // namespace Wisteria
