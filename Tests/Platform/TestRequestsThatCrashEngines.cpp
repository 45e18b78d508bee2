// End-to-end tests of requests that end each engine which begins to answer them, before one or several
// routers.

#include "FakeDeployment.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>

namespace Wisteria {

class TestRequestsThatCrashEngines : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestRequestsThatCrashEngines);
    CPPUNIT_TEST(requestsWithOnePartEndOnlyFewEngines);
    CPPUNIT_TEST(otherRoutersDoNotSendThemOn);
    CPPUNIT_TEST(restartedRouterDoesNotSendThemOn);
    CPPUNIT_TEST(enginesThatRestartAtOnceCount);
    CPPUNIT_TEST(soundRequestsWithTheSameOtherPartsAreServed);
    CPPUNIT_TEST(requestsOfEnginesThatEndByThemselvesAreServed);
    CPPUNIT_TEST(streamsOfCrashedDomainGoOnElsewhere);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        FakeDeployment::setUp();
        constexpr int moreEngines = 12;
        for (int n = 0; n < moreEngines; ++n)
            addEngine(absl::StrCat("llm-x", n), "llm", absl::StrCat("z", n % 2));
        m_engineState.crashingPart = "bad1";
        m_engineState.prefillTime = std::chrono::milliseconds(50);
        m_engineState.onEnd = [this](FakeEngine &engine) { startLater(engine); };
    }

    void tearDown() override
    {
        m_routers.clear();
        FakeDeployment::tearDown();
    }

    void requestsWithOnePartEndOnlyFewEngines()
    {
        startGateway();
        for (int n = 0; n < 12; ++n) {
            callSound();
            CPPUNIT_ASSERT(callCrashing().head.status >= 500);
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(m_engineState.ends, " ends"), m_engineState.ends <= mostEnds);
        const int before = m_engineState.crashingRequests;
        const auto begin = monotonicNow();
        const auto response = callCrashing();
        CPPUNIT_ASSERT(monotonicNow() - begin < absl::Milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(503, response.head.status);
        CPPUNIT_ASSERT_EQUAL(before, m_engineState.crashingRequests);
        // A caller that came back soon would be refused again.
        double retryAfter = 0;
        CPPUNIT_ASSERT(
            absl::SimpleAtod(std::string(fieldValue(response.head.fields, "Retry-After")), &retryAfter));
        CPPUNIT_ASSERT(retryAfter > 30);
    }

    void otherRoutersDoNotSendThemOn()
    {
        startRouters();
        for (int n = 0; n < 9; ++n) {
            useRouter(n % routerCount);
            callSound();
            CPPUNIT_ASSERT(callCrashing().head.status >= 500);
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(m_engineState.ends, " ends"), m_engineState.ends <= mostEnds);
        const int before = m_engineState.crashingRequests;
        for (int n = 0; n < routerCount; ++n) {
            useRouter(n);
            CPPUNIT_ASSERT_EQUAL(503, callCrashing().head.status);
        }
        CPPUNIT_ASSERT_EQUAL(before, m_engineState.crashingRequests);
    }

    void restartedRouterDoesNotSendThemOn()
    {
        startRouters();
        for (int n = 0; n < 3; ++n) {
            callSound();
            CPPUNIT_ASSERT(callCrashing().head.status >= 500);
        }
        endRouter(m_routers[0].gateway, m_routers[0].client);
        m_routers[0] = createRouter("g0");
        useRouter(0);
        m_context->run_for(std::chrono::seconds(1));
        const int before = m_engineState.crashingRequests;
        for (int n = 0; n < 4; ++n)
            CPPUNIT_ASSERT_EQUAL(503, callCrashing().head.status);
        CPPUNIT_ASSERT_EQUAL(before, m_engineState.crashingRequests);
    }

    // A connect after the end succeeds, since the next process of the engine listens already.
    void enginesThatRestartAtOnceCount()
    {
        m_restartDelay = std::chrono::milliseconds(0);
        startGateway();
        for (int n = 0; n < 4; ++n) {
            callSound();
            CPPUNIT_ASSERT(callCrashing().head.status >= 500);
            m_context->run_for(2 * publishDelay);
        }
        const int before = m_engineState.crashingRequests;
        CPPUNIT_ASSERT_EQUAL(503, callCrashing().head.status);
        CPPUNIT_ASSERT_EQUAL(before, m_engineState.crashingRequests);
    }

    void soundRequestsWithTheSameOtherPartsAreServed()
    {
        startRouters();
        for (int n = 0; n < 6; ++n) {
            useRouter(n % routerCount);
            CPPUNIT_ASSERT(callCrashing().head.status >= 500);
            callSound();
        }
        const int endsBefore = m_engineState.ends;
        for (int n = 0; n < 12; ++n) {
            useRouter(n % routerCount);
            callSound();
            // They begin at the first attempt.
            CPPUNIT_ASSERT_EQUAL(1, m_engineState.runsByRequest[absl::StrCat("sound-", m_soundCalls - 1)]);
        }
        CPPUNIT_ASSERT_EQUAL(endsBefore, m_engineState.ends);
    }

    // Two engines end under the same request, and later ones under others with the same parts.
    void requestsOfEnginesThatEndByThemselvesAreServed()
    {
        startGateway();
        m_engineState.crashingPart.clear();
        for (int n = 0; n < 4; ++n) {
            int ends = 2;
            m_engineState.onRequest = [this, &ends](const std::string &id) {
                if (ends-- > 0)
                    endDuringPrefill(id);
            };
            m_prompt = "5a:200,d0c:900,77:20";
            CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(),
                                 call("POST", "/stream/x", absl::StrCat("own-", n)).body);
        }
        m_engineState.onRequest = nullptr;
        CPPUNIT_ASSERT_EQUAL(8, m_engineState.ends);
    }

    // Half of the engines end at one moment, while they read prompts with a part that all requests share: the
    // streams were resumed at sound engines and cut there, as if that part had ended the engines.
    void streamsOfCrashedDomainGoOnElsewhere()
    {
        startGateway();
        m_engineState.crashingPart.clear();
        m_engineState.prefillTime = std::chrono::milliseconds(400);
        m_prompt = "5a:200,77:20";
        m_callTimeout = std::chrono::milliseconds(10000);
        constexpr std::size_t streams = 24;
        std::array<HttpResponse, streams> responses;
        std::array<bool, streams> areDone{};
        for (std::size_t n = 0; n < streams; ++n)
            startCall("POST", "/stream/x", absl::StrCat("batch-", n), "key", responses[n], areDone[n]);
        m_context->run_for(std::chrono::milliseconds(200));
        int ended = 0;
        for (auto &[name, engine] : m_engines) {
            if (name.rfind("llm", 0) != 0 || ended++ % 2 != 0)
                continue;
            engine->end();
        }
        CPPUNIT_ASSERT(runUntil(
            [&] { return std::all_of(areDone.begin(), areDone.end(), [](bool isDone) { return isDone; }); }));
        for (const auto &it : responses)
            CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), it.body);
        CPPUNIT_ASSERT_EQUAL(8, m_engineState.ends);
    }

