// Tests that a change takes effect in time at each router that reaches the store, whichever others are lost.

#include "FakeFollowerFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria {

class TestViewFreshness : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewFreshness);
    CPPUNIT_TEST(silenceOfWatchersMakesReadDue);
    CPPUNIT_TEST(reportThatLacksTheNewestChangeConfirmsNothing);
    CPPUNIT_TEST(readsOfUnavailableStoreBecomeRarer);
    CPPUNIT_TEST(fractionsOfTheDeadlineLeaveTimeForTheRead);
    CPPUNIT_TEST(lossOfAllWatchersDelaysNoChange);
    CPPUNIT_TEST(watchersWithoutStoreDelayNoChange);
    CPPUNIT_TEST(drawnLossesDelayNoChange);
    CPPUNIT_TEST(followersReadLittleWhileAllIsWell);
    CPPUNIT_TEST_SUITE_END();

public:
    void silenceOfWatchersMakesReadDue()
    {
        ViewFreshness freshness(deadline);
        freshness.confirmByStore(m_now);
        const auto age = absl::Milliseconds(100);
        freshness.confirmByPeer(position(1), age, position(1), m_now + absl::Seconds(1));
        const auto dueAt = m_now + absl::Seconds(1) - age + ViewFreshness::maxUnconfirmedFraction * deadline;
        CPPUNIT_ASSERT(freshness.readDueAt(0) == dueAt);
        CPPUNIT_ASSERT(freshness.readDueAt(1) > dueAt);
        CPPUNIT_ASSERT(freshness.readDueAt(1000) == dueAt + ViewFreshness::maxSpreadFraction * deadline);
    }

    void reportThatLacksTheNewestChangeConfirmsNothing()
    {
        ViewFreshness freshness(deadline);
        freshness.confirmByStore(m_now);
        const auto dueAt = freshness.readDueAt(0);
        const auto later = m_now + absl::Milliseconds(300);
        freshness.notePosition(position(2));
        freshness.confirmByPeer(position(1), absl::ZeroDuration(), position(1), later);
        CPPUNIT_ASSERT(freshness.readDueAt(0) == dueAt);
        freshness.confirmByPeer(position(2), absl::ZeroDuration(), position(2), later);
        CPPUNIT_ASSERT(freshness.readDueAt(0) > dueAt);
    }

    void readsOfUnavailableStoreBecomeRarer()
    {
        ViewFreshness freshness(deadline);
        freshness.confirmByStore(m_now);
        int reads = 0;
        for (auto now = m_now; now < m_now + absl::Seconds(60); now += absl::Milliseconds(10)) {
            if (now < freshness.readDueAt(0))
                continue;
            ++reads;
            freshness.readStarted(now);
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(reads), reads >= 8 && reads <= 14);
    }

    void fractionsOfTheDeadlineLeaveTimeForTheRead()
    {
        constexpr double read = 0.1;
        CPPUNIT_ASSERT(ViewFreshness::maxUnconfirmedFraction + ViewFreshness::maxSpreadFraction + read < 1);
        CPPUNIT_ASSERT(ViewFreshness::maxWatchFraction + ViewFreshness::maxAnswerDelayFraction
                           + ViewFreshness::maxSpreadFraction + read
                       < 1);
        // The first missing answer alone makes the reads of the others due.
        CPPUNIT_ASSERT(ViewFreshness::maxWatchFraction > ViewFreshness::maxUnconfirmedFraction);
    }

    void lossOfAllWatchersDelaysNoChange()
    {
        for (const auto &it : fleets)
            checkChangeWithout(it, FollowerState::Lost);
    }

    void watchersWithoutStoreDelayNoChange()
    {
        for (const auto &it : fleets)
            checkChangeWithout(it, FollowerState::CutFromStore);
    }

    // Up to all routers but one, some before the change, some with it and some after it.
    void drawnLossesDelayNoChange()
    {
        for (const auto &it : fleets) {
            const std::uint64_t seeds = it.routers > 100 ? 4 : 20;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                SeededRandom random(seed);
                FakeFollowerFleet fleet(it.routers, it.domains, it.deadline, seed);
                fleet.runFor(settlingTime);
                const auto losses = 1 + random.below(fleet.size() - 1);
                constexpr std::size_t moments = 5;
                std::vector<std::vector<std::size_t>> lostAt(moments);
                for (std::size_t n = 0; n < losses; ++n)
                    lostAt[random.below(moments)].push_back(random.below(fleet.size()));
                // The change comes with the second group.
                constexpr std::size_t changeMoment = 1;
                const auto step = it.deadline * random.fraction() / static_cast<double>(moments);
                absl::Duration sinceChange;
                for (std::size_t moment = 0; moment < moments; ++moment) {
                    for (auto router : lostAt[moment])
                        fleet.setState(
                            router, random.below(4) == 0 ? FollowerState::CutFromStore : FollowerState::Lost);
                    if (moment == changeMoment)
                        fleet.change();
                    fleet.runFor(step);
                    sinceChange += moment >= changeMoment ? step : absl::ZeroDuration();
                }
                fleet.runFor(it.deadline - sinceChange);
                CPPUNIT_ASSERT_MESSAGE(absl::StrCat(it.routers, " routers, seed ", seed, ", ", losses,
                                                    " losses, ", fleet.soundRoutersBehind().size(),
                                                    " behind"),
                                       fleet.soundRoutersBehind().empty());
            }
        }
    }

    // Reports are lost now and then; the watches of a few routers are most of the calls.
    void followersReadLittleWhileAllIsWell()
    {
        for (const auto &it : fleets) {
            FakeFollowerFleet fleet(it.routers, it.domains, it.deadline, 1);
            fleet.runFor(settlingTime);
            const auto watchers = static_cast<double>(fleet.watchers().size());
            (void)fleet.takeStoreCalls();
            constexpr double seconds = 10;
            fleet.runFor(absl::Seconds(seconds));
            const auto watches =
                watchers * seconds / absl::ToDoubleSeconds(ViewFreshness::maxWatchFraction * it.deadline);
            const auto calls = fleet.takeStoreCalls();
            CPPUNIT_ASSERT_MESSAGE(
                absl::StrCat(it.routers, " routers: ", calls, " calls, ", watches, " watches"),
                calls <= 1.2 * watches + 4);
        }
    }

