// A report that a target's process has ended arrived after the target had started again under the same id. It
// ended requests at the new process and kept others away from it.

#include "FakeDeployment.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestLateReportsOfTargets : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestLateReportsOfTargets);
    CPPUNIT_TEST(runAtNewProcessGoesOn);
    CPPUNIT_TEST(newProcessReceivesRequests);
    CPPUNIT_TEST(runAtReportedProcessEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    void runAtNewProcessGoesOn()
    {
        const auto ended = startAgain();
        startGateway();
        startRun();
        m_peerRouter->reportGone(m_peerAddress, ended);
        CPPUNIT_ASSERT(runUntil([&] { return m_isDone; }));
        CPPUNIT_ASSERT_EQUAL(200, m_response.head.status);
        CPPUNIT_ASSERT_EQUAL(std::string("answer of r1"), m_response.body);
        m_gateway.reset();
    }

    void newProcessReceivesRequests()
    {
        const auto ended = startAgain();
        m_engines.at("app-1")->end();
        m_store->remove("servers", "app-1");
        startGateway();
        preferEngine("app-0");
        m_peerRouter->reportGone(m_peerAddress, ended);
        m_context->run_for(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", "r1").head.status);
        m_gateway.reset();
    }

    void runAtReportedProcessEnds()
    {
        startGateway();
        startRun();
        m_peerRouter->reportGone(m_peerAddress, process());
        CPPUNIT_ASSERT(runUntil([&] { return m_isDone; }));
        CPPUNIT_ASSERT_EQUAL(502, m_response.head.status);
        m_gateway.reset();
    }

private:
    [[nodiscard]] TargetProcess process() const
    {
        const auto record = m_engines.at("app-0")->storeRecord();
        return {TargetId("app-0"), record["born"].get<std::int64_t>(), record["address"].get<std::string>()};
    }

    // Returns the process that has ended.
    TargetProcess startAgain()
    {
        auto ended = process();
        m_engines.at("app-0")->end();
        m_engines.at("app-0")->startAgain("app-0");
        m_store->put("servers", "app-0", m_engines.at("app-0")->storeRecord());
        return ended;
    }

    void startRun()
    {
        preferEngine("app-0");
        m_engines.at("app-0")->pauseFor(std::chrono::milliseconds(500));
        startCall("POST", "/book/x", "r1", "key", m_response, m_isDone);
        m_context->run_for(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(!m_isDone);
    }

    HttpResponse m_response;
    bool m_isDone{false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLateReportsOfTargets);

} // namespace Wisteria
