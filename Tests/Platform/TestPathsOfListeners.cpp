// End-to-end tests that each listener serves only what it is for: at the callers' address, views of the
// configuration with the keys of all workspaces were served to anyone.

#include "FakeDeployment.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestPathsOfListeners : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestPathsOfListeners);
    CPPUNIT_TEST(callersAddressServesOnlyRoutes);
    CPPUNIT_TEST(pathsOfTheGatewayBelongToRoutesAtTheCallersAddress);
    CPPUNIT_TEST(eachListenerServesItsOwnPaths);
    CPPUNIT_TEST(otherListenersForwardNothing);
    CPPUNIT_TEST(otherMethodsAreRejected);
    CPPUNIT_TEST(sharedAddressServesSumOfRoles);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        m_router.gateway.reset();
        m_router.client.reset();
        FakeDeployment::tearDown();
    }

    void callersAddressServesOnlyRoutes()
    {
        startRouter();
        m_address = m_router.settings.callerListen;
        for (const auto *path : localPaths) {
            for (const auto *method : {"GET", "POST"}) {
                const auto response = call(method, path, nextId());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 404, response.head.status);
                CPPUNIT_ASSERT_MESSAGE(path, response.body.empty());
            }
        }
    }

    void pathsOfTheGatewayBelongToRoutesAtTheCallersAddress()
    {
        auto configuration = fakeConfiguration(2);
        auto route = configuration["routes"][2];
        route["name"] = "all";
        route["pathPrefix"] = "/";
        configuration["routes"].push_back(route);
        m_store->put("config", "main", configuration);
        startRouter();
        m_address = m_router.settings.callerListen;
        for (const auto *path : localPaths) {
            const auto id = nextId();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, "answer of " + id, call("GET", path, id).body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 401, call("GET", path, nextId(), "another").head.status);
        }
    }

    void eachListenerServesItsOwnPaths()
    {
        startRouter();
        const auto &settings = m_router.settings;
        const std::vector<std::pair<std::string, std::string>> served = {
            {settings.readinessListen, readinessPath},
            {settings.entryPointListen, entryPointPath},
            {settings.peerListen, viewPath},
            {settings.metricsListen, metricsPath}};
        for (const auto &[address, own] : served) {
            m_address = address;
            for (const auto *path : localPaths) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat(path, " where ", own, " is served"),
                                             path == own ? 200 : 404,
                                             call("GET", path, nextId()).head.status);
            }
        }
    }

    void otherListenersForwardNothing()
    {
        startRouter();
        const auto &settings = m_router.settings;
        for (const auto &address : {settings.readinessListen, settings.entryPointListen, settings.peerListen,
                                    settings.metricsListen}) {
            m_address = address;
            const auto id = nextId();
            CPPUNIT_ASSERT_EQUAL(404, call("POST", "/book/x", id).head.status);
            CPPUNIT_ASSERT_EQUAL(0, m_engineState.runsByRequest[id]);
        }
    }

    void otherMethodsAreRejected()
    {
        startRouter();
        m_address = m_router.settings.peerListen;
        CPPUNIT_ASSERT_EQUAL(405, call("POST", viewPath, nextId()).head.status);
        CPPUNIT_ASSERT_EQUAL(405, call("DELETE", viewPath, nextId()).head.status);
    }

    void sharedAddressServesSumOfRoles()
    {
        startGateway();
        CPPUNIT_ASSERT_EQUAL(200, call("GET", readinessPath, nextId()).head.status);
        CPPUNIT_ASSERT_EQUAL(200, call("GET", metricsPath, nextId()).head.status);
        CPPUNIT_ASSERT_EQUAL(200, call("GET", "/look/x", nextId()).head.status);
        CPPUNIT_ASSERT_EQUAL(404, call("GET", viewPath, nextId()).head.status);
    }

private:
    static constexpr const char *readinessPath = "/-/ready";
    static constexpr const char *entryPointPath = "/-/resolve?name=site.example&zone=z0";
    static constexpr const char *viewPath = "/v1/peer/views/configuration/0/0";
    static constexpr const char *metricsPath = "/metrics";
    static constexpr const char *localPaths[] = {readinessPath, entryPointPath, viewPath, metricsPath};

    // A router with an address for each role.
    void startRouter()
    {
        auto settings = makeSettings("g1");
        settings.entryPointListen = unusedLoopbackAddress();
        settings.readinessListen = unusedLoopbackAddress();
        settings.metricsListen = unusedLoopbackAddress();
        m_router = createRouter(settings);
        m_address = settings.readinessListen;
        CPPUNIT_ASSERT(runUntil([&] { return call("GET", readinessPath, nextId()).head.status == 200; }));
    }

    std::string nextId() { return absl::StrCat("r", ++m_calls); }

    Router m_router;
    int m_calls{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPathsOfListeners);

} // namespace Wisteria
