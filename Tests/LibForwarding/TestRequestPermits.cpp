// Limits of targets before fleets of routers: no more requests than the limit allows in any four seconds, and
// most of what it allows is used.

#include "FakePermitFleet.h"

#include <absl/strings/str_cat.h>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <utility>

namespace Wisteria {

class TestRequestPermits : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRequestPermits);
    CPPUNIT_TEST(limitsAreKeptAndUsedByFleetsOfAllSizes);
    CPPUNIT_TEST(limitsAreKeptWhileRoutersFail);
    CPPUNIT_TEST(limitsAreKeptWhileRoutersAreReplacedInTurn);
    CPPUNIT_TEST(limitsAreKeptWhileMessagesAreLost);
    CPPUNIT_TEST(limitsAreKeptWhileAllRoutersStartAtOnce);
    CPPUNIT_TEST(targetsServeAsBeforeSoonAfterTheirLimitHasEnded);
    CPPUNIT_TEST(requestsAfterAPauseAreServedWhenTheLimitsHaveEnded);
    CPPUNIT_TEST(changedLimitsHoldSoon);
    CPPUNIT_TEST(requestsWaitForAPermitOrAreRejectedAtOnce);
    CPPUNIT_TEST(permitMessagesDoNotGrowWithTheFleet);
    CPPUNIT_TEST(stopsGoBeforeNewWorkInFleetsOfAllSizes);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitsAreKeptAndUsedByFleetsOfAllSizes()
    {
        std::cout << "\nrouters  limit/s  most in 4 s  allowed  used\n";
        for (const int routers : {7, 20, 76}) {
            for (const double limit : {0.0, 0.01, 0.3, 1.0, 2.1, 10.0}) {
                FakePermitFleet fleet({.routers = routers, .limits = {limit, limit}});
                start(fleet, {limit, limit});
                const auto since = fleet.now();
                fleet.run(absl::Seconds(40));
                const int most = fleet.mostInFourSeconds(0, since);
                const double used = limit > 0 ? fleet.arrivalRate(0, since) / limit : 0;
                std::cout << absl::StrCat(routers, "  ", limit, "  ", most, "  ", allowed(limit), "  ", used,
                                          "\n");
                check(fleet, 0, limit, since);
                if (limit >= 0.3)
                    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(routers, " routers, ", limit, ": ", used),
                                           used >= leastUse);
                CPPUNIT_ASSERT_EQUAL(0, fleet.rejected());
            }
        }
    }

    void limitsAreKeptWhileRoutersFail()
    {
        // Fewer seeds for large fleets, whose reports take most of the time, also under sanitizers.
        for (const auto &[routers, seeds] : {std::pair{7, 8U}, std::pair{20, 8U}, std::pair{76, 2U}}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const double limit = seed % 2 == 0 ? 0.5 : 6;
                FakePermitFleet fleet({.routers = routers, .seed = seed, .limits = {limit, limit}});
                start(fleet, {limit, limit});
                const auto since = fleet.now();
                SeededRandom random(seed + 100);
                for (int n = 0; n < 30; ++n) {
                    const auto router = random.below(fleet.size());
                    const auto duration = absl::Milliseconds(300 + random.below(5000));
                    if (const auto kind = random.below(4); kind == 0)
                        fleet.freeze(router, duration);
                    else if (kind == 1)
                        fleet.cut(router, duration);
                    else if (kind == 2)
                        fleet.restart(router);
                    fleet.run(absl::Milliseconds(random.below(2000)));
                }
                check(fleet, 0, limit, since);
                check(fleet, 1, limit, since);
            }
        }
    }

    // The router that issues the permits leaves and comes back, and so does the next one.
    void limitsAreKeptWhileRoutersAreReplacedInTurn()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
            const double limit = 6;
            FakePermitFleet fleet({.routers = 7, .seed = seed, .limits = {limit, limit}});
            start(fleet, {limit, limit});
            const auto since = fleet.now();
            for (std::size_t n = 0; n < 2 * fleet.size(); ++n) {
                fleet.drain(n % fleet.size());
                fleet.run(absl::Seconds(2));
                fleet.restart(n % fleet.size());
                fleet.run(absl::Seconds(1));
            }
            check(fleet, 0, limit, since);
            check(fleet, 1, limit, since);
        }
    }

    void limitsAreKeptWhileMessagesAreLost()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
            const double limit = 4;
            FakePermitFleet fleet({.routers = 20,
                                   .seed = seed,
                                   .limits = {limit, limit},
                                   .lostMessages = 0.2,
                                   .maxMessageDelay = absl::Milliseconds(50)});
            start(fleet, {limit, limit});
            const auto since = fleet.now();
            fleet.run(absl::Seconds(40));
            check(fleet, 0, limit, since);
            check(fleet, 1, limit, since);
        }
    }

    void limitsAreKeptWhileAllRoutersStartAtOnce()
    {
        FakePermitFleet fleet({.routers = 20, .limits = {1, 1}});
        start(fleet, {1, 1});
        for (std::size_t n = 0; n < fleet.size(); ++n)
            fleet.restart(n);
        fleet.run(absl::Milliseconds(500));
        const auto since = fleet.now();
        fleet.run(absl::Seconds(20));
        check(fleet, 0, 1, since);
        CPPUNIT_ASSERT(fleet.arrivalRate(0, since) >= leastUse * 0.8);
    }

    void targetsServeAsBeforeSoonAfterTheirLimitHasEnded()
    {
        for (const double limit : {0.01, 0.3, 2.0}) {
            FakePermitFleet fleet({.routers = 20, .limits = {limit}});
            start(fleet, {limit});
            fleet.run(absl::Seconds(5));
            fleet.setLimit(0, std::nullopt);
            // At least one request is sent in ten seconds.
            fleet.run(std::min(absl::Seconds(10), absl::Seconds(2 / limit)) + absl::Seconds(2));
            const auto since = fleet.now();
            fleet.run(absl::Seconds(10));
            const double share = fleet.arrivalRate(0, since);
            CPPUNIT_ASSERT_MESSAGE(absl::StrCat(limit, ": ", share), share > 10);
        }
    }

    // The issuers were replaced, and nobody sent a request since, so nobody has heard that the limits ended.
    void requestsAfterAPauseAreServedWhenTheLimitsHaveEnded()
    {
        for (const double limit : {3.0, 1.0, 0.3})
            checkServedAfterAPause(limit);
    }

    void changedLimitsHoldSoon()
    {
        FakePermitFleet fleet({.routers = 20, .limits = {8}});
        start(fleet, {8});
        fleet.run(absl::Seconds(5));
        fleet.setLimit(0, 1);
        fleet.run(absl::Seconds(1));
        auto since = fleet.now();
        fleet.run(absl::Seconds(20));
        check(fleet, 0, 1, since);
        fleet.setLimit(0, 8);
        fleet.run(absl::Seconds(3));
        since = fleet.now();
        fleet.run(absl::Seconds(10));
        check(fleet, 0, 8, since);
        CPPUNIT_ASSERT(fleet.arrivalRate(0, since) >= leastUse * 8);
    }

    // All targets are limited to a quarter of the load.
    void requestsWaitForAPermitOrAreRejectedAtOnce()
    {
        FakePermitFleet fleet({.routers = 20, .limits = {5, 5}, .hasFreeTarget = false, .requestRate = 40});
        start(fleet, {5, 5});
        fleet.run(absl::Seconds(20));
        const auto since = fleet.now();
        fleet.run(absl::Seconds(20));
        check(fleet, 0, 5, since);
        const double served = fleet.arrivalRate(0, since) + fleet.arrivalRate(1, since);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(served), served >= leastUse * 10);
        CPPUNIT_ASSERT(fleet.rejected() > 0);
        CPPUNIT_ASSERT(fleet.longestWait() <= absl::Milliseconds(700));
        // A load that the limits allow is served whole.
        fleet.setRequestRate(6);
        fleet.run(absl::Seconds(5));
        const int before = fleet.rejected();
        fleet.run(absl::Seconds(20));
        CPPUNIT_ASSERT_EQUAL(before, fleet.rejected());
    }

    void permitMessagesDoNotGrowWithTheFleet()
    {
        for (const int routers : {7, 76}) {
            FakePermitFleet fleet({.routers = routers, .limits = {2, 2}, .requestRate = 300});
            start(fleet, {2, 2});
            const auto before = fleet.permitMessages();
            fleet.run(absl::Seconds(20));
            const auto perSecond = static_cast<double>(fleet.permitMessages() - before) / 20;
            std::cout << absl::StrCat("\n", routers, " routers: ", perSecond, " permit messages a second\n");
            // Two targets; each request and answer, and one in three requests is passed on at most.
            CPPUNIT_ASSERT(perSecond < 2 * 3 * 2 * RequestPermits::maxDenialsPerSecond);
        }
    }

    // Lost runs went on beside their successors while new work took the permits of their targets.
    void stopsGoBeforeNewWorkInFleetsOfAllSizes()
    {
        std::cout << "\nrouters  limit/s  stops  longest wait\n";
        for (const int routers : {7, 76, 300}) {
            for (const double limit : {1.0, 3.0}) {
                FakePermitFleet fleet({.routers = routers, .limits = {limit, limit}, .hasFreeTarget = false});
                start(fleet, {limit, limit});
                const auto since = fleet.now();
                constexpr std::size_t runs = 3;
                fleet.stopRuns(0, runs);
                fleet.run(absl::Seconds(8));
                std::cout << absl::StrCat(routers, "  ", limit, "  ", fleet.stops(), "  ",
                                          absl::FormatDuration(fleet.longestStopWait()), "\n");
                CPPUNIT_ASSERT_EQUAL(runs, fleet.stops());
                // Each takes one permit of the target, after those that have been issued for the horizon.
                CPPUNIT_ASSERT(fleet.longestStopWait() <= absl::Seconds(runs / limit) + PermitIssuer::horizon
                                   + absl::Milliseconds(200));
                check(fleet, 0, limit, since);
            }
        }
    }

