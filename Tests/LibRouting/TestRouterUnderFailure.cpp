// Checks the routing invariants in thousands of random event orders with failing engines, routers and
// callers. Each order is drawn from a seed. WISTERIA_SEED replays one seed, WISTERIA_ORDERS sets how many are
// run.

#include "FakeRoutingCluster.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

namespace Wisteria {

class TestRouterUnderFailure : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRouterUnderFailure);
    CPPUNIT_TEST(keepsInvariantsInEveryEventOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void keepsInvariantsInEveryEventOrder()
    {
        const char *seed = std::getenv("WISTERIA_SEED");
        const char *orders = std::getenv("WISTERIA_ORDERS");
        const std::uint64_t first = seed ? std::stoull(seed) : 1;
        const std::uint64_t count = seed ? 1 : orders ? std::stoull(orders) : 3000;
        for (std::uint64_t it = first; it < first + count; ++it)
            runSeed(it);
        std::cerr << "orders " << count << ", faults " << m_totals.faults << ", events " << m_totals.events
                  << ", completed " << m_totals.completed << ", refused " << m_totals.refused
                  << ", abandoned " << m_totals.abandoned << ", attempts " << m_totals.attempts << '\n';
        for (const auto &[name, n] : m_totals.refusals)
            std::cerr << "  " << name << " " << n << '\n';
        // If most requests were refused, the run would hardly exercise delivery and recovery.
        CPPUNIT_ASSERT(seed || m_totals.completed > 3 * m_totals.refused);
    }

private:
    void runSeed(std::uint64_t seed)
    {
        FakeRoutingCluster cluster(seed);
        try {
            cluster.run();
        } catch (const RoutingInvariantViolation &violation) {
            CPPUNIT_FAIL("WISTERIA_SEED=" + std::to_string(seed) + ": " + violation.what());
        }
        m_totals.completed += cluster.counts().completed;
        m_totals.refused += cluster.counts().refused;
        m_totals.abandoned += cluster.counts().abandoned;
        m_totals.attempts += cluster.counts().attempts;
        m_totals.faults += cluster.counts().faults;
        m_totals.events += cluster.counts().events;
        for (const auto &[name, n] : cluster.counts().refusals)
            m_totals.refusals[name] += n;
    }

    FakeRoutingCluster::Counts m_totals;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRouterUnderFailure);

} // namespace Wisteria
