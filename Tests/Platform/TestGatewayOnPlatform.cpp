// End-to-end tests of the gateway with the platform adapter, against fakes on loopback.

#include "FakePlatform.h"

#include <LibGateway/Gateway.h>
#include <LibPlatform/MonotonicClock.h>

#include <ObjectDecoder.h>
#include <ObjectNames.h>
#include <PlatformDialect.h>
#include <StoreClient.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

namespace detail {

nlohmann::json route(const std::string &name, const std::string &kind, const std::string &service)
{
    return {{"name", name},
            {"host", "site.example"},
            {"pathPrefix", "/" + name + "/"},
            {"kind", kind},
            {"timeoutMs", 3000},
            {"targetLatencyMs", 100},
            {"priority", 1},
            {"service", service},
            {"maxAttempts", kind == "unsafe" ? 1 : 4},
            {"resumable", kind == "stream"},
            {"gapAimMs", 300}};
}

nlohmann::json configuration(int version)
{
    return {
        {"version", version},
        {"routes",
         {route("stream", "stream", "llm"), route("book", "unsafe", "app"), route("look", "safe", "app")}},
        {"services",
         {{{"name", "llm"}, {"engine", {{"kvTokens", 88000}, {"slots", 64}, {"backups", true}}}},
          {{"name", "app"}}}},
        {"tenants", {{{"name", "w"}, {"apiKeys", {"key"}}}}}};
}

} // namespace detail

