// A target that is silent for longer than any limit, while nothing can replace it.

#include "FakeRouterHost.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestSilentTarget : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSilentTarget);
    CPPUNIT_TEST(silentStreamIsNotRestartedAtItsOnlyTarget);
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

private:
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