private:
    // The users' rule counts from the fifth.
    static constexpr int mostEnds = 5;
    static constexpr int routerCount = 3;
    // From the start of a process to its entry in the store.
    static constexpr std::chrono::milliseconds publishDelay{100};

    void startRouters()
    {
        for (int n = 0; n < routerCount; ++n)
            m_routers.push_back(createRouter(absl::StrCat("g", n)));
        useRouter(0);
        m_context->run_for(std::chrono::milliseconds(1500));
    }

    void useRouter(int n)
    {
        m_address = m_routers[static_cast<std::size_t>(n)].address;
        CPPUNIT_ASSERT(runUntil([&] { return call("GET", "/-/ready", "").head.status == 200; }));
    }

    // Both kinds of requests have the same two parts by turns, beside parts of their own.
    static std::string otherParts(int n) { return absl::StrCat("5a:200,0e", n % 2, ":40"); }

    HttpResponse callCrashing()
    {
        const int n = m_crashingCalls++;
        m_prompt = absl::StrCat(otherParts(n), ",bad1:900,99", n, ":20");
        return call("POST", "/stream/x", absl::StrCat("crashing-", n));
    }

    void callSound()
    {
        const int n = m_soundCalls++;
        m_prompt = absl::StrCat(otherParts(n), ",77", n, ":20");
        const auto response = call("POST", "/stream/x", absl::StrCat("sound-", n));
        CPPUNIT_ASSERT_EQUAL(200, response.head.status);
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
    }

    // The engine comes back at its address, with a new id.
    void startLater(FakeEngine &engine)
    {
        startTimer(m_restartDelay, [this, &engine] {
            const auto earlier = engine.id();
            engine.startAgain(absl::StrCat("llm-again-", ++m_starts));
            startTimer(publishDelay, [this, earlier, &engine] {
                m_store->remove("servers", earlier);
                m_store->put("servers", engine.id(), engine.storeRecord());
            });
        });
    }

    void startTimer(std::chrono::milliseconds delay, std::function<void()> action)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(*m_context, delay);
        timer->async_wait([timer, action = std::move(action)](const auto &) { action(); });
    }

    void endDuringPrefill(const std::string &id)
    {
        startTimer(std::chrono::milliseconds(20), [this, id] {
            for (auto &[name, engine] : m_engines) {
                if (engine->id() == id && engine->isRunning())
                    engine->end();
            }
        });
    }

    std::vector<Router> m_routers;
    int m_crashingCalls{0};
    int m_soundCalls{0};
    int m_starts{0};
    std::chrono::milliseconds m_restartDelay{1500};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestsThatCrashEngines);

} // namespace Wisteria
