// Replays load patterns of large fleets against the placement of generations, with routers that share their
// loads with everyone, within groups, or not at all.

#include "FakePlacementFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace Wisteria {

class TestPlacementPatterns : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlacementPatterns);
    CPPUNIT_TEST(domainLostEveryThreeSeconds);
    CPPUNIT_TEST(allCallersReturnAtOnce);
    CPPUNIT_TEST(reportsOfGroupsStayWithinLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // A failure domain vanishes for 1.2 s every three seconds, and its requests move to the others.
    void domainLostEveryThreeSeconds()
    {
        PlacementScenario scenario;
        scenario.domainLossInterval = absl::Seconds(3);
        compare("domain lost every 3 s", scenario);
    }

    // An outage ends, and the callers of four seconds return within one.
    void allCallersReturnAtOnce()
    {
        PlacementScenario scenario;
        scenario.burstAt = absl::Seconds(8);
        scenario.requestsPerSecond = 30;
        compare("all callers return at once", scenario);
    }

    // A router spends at most 25 KB/s on control. Under this load, reports to everyone exceed that with sixty
    // routers already.
    void reportsOfGroupsStayWithinLimit()
    {
        constexpr double limitBytesPerSecond = 25000;
        PlacementScenario scenario;
        scenario.sharing = LoadSharing::Everyone;
        CPPUNIT_ASSERT(reportBytesPerSecond(scenario) > limitBytesPerSecond);
        scenario.sharing = LoadSharing::Groups;
        CPPUNIT_ASSERT(reportBytesPerSecond(scenario) <= limitBytesPerSecond);
    }

private:
    // What a change of placement may cost; the users count less than this as noise.
    static constexpr double tolerance = 0.03;

    static double reportBytesPerSecond(const PlacementScenario &scenario)
    {
        // A report with a dozen loads.
        constexpr double reportBytes = 434;
        return static_cast<double>(FakePlacementFleet(scenario).run().datagrams) * reportBytes
            / scenario.routers / absl::ToDoubleSeconds(scenario.length);
    }

    static PlacementResult run(PlacementScenario scenario, LoadSharing sharing)
    {
        constexpr std::uint64_t seeds = 4;
        scenario.sharing = sharing;
        PlacementResult sum;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            scenario.seed = seed;
            const auto result = FakePlacementFleet(scenario).run();
            sum.requests += result.requests;
            sum.inTime += result.inTime;
            sum.wastedPrefillTokens += result.wastedPrefillTokens;
            sum.datagrams += result.datagrams;
            sum.worstSecond = std::min(sum.worstSecond, result.worstSecond);
        }
        return sum;
    }

    // Sharing within groups must serve as many callers in time as sharing with everyone, and more than not
    // sharing at all, which routers could do without any reports.
    static void compare(const char *name, const PlacementScenario &scenario)
    {
        const auto everyone = run(scenario, LoadSharing::Everyone);
        const auto groups = run(scenario, LoadSharing::Groups);
        const auto nobody = run(scenario, LoadSharing::Nobody);
        print(name, "everyone", everyone);
        print(name, "groups", groups);
        print(name, "nobody", nobody);
        CPPUNIT_ASSERT(groups.inTimeShare() >= everyone.inTimeShare() - tolerance);
        CPPUNIT_ASSERT(groups.inTimeShare() >= nobody.inTimeShare());
    }

    static void print(const char *name, const char *sharing, const PlacementResult &it)
    {
        std::cout << name << ", loads shared with " << sharing << ": " << it.inTimeShare()
                  << " in time, worst second " << it.worstSecond << ", " << it.wastedPrefillTokens
                  << " prompt tokens wasted, " << it.datagrams << " datagrams\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlacementPatterns);

} // namespace Wisteria
