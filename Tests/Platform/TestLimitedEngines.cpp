// End-to-end tests of engines that limit the requests that they take from all routers together.

#include "FakeDeployment.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <deque>

namespace Wisteria {

using namespace std::chrono_literals;

class TestLimitedEngines : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestLimitedEngines);
    CPPUNIT_TEST(sevenRoutersTogetherKeepTheLimitOfAnEngine);
    CPPUNIT_TEST(twentyRoutersTogetherKeepALimitBelowOneRequestPerSecond);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        FakeDeployment::setUp();
        addEngine("app-2", "app", "z1");
        m_routers.clear();
        m_calls.clear();
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
        bool isDone{false};
    };

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
            const bool isBooking = number % 3 != 0;
            startCall(isBooking ? "POST" : "GET", isBooking ? "/book/x" : "/look/x",
                      absl::StrCat("call-", number), "key", it.response, it.isDone);
            m_context->run_for(1000ms / callRate);
        }
        CPPUNIT_ASSERT(runUntil([&] { return m_calls.back().isDone; }));
    }

    void checkLimitIsKept(const std::string &id, double limit)
    {
        sendCalls(1s);
        const auto since = std::chrono::steady_clock::now();
        sendCalls(limitPeriod + 2s);
        const auto allowed = static_cast<int>(allowedExcess * limit * 4 + allowedExtraRequests);
        const int most = engine(id).mostRequestsWithin(limitPeriod, since);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("most in 4 s: ", most, ", allowed: ", allowed), most <= allowed);
        for (const auto &it : m_calls)
            CPPUNIT_ASSERT_EQUAL(200, it.response.head.status);
    }

    std::vector<Router> m_routers;
    // Calls keep references to their elements.
    std::deque<Call> m_calls;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLimitedEngines);

} // namespace Wisteria
