// Tests which parts of prompts are barred by the ends of targets: causes, bystanders, other reasons for ends,
// evidence of several routers, and trials.

#include <LibForwarding/PromptQuarantine.h>

#include <LibCore/Random.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace Wisteria {

class TestPromptQuarantine : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPromptQuarantine);
    CPPUNIT_TEST(partThatEndsThreeTargetsIsBarred);
    CPPUNIT_TEST(partOnWhichTargetLivesOnIsNotBarred);
    CPPUNIT_TEST(survivalOfOtherRequestsClearsSharedParts);
    CPPUNIT_TEST(earlierSurvivalDoesNotExcuseLaterEnds);
    CPPUNIT_TEST(partsBesideTheCauseAreNotBarred);
    CPPUNIT_TEST(requestBesideTheCauseOnEachTargetIsNotBarred);
    CPPUNIT_TEST(partThatTargetsHaveLivedOnIsJudgedAfterTheCause);
    CPPUNIT_TEST(verdictNarrowsToTheCommonPart);
    CPPUNIT_TEST(twoCausesAreToldApart);
    CPPUNIT_TEST(lostConnectionsWithoutAnEndAreNoEvidence);
    CPPUNIT_TEST(laterProcessConfirmsEnd);
    CPPUNIT_TEST(runGivenUpBeforeTheEndIsSuspect);
    CPPUNIT_TEST(endConfirmedLateIsNoEvidence);
    CPPUNIT_TEST(lostDomainBarsNothing);
    CPPUNIT_TEST(evidenceOfSeveralRoutersIsAdded);
    CPPUNIT_TEST(oneEndSeenByManyRoutersCountsOnce);
    CPPUNIT_TEST(startedRouterLearnsVerdicts);
    CPPUNIT_TEST(startedRouterLearnsVerdictsOnEndsAtOnce);
    CPPUNIT_TEST(routerThatNoticesEndsLaterReachesTheVerdict);
    CPPUNIT_TEST(survivalAtOneRouterClearsPartAtAll);
    CPPUNIT_TEST(routersAgreeInAnyOrderOfReports);
    CPPUNIT_TEST(timesDoNotGrowOnTheirWayAround);
    CPPUNIT_TEST(trialIsMadeOnceAfterItsDelay);
    CPPUNIT_TEST(oneRouterOfAFleetMakesTrials);
    CPPUNIT_TEST(delayGrowsWithEachFailedTrial);
    CPPUNIT_TEST(survivingTrialLiftsVerdict);
    CPPUNIT_TEST(evidenceExpires);
    CPPUNIT_TEST(groupHearsNewsFewTimes);
    CPPUNIT_TEST(fleetOfAGroupDoesNotRepeatWhatItHears);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void partThatEndsThreeTargetsIsBarred()
    {
        PromptQuarantine quarantine;
        CPPUNIT_ASSERT(end(quarantine, 1, {{1, 9}}).newVerdicts.empty());
        CPPUNIT_ASSERT(end(quarantine, 2, {{2, 9}}).newVerdicts.empty());
        CPPUNIT_ASSERT(!isBarred(quarantine, {3, 9}));
        const auto change = end(quarantine, 3, {{3, 9}});
        CPPUNIT_ASSERT(change.isNews);
        CPPUNIT_ASSERT(change.newVerdicts == std::vector<PromptParts>{parts({9})});
        CPPUNIT_ASSERT(isBarred(quarantine, {4, 9}));
        CPPUNIT_ASSERT(!isBarred(quarantine, {1, 2, 3}));
    }

    void partOnWhichTargetLivesOnIsNotBarred()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 9; ++n) {
            (void)end(quarantine, n, {{1, 9}});
            pass(absl::Seconds(1));
            (void)quarantine.recordSurvival(parts({1, 9}), m_now);
        }
        CPPUNIT_ASSERT(quarantine.verdicts().empty());
    }

    void survivalOfOtherRequestsClearsSharedParts()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 3; ++n)
            (void)end(quarantine, n, {{1, 9}});
        // Part 1 can't be told from part 9 yet, so that only requests with both are barred.
        CPPUNIT_ASSERT(isBarred(quarantine, {1, 9}));
        CPPUNIT_ASSERT(!isBarred(quarantine, {1, 5}));
        (void)quarantine.recordSurvival(parts({1, 5}), m_now);
        CPPUNIT_ASSERT(isBarred(quarantine, {2, 9}));
        CPPUNIT_ASSERT(!isBarred(quarantine, {1, 5}));
    }

    // The part was sound until the weights of the targets changed.
    void earlierSurvivalDoesNotExcuseLaterEnds()
    {
        PromptQuarantine quarantine;
        (void)quarantine.recordSurvival(parts({9}), m_now);
        pass(PromptQuarantine::trustTime + absl::Milliseconds(1));
        for (int n = 0; n < 3; ++n)
            (void)end(quarantine, n, {{9}});
        CPPUNIT_ASSERT(isBarred(quarantine, {9}));
    }

    void partsBesideTheCauseAreNotBarred()
    {
        PromptQuarantine quarantine;
        (void)end(quarantine, 1, {{9}, {5, 6}});
        (void)end(quarantine, 2, {{9}, {5}});
        (void)end(quarantine, 3, {{9}, {5, 6}});
        (void)end(quarantine, 4, {{9}});
        CPPUNIT_ASSERT(isBarred(quarantine, {9}));
        CPPUNIT_ASSERT(!isBarred(quarantine, {5}));
        CPPUNIT_ASSERT(!isBarred(quarantine, {5, 6}));
    }

    // A sound request is sent on to the same targets as the cause, three times. It can't be told from the
    // cause before the fourth end, and the cause is barred before the fifth all the same.
    void requestBesideTheCauseOnEachTargetIsNotBarred()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 3; ++n)
            (void)end(quarantine, n, {{1, 2, 9}, {5}});
        (void)end(quarantine, 3, {{1, 3, 9}});
        CPPUNIT_ASSERT(isBarred(quarantine, {1, 4, 9}));
        CPPUNIT_ASSERT(!isBarred(quarantine, {5}));
    }

    // Sound streams are resumed at once at targets that the cause ends as well, and so their part is on more
    // targets that end than the cause. It was barred in place of the cause, which went on to end targets.
    void partThatTargetsHaveLivedOnIsJudgedAfterTheCause()
    {
        PromptQuarantine quarantine;
        (void)quarantine.recordSurvival(parts({5}), m_now);
        pass(2 * PromptQuarantine::trustTime);
        (void)end(quarantine, 0, {{5, 30}});
        for (int n = 1; n < 4; ++n)
            (void)end(quarantine, n, {{n, 9}, {5, 10 + n}, {5, 20 + n}});
        (void)end(quarantine, 4, {{5, 31}});
        CPPUNIT_ASSERT(isBarred(quarantine, {4, 9}));
        CPPUNIT_ASSERT(!isBarred(quarantine, {5, 6}));
    }

    void verdictNarrowsToTheCommonPart()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 3; ++n)
            (void)end(quarantine, n, {{1, 2, 9}});
        CPPUNIT_ASSERT(!isBarred(quarantine, {3, 9}));
        const auto change = end(quarantine, 3, {{3, 9}});
        CPPUNIT_ASSERT(change.newVerdicts == std::vector<PromptParts>{parts({9})});
        CPPUNIT_ASSERT(change.liftedVerdicts == (std::vector<PromptParts>{parts({1, 2, 9})}));
        CPPUNIT_ASSERT(!isBarred(quarantine, {1, 2}));
    }

    void twoCausesAreToldApart()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 4; ++n) {
            (void)end(quarantine, 2 * n, {{10 + n, 8}});
            (void)end(quarantine, 2 * n + 1, {{20 + n, 9}});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, quarantine.verdicts().size());
        CPPUNIT_ASSERT(isBarred(quarantine, {8}));
        CPPUNIT_ASSERT(isBarred(quarantine, {9}));
    }

    void lostConnectionsWithoutAnEndAreNoEvidence()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 9; ++n) {
            quarantine.recordLostRun(process(n), parts({9}), m_now, m_now);
            CPPUNIT_ASSERT(!quarantine.confirmEnd(process(100 + n).id, m_now).isNews);
        }
        CPPUNIT_ASSERT(quarantine.verdicts().empty());
    }

    // Under the same id, or at the same address.
    void laterProcessConfirmsEnd()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 2; ++n) {
            auto later = process(n);
            quarantine.recordLostRun(later, parts({9}), m_now, m_now);
            CPPUNIT_ASSERT(!quarantine.confirmEarlierEnds(later, m_now).isNews);
            CPPUNIT_ASSERT(!quarantine.confirmEarlierEnds(process(50), m_now).isNews);
            later.startedAtMs = 2;
            if (n == 1)
                later.id = TargetId("another");
            CPPUNIT_ASSERT(quarantine.confirmEarlierEnds(later, m_now).isNews);
        }
    }

    // The cause was cancelled by its verdict just before its fourth target ended, at a router that can't see
    // this end. Nothing has been written on the other parts yet.
    void runGivenUpBeforeTheEndIsSuspect()
    {
        PromptQuarantine routers[2];
        for (int n = 0; n < 3; ++n)
            (void)end(routers[0], n, {{1, 9}});
        routers[0].recordLostRun(process(3), parts({1, 9}), m_now, m_now);
        (void)end(routers[1], 3, {{1}});
        exchange(routers);
        exchange(routers);
        for (const auto &it : routers) {
            CPPUNIT_ASSERT(isBarred(it, {1, 9}));
            CPPUNIT_ASSERT(!isBarred(it, {1}));
        }
    }

    void endConfirmedLateIsNoEvidence()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 9; ++n)
            quarantine.recordLostRun(process(n), parts({9}), m_now, m_now);
        pass(PromptQuarantine::confirmationTime + absl::Milliseconds(1));
        for (int n = 0; n < 9; ++n)
            CPPUNIT_ASSERT(!quarantine.confirmEnd(process(n).id, m_now).isNews);
        CPPUNIT_ASSERT(quarantine.verdicts().empty());
    }

    // Twelve targets end within a second. Their prompts share the first part, which other targets write on.
    void lostDomainBarsNothing()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 12; ++n) {
            (void)quarantine.recordSurvival(parts({1, 500}), m_now);
            (void)end(quarantine, n, {{1, 100 + n}, {1, 200 + n / 2}});
            pass(absl::Milliseconds(80));
        }
        CPPUNIT_ASSERT(quarantine.verdicts().empty());
    }

    void evidenceOfSeveralRoutersIsAdded()
    {
        PromptQuarantine routers[3];
        for (int n = 0; n < 3; ++n) {
            (void)end(routers[n], n, {{n, 9}});
            pass(PromptQuarantine::maxEventSpread + absl::Milliseconds(1));
        }
        exchange(routers);
        for (const auto &it : routers)
            CPPUNIT_ASSERT(isBarred(it, {9}));
    }

    void oneEndSeenByManyRoutersCountsOnce()
    {
        PromptQuarantine routers[3];
        for (auto &it : routers)
            (void)end(it, 1, {{9}});
        exchange(routers);
        CPPUNIT_ASSERT(routers[0].verdicts().empty());
    }

    void startedRouterLearnsVerdicts()
    {
        PromptQuarantine before;
        for (int n = 0; n < 20; ++n)
            (void)end(before, n, {{9}});
        pass(absl::Seconds(50));
        PromptQuarantine started;
        const auto change = started.merge(before.evidence(PromptQuarantine::EvidenceScope::Recent, m_now),
                                          PromptQuarantine::EvidenceSource::OtherGroup, m_now);
        CPPUNIT_ASSERT(change.newVerdicts == std::vector<PromptParts>{parts({9})});
        CPPUNIT_ASSERT(started.verdicts()[0].nextTrialAt == before.verdicts()[0].nextTrialAt);
    }

    // Runs name the last end before them, which need not be the one that counts for its event. A router that
    // starts must hear of both, or it forwards the part that all others bar.
    void startedRouterLearnsVerdictsOnEndsAtOnce()
    {
        PromptQuarantine before;
        for (int n = 0; n < 3; ++n) {
            pass(absl::Milliseconds(1));
            const auto startedAt = m_now;
            pass(absl::Milliseconds(1));
            for (const int target : {2 * n, 2 * n + 1})
                before.recordLostRun(process(target), parts({9}), startedAt, m_now);
            for (const int target : {2 * n, 2 * n + 1})
                (void)before.confirmEnd(process(target).id, m_now);
        }
        CPPUNIT_ASSERT(isBarred(before, {9}));
        PromptQuarantine started;
        (void)started.merge(before.evidence(PromptQuarantine::EvidenceScope::Verdicts, m_now),
                            PromptQuarantine::EvidenceSource::OwnGroup, m_now);
        CPPUNIT_ASSERT(isBarred(started, {9}));
    }

    // A router with idle connections loses them when it uses them. It must not order these ends after those
    // that it hears of, or it forwards the part that the others bar.
    void routerThatNoticesEndsLaterReachesTheVerdict()
    {
        PromptQuarantine first;
        PromptQuarantine later;
        // Each run is sent after the end before.
        for (int n = 0; n < 3; ++n) {
            const auto startedAt = m_now;
            pass(absl::Milliseconds(1));
            first.recordLostRun(process(n), parts({9}), startedAt, m_now);
            (void)first.confirmEnd(process(n).id, m_now);
        }
        pass(absl::Seconds(1));
        const auto startedAt = m_now;
        pass(absl::Milliseconds(1));
        for (const int n : {2, 0}) {
            later.recordLostRun(process(n), parts({9}), startedAt, m_now);
            (void)later.confirmEnd(process(n).id, m_now);
        }
        CPPUNIT_ASSERT(isBarred(first, {9}));
        (void)later.merge(first.evidence(PromptQuarantine::EvidenceScope::Verdicts, m_now),
                          PromptQuarantine::EvidenceSource::OwnGroup, m_now);
        CPPUNIT_ASSERT(isBarred(later, {9}));
    }

    void survivalAtOneRouterClearsPartAtAll()
    {
        PromptQuarantine routers[2];
        (void)routers[1].recordSurvival(parts({1}), m_now);
        for (int n = 0; n < 3; ++n)
            (void)end(routers[0], n, {{1, n + 10}});
        CPPUNIT_ASSERT(isBarred(routers[0], {1}));
        exchange(routers);
        CPPUNIT_ASSERT(!isBarred(routers[0], {1}));
        CPPUNIT_ASSERT(!isBarred(routers[1], {1}));
    }

    // Drawn orders, with duplicates and losses; all routers hear everything in the end.
    void routersAgreeInAnyOrderOfReports()
    {
        int verdicts = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            SeededRandom random(seed);
            PromptQuarantine routers[4];
            for (int n = 0; n < 30; ++n) {
                auto &router = routers[random.below(4)];
                const int part = static_cast<int>(random.below(5));
                if (random.below(6) == 0)
                    (void)router.recordSurvival(parts({part}), m_now);
                else
                    (void)end(router, static_cast<int>(random.below(12)), {{part, 100 + n, 9}});
                pass(absl::Milliseconds(static_cast<std::int64_t>(random.below(300))));
                (void)routers[random.below(4)].merge(
                    routers[random.below(4)].evidence(PromptQuarantine::EvidenceScope::Recent, m_now),
                    PromptQuarantine::EvidenceSource::OtherGroup, m_now);
            }
            exchange(routers);
            exchange(routers);
            for (const auto &it : routers) {
                CPPUNIT_ASSERT_MESSAGE(absl::StrCat("seed ", seed), isBarred(it, {9}));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat("seed ", seed), routers[0].verdicts().size(),
                                             it.verdicts().size());
                verdicts += static_cast<int>(it.verdicts().size());
            }
        }
        CPPUNIT_ASSERT(verdicts > 0);
    }

    // Two routers repeat a survival to each other, each time with a delay.
    void timesDoNotGrowOnTheirWayAround()
    {
        PromptQuarantine routers[2];
        (void)routers[0].recordSurvival(parts({9}), m_now);
        (void)end(routers[1], 1, {{9}});
        for (int n = 0; n < 300; ++n) {
            for (auto &to : routers) {
                auto &from = &to == routers ? routers[1] : routers[0];
                const auto evidence = from.evidence(PromptQuarantine::EvidenceScope::Recent, m_now);
                pass(absl::Milliseconds(20));
                (void)to.merge(evidence, PromptQuarantine::EvidenceSource::OtherGroup, m_now);
            }
        }
        for (int n = 10; n < 13; ++n) {
            (void)end(routers[n % 2], n, {{9}});
            pass(PromptQuarantine::maxEventSpread + absl::Milliseconds(1));
        }
        exchange(routers);
        CPPUNIT_ASSERT(isBarred(routers[0], {9}));
        CPPUNIT_ASSERT(isBarred(routers[1], {9}));
    }

    void trialIsMadeOnceAfterItsDelay()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 3; ++n)
            (void)end(quarantine, n, {{9}});
        CPPUNIT_ASSERT(!quarantine.tryStartTrial(quarantine.verdicts()[0], m_now));
        pass(PromptQuarantine::firstTrialDelay);
        CPPUNIT_ASSERT(quarantine.tryStartTrial(quarantine.verdicts()[0], m_now));
        CPPUNIT_ASSERT(!quarantine.tryStartTrial(quarantine.verdicts()[0], m_now));
        CPPUNIT_ASSERT(isBarred(quarantine, {9}));
    }

    // Also where most routers have not been heard of for a while.
    void oneRouterOfAFleetMakesTrials()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 3; ++n)
            (void)end(quarantine, n, {{9}});
        const auto &verdict = quarantine.verdicts()[0];
        constexpr int routers = 295;
        std::vector<RouterId> fleet;
        fleet.reserve(routers);
        for (int n = 0; n < routers; ++n)
            fleet.emplace_back(absl::StrCat("g", n));
        std::set<RouterId> owners;
        pass(PromptQuarantine::firstTrialDelay);
        for (int turn = 0; turn < 10; ++turn) {
            int count = 0;
            for (const auto &it : fleet) {
                auto others = fleet;
                std::erase(others, it);
                if (PromptQuarantine::isTrialOwner(verdict, it, others, m_now)) {
                    ++count;
                    owners.insert(it);
                }
            }
            CPPUNIT_ASSERT_EQUAL(1, count);
            pass(PromptQuarantine::trialTime);
        }
        CPPUNIT_ASSERT(owners.size() > 1);
    }

    // Three trials, and with them three ends, take more than an hour.
    void delayGrowsWithEachFailedTrial()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 3; ++n)
            (void)end(quarantine, n, {{9}});
        const auto begin = m_now;
        auto delay = absl::ZeroDuration();
        for (int n = 3; n < 8; ++n) {
            const auto before = std::exchange(delay, quarantine.verdicts()[0].nextTrialAt - m_now);
            CPPUNIT_ASSERT(delay > before || delay == PromptQuarantine::maxTrialDelay);
            pass(delay);
            CPPUNIT_ASSERT(quarantine.tryStartTrial(quarantine.verdicts()[0], m_now));
            (void)end(quarantine, n, {{9}});
            if (n == 5)
                CPPUNIT_ASSERT(m_now - begin > absl::Hours(1));
        }
    }

    void survivingTrialLiftsVerdict()
    {
        PromptQuarantine routers[2];
        for (int n = 0; n < 3; ++n)
            (void)end(routers[0], n, {{9}});
        exchange(routers);
        pass(PromptQuarantine::firstTrialDelay);
        const auto change = routers[0].recordSurvival(parts({9}), m_now);
        CPPUNIT_ASSERT(change.liftedVerdicts == std::vector<PromptParts>{parts({9})});
        exchange(routers);
        CPPUNIT_ASSERT(!isBarred(routers[0], {9}));
        CPPUNIT_ASSERT(!isBarred(routers[1], {9}));
    }

    void evidenceExpires()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 2; ++n)
            (void)end(quarantine, n, {{9}});
        pass(PromptQuarantine::evidenceLifetime + absl::Seconds(1));
        (void)quarantine.expire(m_now);
        (void)end(quarantine, 2, {{9}});
        CPPUNIT_ASSERT(!isBarred(quarantine, {9}));
        for (int n = 3; n < 5; ++n)
            (void)end(quarantine, n, {{9}});
        pass(PromptQuarantine::evidenceLifetime + absl::Seconds(1));
        (void)quarantine.expire(m_now);
        CPPUNIT_ASSERT(isBarred(quarantine, {9}));
        pass(PromptQuarantine::verdictLifetime);
        const auto change = quarantine.expire(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, change.liftedVerdicts.size());
        CPPUNIT_ASSERT(!isBarred(quarantine, {9}));
    }

    void groupHearsNewsFewTimes()
    {
        PromptQuarantine quarantine;
        (void)end(quarantine, 1, {{9}});
        int n = 0;
        while (!quarantine.takeNews(m_now).ends.empty())
            ++n;
        CPPUNIT_ASSERT_EQUAL(PromptQuarantine::newsReports, n);
        for (int k = 2; k < 4; ++k)
            (void)end(quarantine, k, {{9}});
        CPPUNIT_ASSERT_EQUAL(
            PromptQuarantine::endsForVerdict,
            quarantine.evidence(PromptQuarantine::EvidenceScope::Verdicts, m_now).ends.size());
    }

    // Hundreds of routers that each repeated an end to all others would send its square.
    void fleetOfAGroupDoesNotRepeatWhatItHears()
    {
        std::vector<PromptQuarantine> routers(80);
        (void)end(routers[0], 1, {{1, 9}});
        for (auto &it : routers)
            (void)it.recordSurvival(parts({1}), m_now);
        int items = 0;
        for (int round = 0; round < 2 * PromptQuarantine::newsReports; ++round) {
            for (auto &from : routers) {
                const auto news = from.takeNews(m_now);
                items += static_cast<int>(news.ends.size() + news.survivals.size());
                for (auto &to : routers) {
                    if (&to != &from)
                        (void)to.merge(news, PromptQuarantine::EvidenceSource::OwnGroup, m_now);
                }
            }
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(items, " items"), items <= 4 * PromptQuarantine::newsReports);
        for (const auto &it : routers)
            CPPUNIT_ASSERT(it.verdicts().empty());
    }

    // Callers choose the parts, so that there is no end of them.
    void memoryIsBounded()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 3; ++n)
            (void)end(quarantine, n, {{9}});
        for (int n = 0; n < 2000; ++n) {
            PromptParts many;
            for (int k = 0; k < 100; ++k)
                many.emplace_back(1000 + 100 * n + k);
            (void)quarantine.recordSurvival(many, m_now);
            pass(PromptQuarantine::trustTime + absl::Seconds(1));
            quarantine.recordLostRun(process(10 + n), many, m_now, m_now);
            (void)quarantine.confirmEnd(process(10 + n).id, m_now);
        }
        CPPUNIT_ASSERT(isBarred(quarantine, {9}));
        const auto evidence = quarantine.evidence(PromptQuarantine::EvidenceScope::Recent, m_now);
        CPPUNIT_ASSERT(evidence.ends.size() <= PromptQuarantine::maxReportedEnds);
        for (const auto &it : evidence.ends) {
            CPPUNIT_ASSERT(it.runs.size() <= PromptQuarantine::maxRunsPerEnd);
            for (const auto &run : it.runs)
                CPPUNIT_ASSERT(run.parts.size() <= PromptQuarantine::maxPartsPerRun);
        }
    }

