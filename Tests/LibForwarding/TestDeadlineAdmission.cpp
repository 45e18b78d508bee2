// Refusing what cannot end, under the load that it answers, on a virtual clock.

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
    // Read for callers who had left by then.
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
        CPPUNIT_ASSERT(canEnd(size, absl::ZeroDuration(), absl::Seconds(1)));
        CPPUNIT_ASSERT(!canEnd(size, absl::ZeroDuration(), absl::Milliseconds(999)));
        CPPUNIT_ASSERT(!canEnd(size, absl::Milliseconds(1), absl::Seconds(1)));
        CPPUNIT_ASSERT(!canEnd(size, absl::InfiniteDuration(), absl::Seconds(100)));
    }

    void expectedOutputCountsWhenPromptsAreQueued()
    {
        const GenerationSize size{
            .promptTokens = 8000, .maxOutputTokens = 1000, .expectedOutputTokens = 1000};
        CPPUNIT_ASSERT(canEnd(size, absl::Milliseconds(100), absl::Milliseconds(4600)));
        CPPUNIT_ASSERT(!canEnd(size, absl::Milliseconds(100), absl::Milliseconds(4599)));
    }

    // Found by inc-2249 and inc-8eba: callers with little patience left were refused while targets were free.
    void idleTargetIsUsedDespiteExpectedOutput()
    {
        const GenerationSize size{
            .promptTokens = 8000, .maxOutputTokens = 1000, .expectedOutputTokens = 1000};
        CPPUNIT_ASSERT(canEnd(size, absl::ZeroDuration(), absl::Seconds(1)));
        CPPUNIT_ASSERT(!canEnd(size, absl::ZeroDuration(), absl::Milliseconds(999)));
    }

    void backlogIsThatOfBestHealthyTarget()
    {
        auto pool = makePool();
        TargetRequirements need{.service = ServiceName("s"), .isModelService = true};
        for (int n = 0; n < targetCount; ++n)
            pool.addLoad(id(n), {.pendingPrefillTokens = std::int64_t{8000} * (n + 1)});
        CPPUNIT_ASSERT(pool.backlog(need, m_start) == absl::Seconds(1));
        pool.recordFault(id(0), TargetFault::Unresponsive, m_start);
        CPPUNIT_ASSERT(pool.backlog(need, m_start) == absl::Seconds(2));
        for (int n = 1; n < targetCount; ++n)
            pool.recordFault(id(n), TargetFault::Gone, m_start);
        CPPUNIT_ASSERT(pool.backlog(need, m_start) == absl::InfiniteDuration());
    }

    // Load pattern: an outage ends, and 60 callers with 2 to 7 s of patience left come back to 4 targets
    // within half a second; each target reads one prompt a second.
    void rejectionImprovesGoodputAfterOutage()
    {
        const auto before = replayReconnectBurst(detail::AdmissionPolicy::AdmitAll);
        const auto after = replayReconnectBurst(detail::AdmissionPolicy::RejectInfeasible);
        CPPUNIT_ASSERT(after.served > before.served);
        CPPUNIT_ASSERT(after.wastedPrefillTokens * 4 < before.wastedPrefillTokens);
        CPPUNIT_ASSERT_EQUAL(0, before.refused);
        CPPUNIT_ASSERT(after.refused > 0);
    }

    void moderateLoadIsNotRejected()
    {
        const GenerationSize size{
            .promptTokens = 14400, .maxOutputTokens = 1400, .expectedOutputTokens = 1400};
        // The largest prompt of the users' sheets, with three of them ahead.
        CPPUNIT_ASSERT(canEnd(size, absl::Milliseconds(3 * 1800), absl::Seconds(25)));
    }

private:
    static constexpr int targetCount = 4;

    static TargetId id(int n) { return TargetId(absl::StrCat("t", n)); }

    static bool canEnd(const GenerationSize &size, absl::Duration backlog, absl::Duration timeLeft)
    {
        return DeadlineAdmission::canFinishInTime({.size = size, .backlog = backlog, .timeLeft = timeLeft});
    }

    TargetPool makePool()
    {
        TargetPool pool(FailureDomain("d"), m_random);
        for (int n = 0; n < targetCount; ++n) {
            pool.upsert({.id = id(n),
                         .service = ServiceName("s"),
                         .address = absl::StrCat("127.0.0.1:", 1000 + n),
                         .domain = FailureDomain("d")});
        }
        return pool;
    }

    // Targets read prompts in the order of their arrival, one after the other.
    detail::ReplayResult replayReconnectBurst(detail::AdmissionPolicy policy)
    {
        constexpr int callers = 60;
        const GenerationSize size{.promptTokens = 8000, .maxOutputTokens = 300, .expectedOutputTokens = 300};
        const auto decodeTime = DeadlineAdmission::minTokenTime * size.expectedOutputTokens;
        const auto prefillTime = absl::Milliseconds(static_cast<double>(size.promptTokens)
                                                    / DeadlineAdmission::prefillTokensPerMs);
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
                && !canEnd(size, prefillStart - now, timeLeft);
            if (isRefused) {
                ++out.refused;
                continue;
            }
            // A caller that has left before its prompt is read costs nothing more.
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
