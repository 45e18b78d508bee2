// Streams of fleets of all sizes before engines that fall silent for about a second and go on: no two engines
// work on one stream for 400 ms, and no stream is lost.

#include "FakeStreamFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

namespace Wisteria {

namespace detail {

constexpr absl::Duration statedOverlapLimit = absl::Milliseconds(400);
// Output goes on within this time after a loss.
constexpr absl::Duration longestGapAfterLoss = absl::Seconds(3);

// What is broken after the play, or nothing.
std::string verdict(const FakeStreamFleet &fleet)
{
    if (!fleet.faults().empty())
        return absl::StrCat(fleet.faults().size(), " faults, the first: ", fleet.faults().front());
    if (fleet.completedStreams() != static_cast<int>(fleet.streams()))
        return absl::StrCat(fleet.completedStreams(), " of ", fleet.streams(), " streams completed");
    if (fleet.movedStreams() == 0)
        return "no stream was moved";
    if (fleet.longestOverlap() >= statedOverlapLimit)
        return absl::StrCat("two engines at work for ", absl::FormatDuration(fleet.longestOverlap()));
    return {};
}

std::string playSilences(int routers, std::uint64_t seed)
{
    FakeStreamFleet fleet({.routers = routers, .seed = seed});
    auto &random = fleet.random();
    fleet.runFor(absl::Seconds(2));
    constexpr int rounds = 5;
    for (int round = 0; round < rounds; ++round) {
        // In large fleets several engines fall silent at a time.
        for (std::size_t n = 0; n <= fleet.engines() / 20; ++n) {
            const auto engine = random.below(fleet.engines());
            const auto silence = random.between(absl::Milliseconds(400), absl::Milliseconds(1300));
            if (random.oneIn(3))
                fleet.freezeEngine(engine, silence);
            else
                fleet.stallEngine(engine, silence);
        }
        fleet.runFor(random.between(absl::Milliseconds(700), absl::Seconds(2)));
    }
    fleet.runFor(absl::Seconds(60));
    return verdict(fleet);
}

// Its streams are silent until after the deadlines of the requests.
std::string playHungEngine(int routers, std::uint64_t seed)
{
    FakeStreamFleet fleet({.routers = routers, .seed = seed});
    fleet.runFor(absl::Seconds(3));
    fleet.stallEngine(fleet.random().below(fleet.engines()), absl::Minutes(5));
    fleet.runFor(absl::Seconds(60));
    if (fleet.longestGap() >= longestGapAfterLoss)
        return absl::StrCat("no event for ", absl::FormatDuration(fleet.longestGap()));
    return verdict(fleet);
}

} // namespace detail

class TestOverlapsInFleets : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOverlapsInFleets);
    CPPUNIT_TEST(silencesBefore7Routers);
    CPPUNIT_TEST(silencesBefore20Routers);
    CPPUNIT_TEST(silencesBefore76Routers);
    CPPUNIT_TEST(silencesBefore300Routers);
    CPPUNIT_TEST(engineHangsBefore7Routers);
    CPPUNIT_TEST(engineHangsBefore300Routers);
    CPPUNIT_TEST_SUITE_END();

public:
    void silencesBefore7Routers() { check(detail::playSilences, 7, 40); }
    void silencesBefore20Routers() { check(detail::playSilences, 20, 20); }
    void silencesBefore76Routers() { check(detail::playSilences, 76, 8); }
    void silencesBefore300Routers() { check(detail::playSilences, 300, 3); }
    void engineHangsBefore7Routers() { check(detail::playHungEngine, 7, 40); }
    void engineHangsBefore300Routers() { check(detail::playHungEngine, 300, 2); }

private:
    static void check(std::string (*play)(int, std::uint64_t), int routers, std::uint64_t seeds)
    {
        const auto broken =
            firstBrokenSeed(seeds, [play, routers](std::uint64_t seed) { return play(routers, seed); });
        CPPUNIT_ASSERT_EQUAL(std::string(), broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOverlapsInFleets);

} // namespace Wisteria
