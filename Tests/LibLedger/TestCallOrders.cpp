// Seeded event orders over several routers' ledgers: at most one run, and truthful answers, under all faults.

#include <LibLedger/FakeCallWorld.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace Wisteria {

class TestCallOrders : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCallOrders);
    CPPUNIT_TEST(runsAtMostOnceAndTellsTheTruth);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsAtMostOnceAndTellsTheTruth()
    {
        CallCounts sum;
        const std::string broken = firstBrokenSeed(4000, [&](std::uint64_t seed) {
            FakeCallWorld world(seed);
            std::string it = world.run();
            sum.add(world.counts());
            return it;
        });
        std::cout << "bookings " << sum.bookings << ", requests " << sum.requests << ", runs " << sum.runs
                  << ", answers ran " << sum.ran << ", not_run " << sum.notRun << ", unknown " << sum.unknown
                  << ", lost store replies " << sum.lostReplies << ", other faults " << sum.faults << "\n";
        CPPUNIT_ASSERT_EQUAL(std::string(), broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCallOrders);

} // namespace Wisteria