private:
    // Target: this part of a limit is used while there are requests for it.
    static constexpr double leastUse = 0.8;

    [[nodiscard]] static int allowed(double limit) { return static_cast<int>(1.5 * 4 * limit + 5); }

    // Starts the fleet without limits, then the targets name theirs; returns when all routers have heard.
    static void start(FakePermitFleet &fleet, const std::vector<double> &limits)
    {
        fleet.run(absl::Seconds(3));
        for (std::size_t n = 0; n < limits.size(); ++n)
            fleet.setLimit(n, limits[n]);
        fleet.run(absl::Seconds(2));
    }

    static void checkServedAfterAPause(double limit)
    {
        FakePermitFleet fleet(
            {.routers = 4, .limits = {limit, limit, limit}, .hasFreeTarget = false, .requestRate = 20});
        start(fleet, {limit, limit, limit});
        fleet.setRequestRate(0.0001);
        // The last router still knows the limits and tells the others.
        for (std::size_t n = 0; n + 1 < fleet.size(); ++n)
            fleet.restart(n);
        fleet.run(absl::Seconds(5));
        for (std::size_t n = 0; n < 3; ++n)
            fleet.setLimit(n, std::nullopt);
        fleet.run(absl::Seconds(10));
        const int before = fleet.rejected();
        fleet.sendRequestAtEachRouter();
        fleet.sendRequestAtEachRouter();
        fleet.run(absl::Seconds(1));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat(limit), before, fleet.rejected());
    }

    static void check(const FakePermitFleet &fleet, std::size_t target, double limit, absl::Time since)
    {
        const int most = fleet.mostInFourSeconds(target, since);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(fleet.size(), " routers, limit ", limit, ": ", most,
                                            " in 4 s, allowed ", allowed(limit)),
                               most <= allowed(limit));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestPermits);

} // namespace Wisteria