class TestGatewayOnPlatform : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestGatewayOnPlatform);
    CPPUNIT_TEST(allRouteKindsAreServed);
    CPPUNIT_TEST(streamCompletesAfterEngineCrash);
    CPPUNIT_TEST(streamCompletesAfterEngineStall);
    CPPUNIT_TEST(streamIsAbortedWhenNoEngineCanResumeIt);
    CPPUNIT_TEST(nonIdempotentRequestRunsOnceWhenResponseIsLost);
    CPPUNIT_TEST(idempotentRequestIsRetriedWhenResponseIsLost);
    CPPUNIT_TEST(overloadedEnginesYield503WithoutRun);
    CPPUNIT_TEST(unknownKeyAndRouteAreRejected);
    CPPUNIT_TEST(newConfigurationTakesEffect);
    CPPUNIT_TEST(objectsAreRelistedAfterHistoryCompaction);
    CPPUNIT_TEST(missingConfigurationYields503UntilStoreRecovers);
    CPPUNIT_TEST(drainingEngineReceivesNoRequests);
    CPPUNIT_TEST(gracefulStopLetsRunningStreamFinish);
    CPPUNIT_TEST(newConfigurationTakesEffectAfterStoreIsRestored);
    CPPUNIT_TEST(ownRecordIsWrittenAgainAfterStoreIsRestored);
    CPPUNIT_TEST(restoredStoreDoesNotReviveDrainingEngine);
    CPPUNIT_TEST(restoredStoreDoesNotReviveRemovedKey);
    CPPUNIT_TEST(requestsAreServedWhileCopyLacksEngines);
    CPPUNIT_TEST(unchangedRecordIsNotWrittenAgain);
    CPPUNIT_TEST(configurationIsNeverListedWithBoundedStaleness);
    CPPUNIT_TEST(outdatedFirstListIsCompletedByWatch);
    CPPUNIT_TEST(routersThatStartTogetherFindEachOther);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<boost::asio::io_context>(1);
        m_engineState = {};
        m_store = std::make_unique<FakeStore>(*m_context);
        m_engines.clear();
        for (int n = 0; n < 4; ++n)
            addEngine(absl::StrCat("llm-", n), "llm", absl::StrCat("z", n % 2));
        for (int n = 0; n < 2; ++n)
            addEngine(absl::StrCat("app-", n), "app", absl::StrCat("z", n % 2));
        m_store->put("config", "main", detail::configuration(1));
    }

    void tearDown() override
    {
        // Sockets must be destroyed before their event loop.
        m_gateway.reset();
        m_client.reset();
        m_engines.clear();
        m_store.reset();
        m_context.reset();
    }

    void allRouteKindsAreServed()
    {
        startGateway();
        CPPUNIT_ASSERT_EQUAL(std::string("answer of r1"), call("POST", "/book/x", "r1").body);
        CPPUNIT_ASSERT_EQUAL(std::string("answer of r2"), call("GET", "/look/x", "r2").body);
        const auto stream = call("POST", "/stream/x", "r3");
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), stream.body);
        CPPUNIT_ASSERT(!fieldValue(stream.head.fields, "Engine-Seal").empty());
    }

    void streamCompletesAfterEngineCrash() { checkStreamCompletes(FakeEngineMode::Crashing); }
    void streamCompletesAfterEngineStall() { checkStreamCompletes(FakeEngineMode::Stalled); }

    void streamIsAbortedWhenNoEngineCanResumeIt()
    {
        startGateway();
        setModes("llm", FakeEngineMode::Crashing);
        // The client sees the connection close before the response is complete.
        CPPUNIT_ASSERT_EQUAL(0, call("POST", "/stream/x", "r1").head.status);
    }

    void nonIdempotentRequestRunsOnceWhenResponseIsLost()
    {
        startGateway();
        setModes("app", FakeEngineMode::Crashing);
        CPPUNIT_ASSERT_EQUAL(502, call("POST", "/book/x", "r1").head.status);
        CPPUNIT_ASSERT_EQUAL(1, m_engineState.runsByRequest["r1"]);
    }

    void idempotentRequestIsRetriedWhenResponseIsLost()
    {
        startGateway();
        m_engines.at("app-0")->setMode(FakeEngineMode::Crashing);
        for (int n = 0; n < 4; ++n) {
            const auto id = absl::StrCat("r", n);
            CPPUNIT_ASSERT_EQUAL("answer of " + id, call("GET", "/look/x", id).body);
        }
    }

    void overloadedEnginesYield503WithoutRun()
    {
        startGateway();
        setModes("app", FakeEngineMode::Overloaded);
        const auto response = call("POST", "/book/x", "r1");
        CPPUNIT_ASSERT_EQUAL(503, response.head.status);
        CPPUNIT_ASSERT(!fieldValue(response.head.fields, "Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(0, m_engineState.runsByRequest["r1"]);
    }

    void unknownKeyAndRouteAreRejected()
    {
        startGateway();
        CPPUNIT_ASSERT_EQUAL(401, call("POST", "/book/x", "r1", "other").head.status);
        CPPUNIT_ASSERT_EQUAL(404, call("POST", "/none/x", "r2").head.status);
    }

    void newConfigurationTakesEffect()
    {
        startGateway();
        auto updated = detail::configuration(2);
        updated["tenants"][0]["apiKeys"] = {"key2"};
        m_store->put("config", "main", updated);
        CPPUNIT_ASSERT(runUntil([&] { return call("POST", "/book/x", "r").head.status == 401; }));
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", "r2", "key2").head.status);
    }

    void objectsAreRelistedAfterHistoryCompaction()
    {
        startGateway();
        m_store->compactHistory();
        auto updated = detail::configuration(3);
        updated["tenants"][0]["apiKeys"] = {"key3"};
        m_store->put("config", "main", updated);
        CPPUNIT_ASSERT(runUntil([&] { return call("POST", "/book/x", "r", "key3").head.status == 200; }));
    }

    void missingConfigurationYields503UntilStoreRecovers()
    {
        m_store->setMode(FakeStoreMode::Unavailable);
        startGateway(Readiness::DontWait);
        const auto response = call("POST", "/book/x", "r1");
        CPPUNIT_ASSERT_EQUAL(503, response.head.status);
        double retryAfter = 0;
        CPPUNIT_ASSERT(
            absl::SimpleAtod(std::string(fieldValue(response.head.fields, "Retry-After")), &retryAfter));
        CPPUNIT_ASSERT(retryAfter > 0 && retryAfter < 1);
        CPPUNIT_ASSERT_EQUAL(503, call("GET", "/-/resolve?name=site.example&zone=z0", "").head.status);
        m_store->setMode(FakeStoreMode::Healthy);
        CPPUNIT_ASSERT(runUntil([&] { return call("POST", "/book/x", "r2").head.status == 200; }));
    }

    void drainingEngineReceivesNoRequests()
    {
        startGateway();
        m_store->put("servers", "app-0", m_engines.at("app-0")->storeRecord("draining"));
        m_store->remove("servers", "app-1");
        CPPUNIT_ASSERT(runUntil([&] { return call("POST", "/book/x", "r").head.status == 503; }));
        const int requestsBefore =
            m_engines.at("app-0")->requestCount() + m_engines.at("app-1")->requestCount();
        (void)call("POST", "/book/x", "r2");
        CPPUNIT_ASSERT_EQUAL(requestsBefore,
                             m_engines.at("app-0")->requestCount() + m_engines.at("app-1")->requestCount());
    }

    void gracefulStopLetsRunningStreamFinish()
    {
        startGateway();
        HttpResponse response;
        bool isDone = false;
        startCall("POST", "/stream/x", "r1", "key", response, isDone);
        m_context->run_for(std::chrono::milliseconds(60));
        m_gateway->startShutdown();
        CPPUNIT_ASSERT_EQUAL(503, call("GET", "/-/ready", "").head.status);
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
        // During shutdown new streams are refused; other requests are still served.
        CPPUNIT_ASSERT_EQUAL(503, call("POST", "/stream/x", "r2").head.status);
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", "r3").head.status);
    }

    // The revisions of the copy are smaller than those that the gateway has seen.
    void newConfigurationTakesEffectAfterStoreIsRestored()
    {
        m_store->takeCopy();
        startGateway();
        constexpr int laterChanges = 20;
        for (int n = 0; n < laterChanges; ++n)
            m_store->put("other", "x", n);
        m_store->put("config", "main", detail::configuration(2));
        CPPUNIT_ASSERT(runUntil([&] { return configurationVersion() == 2; }));
        m_store->restoreFromCopy();
        auto updated = detail::configuration(3);
        updated["tenants"][0]["apiKeys"] = {"key3"};
        m_store->put("config", "main", updated);
        CPPUNIT_ASSERT(runUntil([&] { return call("POST", "/book/x", "r", "key3").head.status == 200; }));
        CPPUNIT_ASSERT_EQUAL(401, call("POST", "/book/x", "r2").head.status);
    }

    void ownRecordIsWrittenAgainAfterStoreIsRestored()
    {
        m_store->takeCopy();
        startGateway();
        const std::string kind(Platform::kindName(DirectoryKind::Routers));
        CPPUNIT_ASSERT(runUntil([&] { return m_store->contains(kind, "g1"); }));
        m_store->restoreFromCopy();
        CPPUNIT_ASSERT(!m_store->contains(kind, "g1"));
        CPPUNIT_ASSERT(runUntil([&] { return m_store->contains(kind, "g1"); }));
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", "r").head.status);
    }

    void restoredStoreDoesNotReviveDrainingEngine()
    {
        m_store->takeCopy();
        startGateway();
        m_store->put("servers", "app-0", m_engines.at("app-0")->storeRecord("draining"));
        m_store->remove("servers", "app-1");
        CPPUNIT_ASSERT(runUntil([&] { return call("POST", "/book/x", "r").head.status == 503; }));
        const int before = m_engines.at("app-0")->requestCount() + m_engines.at("app-1")->requestCount();
        m_store->restoreFromCopy();
        const std::string kind(Platform::kindName(DirectoryKind::Routers));
        CPPUNIT_ASSERT(runUntil([&] { return m_store->contains(kind, "g1"); }));
        CPPUNIT_ASSERT_EQUAL(503, call("POST", "/book/x", "r2").head.status);
        CPPUNIT_ASSERT_EQUAL(before,
                             m_engines.at("app-0")->requestCount() + m_engines.at("app-1")->requestCount());
    }

    void restoredStoreDoesNotReviveRemovedKey()
    {
        m_store->takeCopy();
        startGateway();
        auto updated = detail::configuration(2);
        updated["tenants"][0]["apiKeys"] = {"key2"};
        m_store->put("config", "main", updated);
        CPPUNIT_ASSERT(runUntil([&] { return call("POST", "/book/x", "r").head.status == 401; }));
        m_store->restoreFromCopy();
        const std::string kind(Platform::kindName(DirectoryKind::Routers));
        CPPUNIT_ASSERT(runUntil([&] { return m_store->contains(kind, "g1"); }));
        CPPUNIT_ASSERT_EQUAL(401, call("POST", "/book/x", "r2").head.status);
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", "r3", "key2").head.status);
    }

    // Engines that registered after the copy was taken write their entries again within two seconds.
    void requestsAreServedWhileCopyLacksEngines()
    {
        const auto withEngines = m_store->names("servers");
        for (const auto &it : withEngines)
            m_store->remove("servers", it);
        m_store->takeCopy();
        for (const auto &it : withEngines)
            m_store->put("servers", it, m_engines.at(it)->storeRecord());
        startGateway();
        m_store->restoreFromCopy();
        const std::string kind(Platform::kindName(DirectoryKind::Routers));
        CPPUNIT_ASSERT(runUntil([&] { return m_store->contains(kind, "g1"); }));
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", "r1").head.status);
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), call("POST", "/stream/x", "r2").body);
    }

    // Every write is paid for, and hundreds of routers restart at once after a loss of power.
    void unchangedRecordIsNotWrittenAgain()
    {
        const auto client =
            std::move(*Platform::StoreClient::create(*m_context, m_store->address(), absl::Seconds(1)));
        RouterRecord record{RouterId("g7"), FailureDomain("z0"), "127.0.0.1:1", "127.0.0.1:2"};
        const auto publish = [&] {
            bool isDone = false;
            client->publish(record, [&](const ErrorOr<StoreEra> &era) {
                CPPUNIT_ASSERT(era);
                isDone = true;
            });
            CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        };
        publish();
        const auto written = m_store->revision();
        publish();
        CPPUNIT_ASSERT_EQUAL(written, m_store->revision());
        record.peerAddress = "127.0.0.1:3";
        publish();
        CPPUNIT_ASSERT(m_store->revision() > written);
    }

    void configurationIsNeverListedWithBoundedStaleness()
    {
        startGateway();
        CPPUNIT_ASSERT_EQUAL(1, m_store->staleLists("servers"));
        CPPUNIT_ASSERT_EQUAL(0, m_store->staleLists("config"));
        // All lists after the first one are linearizable.
        m_store->compactHistory();
        const int calls = m_store->calls();
        CPPUNIT_ASSERT(runUntil([&] { return m_store->calls() >= calls + 4; }));
        CPPUNIT_ASSERT_EQUAL(1, m_store->staleLists("servers"));
    }

    // The first list lacks the latest changes: an engine has left since, and others have registered.
    void outdatedFirstListIsCompletedByWatch()
    {
        m_store->remove("servers", "app-1");
        m_store->takeCopy();
        m_store->put("servers", "app-1", m_engines.at("app-1")->storeRecord());
        m_store->remove("servers", "app-0");
        m_store->serveStaleListsFromCopy();
        startGateway();
        CPPUNIT_ASSERT(runUntil([&] {
            const int before = m_engines.at("app-1")->requestCount();
            (void)call("POST", "/book/x", "r");
            return m_engines.at("app-1")->requestCount() > before;
        }));
        const int before = m_engines.at("app-0")->requestCount();
        for (int n = 0; n < 10; ++n)
            CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", absl::StrCat("r", n)).head.status);
        CPPUNIT_ASSERT_EQUAL(before, m_engines.at("app-0")->requestCount());
    }

    // A fleet starts at once, and lists that allow outdated data still lack all of its routers. Routers that
    // did not find each other all watched the store for five seconds.
    void routersThatStartTogetherFindEachOther()
    {
        m_store->takeCopy();
        m_store->serveStaleListsFromCopy();
        m_store->put(std::string(Platform::kindName(DirectoryKind::Routers)), "g9",
                     {{"domain", "z0"}, {"callers", "127.0.0.1:1"}, {"peers", "127.0.0.1:2"}});
        const auto startedAt = monotonicNow();
        startGateway();
        CPPUNIT_ASSERT(runUntil([&] { return gaugeValue("routers_known") == 2; }));
        CPPUNIT_ASSERT(monotonicNow() - startedAt < absl::Seconds(3));
    }

