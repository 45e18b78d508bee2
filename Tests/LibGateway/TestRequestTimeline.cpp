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
    CPPUNIT_TEST(runsAndTheirOverlapAreRendered);
    CPPUNIT_TEST(onlyRunEndsWithItsRequest);
    CPPUNIT_TEST(overlapIsBoundedWithoutLinesOfRunEnds);
    CPPUNIT_TEST(runsInSequenceDontOverlap);
    CPPUNIT_TEST(missingEndOfRunIsReported);
    CPPUNIT_TEST(missingBeginOfRunIsReported);
    CPPUNIT_TEST(runsOfSeveralRoutersAreReported);
    CPPUNIT_TEST(routersWithoutWallClockAreNotCompared);
    CPPUNIT_TEST(repeatedIdAtOneRouterIsReported);
    CPPUNIT_TEST(answerOfAnAbandonedRunIsReported);
    CPPUNIT_TEST(fieldsOfOtherTypesAreIgnored);
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

    void runsAndTheirOverlapAreRendered()
    {
        addMovedStream("0.9");
        checkHas("  g1 run 1 at e1: sent +0.000 s, accepted +0.005 s, first event +0.050 s, 12 events, ended "
                 "+0.900 s (cancelled)\n");
        checkHas("  g1 run 2 at e2 from a copy: sent +0.400 s, accepted +0.450 s, first event +0.500 s, 30 "
                 "events, ended +1.900 s (complete)\n");
        checkHas("  e1 and e2 overlapped for 500 ms from +0.400 s: too long for a stream (400 ms)\n");
        CPPUNIT_ASSERT(text().find("note:") == std::string::npos);

        m_timeline = RequestTimeline("r1");
        addMovedStream("0.8");
        checkHas("  e1 and e2 overlapped for 400 ms from +0.400 s: too long for a stream (400 ms)\n");

        m_timeline = RequestTimeline("r1");
        addMovedStream("0.79");
        checkHas("  e1 and e2 overlapped for 390 ms from +0.400 s\n");
        CPPUNIT_ASSERT(text().find("too long") == std::string::npos);
    }

    // Its `run_ended` line is left out.
    void onlyRunEndsWithItsRequest()
    {
        add("g1", "10.0", R"("event":"attempt","number":1,"target":"e1","replaces":"")");
        add("g1", "10.25", R"("event":"answering","target":"e1","after_ms":250)");
        add("g1", "12.0", R"("event":"finished","outcome":"complete")");
        checkHas("  g1 run 1 at e1: sent +0.000 s, first event +0.250 s, ended +2.000 s (complete)\n");
        CPPUNIT_ASSERT(text().find("overlapped") == std::string::npos);
    }

    // Of a build without `run_ended`, or lines were dropped.
    void overlapIsBoundedWithoutLinesOfRunEnds()
    {
        add("g1", "10.0", R"("event":"attempt","number":1,"target":"e1","replaces":"")");
        add("g1", "10.4", R"("event":"attempt","number":2,"target":"e2","replaces":"e1")");
        add("g1", "10.6", R"("event":"replacement_cancelled","target":"e2")");
        add("g1", "11.0", R"("event":"attempt","number":3,"target":"e3","replaces":"e1")");
        add("g1", "11.7", R"("event":"replacement_adopted","target":"e3","events":1)");
        checkHas("  e1 and e2 overlapped for 200 ms from +0.400 s\n");
        checkHas("run 3 at e3: sent +1.000 s, its end isn't in the log\n");
        checkHas("  e1 and e3 overlapped for at most 700 ms from +1.000 s: may be too long for a stream");
        add("g1", "12.0", R"("event":"attempt_lost","target":"e3","fault":"gone","events":4)");
        checkHas("run 3 at e3: sent +1.000 s, 4 events, ended +2.000 s (lost)\n");
        checkHas("  e1 and e3 overlapped for 700 ms from +1.000 s: too long for a stream (400 ms)\n");
        CPPUNIT_ASSERT(text().find("e2 and e3") == std::string::npos);

        m_timeline = RequestTimeline("r1");
        add("g1", "10.0", R"("event":"attempt","number":1,"target":"e1","replaces":"")");
        add("g1", "10.4", R"("event":"attempt","number":2,"target":"e2","replaces":"e1")");
        add("g1", "10.7", R"("event":"finished","outcome":"complete")");
        checkHas("run 1 at e1: sent +0.000 s, ended before +0.700 s (no line says when)\n");
        checkHas("  e1 and e2 overlapped for at most 300 ms from +0.400 s\n");
    }

    void runsInSequenceDontOverlap()
    {
        add("g1", "10.0", R"("event":"attempt","number":1,"target":"e1","replaces":"")");
        add("g1", "11.0", R"("event":"attempt","number":2,"target":"e2","replaces":"")");
        add("g1", "12.0", R"("event":"finished","outcome":"complete")");
        checkHas("run 1 at e1: sent +0.000 s, ended before +1.000 s (no line says when)\n");
        checkHas("run 2 at e2: sent +1.000 s, ended +2.000 s (complete)\n");
        CPPUNIT_ASSERT(text().find("overlapped") == std::string::npos);
    }

    void missingEndOfRunIsReported()
    {
        add("g1", "10.0", R"("event":"attempt","number":1,"target":"e1","replaces":"")");
        checkHas("run 1 at e1: sent +0.000 s, its end isn't in the log\n");
        add("g1", "10.4", R"("event":"attempt","number":2,"target":"e2","replaces":"e1")");
        checkHas("run 1 at e1: sent +0.000 s, its end isn't in the log\n");
        checkHas("  e1 and e2 overlapped for an unknown time from +0.400 s\n");
    }

    // The log begins in the middle of the request.
    void missingBeginOfRunIsReported()
    {
        add("g1", "10.0", R"("event":"attempt","number":2,"target":"e2","replaces":"e1")");
        add("g1", "10.5",
            R"("event":"run_ended","number":1,"target":"e1","reason":"cancelled","events":7,"lasted_ms":3000)");
        add("g1", "10.5", R"("event":"replacement_adopted","target":"e2","events":1)");
        add("g1", "11.0",
            R"("event":"run_ended","number":2,"target":"e2","reason":"complete","events":9,"lasted_ms":1000)");
        add("g1", "11.0", R"("event":"finished","outcome":"complete")");
        checkHas(
            "  g1 run 1 at e1: sent -2.500 s, 7 events, ended +0.500 s (cancelled); its attempt isn't in the "
            "log\n");
        checkHas("overlapped for 500 ms from +0.000 s: too long");
        CPPUNIT_ASSERT(text().find("note:") == std::string::npos);
    }

    void runsOfSeveralRoutersAreReported()
    {
        m_timeline.addLine(R"({"event":"started","process":"g1","unix_s":1000.0,"t":500.0})");
        m_timeline.addLine(R"({"event":"started","process":"g2","unix_s":1001.0,"t":3.0})");
        add("g1", "510.0", R"("event":"attempt","number":1,"target":"e1","replaces":"")");
        add("g1", "511.0",
            R"("event":"run_ended","number":1,"target":"e1","reason":"lost","events":3,"lasted_ms":1000)");
        add("g2", "12.5", R"("event":"attempt","number":1,"target":"e2","replaces":"")");
        add("g2", "13.0", R"("event":"finished","outcome":"complete")");
        checkHas("  g2 run 1 at e2: sent +0.500 s, ended +1.000 s (complete)\n");
        checkHas("  e1 and e2 overlapped for 500 ms from +0.500 s: too long");
        checkHas("note: several routers sent runs of this id (g1, g2)");
        CPPUNIT_ASSERT(text().find("can't be compared") == std::string::npos);
    }

    void routersWithoutWallClockAreNotCompared()
    {
        m_timeline.addLine(R"({"event":"started","process":"g1","unix_s":1000.0,"t":500.0})");
        add("g1", "510.0", R"("event":"attempt","number":1,"target":"e1","replaces":"")");
        add("g2", "10.0", R"("event":"attempt","number":1,"target":"e2","replaces":"")");
        CPPUNIT_ASSERT(text().find("overlapped") == std::string::npos);
        checkHas("note: several routers sent runs of this id (g1, g2)");
        checkHas("can't be compared, since the logs have no `started` line of g2\n");
    }

    void repeatedIdAtOneRouterIsReported()
    {
        add("g1", "10.0", R"("event":"attempt","number":1,"target":"e1","replaces":"")");
        add("g1", "10.1", R"("event":"attempt","number":1,"target":"e2","replaces":"")");
        add("g1", "10.9",
            R"("event":"run_ended","number":1,"target":"e1","reason":"lost","events":0,"lasted_ms":900)");
        checkHas("note: g1 took a request with this id 2 times\n");
        checkHas("  e1 and e2 overlapped for at most 800 ms from +0.100 s: may be too long");
    }

    void answerOfAnAbandonedRunIsReported()
    {
        addMovedStream("0.7");
        add("g1", "12.1", R"("event":"abandoned_run","target":"e1","outcome":"ended","after_ms":35)");
        checkHas("ended +0.700 s (cancelled), told to stop: ended\n");
        checkHas("  e1 and e2 overlapped for 300 ms from +0.400 s\n");

        // The target worked on it until it was told to stop.
        m_timeline = RequestTimeline("r1");
        addMovedStream("0.7");
        add("g1", "10.9", R"("event":"abandoned_run","target":"e1","outcome":"stopped","after_ms":35)");
        checkHas("ended +0.700 s (cancelled), told to stop: stopped +0.900 s\n");
        checkHas("  e1 and e2 overlapped for 500 ms from +0.400 s: too long for a stream");
    }

    void fieldsOfOtherTypesAreIgnored()
    {
        add("g1", "10.0", R"("event":"attempt","number":"1","target":1,"replaces":[],"from_copy":"x")");
        add("g1", "10.1", R"("event":"run_ended","number":1.5,"target":{},"lasted_ms":"x","events":null)");
        add("g1", "10.2", R"("event":"replacement_adopted","target":null)");
        add("g1", "10.3", R"("event":"finished","outcome":1)");
        checkHas("cause: unknown");
    }

