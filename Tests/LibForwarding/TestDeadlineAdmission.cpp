// Refusing what cannot end, under the load that it answers, on a virtual clock.

#include <LibForwarding/DeadlineAdmission.h>
#include <LibForwarding/TargetPool.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace Wisteria {

namespace detail {

enum class Rule { FirstComeFirstServed, RefuseWhatCannotEnd };

struct Outcome
{
    int served{0};
    int refused{0};
    // Read for callers who had left by then.
    std::int64_t tokensInVain{0};
};

} // namespace detail

class TestDeadlineAdmission : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDeadlineAdmission);
    CPPUNIT_TEST(promptThatCannotBeReadInTimeCannotEnd);
    CPPUNIT_TEST(expectedAnswerCountsWherePromptsWait);
    CPPUNIT_TEST(freeTargetIsTriedDespiteTheGuess);
    CPPUNIT_TEST(backlogOfTheBestSoundTargetCounts);
    CPPUNIT_TEST(callersThatComeBackAtOnceAreServedBetter);
    CPPUNIT_TEST(calmLoadIsNeverRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void promptThatCannotBeReadInTimeCannotEnd()
    {
        const GenerationSize size{.promptTokens = 8000, .maxOutputTokens = 1000};
        CPPUNIT_ASSERT(canEnd(size, absl::ZeroDuration(), absl::Seconds(1)));
        CPPUNIT_ASSERT(!canEnd(size, absl::ZeroDuration(), absl::Milliseconds(999)));
        CPPUNIT_ASSERT(!canEnd(size, absl::Milliseconds(1), absl::Seconds(1)));
        CPPUNIT_ASSERT(!canEnd(size, absl::InfiniteDuration(), absl::Seconds(100)));
    }

    void expectedAnswerCountsWherePromptsWait()
    {
        const GenerationSize size{
            .promptTokens = 8000, .maxOutputTokens = 1000, .expectedOutputTokens = 1000};
        CPPUNIT_ASSERT(canEnd(size, absl::Milliseconds(100), absl::Milliseconds(4600)));
        CPPUNIT_ASSERT(!canEnd(size, absl::Milliseconds(100), absl::Milliseconds(4599)));
    }

    // Found by inc-2249 and inc-8eba: callers with little patience left were refused while targets were free.
    void freeTargetIsTriedDespiteTheGuess()
    {
        const GenerationSize size{
            .promptTokens = 8000, .maxOutputTokens = 1000, .expectedOutputTokens = 1000};
        CPPUNIT_ASSERT(canEnd(size, absl::ZeroDuration(), absl::Seconds(1)));
        CPPUNIT_ASSERT(!canEnd(size, absl::ZeroDuration(), absl::Milliseconds(999)));
    }

    void backlogOfTheBestSoundTargetCounts()
    {
        auto pool = makePool();
        TargetRequirements need{.service = ServiceName("s"), .isModelService = true};
        for (int n = 0; n < targets; ++n)
            pool.addLoad(id(n), {.pendingPrefillTokens = std::int64_t{8000} * (n + 1)});
        CPPUNIT_ASSERT(pool.backlog(need, m_start) == absl::Seconds(1));
        pool.recordFault(id(0), TargetFault::Unresponsive, m_start);
        CPPUNIT_ASSERT(pool.backlog(need, m_start) == absl::Seconds(2));
        for (int n = 1; n < targets; ++n)
            pool.recordFault(id(n), TargetFault::Gone, m_start);
        CPPUNIT_ASSERT(pool.backlog(need, m_start) == absl::InfiniteDuration());
    }

    // Load pattern: an outage ends, and 60 callers with 2 to 7 s of patience left come back to 4 targets
    // within half a second; each target reads one prompt a second.
    void callersThatComeBackAtOnceAreServedBetter()
    {
        const auto before = replayReturn(detail::Rule::FirstComeFirstServed);
        const auto after = replayReturn(detail::Rule::RefuseWhatCannotEnd);
        CPPUNIT_ASSERT(after.served > before.served);
        CPPUNIT_ASSERT(after.tokensInVain * 4 < before.tokensInVain);
        CPPUNIT_ASSERT_EQUAL(0, before.refused);
        CPPUNIT_ASSERT(after.refused > 0);
    }

    void calmLoadIsNeverRefused()
    {
        const GenerationSize size{
            .promptTokens = 14400, .maxOutputTokens = 1400, .expectedOutputTokens = 1400};
        // The largest prompt of the users' sheets, with three of them ahead.
        CPPUNIT_ASSERT(canEnd(size, absl::Milliseconds(3 * 1800), absl::Seconds(25)));
    }

private:
    static constexpr int targets = 4;

    static TargetId id(int n) { return TargetId(absl::StrCat("t", n)); }

    static bool canEnd(const GenerationSize &size, absl::Duration backlog, absl::Duration timeLeft)
    {
        return DeadlineAdmission::canFinishInTime({.size = size, .backlog = backlog, .timeLeft = timeLeft});
    }

    TargetPool makePool()
    {
        TargetPool pool(FailureDomain("d"), m_random);
        for (int n = 0; n < targets; ++n) {
            pool.upsert({.id = id(n),
                         .service = ServiceName("s"),
                         .address = absl::StrCat("127.0.0.1:", 1000 + n),
                         .domain = FailureDomain("d")});
        }
        return pool;
    }

    // Targets read prompts in the order of their arrival, one after the other.
    detail::Outcome replayReturn(detail::Rule rule)
    {
        constexpr int callers = 60;
        const GenerationSize size{.promptTokens = 8000, .maxOutputTokens = 300, .expectedOutputTokens = 300};
        const auto writing = DeadlineAdmission::minTokenTime * size.expectedOutputTokens;
        const auto reading = absl::Milliseconds(static_cast<double>(size.promptTokens)
                                                / DeadlineAdmission::prefillTokensPerMs);
        m_random = SeededRandom(3);
        std::map<int, absl::Time> freeAt;
        detail::Outcome out;
        for (int n = 0; n < callers; ++n) {
            const auto now = m_start + n * absl::Milliseconds(500) / callers;
            const auto timeLeft = absl::Seconds(2) + absl::Seconds(5) * m_random.fraction();
            int best = 0;
            for (int target = 1; target < targets; ++target) {
                if (freeAt[target] < freeAt[best])
                    best = target;
            }
            const auto beginsAt = std::max(freeAt[best], now);
            const bool isRefused =
                rule == detail::Rule::RefuseWhatCannotEnd && !canEnd(size, beginsAt - now, timeLeft);
            if (isRefused) {
                ++out.refused;
                continue;
            }
            // A caller that has left before its prompt is read costs nothing more.
            if (beginsAt >= now + timeLeft)
                continue;
            freeAt[best] = beginsAt + reading;
            if (beginsAt + reading + writing <= now + timeLeft)
                ++out.served;
            else
                out.tokensInVain += size.promptTokens;
        }
        return out;
    }

    absl::Time m_start{absl::FromUnixSeconds(1000)};
    SeededRandom m_random{3};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDeadlineAdmission);

} // namespace Wisteria
