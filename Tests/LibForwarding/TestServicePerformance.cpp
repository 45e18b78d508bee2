// Tests the estimates of service times with fast and slow services.

#include <LibCore/Random.h>
#include <LibForwarding/ServicePerformance.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

namespace Wisteria {

class TestServicePerformance : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestServicePerformance);
    CPPUNIT_TEST(estimatesStartAtAssumedValues);
    CPPUNIT_TEST(quantileIsFollowed);
    CPPUNIT_TEST(fastAndSlowServicesAreToldApart);
    CPPUNIT_TEST(queueingDoesNotHideTheSpeedOfTargets);
    CPPUNIT_TEST(outliersAndInvalidSamplesHaveLittleEffect);
    CPPUNIT_TEST(changedSpeedIsFollowed);
    CPPUNIT_TEST_SUITE_END();

public:
    void estimatesStartAtAssumedValues()
    {
        const ServicePerformance performance;
        CPPUNIT_ASSERT(performance.plainServiceTime() == ServicePerformance::initialPlainServiceTime);
        CPPUNIT_ASSERT(performance.prefillTime(8000) == absl::Seconds(1));
        CPPUNIT_ASSERT(performance.typicalPrefillTime() == absl::Seconds(1));
        CPPUNIT_ASSERT(performance.decodeTime(1000) == 1000 * ServicePerformance::initialTokenTime);
        CPPUNIT_ASSERT(performance.generationTime() == ServicePerformance::initialGenerationTime);
    }

    void quantileIsFollowed()
    {
        for (const double quantile : {0.2, 0.5, 0.8}) {
            SeededRandom random(5);
            MovingQuantile estimate(100, quantile);
            for (int n = 0; n < samples; ++n)
                estimate.add(10 + 10 * random.fraction());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(10 + 10 * quantile, estimate.value(), 1.5);
        }
    }

    void fastAndSlowServicesAreToldApart()
    {
        ServicePerformance fast;
        ServicePerformance slow;
        SeededRandom random(7);
        for (int n = 0; n < samples; ++n) {
            const double spread = 0.8 + 0.4 * random.fraction();
            fast.recordPlainResponse(spread * absl::Milliseconds(5));
            slow.recordPlainResponse(spread * absl::Milliseconds(60));
            recordGeneration(fast, 20, absl::Milliseconds(2) * spread, random);
            recordGeneration(slow, 2, absl::Milliseconds(20) * spread, random);
        }
        checkNear(absl::Milliseconds(5), fast.plainServiceTime());
        checkNear(absl::Milliseconds(60), slow.plainServiceTime());
        checkNear(absl::Milliseconds(50), fast.prefillTime(1000));
        checkNear(absl::Milliseconds(500), slow.prefillTime(1000));
        // Decode times are a lower quantile of the spread.
        checkNear(0.88 * absl::Seconds(2), fast.decodeTime(1000));
        checkNear(0.88 * absl::Seconds(20), slow.decodeTime(1000));
        CPPUNIT_ASSERT(fast.generationTime() < slow.generationTime() / 5);
    }

    // Half of the prompts wait behind another one that this router does not know about.
    void queueingDoesNotHideTheSpeedOfTargets()
    {
        ServicePerformance performance;
        for (int n = 0; n < samples; ++n)
            performance.recordPrefill(4000, absl::Seconds(n % 2 == 0 ? 1 : 2));
        checkNear(absl::Seconds(1), performance.prefillTime(4000));
    }

    void outliersAndInvalidSamplesHaveLittleEffect()
    {
        ServicePerformance performance;
        for (int n = 0; n < samples; ++n)
            performance.recordPlainResponse(n % 50 == 0 ? absl::Seconds(5) : absl::Milliseconds(15));
        performance.recordPlainResponse(absl::ZeroDuration());
        performance.recordPlainResponse(absl::InfiniteDuration());
        performance.recordPrefill(0, absl::Seconds(1));
        performance.recordPrefill(1000, absl::ZeroDuration());
        performance.recordGeneration({});
        checkNear(absl::Milliseconds(15), performance.plainServiceTime());
        checkNear(absl::Seconds(1), performance.prefillTime(8000));
    }

    void changedSpeedIsFollowed()
    {
        ServicePerformance performance;
        constexpr int doublingSamples = 40;
        for (int n = 0; n < doublingSamples; ++n)
            performance.recordPlainResponse(absl::Milliseconds(30));
        checkNear(absl::Milliseconds(30), performance.plainServiceTime());
    }

private:
    static constexpr int samples = 2000;

    static void checkNear(absl::Duration expected, absl::Duration actual)
    {
        constexpr double tolerance = 0.12;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, absl::FDivDuration(actual, expected), tolerance);
    }

    static void recordGeneration(ServicePerformance &performance, double prefillTokensPerMs,
                                 absl::Duration tokenTime, SeededRandom &random)
    {
        constexpr std::int64_t promptTokens = 6000;
        constexpr std::int64_t events = 100;
        constexpr std::int64_t tokensPerEvent = 4;
        const auto prefill = absl::Milliseconds(promptTokens / prefillTokensPerMs);
        const auto decoding = (events - 1) * tokensPerEvent * tokenTime;
        // The caller's estimate is up to twice too large or too small.
        const double error = std::exp2(2 * random.fraction() - 1);
        performance.recordPrompt(promptTokens);
        performance.recordPrefill(promptTokens, prefill);
        performance.recordGeneration(
            {.expectedOutputTokens = static_cast<std::int64_t>(events * tokensPerEvent * error),
             .events = events,
             .total = prefill + decoding,
             .decoding = decoding});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestServicePerformance);

} // namespace Wisteria
