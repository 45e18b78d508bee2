// The router's decisions one by one: delivery, resume, race, re-attach, drain and configuration.

#include "FakeHost.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestRouter : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRouter);
    CPPUNIT_TEST(deliversAndCompletes);
    CPPUNIT_TEST(resumesAtOnceAfterLoss);
    CPPUNIT_TEST(ignoresCancelledAttempt);
    CPPUNIT_TEST(racesSilentAttemptAndLetsItWin);
    CPPUNIT_TEST(replacesAttemptThatSkipsToken);
    CPPUNIT_TEST(refusesRejectedRequest);
    CPPUNIT_TEST(completesWhenOnlyEndIsMissing);
    CPPUNIT_TEST(reattachesThenStartsAnew);
    CPPUNIT_TEST(staysWithModelOfItsOpening);
    CPPUNIT_TEST(handsOverAfterDrainLimit);
    CPPUNIT_TEST(countsNoSilenceWhileNotRunning);
    CPPUNIT_TEST(boundsFruitlessAttempts);
    CPPUNIT_TEST(reattachesOnlyWithinTheService);
    CPPUNIT_TEST(restartNeverReattaches);
    CPPUNIT_TEST(thriftDelaysTheRace);
    CPPUNIT_TEST(prefersTargetWithThePrefix);
    CPPUNIT_TEST_SUITE_END();

public:
    void deliversAndCompletes()
    {
        FakeHost host;
        host.addTarget("t1");
        auto started = only<StartAttempt>(host.open("g"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), started.size());
        host.feed(AttemptStarted{started[0].attempt, EngineStreamId("s")});
        auto delivered = only<DeliverToken>(host.bring(started[0].attempt, 0, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), delivered.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s"), delivered[2].stream.value());
        auto done = only<CompleteGeneration>(host.feed(AttemptFinished{started[0].attempt, TokenOffset(3)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), done.size());
        CPPUNIT_ASSERT(host.router().demand().empty());
    }

    void resumesAtOnceAfterLoss()
    {
        FakeHost host;
        const auto first = start(host);
        host.bring(first.attempt, 0, 3);
        auto again = only<StartAttempt>(host.feed(AttemptFailed{first.attempt, AttemptFailure::StreamLost}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), again.size());
        CPPUNIT_ASSERT(again[0].target != first.target);
        CPPUNIT_ASSERT(again[0].from == TokenOffset(3));
    }

    void ignoresCancelledAttempt()
    {
        FakeHost host;
        const auto first = start(host);
        host.bring(first.attempt, 0, 3);
        auto again = only<StartAttempt>(host.feed(AttemptFailed{first.attempt, AttemptFailure::StreamLost}));
        CPPUNIT_ASSERT(host.bring(first.attempt, 3).empty());
        CPPUNIT_ASSERT(host.feed(AttemptFinished{first.attempt, TokenOffset(3)}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), only<DeliverToken>(host.bring(again[0].attempt, 3)).size());
    }

    void racesSilentAttemptAndLetsItWin()
    {
        FakeHost host;
        const auto first = start(host);
        host.bring(first.attempt, 0, 20);
        auto race = only<StartAttempt>(host.pass(absl::Seconds(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), race.size());
        auto woke = host.bring(first.attempt, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), only<DeliverToken>(woke).size());
        auto cancelled = only<CancelAttempt>(woke);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cancelled.size());
        CPPUNIT_ASSERT(cancelled[0].attempt == race[0].attempt);
        CPPUNIT_ASSERT(host.bring(race[0].attempt, 20).empty());
    }

    void replacesAttemptThatSkipsToken()
    {
        FakeHost host;
        const auto first = start(host);
        host.bring(first.attempt, 0, 3);
        auto actions = host.bring(first.attempt, 4);
        CPPUNIT_ASSERT(only<DeliverToken>(actions).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), only<CancelAttempt>(actions).size());
        CPPUNIT_ASSERT(only<StartAttempt>(actions).at(0).from == TokenOffset(3));
    }

    void refusesRejectedRequest()
    {
        FakeHost host;
        const auto first = start(host);
        auto actions = host.feed(AttemptFailed{first.attempt, AttemptFailure::RequestRejected});
        CPPUNIT_ASSERT(only<StartAttempt>(actions).empty());
        CPPUNIT_ASSERT(only<RefuseGeneration>(actions).at(0).error.code == ErrorCode::InvalidRequest);
    }

    void completesWhenOnlyEndIsMissing()
    {
        FakeHost host;
        const auto first = start(host);
        host.bring(first.attempt, 0, 1000);
        auto actions = host.feed(AttemptFailed{first.attempt, AttemptFailure::StreamLost});
        CPPUNIT_ASSERT(only<CompleteGeneration>(actions).at(0).reason == FinishReason::Length);
    }

    void reattachesThenStartsAnew()
    {
        FakeHost host;
        host.addTarget("t1", 4, TargetPhase::Leaving);
        host.addTarget("t2");
        const ResumePoint point{TargetId("t1"), EngineStreamId("s"), TokenOffset(2), TokenOffset(5)};
        auto reattached = only<ReattachAttempt>(host.comeBack("g", point));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reattached.size());
        CPPUNIT_ASSERT(reattached[0].from == TokenOffset(5));
        auto actions = host.feed(AttemptFailed{reattached[0].attempt, AttemptFailure::StreamUnknown});
        auto started = only<StartAttempt>(actions).at(0);
        CPPUNIT_ASSERT(started.target == TargetId("t2") && started.from == TokenOffset(5));
    }

    void staysWithModelOfItsOpening()
    {
        FakeHost host;
        const auto first = start(host);
        host.bring(first.attempt, 0, 3);
        host.configuration.services[ServiceName("digest")].modelVersion = "2";
        CPPUNIT_ASSERT(host.configure().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), only<DeliverToken>(host.bring(first.attempt, 3)).size());
        auto actions = host.feed(AttemptFailed{first.attempt, AttemptFailure::StreamLost});
        CPPUNIT_ASSERT(only<StartAttempt>(actions).empty());
        CPPUNIT_ASSERT(only<RefuseGeneration>(actions).at(0).error.code == ErrorCode::AnswerLost);
    }

    void handsOverAfterDrainLimit()
    {
        FakeHost host;
        const auto first = start(host);
        host.bring(first.attempt, 0, 3);
        CPPUNIT_ASSERT(host.feed(DrainStarted{}).empty());
        auto refused = only<RefuseGeneration>(host.open("late")).at(0);
        CPPUNIT_ASSERT(refused.error.code == ErrorCode::Draining && refused.error.retryAfter);
        for (std::uint64_t it = 3; host.now < absl::FromUnixSeconds(1029); ++it)
            host.bring(first.attempt, it);
        auto actions = host.pass(absl::Seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), only<HandOverGeneration>(actions).size());
        CPPUNIT_ASSERT(only<CancelAttempt>(actions).empty());
        CPPUNIT_ASSERT(host.router().isIdle());
    }

    void countsNoSilenceWhileNotRunning()
    {
        FakeHost host;
        const auto first = start(host);
        host.bring(first.attempt, 0, 20);
        host.now += absl::Seconds(60);
        CPPUNIT_ASSERT(only<StartAttempt>(host.feed(Tick{})).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), only<DeliverToken>(host.bring(first.attempt, 20)).size());
    }

    void boundsFruitlessAttempts()
    {
        FakeHost host({.retryBudget = 10});
        const auto first = start(host);
        auto other = only<StartAttempt>(host.open("h")).at(0);
        host.bring(first.attempt, 0, 3);
        CPPUNIT_ASSERT_EQUAL(3, fail(host, other.attempt));
        CPPUNIT_ASSERT_EQUAL(6, fail(host, first.attempt));
        CPPUNIT_ASSERT(host.router().demand().empty());
    }

    void reattachesOnlyWithinTheService()
    {
        FakeHost host;
        host.addTarget("t1");
        host.feed(TargetChanged{TargetId("t2"), ServiceName("other"), FailureDomain("a"), 4});
        const ResumePoint point{TargetId("t2"), EngineStreamId("s"), TokenOffset(0), TokenOffset(5)};
        auto actions = host.comeBack("g", point);
        CPPUNIT_ASSERT(only<ReattachAttempt>(actions).empty());
        CPPUNIT_ASSERT(only<StartAttempt>(actions).at(0).target == TargetId("t1"));
    }

    void restartNeverReattaches()
    {
        FakeHost host({.resume = {.policy = "restart"}});
        host.addTarget("t1");
        const ResumePoint point{TargetId("t1"), EngineStreamId("s"), TokenOffset(0), TokenOffset(5)};
        CPPUNIT_ASSERT(only<StartAttempt>(host.comeBack("g", point)).at(0).from == TokenOffset(5));
    }

    void thriftDelaysTheRace()
    {
        CPPUNIT_ASSERT(raceDelay(0) < absl::Milliseconds(600));
        CPPUNIT_ASSERT(raceDelay(1) > absl::Milliseconds(1500));
        CPPUNIT_ASSERT(raceDelay(1) < absl::Seconds(3));
    }

    void prefersTargetWithThePrefix()
    {
        FakeHost host({.resume = {.thrift = 1}});
        const auto first = start(host);
        for (int it = 3; it <= 9; ++it)
            host.addTarget("t" + std::to_string(it));
        host.feed(CacheReported{TargetId("t7"), {PromptPrefixHash()}, {}});
        host.bring(first.attempt, 0, 3);
        const bool wasThere = first.target == TargetId("t7");
        auto again = only<StartAttempt>(host.feed(AttemptFailed{first.attempt, AttemptFailure::StreamLost}));
        CPPUNIT_ASSERT(wasThere || again.at(0).target == TargetId("t7"));
    }

