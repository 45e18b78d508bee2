// Seeded event orders: placers that pause and restart, a store that loses replies, engines of both kinds.

#include <LibPlacement/FakeFleet.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace Wisteria {

class TestPlacerOrders : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlacerOrders);
    CPPUNIT_TEST(oneHolderAndRepairedEngines);
    CPPUNIT_TEST_SUITE_END();

public:
    // Orders that were delayed past their lease may cross on engines that do not check; the next reading
    // repairs them within readingInterval and what an order takes.
    void oneHolderAndRepairedEngines()
    {
        FleetCounts sum;
        const std::string broken = firstBrokenSeed(1000, [&](std::uint64_t seed) {
            FakeFleet fleet(seed, 3, 6);
            std::string it = fleet.run(absl::Minutes(6), absl::Minutes(4));
            sum.ordersApplied += fleet.counts().ordersApplied;
            sum.crossedOrders += fleet.counts().crossedOrders;
            sum.refusedOrders += fleet.counts().refusedOrders;
            sum.takeOvers += fleet.counts().takeOvers;
            sum.lostReplies += fleet.counts().lostReplies;
            sum.pauses += fleet.counts().pauses;
            sum.restarts += fleet.counts().restarts;
            return it;
        });
        std::cout << "orders " << sum.ordersApplied << ", crossed " << sum.crossedOrders << ", refused "
                  << sum.refusedOrders << ", take-overs " << sum.takeOvers << ", lost replies "
                  << sum.lostReplies << ", pauses " << sum.pauses << ", restarts " << sum.restarts << "\n";
        CPPUNIT_ASSERT_EQUAL(std::string(), broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlacerOrders);

} // namespace Wisteria
