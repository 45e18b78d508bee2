// Thousands of seeded event orders with engines, routers and callers that fail. WISTERIA_SEED replays one,
// WISTERIA_ORDERS sets how many are tried.

#include "FakeWorld.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

namespace Wisteria {

class TestRouterUnderFailure : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRouterUnderFailure);
    CPPUNIT_TEST(keepsPromisesInEveryOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void keepsPromisesInEveryOrder()
    {
        const char *seed = std::getenv("WISTERIA_SEED");
        const char *orders = std::getenv("WISTERIA_ORDERS");
        const std::uint64_t first = seed ? std::stoull(seed) : 1;
        const std::uint64_t count = seed ? 1 : orders ? std::stoull(orders) : 3000;
        for (std::uint64_t it = first; it < first + count; ++it)
            runOne(it);
        std::cerr << "orders " << count << ", faults " << m_sum.faults << ", events " << m_sum.events
                  << ", completed " << m_sum.completed << ", refused " << m_sum.refused << ", left "
                  << m_sum.left << ", attempts " << m_sum.attempts << '\n';
        for (const auto &[name, n] : m_sum.refusals)
            std::cerr << "  " << name << " " << n << '\n';
        // A world in which nearly all callers are refused would prove little.
        CPPUNIT_ASSERT(seed || m_sum.completed > 3 * m_sum.refused);
    }

private:
    void runOne(std::uint64_t seed)
    {
        FakeWorld world(seed);
        try {
            world.run();
        } catch (const FakeViolation &violation) {
            CPPUNIT_FAIL("WISTERIA_SEED=" + std::to_string(seed) + ": " + violation.what());
        }
        m_sum.completed += world.counts().completed;
        m_sum.refused += world.counts().refused;
        m_sum.left += world.counts().left;
        m_sum.attempts += world.counts().attempts;
        m_sum.faults += world.counts().faults;
        m_sum.events += world.counts().events;
        for (const auto &[name, n] : world.counts().refusals)
            m_sum.refusals[name] += n;
    }

    FakeWorld::Counts m_sum;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRouterUnderFailure);

} // namespace Wisteria
