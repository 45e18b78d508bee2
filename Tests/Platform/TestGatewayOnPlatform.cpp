// End-to-end tests of the gateway with the platform adapter, against fakes on loopback.

#include "FakeDeployment.h"

#include <ObjectNames.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestGatewayOnPlatform : public FakeDeployment
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
    CPPUNIT_TEST(keysAreRequiredWhenLastWorkspaceIsGone);
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
    CPPUNIT_TEST(nothingIsListedWithBoundedStaleness);
    CPPUNIT_TEST(outdatedListsAreNotUsed);
    CPPUNIT_TEST(routersThatStartTogetherFindEachOther);
    CPPUNIT_TEST_SUITE_END();

public:
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

    // An empty list was taken for none, so that any request was forwarded.
    void keysAreRequiredWhenLastWorkspaceIsGone()
    {
        auto configuration = fakeConfiguration(2);
        configuration["tenants"] = nlohmann::json::array();
        m_store->put("config", "main", configuration);
        startGateway();
        CPPUNIT_ASSERT_EQUAL(401, call("POST", "/book/x", "r1").head.status);
        configuration = fakeConfiguration(3);
        configuration.erase("tenants");
        m_store->put("config", "main", configuration);
        CPPUNIT_ASSERT(runUntil([&] { return configurationVersion() == 3; }));
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", "r2").head.status);
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
        auto updated = fakeConfiguration(2);
        updated["tenants"][0]["apiKeys"] = {"key2"};
        m_store->put("config", "main", updated);
        CPPUNIT_ASSERT(runUntil([&] { return call("POST", "/book/x", "r").head.status == 401; }));
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", "r2", "key2").head.status);
    }

    void objectsAreRelistedAfterHistoryCompaction()
    {
        startGateway();
        m_store->compactHistory();
        auto updated = fakeConfiguration(3);
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
        m_store->put("config", "main", fakeConfiguration(2));
        CPPUNIT_ASSERT(runUntil([&] { return configurationVersion() == 2; }));
        m_store->restoreFromCopy();
        auto updated = fakeConfiguration(3);
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
        auto updated = fakeConfiguration(2);
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

    void nothingIsListedWithBoundedStaleness()
    {
        startGateway();
        CPPUNIT_ASSERT_EQUAL(0, m_store->staleLists("servers"));
        CPPUNIT_ASSERT_EQUAL(0, m_store->staleLists("config"));
        m_store->compactHistory();
        const int calls = m_store->calls();
        CPPUNIT_ASSERT(runUntil([&] { return m_store->calls() >= calls + 4; }));
        CPPUNIT_ASSERT_EQUAL(0, m_store->staleLists("servers"));
        CPPUNIT_ASSERT_EQUAL(0, m_store->staleLists("config"));
    }

    // A list that allows outdated data lacks the latest changes: an engine has left, and another registered.
    void outdatedListsAreNotUsed()
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestGatewayOnPlatform);

} // namespace Wisteria
