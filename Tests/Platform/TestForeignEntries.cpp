// Guards against entries of another writer at the addresses of sound engines: they counted as later processes
// there, so that running requests were given up and the engines were never used again.

#include "FakeDeployment.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestForeignEntries : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestForeignEntries);
    CPPUNIT_TEST(entriesOfAnUnnamedServiceChangeNothing);
    CPPUNIT_TEST(copiesOfEntriesChangeNothing);
    CPPUNIT_TEST(enginesAreUsedBesideEntriesThatStartedLater);
    CPPUNIT_TEST(runsGoOnBesideEntriesThatStartedLater);
    CPPUNIT_TEST(runsAreResumedWhenAnotherProcessAnswers);
    CPPUNIT_TEST(entryThatLacksAFieldNamesNoEngine);
    CPPUNIT_TEST(entryWithoutAStartDoesNotReviveADrainingEngine);
    CPPUNIT_TEST_SUITE_END();

public:
    void entriesOfAnUnnamedServiceChangeNothing() { checkRequestsBeside("mirror", 7); }

    void copiesOfEntriesChangeNothing() { checkRequestsBeside("", 0); }

    // Such an entry looks like that of a later engine until its address answers with another name.
    void enginesAreUsedBesideEntriesThatStartedLater()
    {
        startGateway();
        putForeignEntries("", 7);
        m_context->run_for(std::chrono::milliseconds(100));
        expectService();
        expectService();
    }

    // The runs were given up, though their engines worked on, so that two engines were at work.
    void runsGoOnBesideEntriesThatStartedLater()
    {
        auto configuration = fakeConfiguration(1);
        for (auto &it : configuration["services"])
            it["healthPath"] = "/health";
        m_store->put("config", "main", configuration);
        m_engineState.eventsPerStream = 120;
        for (const auto &[id, engine] : m_engines)
            engine->setIgnoresCloses(true);
        startGateway();
        HttpResponse response;
        bool isDone = false;
        startCall("POST", "/stream/x", "running", "key", response, isDone);
        CPPUNIT_ASSERT(runUntil([&] { return m_engineState.acceptedByRequest.contains("running"); }));
        putForeignEntries("", 7);
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
        CPPUNIT_ASSERT_EQUAL(1, m_engineState.acceptedByRequest.at("running"));
        CPPUNIT_ASSERT_EQUAL(0, m_engineState.stopRequests);
    }

    // The engine has been replaced indeed, though its connections stay open.
    void runsAreResumedWhenAnotherProcessAnswers()
    {
        auto configuration = fakeConfiguration(1);
        for (auto &it : configuration["services"])
            it["healthPath"] = "/health";
        m_store->put("config", "main", configuration);
        m_engineState.eventsPerStream = 60;
        startGateway();
        HttpResponse response;
        bool isDone = false;
        startCall("POST", "/stream/x", "running", "key", response, isDone);
        CPPUNIT_ASSERT(runUntil([&] { return m_engineState.acceptedByRequest.contains("running"); }));
        auto &engine = *m_engines.at(m_engineState.runs.spans().front().engine);
        engine.setMode(FakeEngineMode::Stalled);
        m_context->run_for(std::chrono::milliseconds(100));
        engine.setId("next");
        auto entry = engine.storeRecord();
        entry["born"] = entry["born"].get<int>() + 7;
        const auto since = monotonicNow();
        m_store->put("servers", "next", entry);
        CPPUNIT_ASSERT(runUntil([&] { return m_engineState.acceptedByRequest.at("running") == 2; }));
        CPPUNIT_ASSERT(monotonicNow() - since < absl::Milliseconds(1000));
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
    }

    // Such an entry under the id of an engine took it to another service.
    void entryThatLacksAFieldNamesNoEngine()
    {
        startGateway();
        for (const auto *field : {"version", "sequence", "coldRemainingMs"}) {
            auto entry = m_engines.at("llm-0")->storeRecord();
            entry["service"] = "app";
            entry.erase(field);
            m_store->put("servers", "llm-0", entry);
            waitForEntries();
            for (int n = 0; n < 12; ++n)
                CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", absl::StrCat("b", m_calls++)).head.status);
            CPPUNIT_ASSERT_EQUAL(0, m_engines.at("llm-0")->requestCount());
            m_store->put("servers", "llm-0", m_engines.at("llm-0")->storeRecord());
            waitForEntries();
        }
        expectService();
    }

    void entryWithoutAStartDoesNotReviveADrainingEngine()
    {
        startGateway();
        auto &engine = *m_engines.at("app-0");
        m_store->put("servers", "app-0", engine.storeRecord("draining"));
        waitForEntries();
        auto entry = engine.storeRecord("ready");
        entry.erase("born");
        m_store->put("servers", "app-0", entry);
        waitForEntries();
        const int before = engine.requestCount();
        for (int n = 0; n < 12; ++n)
            CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", absl::StrCat("b", m_calls++)).head.status);
        CPPUNIT_ASSERT_EQUAL(before, engine.requestCount());
    }

private:
    // With an empty service, the entries name that of the engine. They say that they started later by so
    // much.
    void putForeignEntries(const std::string &service, int startedLaterMs)
    {
        for (const auto &[id, engine] : m_engines) {
            auto entry = engine->storeRecord();
            if (!service.empty())
                entry["service"] = service;
            entry["born"] = entry["born"].get<int>() + startedLaterMs;
            m_store->put("servers", "other-" + id, entry);
        }
    }

    // Until the gateway has applied all entries so far, which it does in their order.
    void waitForEntries()
    {
        const int before = gaugeValue("targets");
        auto entry = m_engines.at("app-1")->storeRecord();
        entry["service"] = "other";
        entry["address"] = "127.0.0.1:1";
        // One of them makes up for a target whose entry has become unusable.
        for (int n = 0; n < 2; ++n)
            m_store->put("servers", absl::StrCat("last-", m_calls++), entry);
        CPPUNIT_ASSERT(runUntil([&] { return gaugeValue("targets") > before; }));
    }

    void expectService()
    {
        for (int n = 0; n < 8; ++n) {
            const auto id = absl::StrCat("r", m_calls++);
            CPPUNIT_ASSERT_EQUAL("answer of " + id, call("POST", "/book/x", id).body);
            CPPUNIT_ASSERT_EQUAL(1, m_engineState.runsByRequest[id]);
            CPPUNIT_ASSERT_EQUAL("answer of " + id, call("GET", "/look/x", id).body);
            CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), call("POST", "/stream/x", id).body);
        }
    }

    void checkRequestsBeside(const std::string &service, int startedLaterMs)
    {
        m_engineState.eventsPerStream = 40;
        startGateway();
        HttpResponse response;
        bool isDone = false;
        startCall("POST", "/stream/x", "running", "key", response, isDone);
        CPPUNIT_ASSERT(runUntil([&] { return m_engineState.acceptedByRequest.contains("running"); }));
        putForeignEntries(service, startedLaterMs);
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
        CPPUNIT_ASSERT_EQUAL(1, m_engineState.acceptedByRequest.at("running"));
        expectService();
        // A router that starts lists the entries in one go.
        endRouter(m_gateway, m_client);
        startGateway();
        expectService();
    }

    int m_calls{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestForeignEntries);

} // namespace Wisteria
