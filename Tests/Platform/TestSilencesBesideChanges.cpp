// Many routers before many engines, of which some fall silent for a second and go on while the configuration
// changes and routers are reloaded and stopped: callers lost answers. WISTERIA_SEED=N replays one order.

#include "FakeDeployment.h"

#include <LibCore/Random.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <list>
#include <optional>
#include <vector>

namespace Wisteria {

class TestSilencesBesideChanges : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestSilencesBesideChanges);
    CPPUNIT_TEST(callsEndWithAnswersBesideSilencesAndChanges);
    CPPUNIT_TEST(oneSilenceCutsNoAnswer);
    CPPUNIT_TEST(silenceCutsNoAnswerWhenOtherEnginesAreNearlyFull);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        FakeDeployment::setUp();
        for (int n = 4; n < modelEngines; ++n)
            addEngine(absl::StrCat("llm-", n), n < modelEngines / 2 ? "llm" : "llm-b", domainOf(n));
        addEngine("app-2", "app", "z2");
        // Several silences in a row leave time for the answer; at its deadline, a router ends any call.
        m_callTimeout = std::chrono::milliseconds(6000);
        m_configuration = fakeConfiguration(1);
        for (auto &route : m_configuration["routes"])
            route["timeoutMs"] = m_callTimeout.count();
        m_configuration["services"].push_back(m_configuration["services"][0]);
        m_configuration["services"].back()["name"] = "llm-b";
        publish();
        m_engineState.eventInterval = std::chrono::milliseconds(30);
        m_engineState.slotsPerEngine = 8;
        m_calls.clear();
        m_broken.clear();
        m_outcomes.clear();
        m_refused.clear();
        m_unsafe.clear();
        m_stopping.reset();
        m_lastCall = 0;
    }

    void tearDown() override
    {
        m_routers.clear();
        FakeDeployment::tearDown();
    }

    void callsEndWithAnswersBesideSilencesAndChanges()
    {
        const char *replayed = std::getenv("WISTERIA_SEED");
        const auto seed = replayed ? std::strtoull(replayed, nullptr, 10) : 1;
        m_random.emplace(seed);
        startRouters(12);
        const auto begin = monotonicNow();
        const auto end = begin + absl::Seconds(8);
        auto nextChange = begin + absl::Milliseconds(500);
        auto nextSilence = begin + absl::Milliseconds(700);
        auto nextReload = begin + absl::Seconds(1);
        auto nextStop = begin + absl::Milliseconds(1500);
        while (monotonicNow() < end) {
            const auto now = monotonicNow();
            if (now >= nextChange) {
                changeConfiguration();
                nextChange = now + absl::Milliseconds(330);
            }
            if (now >= nextSilence) {
                beginSilence();
                nextSilence = now + absl::Milliseconds(1200 + m_random->below(800));
            }
            if (now >= nextReload) {
                auto &router = drawRouter();
                router.settings.retryLimits.ratio = 0.5 + m_random->fraction() / 2;
                router.gateway->reload(router.settings);
                nextReload = now + absl::Milliseconds(400 + m_random->below(800));
            }
            if (now >= nextStop && !m_stopping) {
                m_stopping = m_random->below(m_routers.size());
                m_stoppingAt = now;
                m_routers[*m_stopping].gateway->startShutdown();
                nextStop = now + absl::Seconds(1);
            }
            sendCalls(2);
            step();
        }
        finishCalls(absl::StrCat("seed ", seed));
    }

    void oneSilenceCutsNoAnswer()
    {
        startRouters(12);
        runSteadily(4, absl::Milliseconds(700));
        const auto before = startedAgain();
        m_engines.at("llm-0")->pauseFor(std::chrono::milliseconds(1000));
        runSteadily(4, absl::Seconds(2));
        std::cout << "runs started again after one silence: " << startedAgain() - before << "\n";
        finishCalls("one silence");
    }

    // About nine of ten slots are taken.
    void silenceCutsNoAnswerWhenOtherEnginesAreNearlyFull()
    {
        m_engineState.slotsPerEngine = 4;
        startRouters(11);
        runSteadily(4, absl::Milliseconds(700));
        const auto before = startedAgain();
        m_engines.at("llm-0")->pauseFor(std::chrono::milliseconds(1000));
        m_engines.at("llm-1")->pauseFor(std::chrono::milliseconds(1000));
        runSteadily(4, absl::Seconds(2));
        std::cout << "runs started again after two silences, few free slots: " << startedAgain() - before
                  << "\n";
        finishCalls("two silences, few free slots");
    }

