// End-to-end tests of engines that limit the requests that they take from all routers together.

#include "FakeDeployment.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <deque>

namespace Wisteria {

using namespace std::chrono_literals;

class TestLimitedEngines : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestLimitedEngines);
    CPPUNIT_TEST(sevenRoutersTogetherKeepTheLimitOfAnEngine);
    CPPUNIT_TEST(twentyRoutersTogetherKeepALimitBelowOneRequestPerSecond);
    CPPUNIT_TEST(callersAreServedOrRejectedAtOnceWhenAllEnginesLimitTheirRequests);
    CPPUNIT_TEST(engineServesAsBeforeAfterItsLimitHasEnded);
    CPPUNIT_TEST(restartedEngineHasNoLimit);
    CPPUNIT_TEST(routerHearsOfALimitFromTheOthers);
    CPPUNIT_TEST(retriesNeedAPermit);
    CPPUNIT_TEST(replacementsNeedAPermit);
    CPPUNIT_TEST(copyRequestsAreNotSentToALimitedEngine);
    CPPUNIT_TEST(stopRequestsTakeAPermit);
    CPPUNIT_TEST(malformedLimitIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        FakeDeployment::setUp();
        addEngine("app-2", "app", "z1");
        m_routers.clear();
        m_calls.clear();
        m_longestCall = 0ms;
    }

    void tearDown() override
    {
        for (auto &it : m_routers)
            endRouter(it.gateway, it.client);
        FakeDeployment::tearDown();
    }

    void sevenRoutersTogetherKeepTheLimitOfAnEngine()
    {
        startRouters(7);
        for (const auto *id : {"app-0", "app-1"})
            engine(id).setLimit("2.1");
        checkLimitIsKept("app-0", 2.1);
    }

    void twentyRoutersTogetherKeepALimitBelowOneRequestPerSecond()
    {
        startRouters(20);
        for (const auto *id : {"app-0", "app-1"})
            engine(id).setLimit("0.3");
        checkLimitIsKept("app-0", 0.3);
    }

    void callersAreServedOrRejectedAtOnceWhenAllEnginesLimitTheirRequests()
    {
        startRouters(3);
        setLimits("app", "2");
        sendCalls(1s);
        const auto since = std::chrono::steady_clock::now();
        const auto first = m_calls.size();
        sendCalls(limitPeriod + 1s);
        int served = 0;
        for (auto n = first; n < m_calls.size(); ++n) {
            const auto &it = m_calls[n];
            served += it.response.head.status == 200 ? 1 : 0;
            if (it.response.head.status == 200)
                continue;
            CPPUNIT_ASSERT_EQUAL(503, it.response.head.status);
            double retryAfter = 0;
            CPPUNIT_ASSERT(absl::SimpleAtod(std::string(fieldValue(it.response.head.fields, "Retry-After")),
                                            &retryAfter));
            CPPUNIT_ASSERT(retryAfter > 0);
        }
        // Three engines at two requests a second for five seconds.
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(served), served >= 24);
        // Half of the issuers' horizon, for routes of rank 1.
        CPPUNIT_ASSERT(m_longestCall < 700ms);
        for (const auto *id : {"app-0", "app-1", "app-2"})
            CPPUNIT_ASSERT(engine(id).mostRequestsWithin(limitPeriod, since) <= allowedAt(2));
    }

    void engineServesAsBeforeAfterItsLimitHasEnded()
    {
        startRouters(3);
        engine("app-0").setLimit("1");
        sendCalls(2s);
        engine("app-0").setLimit("");
        sendCalls(3s);
        const auto since = std::chrono::steady_clock::now();
        sendCalls(2s);
        const int most = engine("app-0").mostRequestsWithin(2s, since);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(most), most >= 2 * callRate / 6);
    }

    void restartedEngineHasNoLimit()
    {
        startRouters(2);
        engine("app-0").setLimit("0.1");
        sendCalls(1s);
        engine("app-0").restart("app-0");
        engine("app-0").setLimit("");
        m_store->put("servers", "app-0", engine("app-0").storeRecord());
        m_context->run_for(500ms);
        const auto since = std::chrono::steady_clock::now();
        sendCalls(2s);
        CPPUNIT_ASSERT(engine("app-0").mostRequestsWithin(2s, since) >= 2 * callRate / 6);
    }

    void routerHearsOfALimitFromTheOthers()
    {
        startRouters(2);
        engine("app-0").setLimit("1");
        m_address = m_routers[0].address;
        CPPUNIT_ASSERT(runUntil([&] {
            (void)call("POST", "/book/x", absl::StrCat("told-", m_calls.size()));
            m_calls.emplace_back();
            return gaugeValue("targets_limited") == 1;
        }));
        m_address = m_routers[1].address;
        CPPUNIT_ASSERT(runUntil([&] { return gaugeValue("targets_limited") == 1; }));
        // So does one that starts now.
        m_routers.push_back(createRouter("late"));
        m_address = m_routers.back().address;
        CPPUNIT_ASSERT(runUntil([&] { return gaugeValue("targets_limited") == 1; }));
    }

    void retriesNeedAPermit() { checkLimitIsKeptWhileOthersAre(FakeEngineMode::Failing); }

    void replacementsNeedAPermit() { checkLimitIsKeptWhileOthersAre(FakeEngineMode::Stalled); }

    // The holder of a copy is lost, and the engine that runs the stream limits its requests.
    void copyRequestsAreNotSentToALimitedEngine()
    {
        m_engineState.eventsPerStream = 50;
        m_engineState.eventInterval = 40ms;
        startRouters(1);
        m_address = m_routers[0].address;
        std::string primary;
        m_engineState.onRequest = [&](const std::string &id) { primary = id; };
        setLimits("llm", "5");
        HttpResponse response;
        bool isDone = false;
        startCall("POST", "/stream/x", "long", "key", response, isDone);
        CPPUNIT_ASSERT(runUntil([&] { return !primary.empty() && !m_engineState.copies.empty(); }));
        m_engineState.onRequest = nullptr;
        const auto copy = *m_engineState.copies.begin();
        const auto holder = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto &it) {
            return copy.rfind(it.second->address() + "/", 0) == 0;
        });
        const int before = engine(primary).requestCount();
        m_store->remove("servers", holder->first);
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
        CPPUNIT_ASSERT_EQUAL(before, engine(primary).requestCount());
    }

    // A stream leaves an engine that is silent, doesn't notice the close and takes one request in ten
    // seconds.
    void stopRequestsTakeAPermit()
    {
        m_engineState.eventsPerStream = 100;
        startRouters(1);
        m_address = m_routers[0].address;
        std::string primary;
        m_engineState.onRequest = [&](const std::string &id) { primary = id; };
        for (const auto *id : {"llm-0", "llm-1", "llm-2", "llm-3"})
            engine(id).setLimit("0");
        HttpResponse response;
        bool isDone = false;
        startCall("POST", "/stream/x", "long", "key", response, isDone);
        CPPUNIT_ASSERT(runUntil([&] { return !primary.empty() && !m_engineState.copies.empty(); }));
        m_engineState.onRequest = nullptr;
        for (const auto *id : {"llm-0", "llm-1", "llm-2", "llm-3"}) {
            if (id != primary)
                engine(id).setLimit("");
        }
        engine(primary).setIgnoresCloses(true);
        engine(primary).stallStreamsFor(2800ms);
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
        CPPUNIT_ASSERT_EQUAL(2, m_engineState.acceptedByRequest["long"]);
        CPPUNIT_ASSERT_EQUAL(1, m_engineState.stopRequests);
    }

    void malformedLimitIsIgnored()
    {
        startRouters(1);
        m_address = m_routers[0].address;
        for (const auto *value : {"-1", "nan", "2,1"}) {
            setLimits("app", value);
            for (int n = 0; n < 6; ++n)
                CPPUNIT_ASSERT_EQUAL(200, call("GET", "/look/x", absl::StrCat(value, n)).head.status);
        }
        CPPUNIT_ASSERT_EQUAL(0, gaugeValue("targets_limited"));
    }