private:
    enum class Readiness { Wait, DontWait };

    int configurationVersion() { return gaugeValue("configuration_version"); }

    int gaugeValue(const std::string &name)
    {
        const auto gauge = absl::StrCat("\nwisteria_", name, " ");
        const auto text = call("GET", "/metrics", "").body;
        const auto at = text.find(gauge);
        int value = 0;
        if (at != std::string::npos)
            (void)absl::SimpleAtoi(
                text.substr(at + gauge.size(), text.find('\n', at + 1) - at - gauge.size()), &value);
        return value;
    }

    void addEngine(const std::string &id, const std::string &service, const std::string &zone)
    {
        m_engines[id] = std::make_unique<FakeEngine>(*m_context, m_engineState, id, service, zone);
        m_store->put("servers", id, m_engines[id]->storeRecord());
    }

    void setModes(const std::string &prefix, FakeEngineMode mode)
    {
        for (const auto &[id, engine] : m_engines) {
            if (id.rfind(prefix, 0) == 0)
                engine->setMode(mode);
        }
    }

    void startGateway(Readiness readiness = Readiness::Wait)
    {
        GatewaySettings settings;
        settings.id = RouterId("g1");
        settings.domain = FailureDomain("z0");
        settings.callerListen = unusedLoopbackAddress();
        settings.entryPointListen = settings.callerListen;
        settings.readinessListen = settings.callerListen;
        settings.peerListen = unusedLoopbackAddress();
        settings.store = m_store->address();
        settings.retryLimits = {.ratio = 0.8, .minRetriesPerWindow = 150, .window = absl::Seconds(10)};
        m_address = settings.callerListen;
        m_client = std::move(*Platform::StoreClient::create(*m_context, settings.store, absl::Seconds(1)));
        auto gateway = Gateway::create(*m_context, settings,
                                       {.dialect = m_dialect, .decoder = m_decoder, .store = *m_client});
        CPPUNIT_ASSERT(gateway);
        m_gateway = std::move(*gateway);
        if (readiness == Readiness::Wait)
            CPPUNIT_ASSERT(runUntil([&] { return call("GET", "/-/ready", "").head.status == 200; }));
    }

    void startCall(const std::string &method, const std::string &target, const std::string &id,
                   const std::string &key, HttpResponse &response, bool &isDone)
    {
        HttpFields fields;
        fields.set("Host", "site.example");
        fields.set("Request-Id", id);
        fields.set("Authorization", "Bearer " + key);
        fields.set("Deadline-Ms", "3000");
        fields.set("Token-Counts", "1000,140");
        auto connection =
            std::make_shared<HttpClientConnection>(*m_context, *parseEndpoint(m_address), SocketLimits{});
        constexpr std::size_t maxBody = 1U << 20U;
        callHttp(*m_context, connection,
                 serializeRequest(method, target, fields, method == "POST" ? "body" : ""), absl::Seconds(5),
                 maxBody, [&response, &isDone](HttpCallResult result) {
                     if (result)
                         response = std::move(*result);
                     isDone = true;
                 });
    }

    HttpResponse call(const std::string &method, const std::string &target, const std::string &id,
                      const std::string &key = "key")
    {
        HttpResponse response;
        bool isDone = false;
        startCall(method, target, id, key, response, isDone);
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        return response;
    }

    // Runs the event loop until the check passes, for at most 5 seconds.
    template <typename Check>
    bool runUntil(Check check)
    {
        const auto end = monotonicNow() + absl::Seconds(5);
        while (monotonicNow() < end) {
            if (check())
                return true;
            m_context->run_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    void checkStreamCompletes(FakeEngineMode mode)
    {
        startGateway();
        // All engines of one failure domain fail; copies are kept in the other domain.
        for (const auto &[id, engine] : m_engines) {
            if (engine->storeRecord()["zone"] == "z0")
                engine->setMode(mode);
        }
        for (int n = 0; n < 6; ++n) {
            const auto id = absl::StrCat("r", n);
            CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), call("POST", "/stream/x", id).body);
            CPPUNIT_ASSERT_EQUAL(1, m_engineState.runsByRequest[id]);
        }
    }

    std::unique_ptr<boost::asio::io_context> m_context;
    FakeEngineState m_engineState;
    std::unique_ptr<FakeStore> m_store;
    std::map<std::string, std::unique_ptr<FakeEngine>> m_engines;
    std::unique_ptr<Platform::StoreClient> m_client;
    Platform::PlatformDialect m_dialect;
    Platform::ObjectDecoder m_decoder;
    std::unique_ptr<Gateway> m_gateway;
    std::string m_address;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestGatewayOnPlatform);

} // namespace Wisteria
