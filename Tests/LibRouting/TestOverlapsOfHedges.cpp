// A hedged attempt ran beside a silent one until that was abandoned.

#include "FakeRouterHost.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

namespace Wisteria {

class TestOverlapsOfHedges : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOverlapsOfHedges);
    CPPUNIT_TEST(overlapOfTwoAttemptsIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void overlapOfTwoAttemptsIsBounded()
    {
        FakeRouterHost host;
        host.setTarget("t1");
        host.setTarget("t2");
        const auto silent = actionsOfType<StartAttempt>(host.open("g")).at(0);
        host.feed(AttemptStarted{silent.attempt, EngineStreamId("s")});
        host.feedTokens(silent.attempt, 0, 20);
        int startedAfter = -1;
        int cancelledAfter = -1;
        for (int ms = 50; ms <= 20000 && cancelledAfter < 0; ms += 50) {
            const auto actions = host.advance(absl::Milliseconds(50));
            if (startedAfter < 0 && !actionsOfType<StartAttempt>(actions).empty()) {
                startedAfter = ms;
                host.feed(
                    AttemptStarted{actionsOfType<StartAttempt>(actions).at(0).attempt, EngineStreamId("s2")});
            }
            if (!actionsOfType<CancelAttempt>(actions).empty())
                cancelledAfter = ms;
        }
        const auto what =
            absl::StrCat("started after ", startedAfter, " ms, cancelled after ", cancelledAfter);
        CPPUNIT_ASSERT_MESSAGE(what, startedAfter >= 0 && cancelledAfter >= 0);
        CPPUNIT_ASSERT_MESSAGE(what, cancelledAfter - startedAfter < 400);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOverlapsOfHedges);

} // namespace Wisteria
