// Tests the rejection of requests that cannot finish before their deadline, on a virtual clock.

#include <LibForwarding/DeadlineAdmission.h>
#include <LibForwarding/TargetPool.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace Wisteria {

namespace detail {

enum class AdmissionPolicy { AdmitAll, RejectInfeasible };

struct ReplayResult
{
    int served{0};
    int refused{0};
    // Prompt tokens prefilled for requests that missed their deadline.
    std::int64_t wastedPrefillTokens{0};
};

} // namespace detail

class TestDeadlineAdmission : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDeadlineAdmission);
    CPPUNIT_TEST(promptThatCannotBePrefilledInTimeIsRejected);
    CPPUNIT_TEST(expectedOutputCountsWhenPromptsAreQueued);
    CPPUNIT_TEST(idleTargetIsUsedDespiteExpectedOutput);
    CPPUNIT_TEST(backlogIsThatOfBestHealthyTarget);
    CPPUNIT_TEST(rejectionImprovesGoodputAfterOutage);
    CPPUNIT_TEST(moderateLoadIsNotRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void promptThatCannotBePrefilledInTimeIsRejected()
    {
        const GenerationSize size{.promptTokens = 8000, .maxOutputTokens = 1000};
        CPPUNIT_ASSERT(canMeetDeadline(size, absl::ZeroDuration(), absl::Seconds(1)));
        CPPUNIT_ASSERT(!canMeetDeadline(size, absl::ZeroDuration(), absl::Milliseconds(999)));
        CPPUNIT_ASSERT(!canMeetDeadline(size, absl::Milliseconds(1), absl::Seconds(1)));
        CPPUNIT_ASSERT(!canMeetDeadline(size, absl::InfiniteDuration(), absl::Seconds(100)));
    }

    void expectedOutputCountsWhenPromptsAreQueued()
    {
        const GenerationSize size{
            .promptTokens = 8000, .maxOutputTokens = 1000, .expectedOutputTokens = 1000};
        CPPUNIT_ASSERT(canMeetDeadline(size, absl::Milliseconds(100), absl::Milliseconds(4600)));
        CPPUNIT_ASSERT(!canMeetDeadline(size, absl::Milliseconds(100), absl::Milliseconds(4599)));
    }

    // The expected output length is only an estimate. Rejecting by it refused callers near their deadline
    // while targets were idle.
    void idleTargetIsUsedDespiteExpectedOutput()
    {
        const GenerationSize size{
            .promptTokens = 8000, .maxOutputTokens = 1000, .expectedOutputTokens = 1000};
        CPPUNIT_ASSERT(canMeetDeadline(size, absl::ZeroDuration(), absl::Seconds(1)));
        CPPUNIT_ASSERT(!canMeetDeadline(size, absl::ZeroDuration(), absl::Milliseconds(999)));
    }

    void backlogIsThatOfBestHealthyTarget()
    {
        auto pool = makePool();
        TargetRequirements need{.service = ServiceName("s"), .isModelService = true};
        for (int n = 0; n < targetCount; ++n)
            pool.addLoad(id(n), {.pendingPrefillTokens = std::int64_t{8000} * (n + 1)});
        CPPUNIT_ASSERT(pool.backlog(need, m_start) == absl::Seconds(1));
        pool.recordFault(process(0), TargetFault::Unresponsive, m_start);
        CPPUNIT_ASSERT(pool.backlog(need, m_start) == absl::Seconds(2));
        for (int n = 1; n < targetCount; ++n)
            pool.recordFault(process(n), TargetFault::Gone, m_start);
        CPPUNIT_ASSERT(pool.backlog(need, m_start) == absl::InfiniteDuration());
    }

    // An outage ends, and 60 callers with 2 to 7 s until their deadline reconnect to 4 targets within 0.5 s.
    // Each target prefills one prompt per second.
    void rejectionImprovesGoodputAfterOutage()
    {
        const auto admitAll = replayReconnectBurst(detail::AdmissionPolicy::AdmitAll);
        const auto rejectInfeasible = replayReconnectBurst(detail::AdmissionPolicy::RejectInfeasible);
        CPPUNIT_ASSERT(rejectInfeasible.served > admitAll.served);
        CPPUNIT_ASSERT(rejectInfeasible.wastedPrefillTokens * 4 < admitAll.wastedPrefillTokens);
        CPPUNIT_ASSERT_EQUAL(0, admitAll.refused);
        CPPUNIT_ASSERT(rejectInfeasible.refused > 0);
    }

    void moderateLoadIsNotRejected()
    {
        const GenerationSize size{
            .promptTokens = 14400, .maxOutputTokens = 1400, .expectedOutputTokens = 1400};
        // The largest expected prompt, queued behind three prompts of the same size.
        CPPUNIT_ASSERT(canMeetDeadline(size, absl::Milliseconds(3 * 1800), absl::Seconds(25)));
    }

private:
    static constexpr int targetCount = 4;

    static TargetId id(int n) { return TargetId(absl::StrCat("t", n)); }
    static std::string address(int n) { return absl::StrCat("127.0.0.1:", 1000 + n); }
    static TargetProcess process(int n) { return {.id = id(n), .address = address(n)}; }

    // Eight prompt tokens per millisecond, and half a millisecond less than four per output token.
    static bool canMeetDeadline(const GenerationSize &size, absl::Duration backlog, absl::Duration timeLeft)
    {
        const ServicePerformance performance;
        return DeadlineAdmission::canFinishInTime(
            {.backlog = backlog,
             .prefillTime = performance.prefillTime(size.promptTokens),
             .decodeTime = performance.decodeTime(size.expectedOutputTokens),
             .timeLeft = timeLeft});
    }

    TargetPool makePool()
    {
        TargetPool pool(FailureDomain("d"), m_random);
        for (int n = 0; n < targetCount; ++n) {
            pool.upsert({.id = id(n),
                         .service = ServiceName("s"),
                         .address = address(n),
                         .domain = FailureDomain("d")});
        }
        return pool;
    }

    // Simulates targets that prefill prompts one at a time, in order of arrival.
    detail::ReplayResult replayReconnectBurst(detail::AdmissionPolicy policy)
    {
        constexpr int callers = 60;
        const GenerationSize size{.promptTokens = 8000, .maxOutputTokens = 300, .expectedOutputTokens = 300};
        const ServicePerformance performance;
        const auto decodeTime = performance.decodeTime(size.expectedOutputTokens);
        const auto prefillTime = performance.prefillTime(size.promptTokens);
        m_random = SeededRandom(3);
        std::map<int, absl::Time> availableAt;
        detail::ReplayResult out;
        for (int n = 0; n < callers; ++n) {
            const auto now = m_start + n * absl::Milliseconds(500) / callers;
            const auto timeLeft = absl::Seconds(2) + absl::Seconds(5) * m_random.fraction();
            int best = 0;
            for (int target = 1; target < targetCount; ++target) {
                if (availableAt[target] < availableAt[best])
                    best = target;
            }
            const auto prefillStart = std::max(availableAt[best], now);
            const bool isRefused = policy == detail::AdmissionPolicy::RejectInfeasible
                && !canMeetDeadline(size, prefillStart - now, timeLeft);
            if (isRefused) {
                ++out.refused;
                continue;
            }
            // A caller that leaves before its prefill starts uses no target time.
            if (prefillStart >= now + timeLeft)
                continue;
            availableAt[best] = prefillStart + prefillTime;
            if (prefillStart + prefillTime + decodeTime <= now + timeLeft)
                ++out.served;
            else
                out.wastedPrefillTokens += size.promptTokens;
        }
        return out;
    }

    absl::Time m_start{absl::FromUnixSeconds(1000)};
    SeededRandom m_random{3};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDeadlineAdmission);

} // namespace Wisteria