private:
    // Callers' requests per second, from all callers together.
    static constexpr int callRate = 40;
    // The period over which limits are checked.
    static constexpr std::chrono::milliseconds limitPeriod = 4s;
    static constexpr double allowedExcess = 1.5;
    static constexpr int allowedExtraRequests = 5;

    struct Call
    {
        HttpResponse response;
        std::chrono::steady_clock::time_point sentAt;
        bool isDone{false};
        bool isTimed{false};
    };

    [[nodiscard]] static int allowedAt(double limit)
    {
        return static_cast<int>(allowedExcess * limit * 4 + allowedExtraRequests);
    }

    void setLimits(const std::string &prefix, const std::string &value)
    {
        for (const auto &[id, it] : m_engines) {
            if (id.rfind(prefix, 0) == 0)
                it->setLimit(value);
        }
    }

    FakeEngine &engine(const std::string &id) { return *m_engines.at(id); }

    // Starts this many routers in the failure domains by turns.
    void startRouters(int n)
    {
        for (int i = 0; i < n; ++i)
            m_routers.push_back(createRouter(absl::StrCat("g", i + 1), absl::StrCat("z", i % 2)));
        // A router that starts needs a moment to hear from the others.
        m_context->run_for(2500ms);
    }

    // Callers send plain requests, at random kinds and routers, for this long.
    void sendCalls(std::chrono::milliseconds duration)
    {
        const auto end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end) {
            const auto number = m_calls.size();
            m_address = m_routers[(number * 7 + number / 3) % m_routers.size()].address;
            auto &it = m_calls.emplace_back();
            it.sentAt = std::chrono::steady_clock::now();
            const bool isBooking = number % 3 != 0;
            startCall(isBooking ? "POST" : "GET", isBooking ? "/book/x" : "/look/x",
                      absl::StrCat("call-", number), "key", it.response, it.isDone);
            m_context->run_for(1000ms / callRate);
            timeCalls();
        }
        CPPUNIT_ASSERT(runUntil([&] {
            timeCalls();
            return std::all_of(m_calls.begin(), m_calls.end(), [](const Call &call) { return call.isDone; });
        }));
    }

    void timeCalls()
    {
        for (auto &it : m_calls) {
            if (!it.isDone || std::exchange(it.isTimed, true))
                continue;
            const auto duration = std::chrono::steady_clock::now() - it.sentAt;
            m_longestCall =
                std::max(m_longestCall, std::chrono::duration_cast<std::chrono::milliseconds>(duration));
        }
    }

    void checkLimitIsKept(const std::string &id, double limit)
    {
        sendCalls(1s);
        const auto since = std::chrono::steady_clock::now();
        sendCalls(limitPeriod + 2s);
        const int allowed = allowedAt(limit);
        const int most = engine(id).mostRequestsWithin(limitPeriod, since);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("most in 4 s: ", most, ", allowed: ", allowed), most <= allowed);
        for (const auto &it : m_calls)
            CPPUNIT_ASSERT_EQUAL(200, it.response.head.status);
    }

    // Requests that fail at the other engines are sent to the limited one.
    void checkLimitIsKeptWhileOthersAre(FakeEngineMode mode)
    {
        startRouters(2);
        engine("app-0").setLimit("1");
        setModes("app-1", mode);
        setModes("app-2", mode);
        sendCalls(1s);
        const auto since = std::chrono::steady_clock::now();
        sendCalls(limitPeriod + 1s);
        CPPUNIT_ASSERT(engine("app-0").mostRequestsWithin(limitPeriod, since) <= allowedAt(1));
    }

    std::vector<Router> m_routers;
    // Calls keep references to their elements.
    std::deque<Call> m_calls;
    std::chrono::milliseconds m_longestCall{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLimitedEngines);

} // namespace Wisteria
