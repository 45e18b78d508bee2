// Tests the choice of targets by load, faults, failure domains and memory.

#include <LibForwarding/TargetPool.h>
#include <LibForwarding/TargetSlices.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace Wisteria {

class TestTargetPool : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetPool);
    CPPUNIT_TEST(burstOfLongPromptsIsSpreadOverTargets);
    CPPUNIT_TEST(concurrentRoutersDoNotOverloadOneTarget);
    CPPUNIT_TEST(loadReportedByOtherRoutersIsCounted);
    CPPUNIT_TEST(expiredReportsAreIgnored);
    CPPUNIT_TEST(reportsAreSummedAcrossRoutersAndReplacedPerRouter);
    CPPUNIT_TEST(suspectTargetIsChosenLast);
    CPPUNIT_TEST(suspicionExpires);
    CPPUNIT_TEST(failingDomainIsAvoidedBeforeAllItsTargetsFail);
    CPPUNIT_TEST(replacedTargetIsNeverChosen);
    CPPUNIT_TEST(laterProcessAtTheAddressReplacesTarget);
    CPPUNIT_TEST(entryOfUnnamedServiceReplacesNoTarget);
    CPPUNIT_TEST(copyOfAnEntryReplacesNoTarget);
    CPPUNIT_TEST(targetThatRenewsItsEntryIsChosenAgain);
    CPPUNIT_TEST(targetThatAnswersIsChosenAgain);
    CPPUNIT_TEST(restartedTargetIsChosenAgain);
    CPPUNIT_TEST(lateReportsOfEndedProcessAreIgnored);
    CPPUNIT_TEST(reportOfUnknownProcessConcernsItsTarget);
    CPPUNIT_TEST(drainingTargetIsNotChosen);
    CPPUNIT_TEST(failingTargetIsAvoided);
    CPPUNIT_TEST(copyHolderIsInAnotherDomain);
    CPPUNIT_TEST(targetWithFullMemoryIsAvoided);
    CPPUNIT_TEST(loadOfEarlierProcessIsSubtractedAfterRestart);
    CPPUNIT_TEST(drainingProcessNeverBecomesReady);
    CPPUNIT_TEST(targetThatSaysItLeavesIsNotChosen);
    CPPUNIT_TEST(leavingProcessStaysOutWhenDirectoryListsItAgain);
    CPPUNIT_TEST(laterProcessDoesNotInheritNotices);
    CPPUNIT_TEST(answerOfEarlierProcessIsIgnored);
    CPPUNIT_TEST(processWithoutKnownStartStaysOutAtItsAddress);
    CPPUNIT_TEST(targetIsNotChosenDuringItsBackoff);
    CPPUNIT_TEST(earliestAvailabilityIsThatOfFirstTarget);
    CPPUNIT_TEST(limitedTargetWithoutAPermitIsNotChosen);
    CPPUNIT_TEST(limitedTargetHoldsNoCopies);
    CPPUNIT_TEST(laterProcessOfTargetHasNoLimit);
    CPPUNIT_TEST(excessiveBackoffIsBounded);
    CPPUNIT_TEST(backoffLeavesTwoUrgentRequests);
    CPPUNIT_TEST(urgentRequestsCountInEachBackoff);
    CPPUNIT_TEST(manyBackoffsLeaveNoFurtherRequests);
    CPPUNIT_TEST(copyHolderDuringItsBackoffIsNotChosen);
    CPPUNIT_TEST(atMostOnceRequestAvoidsTargetThatLostResponse);
    CPPUNIT_TEST(choiceScalesWithMeasuredPerformance);
    CPPUNIT_TEST(targetsOfOwnSliceArePreferred);
    CPPUNIT_TEST(busySliceOverflowsToOtherTargets);
    CPPUNIT_TEST(lostSliceIsReplacedByOtherTargets);
    CPPUNIT_TEST(backlogIsThatOfOwnSlice);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_random = SeededRandom(7);
        for (int n = 0; n < targetCount; ++n)
            m_pool.upsert(record(n));
    }

    void burstOfLongPromptsIsSpreadOverTargets()
    {
        std::map<TargetId, int> counts;
        for (int n = 0; n < 2 * targetCount; ++n) {
            const auto chosen = m_pool.choose(need(), m_now);
            CPPUNIT_ASSERT(chosen);
            m_pool.addLoad(*chosen, load());
            ++counts[*chosen];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{targetCount}, counts.size());
        for (const auto &[id, n] : counts)
            CPPUNIT_ASSERT_EQUAL(2, n);
    }

    // A failure domain is lost, and many routers place its requests on other targets at the same moment, each
    // with the same view of the loads.
    void concurrentRoutersDoNotOverloadOneTarget()
    {
        m_pool.addLoad(id(0), {.requests = 0, .pendingPrefillTokens = 0, .memoryTokens = 900});
        std::map<TargetId, int> counts;
        constexpr int routers = 90;
        for (int n = 0; n < routers; ++n)
            ++counts[*m_pool.choose(need(), m_now)];
        for (const auto &[id, n] : counts)
            CPPUNIT_ASSERT(n <= routers / 3);
        CPPUNIT_ASSERT(counts.size() > targetCount / 2);
    }

    void loadReportedByOtherRoutersIsCounted()
    {
        TargetLoads loads;
        for (int n = 0; n < targetCount - 1; ++n)
            loads[id(n)] = load();
        m_pool.setPeerLoads(RouterId("other"), loads, m_now);
        CPPUNIT_ASSERT(m_pool.choose(need(), m_now) == id(targetCount - 1));
    }

    void expiredReportsAreIgnored()
    {
        m_pool.setPeerLoads(RouterId("other"), {{id(0), load()}}, m_now);
        const auto later = m_now + TargetPool::reportLifetime + absl::Milliseconds(1);
        CPPUNIT_ASSERT(m_pool.loadOf(id(0), later) == TargetLoad{});
    }

    void reportsAreSummedAcrossRoutersAndReplacedPerRouter()
    {
        m_pool.setPeerLoads(RouterId("a"), {{id(0), load()}, {id(1), load()}}, m_now);
        m_pool.setPeerLoads(RouterId("b"), {{id(0), load()}}, m_now);
        CPPUNIT_ASSERT_EQUAL(2, m_pool.loadOf(id(0), m_now).requests);
        m_pool.setPeerLoads(RouterId("a"), {{id(0), load()}}, m_now + absl::Seconds(1));
        CPPUNIT_ASSERT_EQUAL(2, m_pool.loadOf(id(0), m_now).requests);
        CPPUNIT_ASSERT(m_pool.loadOf(id(1), m_now) == TargetLoad{});
        // Only the report of the silent router has expired.
        const auto later = m_now + TargetPool::reportLifetime + absl::Milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(1, m_pool.loadOf(id(0), later).requests);
    }

    void suspectTargetIsChosenLast()
    {
        m_pool.recordFault(process(0), TargetFault::Unreachable, m_now);
        for (int n = 0; n < targetCount - 1; ++n) {
            const auto chosen = m_pool.choose(need(), m_now);
            CPPUNIT_ASSERT(chosen != id(0));
            m_pool.addLoad(*chosen, load());
        }
        TargetRequirements restricted = need();
        for (int n = 1; n < targetCount; ++n)
            restricted.exclude.push_back(id(n));
        CPPUNIT_ASSERT(m_pool.choose(restricted, m_now) == id(0));
    }

    void suspicionExpires()
    {
        m_pool.recordFault(process(0), TargetFault::Unresponsive, m_now);
        CPPUNIT_ASSERT(m_pool.isSuspect(id(0), m_now));
        CPPUNIT_ASSERT(!m_pool.isSuspect(id(0), m_now + TargetPool::initialSuspicion));
    }

    void failingDomainIsAvoidedBeforeAllItsTargetsFail()
    {
        // Targets 0, 3 and 6 share a domain.
        m_pool.recordFault(process(0), TargetFault::Unresponsive, m_now);
        m_pool.recordFault(process(3), TargetFault::Unresponsive, m_now);
        for (int n = 0; n < 2 * targetCount; ++n) {
            const auto chosen = m_pool.choose(need(), m_now);
            CPPUNIT_ASSERT(m_pool.find(*chosen)->domain != domain(0));
            m_pool.addLoad(*chosen, load());
        }
    }

    void replacedTargetIsNeverChosen()
    {
        m_pool.recordFault(process(0), TargetFault::Gone, m_now);
        TargetRequirements restricted = need();
        for (int n = 1; n < targetCount; ++n)
            restricted.exclude.push_back(id(n));
        CPPUNIT_ASSERT(!m_pool.choose(restricted, m_now + absl::Minutes(1)));
        m_pool.markGone(process(1));
        restricted.exclude = {id(0)};
        for (int n = 2; n < targetCount; ++n)
            restricted.exclude.push_back(id(n));
        CPPUNIT_ASSERT(!m_pool.choose(restricted, m_now));
    }

    void laterProcessAtTheAddressReplacesTarget()
    {
        CPPUNIT_ASSERT(m_pool.upsert(otherEntry(2)) == process(0));
        CPPUNIT_ASSERT(!m_pool.isHealthy(id(0), m_now));
    }

    // A mirror of the entries of sound targets, under names and a service of its own, did away with them.
    void entryOfUnnamedServiceReplacesNoTarget()
    {
        m_pool.setServices({ServiceName("s")});
        auto entry = otherEntry(2);
        entry.service = ServiceName("mirror");
        CPPUNIT_ASSERT(!m_pool.upsert(entry));
        CPPUNIT_ASSERT(m_pool.isHealthy(id(0), m_now));
    }

    void copyOfAnEntryReplacesNoTarget()
    {
        CPPUNIT_ASSERT(!m_pool.upsert(otherEntry(1)));
        CPPUNIT_ASSERT(m_pool.isHealthy(id(0), m_now));
        CPPUNIT_ASSERT(!m_pool.upsert(otherEntry(0)));
        CPPUNIT_ASSERT(m_pool.isHealthy(id(0), m_now));
    }

    void targetThatRenewsItsEntryIsChosenAgain()
    {
        auto later = otherEntry(2);
        later.listedAt.revision = ObjectVersion(5);
        CPPUNIT_ASSERT(m_pool.upsert(later));
        auto renewed = record(0);
        // A router may hear of it late.
        renewed.listedAt.revision = ObjectVersion(4);
        m_pool.upsert(renewed);
        CPPUNIT_ASSERT(!m_pool.isHealthy(id(0), m_now));
        renewed.listedAt.revision = ObjectVersion(6);
        m_pool.upsert(renewed);
        CPPUNIT_ASSERT(m_pool.isHealthy(id(0), m_now));
    }

    void targetThatAnswersIsChosenAgain()
    {
        CPPUNIT_ASSERT(m_pool.upsert(otherEntry(2)));
        m_pool.recordAnsweredBy(id(0), record(1).address);
        CPPUNIT_ASSERT(!m_pool.isHealthy(id(0), m_now));
        m_pool.recordAnsweredBy(id(0), record(0).address);
        CPPUNIT_ASSERT(m_pool.isHealthy(id(0), m_now));
        // Another process has answered at the address.
        m_pool.recordFault(process(0), TargetFault::Gone, m_now);
        m_pool.recordAnsweredBy(id(0), record(0).address);
        CPPUNIT_ASSERT(!m_pool.isHealthy(id(0), m_now));
    }

    void restartedTargetIsChosenAgain()
    {
        m_pool.recordFault(process(0), TargetFault::Gone, m_now);
        auto restarted = record(0);
        restarted.startedAtMs += 1;
        m_pool.upsert(restarted);
        TargetRequirements restricted = need();
        for (int n = 1; n < targetCount; ++n)
            restricted.exclude.push_back(id(n));
        CPPUNIT_ASSERT(m_pool.choose(restricted, m_now) == id(0));
    }

    void lateReportsOfEndedProcessAreIgnored()
    {
        auto restarted = record(0);
        restarted.startedAtMs += 1;
        m_pool.upsert(restarted);
        m_pool.recordFault(process(0), TargetFault::Unresponsive, m_now);
        m_pool.recordPeerFault(process(0), m_now);
        CPPUNIT_ASSERT(!m_pool.isSuspect(id(0), m_now));
        m_pool.recordFault(process(0), TargetFault::Gone, m_now);
        m_pool.markGone(process(0));
        CPPUNIT_ASSERT(m_pool.isHealthy(id(0), m_now));
        m_pool.markGone(restarted.process());
        CPPUNIT_ASSERT(!m_pool.isHealthy(id(0), m_now));
    }

    // Routers of earlier versions report only the id.
    void reportOfUnknownProcessConcernsItsTarget()
    {
        const TargetProcess unknown{.id = id(0), .address = {}};
        m_pool.recordPeerFault(unknown, m_now);
        CPPUNIT_ASSERT(m_pool.isSuspect(id(0), m_now));
        m_pool.markGone(unknown);
        CPPUNIT_ASSERT(!m_pool.isHealthy(id(0), m_now + absl::Minutes(1)));
    }

    void drainingTargetIsNotChosen()
    {
        for (int n = 1; n < targetCount; ++n)
            m_pool.remove(id(n));
        auto draining = record(0);
        draining.phase = ForwardingTargetPhase::Draining;
        m_pool.upsert(draining);
        CPPUNIT_ASSERT(!m_pool.choose(need(), m_now));
    }

    void failingTargetIsAvoided()
    {
        for (int n = 0; n < 10; ++n)
            m_pool.recordFault(process(0), TargetFault::InvalidResponse, m_now);
        for (int n = 0; n < 2 * targetCount; ++n) {
            const auto chosen = m_pool.choose(need(), m_now);
            CPPUNIT_ASSERT(chosen != id(0));
            m_pool.addLoad(*chosen, load());
        }
    }

    void copyHolderIsInAnotherDomain()
    {
        for (int n = 0; n < targetCount; ++n) {
            const auto holder = m_pool.chooseCopyHolder(need(), id(n), m_now);
            CPPUNIT_ASSERT(holder);
            CPPUNIT_ASSERT(m_pool.find(*holder)->domain != m_pool.find(id(n))->domain);
        }
    }

    void targetWithFullMemoryIsAvoided()
    {
        for (int n = 0; n < targetCount - 1; ++n)
            m_pool.addLoad(id(n), {.requests = 0, .pendingPrefillTokens = 0, .memoryTokens = 85000});
        m_pool.addLoad(id(targetCount - 1),
                       {.requests = 5, .pendingPrefillTokens = 8000, .memoryTokens = 40000});
        CPPUNIT_ASSERT(m_pool.choose(need(), m_now) == id(targetCount - 1));
    }

    void loadOfEarlierProcessIsSubtractedAfterRestart()
    {
        m_pool.addLoad(id(0), load());
        auto restarted = record(0);
        restarted.startedAtMs += 1;
        m_pool.upsert(restarted);
        m_pool.subtractLoad(id(0), load());
        CPPUNIT_ASSERT(m_pool.loadOf(id(0), m_now) == TargetLoad{});
    }

    // A store that is restored from an older copy says again that a draining target is ready.
    void drainingProcessNeverBecomesReady()
    {
        for (int n = 1; n < targetCount; ++n)
            m_pool.remove(id(n));
        auto draining = record(0);
        draining.phase = ForwardingTargetPhase::Draining;
        m_pool.upsert(draining);
        m_pool.upsert(record(0));
        CPPUNIT_ASSERT(!m_pool.choose(need(), m_now));
        auto restarted = record(0);
        restarted.startedAtMs += 1;
        m_pool.upsert(restarted);
        CPPUNIT_ASSERT(m_pool.choose(need(), m_now) == id(0));
    }

    void targetThatSaysItLeavesIsNotChosen()
    {
        keepOnly(2);
        CPPUNIT_ASSERT(
            m_pool.recordNotice(record(0).process(), {.isLeaving = true}, m_now, m_now).hasStartedLeaving);
        CPPUNIT_ASSERT(
            !m_pool.recordNotice(record(0).process(), {.isLeaving = true}, m_now, m_now).hasStartedLeaving);
        CPPUNIT_ASSERT(!m_pool.isHealthy(id(0), m_now));
        for (int n = 0; n < 2 * targetCount; ++n) {
            CPPUNIT_ASSERT(m_pool.choose(need(), m_now) == id(1));
            m_pool.addLoad(id(1), load());
        }
        CPPUNIT_ASSERT(!m_pool.chooseCopyHolder(need(), id(1), m_now));
        CPPUNIT_ASSERT(!m_pool.earliestAvailability(ServiceName("s"), m_now));
    }

    void limitedTargetWithoutAPermitIsNotChosen()
    {
        keepOnly(2);
        const auto limit = [&](int n, double perSecond) {
            return m_pool
                .recordNotice(record(n).process(), {.limit = RequestRate::perSecond(perSecond)}, m_now, m_now)
                .limit;
        };
        CPPUNIT_ASSERT(limit(0, 2) == TargetLimitChange::Named);
        m_pool.deferLimited(id(0), m_now + absl::Seconds(1));
        CPPUNIT_ASSERT(m_pool.choose(need(), m_now) == id(1));
        CPPUNIT_ASSERT(!m_pool.isHealthy(id(0), m_now));
        CPPUNIT_ASSERT(m_pool.acceptsRequests(id(0), m_now));
        CPPUNIT_ASSERT(m_pool.chooseDeferred(need(), m_now) == id(0));
        CPPUNIT_ASSERT(!m_pool.earliestAvailability(ServiceName("s"), m_now));
        (void)limit(1, 2);
        m_pool.deferLimited(id(1), m_now + absl::Milliseconds(400));
        CPPUNIT_ASSERT(!m_pool.choose(need(), m_now));
        CPPUNIT_ASSERT(m_pool.chooseDeferred(need(), m_now) == id(1));
        const auto available = m_pool.earliestAvailability(ServiceName("s"), m_now);
        CPPUNIT_ASSERT(available->at == m_now + absl::Milliseconds(400) && available->isLimited);
        CPPUNIT_ASSERT(m_pool.choose(need(), m_now + absl::Milliseconds(400)) == id(1));
        auto avoiding = need();
        avoiding.limitedTargets = LimitedTargets::Avoid;
        CPPUNIT_ASSERT(!m_pool.choose(avoiding, m_now + absl::Seconds(2)));
        // The limit has ended, and with it the wait for a permit.
        m_pool.recordNotice(record(0).process(), {.hasNoLimit = true}, m_now, m_now);
        CPPUNIT_ASSERT(m_pool.choose(avoiding, m_now) == id(0));
    }

    void limitedTargetHoldsNoCopies()
    {
        keepOnly(2);
        CPPUNIT_ASSERT(m_pool.chooseCopyHolder(need(), id(0), m_now) == id(1));
        m_pool.recordNotice(record(1).process(), {.limit = RequestRate::perSecond(2)}, m_now, m_now);
        CPPUNIT_ASSERT(!m_pool.chooseCopyHolder(need(), id(0), m_now));
    }

    void laterProcessOfTargetHasNoLimit()
    {
        keepOnly(1);
        m_pool.recordNotice(record(0).process(), {.limit = RequestRate::perSecond(2)}, m_now, m_now);
        m_pool.deferLimited(id(0), m_now + absl::Seconds(1));
        auto restarted = record(0);
        restarted.startedAtMs += 1;
        m_pool.upsert(restarted);
        CPPUNIT_ASSERT(!m_pool.limitOf(id(0)));
        CPPUNIT_ASSERT(m_pool.choose(need(), m_now) == id(0));
        // What a router says of the process before changes nothing.
        (void)m_pool.mergeLimit({record(0).process(), RequestRate::perSecond(2), m_now, m_now});
        CPPUNIT_ASSERT(!m_pool.limitOf(id(0)));
    }

    // An entry expires while the store is down, or a restored store lists it as it was.
    void leavingProcessStaysOutWhenDirectoryListsItAgain()
    {
        keepOnly(1);
        m_pool.recordNotice(record(0).process(), {.isLeaving = true}, m_now, m_now);
        m_pool.upsert(record(0));
        CPPUNIT_ASSERT(!m_pool.choose(need(), m_now));
        m_pool.remove(id(0));
        m_pool.upsert(record(0));
        CPPUNIT_ASSERT(!m_pool.choose(need(), m_now));
        auto moved = record(0);
        moved.address = "127.0.0.1:999";
        m_pool.upsert(moved);
        CPPUNIT_ASSERT(!m_pool.choose(need(), m_now));
        // An answer may arrive after the entry was removed.
        m_pool.remove(id(0));
        m_pool.upsert(record(1));
        m_pool.remove(id(1));
        m_pool.recordNotice(record(1).process(), {.isLeaving = true}, m_now, m_now);
        m_pool.upsert(record(1));
        CPPUNIT_ASSERT(!m_pool.choose(need(), m_now));
    }

    void laterProcessDoesNotInheritNotices()
    {
        keepOnly(1);
        m_pool.recordNotice(record(0).process(), {.isLeaving = true, .backoff = absl::Seconds(60)}, m_now,
                            m_now);
        auto restarted = record(0);
        restarted.startedAtMs += 1;
        m_pool.upsert(restarted);
        CPPUNIT_ASSERT(m_pool.choose(need(), m_now) == id(0));
    }

    void answerOfEarlierProcessIsIgnored()
    {
        keepOnly(1);
        auto restarted = record(0);
        restarted.startedAtMs += 1;
        m_pool.upsert(restarted);
        const auto effect = m_pool.recordNotice(
            record(0).process(), {.isLeaving = true, .backoff = absl::Seconds(60)}, m_now, m_now);
        CPPUNIT_ASSERT(!effect.hasStartedLeaving && !effect.hasBackedOff);
        CPPUNIT_ASSERT(m_pool.choose(need(), m_now) == id(0));
    }

    void processWithoutKnownStartStaysOutAtItsAddress()
    {
        keepOnly(0);
        auto unknown = record(0);
        unknown.startedAtMs = 0;
        m_pool.upsert(unknown);
        m_pool.recordNotice(unknown.process(), {.isLeaving = true}, m_now, m_now);
        m_pool.upsert(unknown);
        CPPUNIT_ASSERT(!m_pool.choose(need(), m_now));
        unknown.address = "127.0.0.1:999";
        m_pool.upsert(unknown);
        CPPUNIT_ASSERT(m_pool.choose(need(), m_now) == id(0));
    }

    void targetIsNotChosenDuringItsBackoff()
    {
        keepOnly(1);
        m_pool.recordNotice(record(0).process(), {.backoff = absl::Seconds(2)}, m_now, m_now);
        // A shorter one does not end it, nor does a success or a repeated entry.
        m_pool.recordNotice(record(0).process(), {.backoff = absl::Seconds(1)}, m_now, m_now);
        m_pool.recordSuccess(id(0));
        m_pool.upsert(record(0));
        const auto before = m_now + absl::Seconds(2) - absl::Milliseconds(1);
        CPPUNIT_ASSERT(!m_pool.choose(need(), before));
        CPPUNIT_ASSERT(!m_pool.choose(plainNeed(), before));
        CPPUNIT_ASSERT(!m_pool.isHealthy(id(0), before));
        CPPUNIT_ASSERT(m_pool.choose(need(), m_now + absl::Seconds(2)) == id(0));
    }

    void earliestAvailabilityIsThatOfFirstTarget()
    {
        keepOnly(3);
        m_pool.recordNotice(record(0).process(), {.backoff = absl::Seconds(2)}, m_now, m_now);
        m_pool.recordNotice(record(1).process(), {.backoff = absl::Seconds(1)}, m_now, m_now);
        CPPUNIT_ASSERT(!m_pool.earliestAvailability(ServiceName("s"), m_now));
        m_pool.recordNotice(record(2).process(), {.isLeaving = true}, m_now, m_now);
        const auto available = m_pool.earliestAvailability(ServiceName("s"), m_now);
        CPPUNIT_ASSERT(available);
        CPPUNIT_ASSERT(available->at == m_now + absl::Seconds(1));
        CPPUNIT_ASSERT(!available->isLimited);
    }

    void excessiveBackoffIsBounded()
    {
        keepOnly(1);
        m_pool.recordNotice(record(0).process(), {.backoff = absl::InfiniteDuration()}, m_now, m_now);
        CPPUNIT_ASSERT(m_pool.choose(need(), m_now + TargetNotices::maxBackoff) == id(0));
    }

    // Those that reach the target in the first half second don't count.
    void backoffLeavesTwoUrgentRequests()
    {
        const auto sentAt = m_now - absl::Milliseconds(50);
        m_pool.recordNotice(record(0).process(), {.backoff = absl::Seconds(3)}, sentAt, m_now);
        for (int n = 0; n < 10; ++n)
            CPPUNIT_ASSERT(m_pool.tryTakeUrgentRequest(id(0), m_now + absl::Milliseconds(300)));
        const auto counted = sentAt + absl::Milliseconds(500);
        CPPUNIT_ASSERT(m_pool.tryTakeUrgentRequest(id(0), counted));
        CPPUNIT_ASSERT(m_pool.tryTakeUrgentRequest(id(0), counted + absl::Seconds(1)));
        const auto later = counted + absl::Milliseconds(1500);
        CPPUNIT_ASSERT(!m_pool.tryTakeUrgentRequest(id(0), later));
        CPPUNIT_ASSERT(m_pool.earliestUrgentRequest(id(0), later) == m_now + absl::Seconds(3));
        CPPUNIT_ASSERT(m_pool.tryTakeUrgentRequest(id(0), m_now + absl::Seconds(3)));
        CPPUNIT_ASSERT(m_pool.tryTakeUrgentRequest(id(1), later));
    }

    void urgentRequestsCountInEachBackoff()
    {
        const auto process = record(0).process();
        m_pool.recordNotice(process, {.backoff = absl::Seconds(2)}, m_now, m_now);
        CPPUNIT_ASSERT(m_pool.tryTakeUrgentRequest(id(0), m_now + absl::Seconds(1)));
        // It answers that request with a further one.
        const auto second = m_now + absl::Seconds(1);
        m_pool.recordNotice(process, {.backoff = absl::Seconds(4)}, second, second);
        CPPUNIT_ASSERT(m_pool.tryTakeUrgentRequest(id(0), second + absl::Milliseconds(600)));
        CPPUNIT_ASSERT(m_pool.earliestUrgentRequest(id(0), second + absl::Milliseconds(700))
                       == m_now + absl::Seconds(2));
        CPPUNIT_ASSERT(m_pool.tryTakeUrgentRequest(id(0), second + absl::Seconds(2)));
        CPPUNIT_ASSERT(m_pool.earliestUrgentRequest(id(0), second + absl::Seconds(3))
                       == second + absl::Seconds(4));
        // A later process wants no backoff.
        auto next = record(0);
        next.startedAtMs += 1;
        m_pool.upsert(next);
        CPPUNIT_ASSERT(m_pool.tryTakeUrgentRequest(id(0), second + absl::Seconds(3)));
    }

    void manyBackoffsLeaveNoFurtherRequests()
    {
        const auto process = record(0).process();
        const auto counted = m_now + TargetNotices::uncountedTime + absl::Milliseconds(300);
        for (int n = 0; n < 300; ++n) {
            const auto at = m_now + n * absl::Milliseconds(1);
            m_pool.recordNotice(process, {.backoff = absl::Seconds(4)}, at, at);
        }
        int taken = 0;
        for (int n = 0; n < 300; ++n) {
            const auto at = counted + n * absl::Milliseconds(5);
            taken += m_pool.tryTakeUrgentRequest(id(0), at) ? 1 : 0;
            m_pool.recordNotice(process, {.backoff = absl::Seconds(4)}, at, at);
        }
        CPPUNIT_ASSERT_EQUAL(TargetNotices::requestsPerBackoff, taken);
    }

    void copyHolderDuringItsBackoffIsNotChosen()
    {
        keepOnly(2);
        CPPUNIT_ASSERT(m_pool.chooseCopyHolder(need(), id(0), m_now) == id(1));
        m_pool.recordNotice(record(1).process(), {.backoff = absl::Seconds(2)}, m_now, m_now);
        CPPUNIT_ASSERT(!m_pool.chooseCopyHolder(need(), id(0), m_now));
    }

    // A target loses a connection with a pending request, and a probe finds that it accepts connections. A
    // booking was sent there 124 ms after the loss and lost its response, too, with other targets idle.
    void atMostOnceRequestAvoidsTargetThatLostResponse()
    {
        auto booking = plainNeed();
        booking.runsAtMostOnce = true;
        m_pool.recordFault(process(0), TargetFault::ConnectionLost, m_now);
        m_pool.markReachable(id(0));
        for (int n = 1; n < targetCount; ++n)
            m_pool.addLoad(id(n), {.requests = 100});
        const auto soon = m_now + absl::Milliseconds(124);
        CPPUNIT_ASSERT(m_pool.choose(plainNeed(), soon) == id(0));
        CPPUNIT_ASSERT(m_pool.choose(booking, soon) != id(0));
        // It is still better than none.
        for (int n = 1; n < targetCount; ++n)
            booking.exclude.push_back(id(n));
        CPPUNIT_ASSERT(m_pool.choose(booking, soon) == id(0));
        // A response proves that the target works.
        booking.exclude.clear();
        m_pool.recordSuccess(id(0));
        CPPUNIT_ASSERT(m_pool.choose(booking, soon) == id(0));
    }

    // The difference of loads that counts as a tie depends on the speed of the service's targets. Targets
    // that prefill ten times as fast are balanced as evenly as slow ones.
    void choiceScalesWithMeasuredPerformance()
    {
        constexpr int samples = 500;
        auto &performance = m_pool.performance(ServiceName("s"));
        for (int n = 0; n < samples; ++n) {
            performance.recordPrompt(800);
            performance.recordPrefill(800, absl::Milliseconds(10));
        }
        auto shortPrompt = need();
        shortPrompt.size = {.promptTokens = 800, .maxOutputTokens = 100};
        std::map<TargetId, int> counts;
        for (int n = 0; n < 2 * targetCount; ++n) {
            const auto chosen = m_pool.choose(shortPrompt, m_now);
            m_pool.addLoad(*chosen, {.requests = 1, .pendingPrefillTokens = 800, .memoryTokens = 900});
            ++counts[*chosen];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{targetCount}, counts.size());
        for (const auto &[id, n] : counts)
            CPPUNIT_ASSERT_EQUAL(2, n);
    }

    void targetsOfOwnSliceArePreferred()
    {
        auto pool = makeDividedPool();
        for (int n = 0; n < dividedTargetCount / 2; ++n) {
            const auto chosen = *pool.choose(need(), m_now);
            CPPUNIT_ASSERT(m_slice.contains(chosen));
            pool.addLoad(chosen, load());
        }
    }

    // The other routers' load outside of the slice is unknown, so it is used only for what would wait.
    void busySliceOverflowsToOtherTargets()
    {
        auto pool = makeDividedPool();
        for (const auto &it : m_slice) {
            pool.addLoad(it, load());
            pool.addLoad(it, load());
        }
        const auto chosen = *pool.choose(need(), m_now);
        CPPUNIT_ASSERT(!m_slice.contains(chosen));
    }

    void lostSliceIsReplacedByOtherTargets()
    {
        auto pool = makeDividedPool();
        for (const auto &it : m_slice)
            pool.recordFault(pool.find(it)->process(), TargetFault::Unreachable, m_now);
        const auto chosen = *pool.choose(need(), m_now);
        CPPUNIT_ASSERT(!m_slice.contains(chosen));
    }

    void backlogIsThatOfOwnSlice()
    {
        auto pool = makeDividedPool();
        for (const auto &it : m_slice)
            pool.addLoad(it, load());
        CPPUNIT_ASSERT(pool.backlog(need(), m_now) > absl::ZeroDuration());
        for (const auto &it : m_slice)
            pool.recordFault(pool.find(it)->process(), TargetFault::Gone, m_now);
        CPPUNIT_ASSERT(pool.backlog(need(), m_now) == absl::ZeroDuration());
    }

