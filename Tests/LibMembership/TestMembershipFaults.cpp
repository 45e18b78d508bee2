// Seeded orders of deaths, pauses, cuts and departures; afterwards every table tells the truth.
// WISTERIA_SEED=N replays one.

#include <LibMembership/FakeGossip.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

namespace Wisteria {

class TestMembershipFaults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestMembershipFaults);
    CPPUNIT_TEST(tellsTruthAfterFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void tellsTruthAfterFaults()
    {
        constexpr std::uint64_t orders = 2000;
        const char *replayed = std::getenv("WISTERIA_SEED");
        const std::uint64_t first = replayed ? std::strtoull(replayed, nullptr, 10) : 1;
        const std::uint64_t last = replayed ? first : orders;
        std::uint64_t events = 0;
        for (auto seed = first; seed <= last; ++seed)
            events += runOrder(seed);
        std::cout << "orders " << last - first + 1 << ", events " << events << ", faults " << m_faults
                  << '\n';
    }

private:
    std::uint64_t runOrder(std::uint64_t seed)
    {
        const auto name = "WISTERIA_SEED=" + std::to_string(seed);
        FakeGossip fleet(seed, 3 + seed % 6);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.start(i);
        fleet.run(absl::Seconds(5));
        fleet.feedAll(MembersConfigured{configurationWithTargets(3)});
        for (int i = 0; i < 25; ++i) {
            injectFault(fleet);
            fleet.run(absl::Milliseconds(fleet.random().below(3000)));
        }
        checkLeavingTarget(fleet, name);
        endFaults(fleet);
        fleet.run(absl::Seconds(45));
        CPPUNIT_ASSERT_MESSAGE(name + ": a router that runs is not seen live by all", fleet.allLive());
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const bool isTrue = fleet.isUp(i) || fleet.allSee(i, MemberPhase::Dead);
            CPPUNIT_ASSERT_MESSAGE(name + ": a router that does not run is not seen dead by all", isTrue);
        }
        CPPUNIT_ASSERT_MESSAGE(name + ": a leaving target came back",
                               fleet.allSeeTarget("t0", TargetHealth::Leaving));
        CPPUNIT_ASSERT_MESSAGE(name, fleet.allSeeTarget("t1", TargetHealth::Up));
        return fleet.events();
    }

    void injectFault(FakeGossip &fleet)
    {
        ++m_faults;
        auto &random = fleet.random();
        const auto router = random.below(fleet.size());
        switch (random.below(8)) {
        case 0:
            return fleet.stop(router);
        case 1:
        case 2:
            return restart(fleet, router);
        case 3:
            if (fleet.isUp(router))
                fleet.setPaused(router, !fleet.isPaused(router));
            return;
        case 4:
            return fleet.cut(router, random.below(fleet.size()));
        case 5:
            return fleet.heal();
        default:
            if (fleet.isUp(router) && !fleet.isPaused(router)) {
                const TargetId target("t" + std::to_string(random.below(2)));
                fleet.feed(router, TargetObserved{target, random.below(2) == 0});
            }
        }
    }

    static void restart(FakeGossip &fleet, std::size_t router)
    {
        fleet.stop(router);
        fleet.start(router);
        fleet.feed(router, MembersConfigured{configurationWithTargets(3)});
    }

    // With the routers that run and no cuts, a target that one router learns to be leaving is leaving for
    // all.
    static void checkLeavingTarget(FakeGossip &fleet, const std::string &name)
    {
        fleet.heal();
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (!fleet.isUp(i))
                fleet.start(i);
            if (fleet.isPaused(i))
                fleet.setPaused(i, false);
            fleet.feed(i, MembersConfigured{configurationWithTargets(3)});
        }
        fleet.run(absl::Seconds(15));
        const auto router = fleet.random().below(fleet.size());
        fleet.feed(router, VmListRead{{{TargetId("t0"), true}}});
        fleet.feed((router + 1) % fleet.size(), TargetObserved{TargetId("t0"), false});
        fleet.feed((router + 1) % fleet.size(), TargetObserved{TargetId("t0"), false});
        const auto known = fleet.runUntil([&] { return fleet.allSeeTarget("t0", TargetHealth::Leaving); },
                                          absl::Seconds(30));
        CPPUNIT_ASSERT_MESSAGE(name + ": leaving target not known in time", known <= absl::Seconds(5));
    }

    static void endFaults(FakeGossip &fleet)
    {
        // Some die for good, except the seeds; the others stay.
        for (std::size_t i = 2; i < fleet.size(); ++i) {
            if (fleet.random().below(4) == 0)
                fleet.stop(i);
        }
    }

    std::uint64_t m_faults{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMembershipFaults);

} // namespace Wisteria
