// Tests the router's single decisions: token delivery, resume, hedged attempts, re-attach, drain and
// configuration changes.

#include "FakeRouterHost.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestRouter : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRouter);
    CPPUNIT_TEST(deliversTokensAndCompletes);
    CPPUNIT_TEST(resumesAtOnceAfterStreamLoss);
    CPPUNIT_TEST(ignoresEventsOfFailedAttempt);
    CPPUNIT_TEST(cancelsHedgedAttemptWhenSilentOneContinues);
    CPPUNIT_TEST(replacesAttemptThatSkipsToken);
    CPPUNIT_TEST(refusesRequestThatEngineRejects);
    CPPUNIT_TEST(completesWhenOnlyFinishEventIsLost);
    CPPUNIT_TEST(startsNewAttemptWhenReattachFails);
    CPPUNIT_TEST(refusesToResumeOnAnotherModelVersion);
    CPPUNIT_TEST(handsOverAfterDrainLimit);
    CPPUNIT_TEST(ignoresSilenceWhileRouterWasSuspended);
    CPPUNIT_TEST(limitsAttemptsWithoutProgress);
    CPPUNIT_TEST(reattachesOnlyToTargetOfSameService);
    CPPUNIT_TEST(restartPolicyNeverReattaches);
    CPPUNIT_TEST(thriftDelaysHedgedAttempt);
    CPPUNIT_TEST(prefersTargetWithCachedPrefix);
    CPPUNIT_TEST_SUITE_END();

