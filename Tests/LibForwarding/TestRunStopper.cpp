// Guards against lost runs that were never stopped: their targets were asked a few times at once and then
// never again, or not after they had answered that there was no such run yet.

#include <LibForwarding/RunStopper.h>

#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace Wisteria {

class TestRunStopper : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRunStopper);
    CPPUNIT_TEST(runThatIsStoppedIsSettledByOneRequest);
    CPPUNIT_TEST(busyTargetIsAskedUntilItCanStopTheRun);
    CPPUNIT_TEST(lostAnswersAreFollowedByRequestsAtGrowingIntervals);
    CPPUNIT_TEST(unreachableTargetIsAskedAgain);
    CPPUNIT_TEST(requestThatMayWaitIsAskedForUntilItRuns);
    CPPUNIT_TEST(reportWithoutTheRequestSettlesIt);
    CPPUNIT_TEST(limitStretchesRequestsForRunsThatMayNotExist);
    CPPUNIT_TEST(attemptWaitsForTheEndOfACopy);
    CPPUNIT_TEST(attemptWaitsForTheEndOfABackoff);
    CPPUNIT_TEST(attemptWaitsOnWhileTheTargetIsBusy);
    CPPUNIT_TEST(attemptDoesNotWaitForATargetThatIsCopying);
    CPPUNIT_TEST(attemptDoesNotWaitForAnUnreachableTarget);
    CPPUNIT_TEST(attemptDoesNotWaitForATargetThatHasEnded);
    CPPUNIT_TEST(attemptDoesNotWaitWithoutEnd);
    CPPUNIT_TEST(attemptWaitsForAllRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_now = absl::UnixEpoch() + absl::Hours(1);
        m_stopper = RunStopper(longestHold);
        m_settled.reset();
        m_asked = 0;
        m_reports = 0;
    }

    void runThatIsStoppedIsSettledByOneRequest()
    {
        abandon(true);
        CPPUNIT_ASSERT(!m_stopper.holdsNextAttempt(m_now));
        CPPUNIT_ASSERT(m_stopper.isStopping(m_process.id));
        answerAll(absl::Seconds(5), StopResult::Stopped);
        CPPUNIT_ASSERT_EQUAL(1, m_asked);
        CPPUNIT_ASSERT(m_settled && m_settled->result == StopResult::Stopped);
        CPPUNIT_ASSERT(m_settled->after == RunStopper::stopDelay);
        CPPUNIT_ASSERT(!m_stopper.isStopping(m_process.id));
    }

    // Two targets may work side by side for less than 400 ms, from the moment at which the target can stop
    // the run.
    void busyTargetIsAskedUntilItCanStopTheRun()
    {
        for (const auto busyTime : {absl::Milliseconds(300), absl::Milliseconds(800), absl::Seconds(2)}) {
            setUp();
            abandon(true);
            answerAll(busyTime, StopResult::Busy);
            const auto since = m_now;
            answerAll(absl::Seconds(1), StopResult::Stopped);
            CPPUNIT_ASSERT(m_settled);
            CPPUNIT_ASSERT(m_settledAt - since <= RunStopper::longestBusyRetry);
            CPPUNIT_ASSERT_MESSAGE(absl::StrCat(m_asked),
                                   m_asked <= 4 + busyTime / RunStopper::longestBusyRetry);
        }
    }

    void lostAnswersAreFollowedByRequestsAtGrowingIntervals()
    {
        abandon(true);
        answerAll(absl::Seconds(10), StopResult::AnswerLost);
        CPPUNIT_ASSERT(!m_settled);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(m_asked), m_asked >= 10 && m_asked <= 16);
        answerAll(absl::Seconds(2), StopResult::NotRunning);
        CPPUNIT_ASSERT(m_settled);
    }

    void unreachableTargetIsAskedAgain()
    {
        abandon(true);
        answerAll(absl::Seconds(10), StopResult::Unreachable);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(m_asked), m_asked >= 5 && m_asked <= 7);
        answerAll(absl::Seconds(2), StopResult::Stopped);
        CPPUNIT_ASSERT(m_settled && m_settled->result == StopResult::Stopped);
    }

    void requestThatMayWaitIsAskedForUntilItRuns()
    {
        abandon(false);
        answerAll(absl::Seconds(5), StopResult::NotRunning);
        CPPUNIT_ASSERT(!m_settled);
        CPPUNIT_ASSERT(m_stopper.isStopping(m_process.id));
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(m_asked), m_asked <= 5000 / 300 + 2);
        const auto since = m_now;
        answerAll(absl::Seconds(1), StopResult::Stopped);
        CPPUNIT_ASSERT(m_settled && m_settledAt - since <= RunStopper::queuedRunInterval);
    }

    void reportWithoutTheRequestSettlesIt()
    {
        m_presence = QueuePresence::Absent;
        abandon(false);
        answerAll(absl::Seconds(5), StopResult::NotRunning);
        CPPUNIT_ASSERT(m_settled && m_settled->result == StopResult::NotRunning);
        CPPUNIT_ASSERT_EQUAL(1, m_asked);
        CPPUNIT_ASSERT_EQUAL(1, m_reports);
    }

    void limitStretchesRequestsForRunsThatMayNotExist()
    {
        m_limitInterval = absl::Seconds(2);
        abandon(false);
        answerAll(absl::Seconds(10), StopResult::NotRunning);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(m_asked + m_reports), m_asked + m_reports <= 8);
    }

    void attemptWaitsForTheEndOfACopy()
    {
        abandon(true, StopObstacle::CopyInProgress);
        answerAll(absl::Milliseconds(800), StopResult::Stopped);
        CPPUNIT_ASSERT_EQUAL(0, m_asked);
        CPPUNIT_ASSERT(m_stopper.holdsNextAttempt(m_now));
        perform(m_stopper.handle(RunStopEvents::CopyEnded{m_process}, m_now));
        answerAll(absl::Milliseconds(1), StopResult::Stopped);
        CPPUNIT_ASSERT(m_settled);
        CPPUNIT_ASSERT(!m_stopper.holdsNextAttempt(m_now));
    }

    void attemptWaitsForTheEndOfABackoff()
    {
        abandon(true, StopObstacle::TakesNoRequest);
        m_delayedUntil = m_now + absl::Milliseconds(700);
        answerAll(absl::Milliseconds(690), StopResult::Stopped);
        CPPUNIT_ASSERT(m_stopper.holdsNextAttempt(m_now));
        answerAll(absl::Milliseconds(20), StopResult::Stopped);
        CPPUNIT_ASSERT(m_settled);
        CPPUNIT_ASSERT(!m_stopper.holdsNextAttempt(m_now));
    }

    void attemptWaitsOnWhileTheTargetIsBusy()
    {
        abandon(true, StopObstacle::TakesNoRequest);
        answerAll(absl::Milliseconds(900), StopResult::Busy);
        CPPUNIT_ASSERT(m_stopper.holdsNextAttempt(m_now));
        answerAll(absl::Milliseconds(300), StopResult::Stopped);
        CPPUNIT_ASSERT(!m_stopper.holdsNextAttempt(m_now));
    }

    // It answers when its copy is complete, but stops the run before.
    void attemptDoesNotWaitForATargetThatIsCopying()
    {
        abandon(true, StopObstacle::TakesNoRequest);
        m_answers = false;
        answerAll(RunStopper::stopDelay + absl::Milliseconds(5), StopResult::Stopped);
        CPPUNIT_ASSERT_EQUAL(1, m_asked);
        CPPUNIT_ASSERT(m_stopper.holdsNextAttempt(m_now));
        answerAll(RunStopper::settleTime, StopResult::Stopped);
        CPPUNIT_ASSERT(!m_stopper.holdsNextAttempt(m_now));
    }

    void attemptDoesNotWaitForAnUnreachableTarget()
    {
        abandon(true, StopObstacle::TakesNoRequest);
        answerAll(RunStopper::stopDelay, StopResult::Unreachable);
        CPPUNIT_ASSERT_EQUAL(1, m_asked);
        CPPUNIT_ASSERT(!m_stopper.holdsNextAttempt(m_now));
    }

    // A probe finds that nothing listens, before the target may be asked.
    void attemptDoesNotWaitForATargetThatHasEnded()
    {
        abandon(true, StopObstacle::TakesNoRequest);
        m_delayedUntil = m_now + absl::Seconds(1);
        answerAll(RunStopper::stopDelay, StopResult::Unreachable);
        CPPUNIT_ASSERT(m_stopper.holdsNextAttempt(m_now));
        perform(m_stopper.handle(RunStopEvents::TargetUnreachable{m_process}, m_now));
        CPPUNIT_ASSERT(!m_stopper.holdsNextAttempt(m_now));
        CPPUNIT_ASSERT(m_stopper.isStopping(m_process.id));
    }

    void attemptDoesNotWaitWithoutEnd()
    {
        abandon(true, StopObstacle::TakesNoRequest);
        m_delayedUntil = m_now + absl::Hours(1);
        answerAll(longestHold - absl::Milliseconds(1), StopResult::Stopped);
        CPPUNIT_ASSERT(m_stopper.holdsNextAttempt(m_now));
        answerAll(absl::Milliseconds(2), StopResult::Stopped);
        CPPUNIT_ASSERT(!m_stopper.holdsNextAttempt(m_now));
        CPPUNIT_ASSERT(m_stopper.isStopping(m_process.id));
    }

    void attemptWaitsForAllRuns()
    {
        const TargetProcess other{.id = TargetId("t2"), .startedAtMs = 1, .address = "127.0.0.1:2"};
        abandon(true, StopObstacle::CopyInProgress);
        perform(m_stopper.handle(RunStopEvents::RunAbandoned{.process = other,
                                                             .hasStarted = true,
                                                             .obstacle = StopObstacle::CopyInProgress},
                                 m_now));
        perform(m_stopper.handle(RunStopEvents::CopyEnded{other}, m_now));
        answerAll(absl::Milliseconds(1), StopResult::Stopped);
        CPPUNIT_ASSERT(m_settled && m_settled->process == other);
        CPPUNIT_ASSERT(m_stopper.holdsNextAttempt(m_now));
        m_settled.reset();
        perform(m_stopper.handle(RunStopEvents::RunOver{m_process}, m_now));
        CPPUNIT_ASSERT(!m_stopper.holdsNextAttempt(m_now));
        CPPUNIT_ASSERT(m_stopper.unsettledRuns().empty());
    }

