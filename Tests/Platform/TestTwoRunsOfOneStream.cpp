// A stream went on at another engine while the engine before was silent but still worked on it, and both
// worked on it for as long as the replacement took to its first event. The same when the first engine lost
// its answer, or sent bytes that were none, and worked on: it was never asked to stop. Or it was not asked
// for long enough: it backed off, limited its requests, copied the run, or had not begun with it.

#include "FakeDeployment.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
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
    CPPUNIT_TEST(engineBacksOffWhenItsAnswersAreLost);
    CPPUNIT_TEST(engineLimitsItsRequestsWhenItsAnswersAreLost);
    CPPUNIT_TEST(engineCopiesRunsWhenItsAnswersAreLost);
    CPPUNIT_TEST(enginesLoseTheAnswersOfResumedRunsToo);
    CPPUNIT_TEST(engineBacksOffWhenItsStreamsAreSilent);
    CPPUNIT_TEST(engineKeepsWaitingRequestsAfterTheirAnswersAreLost);
    CPPUNIT_TEST(engineDropsWaitingRequestsWithTheirConnections);
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

    // More runs than the engine takes requests for while it backs off: the others go on when it is over.
    void engineBacksOffWhenItsAnswersAreLost()
    {
        startStreamsThatIgnoreCloses(200);
        const auto id = busiestEngine();
        auto &engine = *m_engines.at(id);
        engine.setRetryAfter(std::chrono::milliseconds(1400));
        askForPause(id);
        m_context->run_for(std::chrono::milliseconds(600));
        engine.loseStreams();
        checkStreams();
        const auto asked = engine.askedForPauseAt();
        CPPUNIT_ASSERT_EQUAL(2,
                             engine.requestsBetween(asked + std::chrono::milliseconds(500),
                                                    asked + std::chrono::milliseconds(1400)));
        CPPUNIT_ASSERT(m_engineState.stoppedRuns > 2);
    }

    void engineLimitsItsRequestsWhenItsAnswersAreLost()
    {
        for (const auto &[id, engine] : m_engines)
            engine->setIgnoresCloses(true);
        m_engineState.eventsPerStream = 500;
        unlistAllBut("llm-0");
        prepare(EngineChoice::Any);
        // Until the router issues permits.
        m_context->run_for(absl::ToChronoMilliseconds(RouterRegistry::livenessTimeout));
        startCalls();
        CPPUNIT_ASSERT(runUntil([&] { return m_engineState.acceptedByRequest.size() == calls; }));
        auto &engine = *m_engines.at("llm-0");
        engine.setLimit("5");
        startCall("POST", "/stream/x", "named", "key", m_noticed.response, m_noticed.isDone);
        CPPUNIT_ASSERT(runUntil([&] { return gaugeValue("targets_limited") == 1; }));
        listAll();
        engine.loseStreams();
        checkStreams();
    }

    // Requests to stop a run get 409 while it is being copied.
    void engineCopiesRunsWhenItsAnswersAreLost()
    {
        startStreamsThatIgnoreCloses(500);
        const auto id = busiestEngine();
        auto &engine = *m_engines.at(id);
        // The holders of copies are lost, so that the streams copy their runs to others.
        unlistAllBut(id);
        waitForTargets(1);
        listAll();
        engine.setCopyTime(std::chrono::milliseconds(800));
        CPPUNIT_ASSERT(runUntil([&] { return engine.runsBeingCopied() > 2; }));
        engine.loseStreams();
        checkStreams();
        CPPUNIT_ASSERT(m_engineState.stoppedRuns > 2);
    }

    void enginesLoseTheAnswersOfResumedRunsToo()
    {
        startStreamsThatIgnoreCloses(200);
        const auto id = busiestEngine();
        m_engines.at(id)->setRetryAfter(std::chrono::milliseconds(1400));
        askForPause(id);
        m_context->run_for(std::chrono::milliseconds(600));
        m_engines.at(id)->loseStreams();
        m_context->run_for(std::chrono::milliseconds(150));
        for (const auto &[other, engine] : m_engines)
            engine->loseStreams();
        checkStreams();
    }

    // More runs are given up for their replacements than the engine takes requests for.
    void engineBacksOffWhenItsStreamsAreSilent()
    {
        startStreamsThatIgnoreCloses(250);
        const auto id = busiestEngine();
        auto &engine = *m_engines.at(id);
        engine.setRetryAfter(std::chrono::milliseconds(1800));
        askForPause(id);
        m_context->run_for(std::chrono::milliseconds(600));
        engine.stallStreamsFor(std::chrono::milliseconds(700));
        checkStreams();
        const auto asked = engine.askedForPauseAt();
        CPPUNIT_ASSERT(engine.requestsBetween(asked + std::chrono::milliseconds(500),
                                              asked + std::chrono::milliseconds(1800))
                       <= 2);
    }

    void engineKeepsWaitingRequestsAfterTheirAnswersAreLost()
    {
        loseWaitingStreams(true);
        checkStreams();
        CPPUNIT_ASSERT(m_engineState.stoppedRuns > 0);
    }

    // It is not asked without end.
    void engineDropsWaitingRequestsWithTheirConnections()
    {
        loseWaitingStreams(false);
        checkStreams();
        CPPUNIT_ASSERT_EQUAL(0, m_engineState.stoppedRuns);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(m_engineState.stopRequests),
                               m_engineState.stopRequests <= 2 * m_lostStreams);
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

    static nlohmann::json configuration()
    {
        auto out = fakeConfiguration(1);
        out["routes"][0]["timeoutMs"] = 8000;
        return out;
    }

    enum class EngineChoice { First, Any };

    void prepare(EngineChoice choice = EngineChoice::First)
    {
        m_store->put("config", "main", configuration());
        startGateway();
        if (choice == EngineChoice::First)
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

    void startStreamsThatIgnoreCloses(int events = 120)
    {
        for (const auto &[id, engine] : m_engines)
            engine->setIgnoresCloses(true);
        m_engineState.eventsPerStream = events;
        startStreams();
    }

    void unlistAllBut(const std::string &id)
    {
        for (const auto &[other, engine] : m_engines) {
            if (other != id)
                m_store->remove("servers", other);
        }
    }

    // Returns when the gateway has them all.
    void listAll()
    {
        for (const auto &[id, engine] : m_engines)
            m_store->put("servers", id, engine->storeRecord());
        waitForTargets(static_cast<int>(m_engines.size()));
    }

    void waitForTargets(int count)
    {
        CPPUNIT_ASSERT(runUntil([&] { return gaugeValue("targets") == count; }));
    }

    [[nodiscard]] std::string busiestEngine() const
    {
        std::map<std::string, int> runs;
        for (const auto &it : m_engineState.runs.spans())
            ++runs[it.engine];
        const auto most = std::max_element(runs.begin(), runs.end(),
                                           [](const auto &a, const auto &b) { return a.second < b.second; });
        CPPUNIT_ASSERT(most->second > 2);
        return most->first;
    }

    // The engine rejects one request with Retry-After.
    void askForPause(const std::string &id)
    {
        auto &engine = *m_engines.at(id);
        engine.setMode(FakeEngineMode::Overloaded);
        preferEngine(id);
        startCall("POST", "/stream/x", "rejected", "key", m_noticed.response, m_noticed.isDone);
        CPPUNIT_ASSERT(
            runUntil([&] { return engine.askedForPauseAt() > std::chrono::steady_clock::time_point(); }));
        engine.setMode(FakeEngineMode::Healthy);
    }

    // An engine loses the answers of streams that wait for a slot there, for a second.
    void loseWaitingStreams(bool ignoresCloses)
    {
        m_engineState.eventsPerStream = 200;
        prepare();
        auto &engine = *m_engines.at("llm-0");
        engine.setIgnoresCloses(ignoresCloses);
        engine.queueStreamsFor(std::chrono::milliseconds(1000));
        startCalls();
        CPPUNIT_ASSERT(runUntil([&] { return m_engineState.acceptedByRequest.size() == calls; }));
        m_lostStreams = static_cast<int>(calls - m_engineState.runs.spans().size());
        CPPUNIT_ASSERT(m_lostStreams > 0);
        m_context->run_for(std::chrono::milliseconds(100));
        engine.loseStreams();
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
    // Brings a notice of the engine to the gateway.
    Call m_noticed;
    int m_lostStreams{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTwoRunsOfOneStream);

} // namespace Wisteria