private:
    static PromptParts parts(const std::vector<int> &ids)
    {
        PromptParts out;
        out.reserve(ids.size());
        for (const int it : ids)
            out.emplace_back(static_cast<std::uint64_t>(it));
        std::sort(out.begin(), out.end());
        return out;
    }

    static TargetProcess process(int n)
    {
        return {TargetId(absl::StrCat("t", n)), 1, absl::StrCat("10.0.0.", n, ":1")};
    }

    // The target ends while these requests have just begun on it, later than all ends before.
    QuarantineChange end(PromptQuarantine &quarantine, int target, const std::vector<std::vector<int>> &runs)
    {
        pass(absl::Milliseconds(1));
        for (const auto &it : runs)
            quarantine.recordLostRun(process(target), parts(it), m_now, m_now);
        return quarantine.confirmEnd(process(target).id, m_now);
    }

    static bool isBarred(const PromptQuarantine &quarantine, const std::vector<int> &ids)
    {
        return quarantine.verdictOn(parts(ids)) != nullptr;
    }

    template <std::size_t n>
    void exchange(PromptQuarantine (&routers)[n])
    {
        for (const auto &from : routers) {
            for (auto &to : routers) {
                if (&to != &from)
                    (void)to.merge(from.evidence(PromptQuarantine::EvidenceScope::Recent, m_now),
                                   PromptQuarantine::EvidenceSource::OtherGroup, m_now);
            }
        }
    }

    void pass(absl::Duration duration) { m_now += duration; }

    absl::Time m_now{absl::UnixEpoch() + absl::Hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPromptQuarantine);

} // namespace Wisteria
