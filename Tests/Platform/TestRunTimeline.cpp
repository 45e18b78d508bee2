// From the id of a stream that moved to another engine to its two runs and their overlap: on the metrics
// address, and in the gateway's log lines.

#include "CapturedOutput.h"
#include "FakeDeployment.h"

#include <LibGateway/RequestTimeline.h>

#include <absl/strings/str_split.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestRunTimeline : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestRunTimeline);
    CPPUNIT_TEST(streamThatMovesShowsItsOverlap);
    CPPUNIT_TEST(streamThatStaysShowsNone);
    CPPUNIT_TEST_SUITE_END();

public:
    // The replacement's first event is late by less than the stall limit.
    void streamThatMovesShowsItsOverlap()
    {
        const CapturedOutput output;
        startStream();
        m_engineState.firstEventDelay = std::chrono::milliseconds(100);
        m_engines.at("llm-0")->pauseFor(std::chrono::milliseconds(3000));
        const auto metrics = finishStream();
        checkHas(metrics, "\nwisteria_run_overlap_seconds_count 1\n");
        CPPUNIT_ASSERT(metrics.find("wisteria_run_overlaps_too_long_total") == std::string::npos);

        const auto timeline = render(output.text());
        checkHas(timeline, "  g1 run 1 at llm-0: sent +0.000 s, accepted ");
        checkHas(timeline, "  g1 run 2 at llm-");
        checkHas(timeline, "  llm-0 and llm-");
        checkHas(timeline, " overlapped for ");
        checkHas(timeline, "cause: complete");
        for (const auto *part : {"isn't in the log", "no line says when", "too long", "note:"})
            CPPUNIT_ASSERT_MESSAGE(timeline, timeline.find(part) == std::string::npos);
    }

    void streamThatStaysShowsNone()
    {
        const CapturedOutput output;
        startStream();
        const auto metrics = finishStream();
        CPPUNIT_ASSERT(metrics.find("wisteria_run_overlap") == std::string::npos);
        const auto timeline = render(output.text());
        checkHas(timeline, "  g1 run 1 at llm-0: sent +0.000 s, first event ");
        checkHas(timeline, " (complete)\n");
        CPPUNIT_ASSERT_MESSAGE(timeline, timeline.find("overlapped") == std::string::npos);
    }

private:
    // The stall limit of the route is 500 ms.
    void startStream()
    {
        auto configuration = fakeConfiguration(1);
        configuration["routes"][0]["gapAimMs"] = 1000;
        m_store->put("config", "main", configuration);
        m_engineState.eventsPerStream = 40;
        startGateway();
        preferEngine("llm-0");
        startCall("POST", "/stream/x", "r1", "key", m_response, m_isDone);
        CPPUNIT_ASSERT(runUntil([&] { return m_engines.at("llm-0")->requestCount() > 0; }));
        m_context->run_for(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(!m_isDone);
    }

    // Ends the gateway, which writes the rest of its log. Returns its metrics.
    std::string finishStream()
    {
        CPPUNIT_ASSERT(runUntil([&] { return m_isDone; }));
        CPPUNIT_ASSERT_EQUAL(200, m_response.head.status);
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), m_response.body);
        auto metrics = call("GET", "/metrics", "").body;
        m_gateway.reset();
        return metrics;
    }

    static std::string render(const std::string &log)
    {
        RequestTimeline timeline("r1");
        for (const auto line : absl::StrSplit(log, '\n'))
            timeline.addLine({line.data(), line.size()});
        return timeline.render();
    }

    static void checkHas(const std::string &text, const std::string &part)
    {
        CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
    }

    HttpResponse m_response;
    bool m_isDone{false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRunTimeline);

} // namespace Wisteria
