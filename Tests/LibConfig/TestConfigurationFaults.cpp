// Accepted versions reach every router that takes work, over thousands of seeded event orders.
// WISTERIA_SEED=N replays one.

#include <LibConfig/FakeConfigFleet.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace Wisteria {

class TestConfigurationFaults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestConfigurationFaults);
    CPPUNIT_TEST(keepsAcceptedVersionsUnderFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void keepsAcceptedVersionsUnderFaults()
    {
        constexpr std::uint64_t orders = 2000;
        const char *replayed = std::getenv("WISTERIA_SEED");
        const std::uint64_t first = replayed ? std::strtoull(replayed, nullptr, 10) : 1;
        const std::uint64_t last = replayed ? first : orders;
        FakeConfigFleet::Counts total;
        for (auto seed = first; seed <= last; ++seed)
            runOrder(seed, total);
        std::cout << "orders " << last - first + 1 << ", events " << total.events << ", faults "
                  << total.faults << ", accepted " << total.accepted
                  << " (store down: " << total.acceptedByPollOnly << "), refused " << total.refused << '\n';
        CPPUNIT_ASSERT(replayed || total.accepted > orders);
    }

private:
    static void runOrder(std::uint64_t seed, FakeConfigFleet::Counts &total)
    {
        FakeConfigFleet fleet(seed, 3 + seed % 6);
        try {
            fleet.runWithFaults(absl::Seconds(60));
            fleet.checkConvergence(absl::Seconds(10));
            fleet.checkRefusals();
        } catch (const std::runtime_error &error) {
            CPPUNIT_FAIL("WISTERIA_SEED=" + std::to_string(seed) + " " + error.what());
        }
        total.events += fleet.counts().events;
        total.faults += fleet.counts().faults;
        total.accepted += fleet.counts().accepted;
        total.acceptedByPollOnly += fleet.counts().acceptedByPollOnly;
        total.refused += fleet.counts().refused;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConfigurationFaults);

} // namespace Wisteria