public:
    void deliversTokensAndCompletes()
    {
        FakeRouterHost host;
        host.setTarget("t1");
        auto started = actionsOfType<StartAttempt>(host.open("g"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), started.size());
        host.feed(AttemptStarted{started[0].attempt, EngineStreamId("s")});
        auto delivered = actionsOfType<DeliverToken>(host.feedTokens(started[0].attempt, 0, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), delivered.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s"), delivered[2].stream.value());
        auto completed =
            actionsOfType<CompleteGeneration>(host.feed(AttemptFinished{started[0].attempt, TokenOffset(3)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), completed.size());
        CPPUNIT_ASSERT(host.router().demand().empty());
    }

    void resumesAtOnceAfterStreamLoss()
    {
        FakeRouterHost host;
        const auto first = startGeneration(host);
        host.feedTokens(first.attempt, 0, 3);
        auto resumed =
            actionsOfType<StartAttempt>(host.feed(AttemptFailed{first.attempt, AttemptFailure::StreamLost}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), resumed.size());
        CPPUNIT_ASSERT(resumed[0].target != first.target);
        CPPUNIT_ASSERT(resumed[0].from == TokenOffset(3));
    }

    void ignoresEventsOfFailedAttempt()
    {
        FakeRouterHost host;
        const auto first = startGeneration(host);
        host.feedTokens(first.attempt, 0, 3);
        auto resumed =
            actionsOfType<StartAttempt>(host.feed(AttemptFailed{first.attempt, AttemptFailure::StreamLost}));
        CPPUNIT_ASSERT(host.feedTokens(first.attempt, 3).empty());
        CPPUNIT_ASSERT(host.feed(AttemptFinished{first.attempt, TokenOffset(3)}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             actionsOfType<DeliverToken>(host.feedTokens(resumed[0].attempt, 3)).size());
    }

    void cancelsHedgedAttemptWhenSilentOneContinues()
    {
        FakeRouterHost host;
        const auto first = startGeneration(host);
        host.feedTokens(first.attempt, 0, 20);
        auto hedge = actionsOfType<StartAttempt>(host.advance(absl::Seconds(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), hedge.size());
        auto afterPause = host.feedTokens(first.attempt, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOfType<DeliverToken>(afterPause).size());
        auto cancelled = actionsOfType<CancelAttempt>(afterPause);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cancelled.size());
        CPPUNIT_ASSERT(cancelled[0].attempt == hedge[0].attempt);
        CPPUNIT_ASSERT(host.feedTokens(hedge[0].attempt, 20).empty());
    }

    void replacesAttemptThatSkipsToken()
    {
        FakeRouterHost host;
        const auto first = startGeneration(host);
        host.feedTokens(first.attempt, 0, 3);
        auto actions = host.feedTokens(first.attempt, 4);
        CPPUNIT_ASSERT(actionsOfType<DeliverToken>(actions).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOfType<CancelAttempt>(actions).size());
        CPPUNIT_ASSERT(actionsOfType<StartAttempt>(actions).at(0).from == TokenOffset(3));
    }

    void refusesRequestThatEngineRejects()
    {
        FakeRouterHost host;
        const auto first = startGeneration(host);
        auto actions = host.feed(AttemptFailed{first.attempt, AttemptFailure::RequestRejected});
        CPPUNIT_ASSERT(actionsOfType<StartAttempt>(actions).empty());
        CPPUNIT_ASSERT(actionsOfType<RefuseGeneration>(actions).at(0).error.code
                       == ErrorCode::InvalidRequest);
    }

    void completesWhenOnlyFinishEventIsLost()
    {
        FakeRouterHost host;
        const auto first = startGeneration(host);
        host.feedTokens(first.attempt, 0, 1000);
        auto actions = host.feed(AttemptFailed{first.attempt, AttemptFailure::StreamLost});
        CPPUNIT_ASSERT(actionsOfType<CompleteGeneration>(actions).at(0).reason == FinishReason::Length);
    }

    void startsNewAttemptWhenReattachFails()
    {
        FakeRouterHost host;
        host.setTarget("t1", 4, TargetPhase::Leaving);
        host.setTarget("t2");
        const ResumePoint point{TargetId("t1"), EngineStreamId("s"), TokenOffset(2), TokenOffset(5)};
        auto reattached = actionsOfType<ReattachAttempt>(host.reopen("g", point));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reattached.size());
        CPPUNIT_ASSERT(reattached[0].from == TokenOffset(5));
        auto actions = host.feed(AttemptFailed{reattached[0].attempt, AttemptFailure::StreamUnknown});
        auto started = actionsOfType<StartAttempt>(actions).at(0);
        CPPUNIT_ASSERT(started.target == TargetId("t2") && started.from == TokenOffset(5));
    }

    void refusesToResumeOnAnotherModelVersion()
    {
        FakeRouterHost host;
        const auto first = startGeneration(host);
        host.feedTokens(first.attempt, 0, 3);
        host.configuration.services[ServiceName("digest")].modelVersion = "2";
        CPPUNIT_ASSERT(host.applyConfiguration().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             actionsOfType<DeliverToken>(host.feedTokens(first.attempt, 3)).size());
        auto actions = host.feed(AttemptFailed{first.attempt, AttemptFailure::StreamLost});
        CPPUNIT_ASSERT(actionsOfType<StartAttempt>(actions).empty());
        CPPUNIT_ASSERT(actionsOfType<RefuseGeneration>(actions).at(0).error.code == ErrorCode::AnswerLost);
    }

    void handsOverAfterDrainLimit()
    {
        FakeRouterHost host;
        const auto first = startGeneration(host);
        host.feedTokens(first.attempt, 0, 3);
        CPPUNIT_ASSERT(host.feed(DrainStarted{}).empty());
        auto refused = actionsOfType<RefuseGeneration>(host.open("late")).at(0);
        CPPUNIT_ASSERT(refused.error.code == ErrorCode::Draining && refused.error.retryAfter);
        for (std::uint64_t it = 3; host.now < absl::FromUnixSeconds(1029); ++it)
            host.feedTokens(first.attempt, it);
        auto actions = host.advance(absl::Seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOfType<HandOverGeneration>(actions).size());
        CPPUNIT_ASSERT(actionsOfType<CancelAttempt>(actions).empty());
        CPPUNIT_ASSERT(host.router().isIdle());
    }

    void ignoresSilenceWhileRouterWasSuspended()
    {
        FakeRouterHost host;
        const auto first = startGeneration(host);
        host.feedTokens(first.attempt, 0, 20);
        host.now += absl::Seconds(60);
        CPPUNIT_ASSERT(actionsOfType<StartAttempt>(host.feed(Tick{})).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             actionsOfType<DeliverToken>(host.feedTokens(first.attempt, 20)).size());
    }

    void limitsAttemptsWithoutProgress()
    {
        FakeRouterHost host({.retryBudget = 10});
        const auto first = startGeneration(host);
        auto other = actionsOfType<StartAttempt>(host.open("h")).at(0);
        host.feedTokens(first.attempt, 0, 3);
        CPPUNIT_ASSERT_EQUAL(3, failUntilRefused(host, other.attempt));
        CPPUNIT_ASSERT_EQUAL(6, failUntilRefused(host, first.attempt));
        CPPUNIT_ASSERT(host.router().demand().empty());
    }

    void reattachesOnlyToTargetOfSameService()
    {
        FakeRouterHost host;
        host.setTarget("t1");
        host.feed(TargetChanged{TargetId("t2"), ServiceName("other"), FailureDomain("a"), 4});
        const ResumePoint point{TargetId("t2"), EngineStreamId("s"), TokenOffset(0), TokenOffset(5)};
        auto actions = host.reopen("g", point);
        CPPUNIT_ASSERT(actionsOfType<ReattachAttempt>(actions).empty());
        CPPUNIT_ASSERT(actionsOfType<StartAttempt>(actions).at(0).target == TargetId("t1"));
    }

    void restartPolicyNeverReattaches()
    {
        FakeRouterHost host({.resume = {.policy = "restart"}});
        host.setTarget("t1");
        const ResumePoint point{TargetId("t1"), EngineStreamId("s"), TokenOffset(0), TokenOffset(5)};
        CPPUNIT_ASSERT(actionsOfType<StartAttempt>(host.reopen("g", point)).at(0).from == TokenOffset(5));
    }

    void thriftDelaysHedgedAttempt()
    {
        CPPUNIT_ASSERT(hedgeDelay(0) < absl::Milliseconds(600));
        CPPUNIT_ASSERT(hedgeDelay(1) > absl::Milliseconds(1500));
        CPPUNIT_ASSERT(hedgeDelay(1) < absl::Seconds(3));
    }

    void prefersTargetWithCachedPrefix()
    {
        FakeRouterHost host({.resume = {.thrift = 1}});
        const auto first = startGeneration(host);
        for (int it = 3; it <= 9; ++it)
            host.setTarget("t" + std::to_string(it));
        host.feed(CacheReported{TargetId("t7"), {PromptPrefixHash()}, {}});
        host.feedTokens(first.attempt, 0, 3);
        const bool ranOnCachingTarget = first.target == TargetId("t7");
        auto resumed =
            actionsOfType<StartAttempt>(host.feed(AttemptFailed{first.attempt, AttemptFailure::StreamLost}));
        CPPUNIT_ASSERT(ranOnCachingTarget || resumed.at(0).target == TargetId("t7"));
    }

private:
    // Fails the attempt and each one that replaces it until the request is refused. Returns the number of
    // failed attempts, or 100 if none led to a refusal.
    static int failUntilRefused(FakeRouterHost &host, AttemptId attempt)
    {
        for (int n = 1; n < 100; ++n) {
            auto actions = host.feed(AttemptFailed{attempt, AttemptFailure::NotStarted});
            if (!actionsOfType<RefuseGeneration>(actions).empty())
                return n;
            auto next = actionsOfType<StartAttempt>(actions);
            if (next.empty())
                next = actionsOfType<StartAttempt>(host.advance(absl::Seconds(3)));
            attempt = next.at(0).attempt;
        }
        return 100;
    }

    // Time from the last token of a silent stream to the start of the hedged attempt.
    static absl::Duration hedgeDelay(double thrift)
    {
        FakeRouterHost host({.resume = {.thrift = thrift}});
        const auto first = startGeneration(host);
        host.feedTokens(first.attempt, 0, 100);
        const absl::Time lastTokenAt = host.now;
        while (actionsOfType<StartAttempt>(host.advance(absl::Milliseconds(10))).empty()) { }
        return host.now - lastTokenAt;
    }

    // Adds two targets and starts generation "g" on one of them.
    static StartAttempt startGeneration(FakeRouterHost &host)
    {
        host.setTarget("t1");
        host.setTarget("t2");
        auto started = actionsOfType<StartAttempt>(host.open("g")).at(0);
        host.feed(AttemptStarted{started.attempt, EngineStreamId("s")});
        return started;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRouter);

} // namespace Wisteria
