// End-to-end tests of engines that leave or ask for a pause in their answers, while the store still lists
// them as ready.

#include "FakeDeployment.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>

namespace Wisteria {

class TestLeavingEngines : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestLeavingEngines);
    CPPUNIT_TEST(engineThatLeavesReceivesNoPlainRequests);
    CPPUNIT_TEST(engineThatLeavesReceivesNoStreams);
    CPPUNIT_TEST(engineThatRejectsAndLeavesReceivesNoRequests);
    CPPUNIT_TEST(leavingEngineStaysOutWhenStoreListsItAsReadyAgain);
    CPPUNIT_TEST(restartedEngineReceivesRequestsAfterItsPredecessorLeft);
    CPPUNIT_TEST(engineReceivesNoRequestsWithinItsRetryAfter);
    CPPUNIT_TEST(engineReceivesRequestsAfterItsRetryAfter);
    CPPUNIT_TEST(engineReceivesNoCopyRequestsWithinItsRetryAfter);
    CPPUNIT_TEST(requestIsRefusedAtOnceWhenAllEnginesWantNone);
    CPPUNIT_TEST_SUITE_END();

public:
    void engineThatLeavesReceivesNoPlainRequests()
    {
        startGateway();
        engine("app-0").setLeaving(true);
        callUntilReached("POST", "/book/x", "app-0");
        checkReceivesNothing("POST", "/book/x", "app-0");
        checkReceivesNothing("GET", "/look/x", "app-0");
    }

    void engineThatLeavesReceivesNoStreams()
    {
        startGateway();
        engine("llm-0").setLeaving(true);
        callUntilReached("POST", "/stream/x", "llm-0");
        checkReceivesNothing("POST", "/stream/x", "llm-0");
    }

    void engineThatRejectsAndLeavesReceivesNoRequests()
    {
        startGateway();
        engine("app-0").setLeaving(true);
        engine("app-0").setMode(FakeEngineMode::Overloaded);
        callUntilReached("POST", "/book/x", "app-0");
        checkReceivesNothing("POST", "/book/x", "app-0");
    }

    void leavingEngineStaysOutWhenStoreListsItAsReadyAgain()
    {
        startGateway();
        engine("app-0").setLeaving(true);
        callUntilReached("POST", "/book/x", "app-0");
        m_store->remove("servers", "app-0");
        m_context->run_for(storeDelay);
        m_store->put("servers", "app-0", engine("app-0").storeRecord());
        m_context->run_for(storeDelay);
        checkReceivesNothing("POST", "/book/x", "app-0");
    }

    void restartedEngineReceivesRequestsAfterItsPredecessorLeft()
    {
        startGateway();
        engine("app-0").setLeaving(true);
        callUntilReached("POST", "/book/x", "app-0");
        engine("app-0").restart("app-0");
        engine("app-0").setLeaving(false);
        m_store->put("servers", "app-0", engine("app-0").storeRecord());
        m_context->run_for(storeDelay);
        callUntilReached("POST", "/book/x", "app-0");
    }

    void engineReceivesNoRequestsWithinItsRetryAfter()
    {
        startGateway();
        for (const auto *id : {"app-0", "llm-0"}) {
            engine(id).setMode(FakeEngineMode::Overloaded);
            engine(id).setRetryAfter(std::chrono::seconds(30));
        }
        callUntilReached("POST", "/book/x", "app-0");
        callUntilReached("POST", "/stream/x", "llm-0");
        checkReceivesNothing("POST", "/book/x", "app-0");
        checkReceivesNothing("GET", "/look/x", "app-0");
        checkReceivesNothing("POST", "/stream/x", "llm-0");
    }

    void engineReceivesRequestsAfterItsRetryAfter()
    {
        startGateway();
        engine("app-0").setMode(FakeEngineMode::Overloaded);
        engine("app-0").setRetryAfter(std::chrono::milliseconds(700));
        callUntilReached("POST", "/book/x", "app-0");
        engine("app-0").setMode(FakeEngineMode::Healthy);
        m_context->run_for(std::chrono::milliseconds(750));
        callUntilReached("POST", "/book/x", "app-0");
    }

    // The holder of a running generation's copy is lost, and the engine that runs it wants no requests, so it
    // is not asked for another copy.
    void engineReceivesNoCopyRequestsWithinItsRetryAfter()
    {
        m_engineState.eventsPerStream = 50;
        m_engineState.eventInterval = std::chrono::milliseconds(40);
        startGateway();
        std::string primary;
        m_engineState.onRequest = [&](const std::string &id) { primary = id; };
        HttpResponse response;
        bool isDone = false;
        startCall("POST", "/stream/x", "long", "key", response, isDone);
        CPPUNIT_ASSERT(runUntil([&] { return !primary.empty() && !m_engineState.copies.empty(); }));
        m_engineState.onRequest = nullptr;
        const auto copy = *m_engineState.copies.begin();
        const auto holder = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto &it) {
                                return copy.rfind(it.second->address() + "/", 0) == 0;
                            })->first;
        auto &engineOfStream = engine(primary);
        engineOfStream.setMode(FakeEngineMode::Overloaded);
        engineOfStream.setRetryAfter(std::chrono::seconds(30));
        // All other engines are full, too, so that the stream's engine is asked.
        setModes("llm", FakeEngineMode::Overloaded);
        CPPUNIT_ASSERT_EQUAL(503, call("POST", "/stream/x", "rejected").head.status);
        const int before = engineOfStream.requestCount();
        setModes("llm", FakeEngineMode::Healthy);
        m_store->remove("servers", holder);
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
        CPPUNIT_ASSERT_EQUAL(before, engineOfStream.requestCount());
    }

    void requestIsRefusedAtOnceWhenAllEnginesWantNone()
    {
        startGateway();
        setModes("app", FakeEngineMode::Overloaded);
        for (const auto *id : {"app-0", "app-1"})
            engine(id).setRetryAfter(std::chrono::milliseconds(800));
        callUntilReached("GET", "/look/x", "app-0");
        callUntilReached("GET", "/look/x", "app-1");
        const int before = engine("app-0").requestCount() + engine("app-1").requestCount();
        const auto start = monotonicNow();
        const auto response = call("POST", "/book/x", "refused");
        CPPUNIT_ASSERT(monotonicNow() - start < absl::Milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(503, response.head.status);
        CPPUNIT_ASSERT_EQUAL(before, engine("app-0").requestCount() + engine("app-1").requestCount());
        double retryAfter = 0;
        CPPUNIT_ASSERT(
            absl::SimpleAtod(std::string(fieldValue(response.head.fields, "Retry-After")), &retryAfter));
        // A caller that waits for so long is served.
        setModes("app", FakeEngineMode::Healthy);
        m_context->run_for(std::chrono::milliseconds(static_cast<int>(1000 * retryAfter) + 1));
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", "retried").head.status);
        CPPUNIT_ASSERT(retryAfter < 1);
    }

private:
    static constexpr std::chrono::milliseconds storeDelay{200};

    FakeEngine &engine(const std::string &id) { return *m_engines.at(id); }

    void callUntilReached(const std::string &method, const std::string &target, const std::string &id)
    {
        const int before = engine(id).requestCount();
        CPPUNIT_ASSERT(runUntil([&] {
            preferEngine(id);
            (void)call(method, target, absl::StrCat("reach-", ++m_calls));
            return engine(id).requestCount() > before;
        }));
    }

    void checkReceivesNothing(const std::string &method, const std::string &target, const std::string &id)
    {
        constexpr int calls = 12;
        const int before = engine(id).requestCount();
        for (int n = 0; n < calls; ++n)
            CPPUNIT_ASSERT_EQUAL(200, call(method, target, absl::StrCat("after-", ++m_calls)).head.status);
        CPPUNIT_ASSERT_EQUAL(before, engine(id).requestCount());
    }

    int m_calls{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLeavingEngines);

} // namespace Wisteria