private:
    void add(const std::string &process, const std::string &time, const std::string &fields)
    {
        m_timeline.addLine(R"({"request":"r1","process":")" + process + R"(","t":)" + time + "," + fields
                           + "}");
    }

    // Leaves e1 at 10.4 s, and e1's run is cancelled so many seconds after 10 s.
    void addMovedStream(const std::string &cancelledAfter)
    {
        const auto cancelledAt = "1" + cancelledAfter;
        add("g1", "10.0", R"("event":"attempt","number":1,"target":"e1","replaces":"","from_copy":false)");
        add("g1", "10.05", R"("event":"answering","target":"e1","after_ms":50)");
        add("g1", "10.4", R"("event":"attempt","number":2,"target":"e2","replaces":"e1","from_copy":true)");
        add("g1", cancelledAt,
            R"("event":"run_ended","number":1,"target":"e1","reason":"cancelled","events":12,"lasted_ms":900,)"
            R"("accepted_after_ms":5,"first_event_after_ms":50,"beside":"e2","beside_ms":500)");
        add("g1", cancelledAt, R"("event":"replacement_adopted","target":"e2","events":1)");
        add("g1", "11.9",
            R"("event":"run_ended","number":2,"target":"e2","reason":"complete","events":30,"lasted_ms":1500,)"
            R"("accepted_after_ms":50,"first_event_after_ms":100)");
        add("g1", "11.9", R"("event":"finished","outcome":"complete","status":200)");
    }

    [[nodiscard]] std::string text() const { return m_timeline.render(); }
    void checkHas(const std::string &part) const
    {
        CPPUNIT_ASSERT_MESSAGE(text(), text().find(part) != std::string::npos);
    }

    RequestTimeline m_timeline{"r1"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestTimeline);

} // namespace Wisteria