private:
    struct Fleet
    {
        std::size_t routers;
        std::size_t domains;
        absl::Duration deadline;
    };

    static constexpr absl::Duration deadline = absl::Seconds(2);
    static constexpr absl::Duration settlingTime = absl::Seconds(4);
    // A small fleet, a fleet of one group and one of many groups.
    static constexpr Fleet fleets[] = {{7, 3, absl::Seconds(2)},
                                       {12, 3, absl::Seconds(2)},
                                       {76, 4, absl::Seconds(3)},
                                       {300, 5, absl::Seconds(4)}};

    static StorePosition position(std::uint64_t revision) { return {StoreEra(1), ObjectVersion(revision)}; }

    static void checkChangeWithout(const Fleet &it, FollowerState state)
    {
        FakeFollowerFleet fleet(it.routers, it.domains, it.deadline, 1);
        fleet.runFor(settlingTime);
        const auto watchers = fleet.watchers();
        CPPUNIT_ASSERT(!watchers.empty() && watchers.size() < it.routers);
        for (auto router : watchers)
            fleet.setState(router, state);
        fleet.change();
        fleet.runFor(it.deadline);
        CPPUNIT_ASSERT_MESSAGE(
            absl::StrCat(it.routers, " routers, ", fleet.soundRoutersBehind().size(), " behind"),
            fleet.soundRoutersBehind().empty());
    }

    absl::Time m_now{absl::FromUnixSeconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewFreshness);

} // namespace Wisteria