private:
    static constexpr int targetCount = 9;
    static constexpr int dividedTargetCount = 120;

    // A pool of the second of two groups, and the slice that it prefers.
    TargetPool makeDividedPool()
    {
        TargetPool pool(FailureDomain("d0"), m_random);
        std::vector<TargetSlices::Target> targets;
        for (int n = 0; n < dividedTargetCount; ++n) {
            pool.upsert(record(n));
            targets.push_back({id(n), domain(n)});
        }
        pool.setGroup(1, 2);
        m_slice = TargetSlices::select(1, 2, targets);
        return pool;
    }

    void keepOnly(int count)
    {
        for (int n = count; n < targetCount; ++n)
            m_pool.remove(id(n));
    }

    static TargetId id(int n) { return TargetId(absl::StrCat("t", n)); }
    static FailureDomain domain(int n) { return FailureDomain(absl::StrCat("d", n % 3)); }
    static ForwardingTarget record(int n)
    {
        return {.id = id(n),
                .service = ServiceName("s"),
                .address = absl::StrCat("127.0.0.1:", 1000 + n),
                .domain = domain(n),
                .slots = 64,
                .startedAtMs = 1};
    }
    static TargetProcess process(int n) { return record(n).process(); }
    // Under another id, at the address of target 0.
    static ForwardingTarget otherEntry(std::int64_t startedAtMs)
    {
        auto entry = record(0);
        entry.id = id(targetCount);
        entry.startedAtMs = startedAtMs;
        return entry;
    }
    static TargetRequirements need()
    {
        TargetRequirements need;
        need.service = ServiceName("s");
        need.isModelService = true;
        need.engine = {.memoryTokens = 88000, .slots = 64, .supportsCopies = true};
        need.size = {.promptTokens = 8000, .maxOutputTokens = 1000};
        return need;
    }
    static TargetRequirements plainNeed()
    {
        TargetRequirements need;
        need.service = ServiceName("s");
        return need;
    }
    static TargetLoad load() { return {.requests = 1, .pendingPrefillTokens = 8000, .memoryTokens = 9000}; }

    absl::Time m_now{absl::FromUnixSeconds(1000)};
    SeededRandom m_random{7};
    absl::flat_hash_set<TargetId> m_slice;
    TargetPool m_pool{FailureDomain("d0"), m_random};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetPool);

} // namespace Wisteria
