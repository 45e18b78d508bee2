// Guards against a status that says "not executed" for a request that an engine has executed: the caller sent
// it again, and a booking was made twice.

#include "FakeDeployment.h"

#include <Support/FakeClosingPeer.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestPromisesOfFailedRequests : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestPromisesOfFailedRequests);
    CPPUNIT_TEST(executedBookingIsNotReportedAsNotRun);
    CPPUNIT_TEST(executedStreamThatCannotBeResumedIsNotReportedAsNotRun);
    CPPUNIT_TEST(otherFailuresArePassedOn);
    CPPUNIT_TEST(rejectedBookingRunsElsewhere);
    CPPUNIT_TEST(failedLookupIsRepeated);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        m_peer.reset();
        FakeDeployment::tearDown();
    }

    void executedBookingIsNotReportedAsNotRun()
    {
        for (const int status : promises) {
            startWithPeer("app-0", status);
            const auto response = call("POST", "/book/x", "r");
            CPPUNIT_ASSERT_EQUAL(502, response.head.status);
            // An answer of an engine has the engine's own status.
            CPPUNIT_ASSERT(fieldValue(response.head.fields, "Engine-Seal").empty());
            CPPUNIT_ASSERT(fieldValue(response.head.fields, "Retry-After").empty());
            CPPUNIT_ASSERT_EQUAL(1, m_peer->requestCount());
            CPPUNIT_ASSERT(m_engineState.runsByRequest.empty());
        }
    }

    void executedStreamThatCannotBeResumedIsNotReportedAsNotRun()
    {
        auto configuration = fakeConfiguration(1);
        configuration["routes"][0]["resumable"] = false;
        m_store->put("config", "main", configuration);
        for (const int status : promises) {
            startWithPeer("llm-0", status);
            CPPUNIT_ASSERT_EQUAL(502, call("POST", "/stream/x", "r").head.status);
            CPPUNIT_ASSERT_EQUAL(1, m_peer->requestCount());
            CPPUNIT_ASSERT(m_engineState.runsByRequest.empty());
        }
    }

    void otherFailuresArePassedOn()
    {
        for (const int status : {400, 404, 500, 504}) {
            startWithPeer("app-0", status);
            const auto response = call("POST", "/book/x", "r");
            CPPUNIT_ASSERT_EQUAL(status, response.head.status);
            CPPUNIT_ASSERT_EQUAL(std::string("seal"),
                                 std::string(fieldValue(response.head.fields, "Engine-Seal")));
        }
    }

    void rejectedBookingRunsElsewhere()
    {
        for (const int status : promises) {
            startWithPeer("app-0", status, "Not-Executed: 1\r\n");
            const auto id = absl::StrCat("r", status);
            CPPUNIT_ASSERT_EQUAL("answer of " + id, call("POST", "/book/x", id).body);
            CPPUNIT_ASSERT_EQUAL(1, m_peer->requestCount());
        }
    }

    void failedLookupIsRepeated()
    {
        startWithPeer("app-0", 503);
        CPPUNIT_ASSERT_EQUAL(std::string("answer of r"), call("GET", "/look/x", "r").body);
        CPPUNIT_ASSERT_EQUAL(1, m_peer->requestCount());
    }

private:
    static constexpr int promises[] = {408, 429, 503};

    // The next request of the engine's service gets this status from it.
    void startWithPeer(const std::string &id, int status, const std::string &field = "Engine-Seal: seal\r\n")
    {
        endRouter(m_gateway, m_client);
        m_peer = std::make_unique<FakeClosingPeer>(
            *m_context,
            absl::StrCat("HTTP/1.1 ", status, " Failed\r\n", field, "Content-Length: 4\r\n\r\nfail"),
            FakeEnding::HalfClose);
        m_engines[id]->setPublishedAddress(m_peer->address());
        m_store->put("servers", id, m_engines[id]->storeRecord());
        startGateway();
        preferEngine(id);
    }

    std::unique_ptr<FakeClosingPeer> m_peer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPromisesOfFailedRequests);

} // namespace Wisteria
