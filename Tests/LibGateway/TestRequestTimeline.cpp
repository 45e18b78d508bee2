// Tests the timeline of one request that is assembled from the logs of several processes.

#include <LibGateway/RequestTimeline.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestRequestTimeline : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRequestTimeline);
    CPPUNIT_TEST(failedStreamIsRenderedInOrder);
    CPPUNIT_TEST(eventsAboutItsTargetsAreIncluded);
    CPPUNIT_TEST(processesAreOrderedByWallClock);
    CPPUNIT_TEST(refusalCauseIsExplained);
    CPPUNIT_TEST(missingOutcomeIsReported);
    CPPUNIT_TEST(skippedLinesAreCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    void failedStreamIsRenderedInOrder()
    {
        RequestTimeline timeline("r1");
        timeline.addLine(
            R"({"event":"attempt","process":"g1","request":"r1","number":1,"target":"e1","t":10.0})");
        timeline.addLine(
            R"({"event":"attempt","process":"g1","request":"r2","number":1,"target":"e1","t":10.1})");
        timeline.addLine(
            R"({"event":"finished","process":"g1","request":"r1","outcome":"attempts_used_up","status":0,"t":12.5})");
        const auto text = timeline.render();
        CPPUNIT_ASSERT(text.find("+0.000 s    g1  attempt number=1 target=e1") != std::string::npos);
        CPPUNIT_ASSERT(text.find("+2.500 s    g1  finished") != std::string::npos);
        CPPUNIT_ASSERT(text.find("cause: attempts_used_up: it was lost at as many targets")
                       != std::string::npos);
        CPPUNIT_ASSERT(text.find("r2") == std::string::npos);
    }

    void eventsAboutItsTargetsAreIncluded()
    {
        RequestTimeline timeline("r1");
        timeline.addLine(R"({"event":"store_lost","process":"g1","kind":"targets","t":7.5})");
        timeline.addLine(R"({"event":"store_lost","process":"g2","kind":"targets","t":9.9})");
        timeline.addLine(
            R"({"event":"target_verified","process":"g1","target":"e1","fault":"gone","t":9.5})");
        timeline.addLine(
            R"({"event":"target_verified","process":"g1","target":"e2","fault":"gone","t":9.6})");
        timeline.addLine(R"({"event":"store_lost","process":"g1","kind":"routers","t":1.0})");
        timeline.addLine(R"({"event":"attempt","process":"g1","request":"r1","target":"e1","t":10.0})");
        const auto text = timeline.render();
        CPPUNIT_ASSERT(text.find("-2.500 s  ~ g1  store_lost kind=targets") != std::string::npos);
        CPPUNIT_ASSERT(text.find("-0.500 s  ~ g1  target_verified") != std::string::npos);
        // Events of another target, of another process or from long before the request are left out.
        CPPUNIT_ASSERT(text.find("e2") == std::string::npos);
        CPPUNIT_ASSERT(text.find("g2") == std::string::npos);
        CPPUNIT_ASSERT(text.find("routers") == std::string::npos);
    }

    void processesAreOrderedByWallClock()
    {
        // The caller retried at another router, whose monotonic clock is far ahead.
        RequestTimeline timeline("r1");
        timeline.addLine(R"({"event":"started","process":"g2","unix_s":1000.0,"t":500.0})");
        timeline.addLine(
            R"({"event":"finished","process":"g2","request":"r1","outcome":"complete","t":507.0})");
        timeline.addLine(R"({"event":"started","process":"g1","unix_s":1001.0,"t":3.0})");
        timeline.addLine(R"({"event":"refused","process":"g1","request":"r1","reason":"stopping","t":6.0})");
        const auto text = timeline.render();
        CPPUNIT_ASSERT(text.find("refused") < text.find("finished"));
        CPPUNIT_ASSERT(text.find("+3.000 s    g2  finished") != std::string::npos);
        CPPUNIT_ASSERT(text.find("cause: complete") != std::string::npos);
    }

    void refusalCauseIsExplained()
    {
        RequestTimeline timeline("r1");
        // Log collectors may prefix each line with a time and a process name.
        timeline.addLine(
            R"(  4.1 front-1 {"event":"refused","process":"g1","request":"r1","reason":"no_configuration","t":6.0})");
        CPPUNIT_ASSERT(timeline.render().find("it did not run") != std::string::npos);
    }

    void missingOutcomeIsReported()
    {
        RequestTimeline timeline("r1");
        CPPUNIT_ASSERT(timeline.isEmpty());
        timeline.addLine(R"({"event":"attempt","process":"g1","request":"r1","target":"e1","t":10.0})");
        CPPUNIT_ASSERT(timeline.render().find("no final word") != std::string::npos);
    }

    void skippedLinesAreCounted()
    {
        RequestTimeline timeline("r1");
        for (const auto *line : {"", "plain text", "{", "[]", R"({"event":1,"process":"g","t":1})",
                                 R"({"event":"attempt","process":"g","t":"x"})"})
            timeline.addLine(line);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, timeline.skippedLines());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestTimeline);

} // namespace Wisteria
