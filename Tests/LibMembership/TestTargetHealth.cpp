// A target's health from observations, gossip, the VM list and the configuration.

#include <LibMembership/FakeGossip.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace Wisteria {

class TestTargetHealth : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetHealth);
    CPPUNIT_TEST(knowsLeavingTargetEverywhere);
    CPPUNIT_TEST(keepsLeavingTargetLeaving);
    CPPUNIT_TEST(suspectsOnOwnAndOthersWord);
    CPPUNIT_TEST(needsMoreThanListForGone);
    CPPUNIT_TEST(takesRetiringTargetBack);
    CPPUNIT_TEST_SUITE_END();

    static void startAll(FakeGossip &fleet, std::size_t targets)
    {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.start(i);
        fleet.run(absl::Seconds(15));
        fleet.feedAll(MembersConfigured{configurationWithTargets(targets)});
    }

    static VmListRead list(bool isLeaving)
    {
        return {{{TargetId("t0"), isLeaving}, {TargetId("t1"), false}}};
    }

    static void observe(FakeGossip &fleet, std::size_t router, bool isReachable)
    {
        fleet.feed(router, TargetObserved{TargetId("t0"), isReachable});
    }

public:
    void knowsLeavingTargetEverywhere()
    {
        for (const std::size_t routers : {7, 50, 410}) {
            FakeGossip fleet(routers, routers);
            startAll(fleet, 600);
            // One router's list names it; another one observes it as failing and as up again meanwhile.
            observe(fleet, 1, false);
            observe(fleet, 1, false);
            fleet.feed(2, list(true));
            observe(fleet, 1, true);
            const auto known = fleet.runUntil([&] { return fleet.allSeeTarget("t0", TargetHealth::Leaving); },
                                              absl::Minutes(1));
            std::cout << routers << " routers: leaving target known in " << known << '\n';
            CPPUNIT_ASSERT(known <= absl::Seconds(5));
        }
    }

    void keepsLeavingTargetLeaving()
    {
        FakeGossip fleet(1, 7);
        startAll(fleet, 2);
        fleet.feed(0, list(true));
        fleet.run(absl::Seconds(5));
        // Good answers and the older lists of other routers change nothing for a while.
        for (int i = 0; i < 50; ++i) {
            observe(fleet, 3, true);
            fleet.feed(4, list(false));
            fleet.run(absl::Milliseconds(500));
            CPPUNIT_ASSERT(fleet.allSeeTarget("t0", TargetHealth::Leaving));
        }
    }

    void suspectsOnOwnAndOthersWord()
    {
        FakeGossip fleet(2, 7);
        startAll(fleet, 2);
        observe(fleet, 0, false);
        CPPUNIT_ASSERT(fleet.healthSeen(0, "t0") == TargetHealth::Up);
        observe(fleet, 0, false);
        CPPUNIT_ASSERT(fleet.healthSeen(0, "t0") == TargetHealth::Suspect);
        fleet.run(absl::Seconds(4));
        CPPUNIT_ASSERT(fleet.allSeeTarget("t0", TargetHealth::Suspect));
        // A router that reaches it refutes the suspicion for all but the one that does not.
        observe(fleet, 5, true);
        fleet.run(absl::Seconds(4));
        observe(fleet, 0, false);
        CPPUNIT_ASSERT(fleet.healthSeen(0, "t0") == TargetHealth::Suspect);
        CPPUNIT_ASSERT(fleet.healthSeen(3, "t0") == TargetHealth::Up);
        observe(fleet, 5, true);
        fleet.run(absl::Seconds(4));
        CPPUNIT_ASSERT(fleet.healthSeen(3, "t0") == TargetHealth::Up);
        // A suspicion that nobody renews ends, so that the target is tried again.
        fleet.run(absl::Seconds(12));
        CPPUNIT_ASSERT(fleet.allSeeTarget("t0", TargetHealth::Up));
    }

    void needsMoreThanListForGone()
    {
        const VmListRead without{{{TargetId("t1"), false}}};
        FakeGossip fleet(3, 3);
        startAll(fleet, 2);
        fleet.feed(0, without);
        fleet.run(absl::Minutes(2));
        fleet.feed(0, without);
        // It never was on the list, and an empty list says nothing.
        CPPUNIT_ASSERT(fleet.healthSeen(0, "t0") == TargetHealth::Up);
        fleet.feed(0, list(false));
        fleet.feed(0, VmListRead{});
        fleet.feed(0, without);
        fleet.run(absl::Seconds(30));
        fleet.feed(0, without);
        CPPUNIT_ASSERT(fleet.healthSeen(0, "t0") == TargetHealth::Up);
        observe(fleet, 0, false);
        CPPUNIT_ASSERT(fleet.healthSeen(0, "t0") == TargetHealth::Gone);
        fleet.run(absl::Seconds(5));
        CPPUNIT_ASSERT(fleet.allSeeTarget("t0", TargetHealth::Gone));
        // A VM of that name is back once the list has said so for long enough.
        fleet.feed(0, list(false));
        CPPUNIT_ASSERT(fleet.healthSeen(0, "t0") == TargetHealth::Gone);
        fleet.run(absl::Seconds(40));
        fleet.feed(0, list(false));
        fleet.run(absl::Seconds(5));
        CPPUNIT_ASSERT(fleet.allSeeTarget("t0", TargetHealth::Up));
        // The list alone suffices after a while.
        fleet.feed(0, without);
        fleet.run(absl::Seconds(61));
        fleet.feed(0, without);
        CPPUNIT_ASSERT(fleet.healthSeen(0, "t0") == TargetHealth::Gone);
    }

    void takesRetiringTargetBack()
    {
        FakeGossip fleet(4, 7);
        startAll(fleet, 2);
        auto configuration = configurationWithTargets(2);
        configuration.targets.at(TargetId("t0")).retiring = true;
        // One router learns of it first and tells the others.
        fleet.feed(6, MembersConfigured{configuration});
        fleet.run(absl::Seconds(4));
        CPPUNIT_ASSERT(fleet.allSeeTarget("t0", TargetHealth::Leaving));
        fleet.feedAll(MembersConfigured{configuration});
        configuration.targets.at(TargetId("t0")).retiring = false;
        fleet.feedAll(MembersConfigured{configuration});
        fleet.run(absl::Seconds(4));
        CPPUNIT_ASSERT(fleet.allSeeTarget("t0", TargetHealth::Up));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetHealth);

} // namespace Wisteria
