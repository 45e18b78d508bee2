// End-to-end tests of a router that restarts beside one that knows more than the store shows.

#include "FakeDeployment.h"

#include <ObjectNames.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace Wisteria {

class TestRestartedRouters : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestRestartedRouters);
    CPPUNIT_TEST(withdrawnKeyIsInUseAgainWhenStoreWasRestored);
    CPPUNIT_TEST(removedEngineIsInUseAgainWhenStoreWasRestored);
    CPPUNIT_TEST(removedEngineIsInUseAgainWhenListIsOutdated);
    CPPUNIT_TEST_SUITE_END();

public:
    void withdrawnKeyIsInUseAgainWhenStoreWasRestored()
    {
        m_store->takeCopy();
        startGateway();
        const auto peer = createRouter("g2");
        auto updated = fakeConfiguration(2);
        updated["tenants"][0]["apiKeys"] = {"key2"};
        m_store->put("config", "main", updated);
        CPPUNIT_ASSERT(runUntil([&] { return call("POST", "/book/x", "a").head.status == 401; }));
        m_context->run_for(storeDelay);
        restoreStore();
        restartGateway();
        m_context->run_for(learningPeriod);
        CPPUNIT_ASSERT_EQUAL(401, call("POST", "/book/x", "b").head.status);
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", "c", "key2").head.status);
    }

    void removedEngineIsInUseAgainWhenStoreWasRestored()
    {
        m_store->takeCopy();
        startGateway();
        const auto peer = createRouter("g2");
        m_context->run_for(storeDelay);
        m_store->remove("servers", "app-0");
        m_context->run_for(storeDelay);
        restoreStore();
        restartGateway();
        m_context->run_for(learningPeriod);
        checkReceivesNothing("app-0");
    }

    void removedEngineIsInUseAgainWhenListIsOutdated()
    {
        startGateway();
        const auto peer = createRouter("g2");
        m_context->run_for(storeDelay);
        m_store->takeCopy();
        m_store->serveStaleListsFromCopy();
        m_store->remove("servers", "app-0");
        m_context->run_for(storeDelay);
        restartGateway();
        checkReceivesNothing("app-0");
    }

private:
    // Longer than the delay between the results of two watches.
    static constexpr std::chrono::milliseconds storeDelay{1500};
    // A restarted router has to know what its peers know within 3 s (contactMs).
    static constexpr std::chrono::milliseconds learningPeriod{2500};

    // Both routers have noticed it at the end: they write their records, which the copy lacks.
    void restoreStore()
    {
        m_store->restoreFromCopy();
        const std::string kind(Platform::kindName(DirectoryKind::Routers));
        CPPUNIT_ASSERT(
            runUntil([&] { return m_store->contains(kind, "g1") && m_store->contains(kind, "g2"); }));
    }

    void restartGateway()
    {
        endRouter(m_gateway, m_client);
        startGateway();
    }

    void checkReceivesNothing(const std::string &engine)
    {
        constexpr int calls = 12;
        const int before = m_engines.at(engine)->requestCount();
        for (int n = 0; n < calls; ++n)
            CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", absl::StrCat("after-", n)).head.status);
        CPPUNIT_ASSERT_EQUAL(before, m_engines.at(engine)->requestCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRestartedRouters);

} // namespace Wisteria
