// Tests the estimators and limits that routing decisions use: inter-token latency, target load, cooldown,
// retry budget, workspace shares and affinity selection.

#include <LibRouting/AffinitySelector.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/RoutingState.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestEstimates : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEstimates);
    CPPUNIT_TEST(interTokenLatencyTailTracksEngineSpeed);
    CPPUNIT_TEST(singlePauseRaisesTokenGapTailAtMostFourfold);
    CPPUNIT_TEST(firstTokenTailScalesWithPrefillLength);
    CPPUNIT_TEST(loadIncludesOwnAttemptsSinceReport);
    CPPUNIT_TEST(consecutiveFailuresProlongCooldown);
    CPPUNIT_TEST(retryBudgetAllowsMoreResumesThanRetries);
    CPPUNIT_TEST(workspaceShareFollowsDemand);
    CPPUNIT_TEST(workspaceSharesBoundOvershoot);
    CPPUNIT_TEST(affinityMovesFewPromptsWhenTargetLeaves);
    CPPUNIT_TEST(builtInPluginsAreRegistered);
    CPPUNIT_TEST_SUITE_END();

public:
    void interTokenLatencyTailTracksEngineSpeed()
    {
        TokenLatencyEstimator fast;
        TokenLatencyEstimator slow;
        for (int it = 0; it < 200; ++it) {
            fast.addInterTokenLatency(absl::Milliseconds(20 + it % 5));
            slow.addInterTokenLatency(absl::Milliseconds(800 + it % 200));
        }
        CPPUNIT_ASSERT(fast.interTokenLatencyTail() < absl::Milliseconds(300));
        CPPUNIT_ASSERT(slow.interTokenLatencyTail() > absl::Milliseconds(990));
        CPPUNIT_ASSERT(slow.interTokenLatencyTail() < absl::Seconds(2));
    }

    void singlePauseRaisesTokenGapTailAtMostFourfold()
    {
        TokenLatencyEstimator estimator;
        for (int it = 0; it < 200; ++it)
            estimator.addInterTokenLatency(absl::Milliseconds(40));
        const absl::Duration before = estimator.interTokenLatencyTail();
        estimator.addInterTokenLatency(absl::Seconds(30));
        CPPUNIT_ASSERT(estimator.interTokenLatencyTail() <= before * 4);
    }

    void firstTokenTailScalesWithPrefillLength()
    {
        TokenLatencyEstimator estimator;
        for (int it = 0; it < 50; ++it)
            estimator.addTimeToFirstToken(absl::Milliseconds(200), 1024);
        CPPUNIT_ASSERT(estimator.timeToFirstTokenTail(8192) > absl::Milliseconds(800));
        CPPUNIT_ASSERT(estimator.timeToFirstTokenTail(0) < absl::Milliseconds(800));
    }

    void loadIncludesOwnAttemptsSinceReport()
    {
        const absl::Time t0 = absl::FromUnixSeconds(1000);
        TargetState target(TargetChanged{.target = TargetId("t"), .slots = 8});
        target.noteAttemptStarted(t0);
        target.noteAttemptStarted(t0 + absl::Seconds(2));
        // The report was measured between the two starts. It counts the first attempt, five attempts of other
        // routers and one waiting request; the second attempt is added to it.
        target.apply(LoadReported{TargetId("t"), 6, 1, absl::Seconds(2)}, t0 + absl::Seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(8), target.load(t0 + absl::Seconds(3)));
        target.noteAttemptEnded(t0 + absl::Seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(7), target.load(t0 + absl::Seconds(4)));
        // A report older than the last one is ignored.
        target.apply(LoadReported{TargetId("t"), 0, 0, absl::Seconds(9)}, t0 + absl::Seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(7), target.load(t0 + absl::Seconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), target.load(t0 + absl::Seconds(60)));
    }

    void consecutiveFailuresProlongCooldown()
    {
        absl::Time now = absl::FromUnixSeconds(1000);
        TargetState target(TargetChanged{.target = TargetId("t"), .slots = 8});
        target.noteFailure(now);
        target.noteFailure(now);
        now += absl::Milliseconds(2100);
        CPPUNIT_ASSERT(!target.isCoolingDown(now));
        target.noteFailure(now);
        CPPUNIT_ASSERT(target.isCoolingDown(now + absl::Milliseconds(2100)));
        target.noteProgress(now);
        CPPUNIT_ASSERT(!target.isCoolingDown(now));
    }

    void retryBudgetAllowsMoreResumesThanRetries()
    {
        RetryBudget budget;
        const absl::Time now = absl::FromUnixSeconds(1000);
        for (int it = 0; it < 100; ++it)
            budget.noteFirstAttempt(now);
        CPPUNIT_ASSERT_EQUAL(15, takeAll(budget, RetryBudget::Kind::Retry, now));
        CPPUNIT_ASSERT_EQUAL(40, takeAll(budget, RetryBudget::Kind::Resume, now));
        CPPUNIT_ASSERT_EQUAL(0, takeAll(budget, RetryBudget::Kind::Hedge, now));
        CPPUNIT_ASSERT_EQUAL(5, takeAll(budget, RetryBudget::Kind::Retry, now + absl::Seconds(31)));
    }

    void workspaceShareFollowsDemand()
    {
        const WorkspaceSpec spec{.name = WorkspaceName("w"), .maxGenerations = 100};
        WorkspaceShares shares;
        CPPUNIT_ASSERT_EQUAL(100, admitAll(shares, spec));
        WorkspaceShares limited;
        limited.setRemoteDemand(spec.name, 80, 5);
        CPPUNIT_ASSERT(admitAll(limited, spec) <= 2);
    }

    void workspaceSharesBoundOvershoot()
    {
        // Ten routers with equal demand each admit their full share between two reports. The bound in
        // WorkspaceShares.h allows 20 * 9 / 81 + 10 generations above the limit, which is at most 13.
        constexpr std::uint32_t routers = 10;
        const WorkspaceSpec spec{.name = WorkspaceName("w"), .maxGenerations = 100};
        std::vector<WorkspaceShares> all(routers);
        int total = 0;
        for (auto &it : all) {
            for (int own = 0; own < 8; ++own)
                it.add(spec.name);
            it.setRemoteDemand(spec.name, 8 * (routers - 1), routers);
            total += 8 + admitAll(it, spec);
        }
        CPPUNIT_ASSERT(total >= 100 && total <= 100 + static_cast<int>(routers) + 3);
    }

    void affinityMovesFewPromptsWhenTargetLeaves()
    {
        AffinitySelector selector;
        std::vector<TargetCandidate> candidates(20);
        for (std::size_t it = 0; it < candidates.size(); ++it)
            candidates[it] = {.id = TargetId("t" + std::to_string(it)), .slots = 16};
        int moved = 0;
        for (std::uint64_t it = 0; it < 1000; ++it) {
            const PromptPrefixHash prefixHash(it * 0x9e3779b97f4a7c15ULL);
            const TargetId before = candidates[selector.select(candidates, prefixHash)].id;
            const std::span<const TargetCandidate> remaining(candidates.data(), candidates.size() - 1);
            const TargetId after = remaining[selector.select(remaining, prefixHash)].id;
            moved += before != after ? 1 : 0;
        }
        // Only the prompts of the removed target move, about 1 in 20.
        CPPUNIT_ASSERT(moved > 20 && moved < 90);
        const PromptPrefixHash prefixHash(7);
        const std::size_t preferred = selector.select(candidates, prefixHash);
        candidates[preferred].load = 16;
        CPPUNIT_ASSERT(selector.select(candidates, prefixHash) != preferred);
    }

    void builtInPluginsAreRegistered()
    {
        SeededRandom random(1);
        const RoutingState state(random);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), TargetSelectorRegistry::instance().names().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), ResumePolicyRegistry::instance().names().size());
        CPPUNIT_ASSERT(!ResumePolicyRegistry::instance().create("unregistered"));
    }

private:
    // Takes attempts until the budget is exhausted; returns how many it granted.
    static int takeAll(RetryBudget &budget, RetryBudget::Kind kind, absl::Time now)
    {
        constexpr std::uint32_t running = 40;
        int n = 0;
        while (budget.tryConsume(kind, 0.1, running, now))
            ++n;
        return n;
    }

    // Admits generations until the share is used up; returns how many were admitted.
    static int admitAll(WorkspaceShares &shares, const WorkspaceSpec &spec)
    {
        int n = 0;
        for (; shares.mayAdmit(spec); ++n)
            shares.add(spec.name);
        return n;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEstimates);

} // namespace Wisteria
