// What is known of limits when answers and reports overtake each other.

#include <LibForwarding/TargetLimits.h>

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestTargetLimits : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetLimits);
    CPPUNIT_TEST(answerWrittenBeforeTheLimitDoesNotEndIt);
    CPPUNIT_TEST(answerToALaterRequestEndsTheLimit);
    CPPUNIT_TEST(lowerLimitHoldsAtOnceAndAHigherOneFromALaterRequest);
    CPPUNIT_TEST(laterProcessStartsWithoutALimit);
    CPPUNIT_TEST(answerOfTheProcessBeforeChangesNothing);
    CPPUNIT_TEST(latestStatementOfAnyRouterHolds);
    CPPUNIT_TEST(endOfALimitIsToldForAWhile);
    CPPUNIT_TEST(limitThatNoTargetReachesIsNotInForce);
    CPPUNIT_TEST(limitsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerWrittenBeforeTheLimitDoesNotEndIt()
    {
        CPPUNIT_ASSERT(name(m_process, 2, 0, 10) == TargetLimitChange::Named);
        CPPUNIT_ASSERT(m_limits.recordAbsent(m_process, at(5)) == TargetLimitChange::None);
        CPPUNIT_ASSERT_EQUAL(2.0, rate());
        // The limit was named once more after the request was sent.
        CPPUNIT_ASSERT(name(m_process, 2, 18, 20) == TargetLimitChange::None);
        CPPUNIT_ASSERT(m_limits.recordAbsent(m_process, at(15)) == TargetLimitChange::None);
        CPPUNIT_ASSERT_EQUAL(2.0, rate());
    }

    void answerToALaterRequestEndsTheLimit()
    {
        (void)name(m_process, 2, 0, 10);
        CPPUNIT_ASSERT(m_limits.recordAbsent(m_process, at(11)) == TargetLimitChange::Ended);
        CPPUNIT_ASSERT(!m_limits.find(m_process.id));
        CPPUNIT_ASSERT(name(m_process, 3, 30, 40) == TargetLimitChange::Named);
        CPPUNIT_ASSERT(m_limits.find(m_process.id)->firstNamedAt == at(40));
    }

    void lowerLimitHoldsAtOnceAndAHigherOneFromALaterRequest()
    {
        (void)name(m_process, 10, 0, 10);
        CPPUNIT_ASSERT(name(m_process, 2, 5, 20) == TargetLimitChange::Changed);
        CPPUNIT_ASSERT(name(m_process, 10, 15, 21) == TargetLimitChange::None);
        CPPUNIT_ASSERT_EQUAL(2.0, rate());
        CPPUNIT_ASSERT(name(m_process, 10, 22, 25) == TargetLimitChange::Changed);
        CPPUNIT_ASSERT_EQUAL(10.0, rate());
        CPPUNIT_ASSERT(m_limits.find(m_process.id)->firstNamedAt == at(10));
    }

    void laterProcessStartsWithoutALimit()
    {
        (void)name(m_process, 2, 0, 10);
        auto later = m_process;
        later.startedAtMs = 2;
        m_limits.processStarted(later);
        CPPUNIT_ASSERT(!m_limits.find(m_process.id));
        (void)name(m_process, 2, 0, 10);
        CPPUNIT_ASSERT(name(later, 3, 20, 21) == TargetLimitChange::Named);
        CPPUNIT_ASSERT_EQUAL(3.0, rate());
    }

    void answerOfTheProcessBeforeChangesNothing()
    {
        auto later = m_process;
        later.startedAtMs = 2;
        (void)name(later, 3, 0, 10);
        CPPUNIT_ASSERT(name(m_process, 1, 11, 12) == TargetLimitChange::None);
        CPPUNIT_ASSERT(m_limits.recordAbsent(m_process, at(12)) == TargetLimitChange::None);
        CPPUNIT_ASSERT_EQUAL(3.0, rate());
    }

    void latestStatementOfAnyRouterHolds()
    {
        (void)name(m_process, 2, 0, 10);
        CPPUNIT_ASSERT(m_limits.merge({m_process, std::nullopt, at(9), at(9)}) == TargetLimitChange::None);
        CPPUNIT_ASSERT(m_limits.merge({m_process, std::nullopt, at(12), at(12)}) == TargetLimitChange::Ended);
        CPPUNIT_ASSERT(m_limits.merge({m_process, RequestRate::perSecond(2), at(11), at(5)})
                       == TargetLimitChange::None);
        CPPUNIT_ASSERT(m_limits.merge({m_process, RequestRate::perSecond(2), at(13), at(5)})
                       == TargetLimitChange::Named);
        CPPUNIT_ASSERT(m_limits.find(m_process.id)->firstNamedAt == at(5));
    }

    void endOfALimitIsToldForAWhile()
    {
        (void)name(m_process, 2, 0, 10);
        (void)m_limits.recordAbsent(m_process, at(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_limits.recent(5, at(30)).size());
        CPPUNIT_ASSERT(!m_limits.recent(5, at(30)).front().rate);
        CPPUNIT_ASSERT(m_limits.recent(5, at(20) + TargetLimits::endedLifetime).empty());
    }

    void limitThatNoTargetReachesIsNotInForce()
    {
        (void)name(m_process, 1e9, 0, 10);
        CPPUNIT_ASSERT(!m_limits.find(m_process.id));
        (void)name(m_process, 0, 11, 12);
        CPPUNIT_ASSERT_EQUAL(0.0, rate());
    }

    void limitsAreBounded()
    {
        for (std::size_t n = 0; n < TargetLimits::maxLimits + 3; ++n)
            (void)name({TargetId(std::to_string(n)), 1, "a"}, 2, 0, 10);
        CPPUNIT_ASSERT_EQUAL(TargetLimits::maxLimits, m_limits.countInForce());
        CPPUNIT_ASSERT(!m_limits.find(TargetId("0")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, m_limits.recent(16, at(10)).size());
    }

private:
    [[nodiscard]] static absl::Time at(int ms)
    {
        return absl::UnixEpoch() + absl::Hours(1) + absl::Milliseconds(ms);
    }
    [[nodiscard]] double rate() const { return m_limits.find(m_process.id)->rate->requestsPerSecond(); }

    TargetLimitChange name(const TargetProcess &process, double perSecond, int sentAtMs, int receivedAtMs)
    {
        return m_limits.recordNamed(process, RequestRate::perSecond(perSecond), at(sentAtMs),
                                    at(receivedAtMs));
    }

    TargetProcess m_process{TargetId("t"), 1, "127.0.0.1:1"};
    TargetLimits m_limits;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetLimits);

} // namespace Wisteria