private:
    static constexpr absl::Duration longestHold = absl::Milliseconds(1500);
    const TargetProcess m_process{.id = TargetId("t1"), .startedAtMs = 1, .address = "127.0.0.1:1"};

    void abandon(bool hasStarted, StopObstacle obstacle = StopObstacle::None)
    {
        m_timerAt = absl::InfiniteFuture();
        perform(m_stopper.handle(
            RunStopEvents::RunAbandoned{.process = m_process, .hasStarted = hasStarted, .obstacle = obstacle},
            m_now));
    }

    // Lets the time pass; the target gives this answer to each request.
    void answerAll(absl::Duration duration, StopResult result)
    {
        const auto end = m_now + duration;
        m_result = result;
        while (m_timerAt <= end) {
            m_now = std::max(m_now, m_timerAt);
            m_timerAt = absl::InfiniteFuture();
            perform(m_stopper.handle(RunStopEvents::Tick{}, m_now));
        }
        m_now = end;
    }

    void perform(const RunStopActionList &actions)
    {
        for (const auto &it : actions)
            std::visit([this](const auto &action) { perform(action); }, it);
    }

    void perform(const RunStopActions::AskToStop &action)
    {
        if (m_now < m_delayedUntil) {
            perform(m_stopper.handle(RunStopEvents::Delayed{action.process, m_delayedUntil}, m_now));
            return;
        }
        ++m_asked;
        CPPUNIT_ASSERT_EQUAL(m_asked, action.number);
        perform(m_stopper.handle(RunStopEvents::Asked{action.process}, m_now));
        if (m_answers) {
            perform(m_stopper.handle(RunStopEvents::StopAnswered{.process = action.process,
                                                                 .result = m_result,
                                                                 .limitInterval = m_limitInterval},
                                     m_now));
        }
    }

    void perform(const RunStopActions::AskForReport &action)
    {
        ++m_reports;
        perform(m_stopper.handle(RunStopEvents::Asked{action.process}, m_now));
        perform(m_stopper.handle(RunStopEvents::ReportAnswered{action.process, m_presence}, m_now));
    }

    void perform(const RunStopActions::RunSettled &action)
    {
        CPPUNIT_ASSERT(!m_settled);
        m_settled = action;
        m_settledAt = m_now;
    }

    void perform(const RunStopActions::SetTimer &action) { m_timerAt = action.at; }

    absl::Time m_now;
    RunStopper m_stopper{longestHold};
    absl::Time m_timerAt{absl::InfiniteFuture()};
    StopResult m_result{StopResult::Stopped};
    bool m_answers{true};
    QueuePresence m_presence{QueuePresence::MayBePresent};
    absl::Duration m_limitInterval;
    // The target takes no request before.
    absl::Time m_delayedUntil{absl::InfinitePast()};
    int m_asked{0};
    int m_reports{0};
    std::optional<RunStopActions::RunSettled> m_settled;
    absl::Time m_settledAt;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRunStopper);

} // namespace Wisteria
