// A target that is silent for longer than any limit, while nothing can replace it.

#include "FakeRouterHost.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestSilentTarget : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSilentTarget);
    CPPUNIT_TEST(silentStreamIsNotRestartedAtItsOnlyTarget);
    CPPUNIT_TEST(silentStreamIsNotRestartedByTheRestartPolicy);
    CPPUNIT_TEST(silentStreamOutlastsARejectedReplacement);
    CPPUNIT_TEST(silentStreamOutlastsItsSilentReplacement);
    CPPUNIT_TEST(restartPolicyMovesToAnAcceptedReplacement);
    CPPUNIT_TEST(lostStreamIsRestartedAtATargetThatGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    // The engine may still go on, and nothing else can: the only other target is gone.
    void silentStreamIsNotRestartedAtItsOnlyTarget()
    {
        FakeRouterHost host;
        host.setTarget("t1");
        host.setTarget("t2");
        const auto silent = actionsOfType<StartAttempt>(host.open("g")).at(0);
        host.feed(AttemptStarted{silent.attempt, EngineStreamId("s")});
        host.setTarget(silent.target == TargetId("t1") ? "t2" : "t1", 4, TargetPhase::Gone);
        host.feedTokens(silent.attempt, 0, 20);
        checkGoesOn(silent, host.advance(absl::Seconds(12)));
    }

    // The same with a policy that replaces instead of hedging.
    void silentStreamIsNotRestartedByTheRestartPolicy()
    {
        FakeRouterHost host({.resume = {.policy = "restart"}});
        host.setTarget("t1");
        const auto silent = start(host);
        checkGoesOn(silent, host.advance(absl::Seconds(12)));
    }

    // The replacement reaches a full engine; the silent one then goes on.
    void silentStreamOutlastsARejectedReplacement()
    {
        FakeRouterHost host({.resume = {.policy = "restart"}});
        host.setTarget("t1");
        const auto silent = start(host);
        host.setTarget("t2");
        const auto replacement = actionsOfType<StartAttempt>(host.advance(absl::Seconds(6))).at(0);
        host.feed(AttemptFailed{replacement.attempt, AttemptFailure::EngineOverloaded});
        const auto delivered = actionsOfType<DeliverToken>(host.feedTokens(silent.attempt, tokensBefore));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered.size());
    }

    // Neither goes on for a while; a third attempt takes the place of the one that has produced nothing.
    void silentStreamOutlastsItsSilentReplacement()
    {
        FakeRouterHost host;
        for (const auto *it : {"t1", "t2", "t3"})
            host.setTarget(it);
        const auto silent = start(host);
        const auto started = actionsOfType<StartAttempt>(host.advance(absl::Seconds(12)));
        CPPUNIT_ASSERT(started.size() >= 2);
        const auto delivered = actionsOfType<DeliverToken>(host.feedTokens(silent.attempt, tokensBefore));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered.size());
    }

    void restartPolicyMovesToAnAcceptedReplacement()
    {
        FakeRouterHost host({.resume = {.policy = "restart"}});
        host.setTarget("t1");
        const auto silent = start(host);
        host.setTarget("t2");
        const auto replacement = actionsOfType<StartAttempt>(host.advance(absl::Seconds(6))).at(0);
        const auto accepted = host.feed(AttemptStarted{replacement.attempt, EngineStreamId("s2")});
        const auto cancelled = actionsOfType<CancelAttempt>(accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cancelled.size());
        CPPUNIT_ASSERT(cancelled[0].attempt == silent.attempt);
    }

    // An engine that produces tokens for others isn't paused: it has lost this stream.
    void lostStreamIsRestartedAtATargetThatGoesOn()
    {
        FakeRouterHost host;
        host.setTarget("t1");
        const auto silent = start(host);
        const auto other = actionsOfType<StartAttempt>(host.open("other")).at(0);
        host.feed(AttemptStarted{other.attempt, EngineStreamId("s2")});
        std::vector<StartAttempt> restarted;
        constexpr std::uint64_t tokensOfOther = 1000;
        for (std::uint64_t it = 0; it < tokensOfOther; ++it) {
            host.feedTokens(other.attempt, it);
            for (const auto &started : actionsOfType<StartAttempt>(host.advance(absl::Milliseconds(1))))
                restarted.push_back(started);
        }
        CPPUNIT_ASSERT(!restarted.empty());
        CPPUNIT_ASSERT(restarted[0].generation == silent.generation);
    }

private:
    static constexpr std::uint64_t tokensBefore = 20;

    // Generation "g", whose stream has produced some tokens.
    static StartAttempt start(FakeRouterHost &host)
    {
        auto out = actionsOfType<StartAttempt>(host.open("g")).at(0);
        host.feed(AttemptStarted{out.attempt, EngineStreamId("s")});
        host.feedTokens(out.attempt, 0, tokensBefore);
        return out;
    }

    // The silent attempt of generation "g" may be given up for one at another target only.
    static void checkGoesOn(const StartAttempt &silent, const RoutingActions &actions)
    {
        for (const auto &it : actionsOfType<RefuseGeneration>(actions)) {
            const auto why = std::string(errorName(it.error.code)) + ": " + it.error.detail;
            CPPUNIT_ASSERT_MESSAGE(why, it.generation != GenerationId("g"));
        }
        const auto started = actionsOfType<StartAttempt>(actions);
        const bool isReplaced = std::ranges::any_of(started, [&](const auto &it) {
            return it.generation == silent.generation && it.target != silent.target;
        });
        for (const auto &it : actionsOfType<CancelAttempt>(actions))
            CPPUNIT_ASSERT(it.attempt != silent.attempt || isReplaced);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSilentTarget);

} // namespace Wisteria