private:
    // Fails the attempt and all that follow it; counts them up to the refusal.
    static int fail(FakeHost &host, AttemptId attempt)
    {
        for (int n = 1; n < 100; ++n) {
            auto actions = host.feed(AttemptFailed{attempt, AttemptFailure::NotStarted});
            if (!only<RefuseGeneration>(actions).empty())
                return n;
            auto next = only<StartAttempt>(actions);
            if (next.empty())
                next = only<StartAttempt>(host.pass(absl::Seconds(3)));
            attempt = next.at(0).attempt;
        }
        return 100;
    }

    // From an engine's last token to the second attempt.
    static absl::Duration raceDelay(double thrift)
    {
        FakeHost host({.resume = {.thrift = thrift}});
        const auto first = start(host);
        host.bring(first.attempt, 0, 100);
        const absl::Time silentSince = host.now;
        while (only<StartAttempt>(host.pass(absl::Milliseconds(10))).empty()) { }
        return host.now - silentSince;
    }

    // Two targets and a generation "g" that runs on one of them.
    static StartAttempt start(FakeHost &host)
    {
        host.addTarget("t1");
        host.addTarget("t2");
        auto started = only<StartAttempt>(host.open("g")).at(0);
        host.feed(AttemptStarted{started.attempt, EngineStreamId("s")});
        return started;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRouter);

} // namespace Wisteria
