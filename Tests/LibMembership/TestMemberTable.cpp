// Routers find each other, notice deaths and departures, and give callers the right addresses.

#include <LibMembership/FakeGossip.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace Wisteria {

class TestMemberTable : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestMemberTable);
    CPPUNIT_TEST(convergesAtEachSize);
    CPPUNIT_TEST(refutesSuspicionAfterPause);
    CPPUNIT_TEST(keepsRouterBehindOneBrokenLink);
    CPPUNIT_TEST(replacesEarlierIncarnation);
    CPPUNIT_TEST(reunitesAfterPartition);
    CPPUNIT_TEST(ordersEntryPoints);
    CPPUNIT_TEST(spreadsStoreReaders);
    CPPUNIT_TEST(addsUpDemandElsewhere);
    CPPUNIT_TEST_SUITE_END();

    static void startAll(FakeGossip &fleet)
    {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.start(i);
    }

    // The virtual times until all routers know: each other, one that leaves, one that died.
    static void assertTimes(std::size_t routers, absl::Duration joinBound, absl::Duration leaveBound,
                            absl::Duration deathBound)
    {
        FakeGossip fleet(routers, routers);
        startAll(fleet);
        const auto joined = fleet.runUntil([&] { return fleet.allLive(); }, absl::Minutes(2));
        fleet.feed(2, LeaveStarted{});
        const auto left =
            fleet.runUntil([&] { return fleet.allSee(2, MemberPhase::Leaving); }, absl::Minutes(1));
        fleet.stop(2);
        fleet.stop(3);
        const auto died =
            fleet.runUntil([&] { return fleet.allSee(3, MemberPhase::Dead); }, absl::Minutes(2));
        std::cout << routers << " routers: joined " << joined << ", leaving known " << left
                  << ", death known " << died << '\n';
        CPPUNIT_ASSERT(joined <= joinBound);
        CPPUNIT_ASSERT(left <= leaveBound);
        CPPUNIT_ASSERT(died <= deathBound);
    }

public:
    void convergesAtEachSize()
    {
        assertTimes(7, absl::Seconds(5), absl::Seconds(3), absl::Seconds(15));
        assertTimes(50, absl::Seconds(10), absl::Seconds(5), absl::Seconds(18));
        // All 410 start at once here; a replaced router alone knows the fleet after its first exchange.
        assertTimes(410, absl::Seconds(40), absl::Seconds(6), absl::Seconds(20));
    }

    void refutesSuspicionAfterPause()
    {
        FakeGossip fleet(1, 7);
        startAll(fleet);
        fleet.run(absl::Seconds(10));
        fleet.setPaused(4, true);
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.allSee(4, MemberPhase::Dead); }, absl::Minutes(1))
                       < absl::Seconds(20));
        fleet.run(absl::Minutes(3));
        fleet.setPaused(4, false);
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.allLive(); }, absl::Minutes(1)) < absl::Seconds(10));
    }

    void keepsRouterBehindOneBrokenLink()
    {
        FakeGossip fleet(2, 7);
        startAll(fleet);
        fleet.run(absl::Seconds(10));
        fleet.cut(0, 1);
        int dead = 0;
        int suspect = 0;
        constexpr int samples = 600;
        for (int i = 0; i < samples; ++i) {
            fleet.run(absl::Milliseconds(500));
            dead += fleet.phaseSeen(5, 1) == MemberPhase::Dead ? 1 : 0;
            suspect += fleet.phaseSeen(5, 1) == MemberPhase::Suspect ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, dead);
        CPPUNIT_ASSERT(suspect < samples / 10);
    }

    void replacesEarlierIncarnation()
    {
        FakeGossip fleet(3, 7);
        startAll(fleet);
        fleet.run(absl::Seconds(10));
        fleet.feed(4, LeaveStarted{});
        fleet.run(absl::Seconds(5));
        fleet.stop(4);
        fleet.run(absl::Seconds(1));
        fleet.start(4);
        CPPUNIT_ASSERT(fleet.runUntil([&] { return fleet.allLive(); }, absl::Minutes(1)) < absl::Seconds(10));
    }

    void reunitesAfterPartition()
    {
        FakeGossip fleet(4, 40);
        startAll(fleet);
        fleet.run(absl::Seconds(20));
        for (std::size_t a = 0; a < 40; ++a) {
            for (std::size_t b = 0; b < 40; ++b) {
                if ((a < 20) != (b < 20))
                    fleet.cut(a, b);
            }
        }
        fleet.run(absl::Hours(1));
        CPPUNIT_ASSERT(fleet.phaseSeen(0, 39) == MemberPhase::Dead);
        fleet.heal();
        const auto reunited = fleet.runUntil([&] { return fleet.allLive(); }, absl::Minutes(5));
        std::cout << "40 routers: reunited after an hour's partition in " << reunited << '\n';
        CPPUNIT_ASSERT(reunited <= absl::Seconds(60));
    }

    void ordersEntryPoints()
    {
        FakeGossip fleet(5, 14);
        startAll(fleet);
        fleet.run(absl::Seconds(10));
        for (std::size_t i = 0; i < 14; ++i)
            fleet.feed(i, OwnStateChanged{i == 3 ? 900U : 100U, {}});
        fleet.feed(9, LeaveStarted{});
        fleet.run(absl::Seconds(20));
        // Routers 3 and 9 are in domain3; 9 leaves, 3 is loaded, but it comes first for its own domain.
        const auto points = fleet.table(0).entryPoints(FailureDomain("domain3"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(13), points.size());
        CPPUNIT_ASSERT(points.front().router == FakeGossip::idOf(3));
        const auto other = fleet.table(0).entryPoints(FailureDomain("elsewhere"));
        CPPUNIT_ASSERT(other.back().router == FakeGossip::idOf(3));
        for (const auto &it : points)
            CPPUNIT_ASSERT(it.router != FakeGossip::idOf(9));
    }

    void spreadsStoreReaders()
    {
        FakeGossip fleet(6, 12);
        startAll(fleet);
        fleet.run(absl::Seconds(20));
        std::set<std::size_t> domains;
        std::size_t readers = 0;
        for (std::size_t i = 0; i < 12; ++i) {
            if (!fleet.table(i).isStoreReader())
                continue;
            ++readers;
            domains.insert(i % 6);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), readers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), domains.size());
    }

    void addsUpDemandElsewhere()
    {
        FakeGossip fleet(7, 7);
        startAll(fleet);
        fleet.feedAll(MembersConfigured{configurationWithTargets(0, 2)});
        fleet.feedAll(OwnStateChanged{0, {{WorkspaceName("workspace1"), 5}}});
        fleet.feed(1, OwnStateChanged{0, {{WorkspaceName("workspace1"), 7}}});
        fleet.run(absl::Seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(5 * 5 + 7), fleet.elsewhere(0, "workspace1"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), fleet.elsewhere(0, "workspace0"));
        fleet.stop(1);
        fleet.run(absl::Seconds(40));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(5 * 5), fleet.elsewhere(0, "workspace1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMemberTable);

} // namespace Wisteria
