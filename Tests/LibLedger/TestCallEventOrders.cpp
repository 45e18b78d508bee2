// Randomized event orders over several routers' ledgers: at most one run and correct outcomes under all
// faults. The failing seed is reported.

#include <LibLedger/FakeCallCluster.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace Wisteria {

class TestCallEventOrders : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCallEventOrders);
    CPPUNIT_TEST(runsAtMostOnceAndReportsActualOutcome);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsAtMostOnceAndReportsActualOutcome()
    {
        CallCounts sum;
        const std::string violation = firstBrokenSeed(4000, [&](std::uint64_t seed) {
            FakeCallCluster cluster(seed);
            std::string it = cluster.run();
            sum.add(cluster.counts());
            return it;
        });
        std::cout << "bookings " << sum.bookings << ", requests " << sum.requests << ", runs " << sum.runs
                  << ", answers ran " << sum.ran << ", not_run " << sum.notRun << ", unknown " << sum.unknown
                  << ", lost store replies " << sum.lostReplies << ", other faults " << sum.faults << "\n";
        CPPUNIT_ASSERT_EQUAL(std::string(), violation);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCallEventOrders);

} // namespace Wisteria