private:
    static constexpr int modelEngines = 24;

    enum class Kind { Stream, Unsafe, Idempotent };
    struct Call
    {
        std::string id;
        Kind kind{Kind::Stream};
        std::string router;
        HttpResponse response;
        bool isDone{false};
    };

    static std::string domainOf(int n) { return absl::StrCat("z", n % 3); }

    static const char *nameOf(Kind kind)
    {
        constexpr std::array<const char *, 3> names{"stream", "book", "look"};
        return names.at(static_cast<std::size_t>(kind));
    }

    void publish() { m_store->put("config", "main", m_configuration); }

    void startRouters(int n)
    {
        for (int it = 0; it < n; ++it)
            m_routers.push_back(createRouter(absl::StrCat("g", it), domainOf(it)));
        for (const auto &router : m_routers) {
            m_address = router.address;
            CPPUNIT_ASSERT(runUntil([&] { return call("GET", "/-/ready", "").head.status == 200; }));
        }
    }

    Router &drawRouter()
    {
        auto n = m_random->below(m_routers.size());
        if (m_stopping == n)
            n = (n + 1) % m_routers.size();
        return m_routers[n];
    }

    void changeConfiguration()
    {
        auto &stream = m_configuration["routes"][0];
        const int version = m_configuration["version"].get<int>() + 1;
        m_configuration["version"] = version;
        switch (m_random->below(6)) {
        case 0:
            stream.erase("trafficSplit");
            stream["service"] = stream["service"] == "llm" ? "llm-b" : "llm";
            break;
        case 1:
            stream["trafficSplit"] = {{{"service", "llm"}, {"weight", m_random->fraction()}},
                                      {{"service", "llm-b"}, {"weight", 1}}};
            break;
        case 2:
            stream["timeoutMs"] = 6000 + m_random->below(2000);
            break;
        case 3:
            m_configuration["tenants"][0]["apiKeys"] = {"key", absl::StrCat("key-", version)};
            break;
        case 4:
            m_configuration["tenants"][0]["priority"] = m_random->below(3);
            break;
        default:
            m_configuration["limits"] = {{"idleTimeoutMs", 500 + m_random->below(5000)},
                                         {"headerTimeoutMs", 1000 + m_random->below(2000)}};
        }
        publish();
    }

    void beginSilence()
    {
        const auto domain = domainOf(static_cast<int>(m_random->below(3)));
        const auto form = m_random->below(4);
        int n = 0;
        const auto first = m_random->below(modelEngines);
        for (const auto &[id, engine] : m_engines) {
            const bool isChosen = form == 0 ? id == absl::StrCat("llm-", first)
                : form == 1                 ? m_random->below(4) == 0
                                            : engine->zone() == domain;
            if (form == 3) {
                // Each in turn.
                auto timer = std::make_shared<boost::asio::steady_timer>(*m_context,
                                                                         std::chrono::milliseconds(60 * n++));
                timer->async_wait([timer, it = engine.get()](const auto &ec) {
                    if (!ec)
                        it->pauseFor(std::chrono::milliseconds(1000));
                });
            } else if (isChosen) {
                engine->pauseFor(std::chrono::milliseconds(800 + m_random->below(800)));
            }
        }
    }

    void send(const Router &router, Kind kind)
    {
        auto &call = m_calls.emplace_back();
        call.id = absl::StrCat("r", ++m_lastCall);
        call.kind = kind;
        call.router = router.settings.id.value();
        m_address = router.address;
        startCall(kind == Kind::Idempotent ? "GET" : "POST", absl::StrCat("/", nameOf(kind), "/x"), call.id,
                  "key", call.response, call.isDone);
    }

    // Keeps this many streams and one plain call of each kind open at each router. A router that stops gets
    // calls for a second more.
    void sendCalls(int streams)
    {
        std::map<std::string, std::array<int, 3>> open;
        for (const auto &it : m_calls)
            ++open[it.router].at(static_cast<std::size_t>(it.kind));
        for (std::size_t n = 0; n < m_routers.size(); ++n) {
            if (m_stopping == n && monotonicNow() > m_stoppingAt + absl::Seconds(1))
                continue;
            const auto &counts = open[m_routers[n].settings.id.value()];
            if (counts[0] < streams)
                send(m_routers[n], Kind::Stream);
            if (counts[1] == 0)
                send(m_routers[n], Kind::Unsafe);
            if (counts[2] == 0)
                send(m_routers[n], Kind::Idempotent);
        }
    }

    void step()
    {
        m_context->run_for(std::chrono::milliseconds(20));
        if (m_context->stopped() && m_stopping) {
            auto &router = m_routers[*m_stopping];
            endRouter(router.gateway, router.client);
            router = createRouter(router.settings.id.value(), router.settings.domain.value());
            m_stopping.reset();
        }
        for (auto it = m_calls.begin(); it != m_calls.end();) {
            if (it->isDone)
                judge(*it);
            it = it->isDone ? m_calls.erase(it) : std::next(it);
        }
    }

    void runSteadily(int streams, absl::Duration length)
    {
        const auto end = monotonicNow() + length;
        while (monotonicNow() < end) {
            sendCalls(streams);
            step();
        }
    }

    void judge(const Call &call)
    {
        const auto status = call.response.head.status;
        ++m_outcomes[absl::StrCat(nameOf(call.kind), " ", status)];
        const auto name = absl::StrCat(nameOf(call.kind), " ", call.id, " at ", call.router);
        if (status == 0)
            m_broken.push_back(name + " ended without an answer");
        if (status == 429 || status == 503 || status == 408 || status == 421)
            m_refused.push_back(call.id);
        if (call.kind == Kind::Unsafe)
            m_unsafe.push_back(call.id);
        if (status != 200)
            return;
        const auto expected =
            call.kind == Kind::Stream ? m_engineState.completeStream() : "answer of " + call.id;
        if (call.response.body != expected)
            m_broken.push_back(name + " has another body");
    }

    // Runs that engines accepted beyond the first of each request.
    [[nodiscard]] int startedAgain() const
    {
        int out = 0;
        for (const auto &[id, n] : m_engineState.acceptedByRequest)
            out += n - 1;
        return out;
    }

    void finishCalls(const std::string &name)
    {
        const auto end = monotonicNow() + absl::Seconds(10);
        while ((!m_calls.empty() || m_stopping) && monotonicNow() < end)
            step();
        for (const auto &it : m_calls)
            m_broken.push_back(absl::StrCat(nameOf(it.kind), " ", it.id, " at ", it.router, " never ended"));
        for (const auto &id : m_refused) {
            if (m_engineState.runsByRequest.contains(id))
                m_broken.push_back(id + " was refused as not run, but ran");
        }
        for (const auto &id : m_unsafe) {
            if (m_engineState.acceptedByRequest[id] > 1)
                m_broken.push_back(id + " ran more than once");
        }
        std::cout << name << ": " << absl::StrJoin(m_outcomes, ", ", absl::PairFormatter(": "))
                  << "; runs started again " << startedAgain() << ", rejected by full engines "
                  << m_engineState.rejectionsByFullEngines << "\n";
        CPPUNIT_ASSERT_MESSAGE(name + "\n" + absl::StrJoin(m_broken, "\n"), m_broken.empty());
    }

    std::optional<SeededRandom> m_random;
    nlohmann::json m_configuration;
    std::vector<Router> m_routers;
    // The router that stops; the event loop ends with it.
    std::optional<std::size_t> m_stopping;
    absl::Time m_stoppingAt;
    // Addresses of its elements are kept by open calls.
    std::list<Call> m_calls;
    int m_lastCall{0};
    std::map<std::string, int> m_outcomes;
    std::vector<std::string> m_refused;
    std::vector<std::string> m_unsafe;
    std::vector<std::string> m_broken;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSilencesBesideChanges);

} // namespace Wisteria
