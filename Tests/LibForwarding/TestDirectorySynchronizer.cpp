// Tests following the object store through outages, lost watch history, expired entries and relays.

#include <LibForwarding/DirectorySynchronizer.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace Wisteria {

class TestDirectorySynchronizer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDirectorySynchronizer);
    CPPUNIT_TEST(listsThenWatches);
    CPPUNIT_TEST(lostHistoryTriggersRelist);
    CPPUNIT_TEST(failedCallsBackOff);
    CPPUNIT_TEST(expiredEntryThatReturnsWithinGraceIsKept);
    CPPUNIT_TEST(expiredEntryIsRemovedAfterGrace);
    CPPUNIT_TEST(relayOfOldEntryDoesNotUndoDeferredRemoval);
    CPPUNIT_TEST(relayedDeferralIsNotProlonged);
    CPPUNIT_TEST(removalAppliesAtOnceWhenOtherRoutersReachedStore);
    CPPUNIT_TEST(relayedRemovalAppliesDuringOutage);
    CPPUNIT_TEST(initialListIsRetriedWithShorterBackoff);
    CPPUNIT_TEST(staleRelayIsIgnored);
    CPPUNIT_TEST(staleObjectRevisionIsIgnored);
    CPPUNIT_TEST(relayedChangesAdvanceRevision);
    CPPUNIT_TEST(watchResponseOfNewEraTriggersList);
    CPPUNIT_TEST(objectsOfNewEraReplaceThoseWithGreaterRevision);
    CPPUNIT_TEST(lateResponsesOfEarlierEraChangeNothing);
    CPPUNIT_TEST(objectsMissingFromCopyAreKeptUntilWrittenAgain);
    CPPUNIT_TEST(objectsMissingFromCopyAreRemovedAfterGrace);
    CPPUNIT_TEST(removedObjectInCopyIsHeldBackUntilWrittenAgain);
    CPPUNIT_TEST(removedObjectThatOutlivesHoldBackIsListed);
    CPPUNIT_TEST(holdBackCoversListsAfterRelayedRestoration);
    CPPUNIT_TEST(objectThatPeerHoldsBackIsHeldBackHere);
    CPPUNIT_TEST(holdBackOfPeerDoesNotProlongOwn);
    CPPUNIT_TEST(relayOfKeptObjectDoesNotUndoItsRemoval);
    CPPUNIT_TEST(secondRestorationIsFollowed);
    CPPUNIT_TEST(relayedChangesOfNewEraNeedSnapshot);
    CPPUNIT_TEST(relayOfEarlierEraIsIgnored);
    CPPUNIT_TEST(watchThatSpansRelayedRestorationTriggersList);
    CPPUNIT_TEST(snapshotOfRestartedRouterRemovesNothingAtOnce);
    CPPUNIT_TEST(reportsAndRelaysOfOldAndNewEraConverge);
    CPPUNIT_TEST_SUITE_END();

public:
    void listsThenWatches()
    {
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::StartList>(m_synchronizer.begin()));
        const auto actions = m_synchronizer.handle(listResult({"a", "b"}, 10), m_now);
        CPPUNIT_ASSERT_EQUAL(2, countActions<DirectorySyncActions::Apply>(actions));
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::StartWatch>(actions));
        CPPUNIT_ASSERT(m_synchronizer.hasView());
    }

    void lostHistoryTriggersRelist()
    {
        loadInitialList();
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::StartList>(
            m_synchronizer.handle(DirectorySyncEvents::RevisionExpired{}, m_now)));
        const auto actions = m_synchronizer.handle(listResult({"a"}, 20), m_now);
        CPPUNIT_ASSERT_EQUAL(1, countActions<DirectorySyncActions::Remove>(actions));
    }

    void failedCallsBackOff()
    {
        loadInitialList();
        int calls = 0;
        auto now = m_now;
        const auto end = m_now + absl::Seconds(20);
        auto actions = m_synchronizer.handle(DirectorySyncEvents::CallFailed{}, now);
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::StoreLost>(actions));
        while (now < end) {
            now += absl::Milliseconds(10);
            actions = m_synchronizer.handle(DirectorySyncEvents::Tick{}, now);
            if (hasAction<DirectorySyncActions::StartWatch>(actions)) {
                ++calls;
                (void)m_synchronizer.handle(DirectorySyncEvents::CallFailed{}, now);
            }
        }
        // The backoff settles at no more than about two calls per second.
        CPPUNIT_ASSERT(calls >= 15 && calls <= 45);
    }

    // When all routers restart during a store outage, nothing is served until the first list succeeds.
    void initialListIsRetriedWithShorterBackoff()
    {
        DirectorySynchronizer synchronizer(m_random, absl::Seconds(2));
        (void)synchronizer.begin();
        auto now = m_now;
        (void)synchronizer.handle(DirectorySyncEvents::CallFailed{}, now);
        auto lastCall = now;
        const auto end = m_now + absl::Seconds(20);
        while (now < end) {
            now += absl::Milliseconds(10);
            if (!hasAction<DirectorySyncActions::StartList>(
                    synchronizer.handle(DirectorySyncEvents::Tick{}, now)))
                continue;
            CPPUNIT_ASSERT(now - lastCall
                           <= DirectorySynchronizer::maxBackoffWithoutView + absl::Milliseconds(10));
            lastCall = now;
            (void)synchronizer.handle(DirectorySyncEvents::CallFailed{}, now);
        }
        CPPUNIT_ASSERT(lastCall > end - absl::Seconds(1));
    }

    void expiredEntryThatReturnsWithinGraceIsKept()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::CallFailed{}, m_now);
        const auto storeReturn = m_now + absl::Seconds(5);
        auto actions = m_synchronizer.handle(
            DirectorySyncEvents::WatchCompleted{{{"a", at(11), true}}, at(11)}, storeReturn);
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
        actions = m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"a", at(12), false}}, at(12)},
                                        storeReturn + absl::Seconds(1));
        actions = m_synchronizer.handle(DirectorySyncEvents::Tick{}, storeReturn + absl::Seconds(10));
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
    }

    void expiredEntryIsRemovedAfterGrace()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::CallFailed{}, m_now);
        const auto storeReturn = m_now + absl::Seconds(5);
        (void)m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"a", at(11), true}}, at(11)},
                                    storeReturn);
        const auto before = storeReturn + DirectorySynchronizer::removalGracePeriod - absl::Milliseconds(1);
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(
            m_synchronizer.handle(DirectorySyncEvents::Tick{}, before)));
        const auto after = storeReturn + DirectorySynchronizer::removalGracePeriod;
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::Remove>(
            m_synchronizer.handle(DirectorySyncEvents::Tick{}, after)));
    }

    // A removal that was held back after an outage was forgotten when a router that had not heard of it
    // relayed the entry, so that the target got requests for good.
    void relayOfOldEntryDoesNotUndoDeferredRemoval()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::CallFailed{}, m_now);
        const auto storeReturn = m_now + absl::Seconds(5);
        (void)m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"a", at(11), true}}, at(11)},
                                    storeReturn);
        (void)m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{{{"a", at(5), false}, {"b", at(1), false}}, at(11), true},
            storeReturn + absl::Milliseconds(100));
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::Remove>(m_synchronizer.handle(
            DirectorySyncEvents::Tick{}, storeReturn + DirectorySynchronizer::removalGracePeriod)));
    }

    // Routers that relay the same deferral to each other must not extend it.
    void relayedDeferralIsNotProlonged()
    {
        loadInitialList();
        auto now = m_now;
        for (std::int64_t n = 11; n < 15; ++n) {
            (void)m_synchronizer.handle(
                DirectorySyncEvents::RelayReceived{
                    {}, at(n), false, {{"a", at(11), absl::Hours(1)}, {"unknown", at(11), absl::Hours(1)}}},
                now);
            now += absl::Milliseconds(500);
        }
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::Remove>(m_synchronizer.handle(
            DirectorySyncEvents::Tick{}, m_now + DirectorySynchronizer::removalGracePeriod)));
    }

    // If the store rejected only this router's calls, a removal is real. Holding it back as a possible expiry
    // delayed the removal of a draining target beyond its bound.
    void removalAppliesAtOnceWhenOtherRoutersReachedStore()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::CallFailed{}, m_now);
        m_synchronizer.setStoreTrustedByOthers(true);
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::WatchCompleted{{{"a", at(11), true}}, at(11)}, m_now + absl::Seconds(5));
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::Remove>(actions));
    }

    void relayedRemovalAppliesDuringOutage()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::CallFailed{}, m_now);
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{{{"a", at(11), true}}, at(11), false}, m_now);
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::Remove>(actions));
    }

    void staleRelayIsIgnored()
    {
        loadInitialList();
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{{{"a", at(3), true}}, at(9), true}, m_now);
        CPPUNIT_ASSERT(actions.empty());
    }

    void staleObjectRevisionIsIgnored()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"a", at(15), false}}, at(15)},
                                    m_now);
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::WatchCompleted{{{"a", at(14), false}, {"a", at(14), true}}, at(16)}, m_now);
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Apply>(actions));
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
    }

    void relayedChangesAdvanceRevision()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::RelayReceived{{{"c", at(30), false}}, at(30), false},
                                    m_now);
        CPPUNIT_ASSERT(m_synchronizer.changePosition() == at(30));
        CPPUNIT_ASSERT(m_synchronizer.position() == at(30));
    }

    // Revisions are assigned again after a restoration, so that a watch may succeed although the changes
    // between the copy and its starting point are missing from its result.
    void watchResponseOfNewEraTriggersList()
    {
        loadInitialList();
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::WatchCompleted{{{"c", at(12, 2), false}}, at(12, 2)}, m_now);
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::StartList>(actions));
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Apply>(actions));
        CPPUNIT_ASSERT(m_synchronizer.position() == at(10));
    }

    void objectsOfNewEraReplaceThoseWithGreaterRevision()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"a", at(15), false}}, at(15)},
                                    m_now);
        const auto actions = restore({{"a", at(4, 2), false}, {"b", at(1, 2), false}}, at(6, 2));
        CPPUNIT_ASSERT_EQUAL(2, countActions<DirectorySyncActions::Apply>(actions));
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::EraChanged>(actions));
        CPPUNIT_ASSERT(m_synchronizer.position() == at(6, 2));
        CPPUNIT_ASSERT(m_synchronizer.changePosition() == at(6, 2));
    }

    void lateResponsesOfEarlierEraChangeNothing()
    {
        loadInitialList();
        (void)restore({{"a", at(4, 2), false}, {"b", at(1, 2), false}}, at(6, 2));
        auto actions =
            m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"a", at(90), true}}, at(90)}, m_now);
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
        actions = m_synchronizer.handle(listResult({"x"}, 99), m_now);
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Apply>(actions));
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
        CPPUNIT_ASSERT(m_synchronizer.position() == at(6, 2));
    }

    void objectsMissingFromCopyAreKeptUntilWrittenAgain()
    {
        loadInitialList();
        auto actions = restore({{"a", at(1, 2), false}}, at(5, 2));
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
        CPPUNIT_ASSERT(!m_synchronizer.isTrusted(m_now));
        (void)m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"b", at(6, 2), false}}, at(6, 2)},
                                    m_now + absl::Seconds(1));
        actions = m_synchronizer.handle(DirectorySyncEvents::Tick{}, m_now + absl::Seconds(10));
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
    }

    void objectsMissingFromCopyAreRemovedAfterGrace()
    {
        loadInitialList();
        // Other routers had access to the store all the time, but it was restored for them, too.
        m_synchronizer.setStoreTrustedByOthers(true);
        (void)restore({{"a", at(1, 2), false}}, at(5, 2));
        const auto graceEnd = m_now + DirectorySynchronizer::removalGracePeriod;
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(
            m_synchronizer.handle(DirectorySyncEvents::Tick{}, graceEnd - absl::Milliseconds(1))));
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::Remove>(
            m_synchronizer.handle(DirectorySyncEvents::Tick{}, graceEnd)));
    }

    // A target is removed because it left. The copy is older and still lists it as ready.
    void removedObjectInCopyIsHeldBackUntilWrittenAgain()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"b", at(11), true}}, at(11)},
                                    m_now);
        auto actions = restore({{"a", at(1, 2), false}, {"b", at(1, 2), false}}, at(5, 2));
        CPPUNIT_ASSERT(!appliesObject(actions, "b"));
        CPPUNIT_ASSERT(appliesObject(actions, "a"));
        actions =
            m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"b", at(6, 2), false}}, at(6, 2)},
                                  m_now + absl::Seconds(1));
        CPPUNIT_ASSERT(appliesObject(actions, "b"));
    }

    // A running target whose entry had expired writes the same content again, which is not a change.
    void removedObjectThatOutlivesHoldBackIsListed()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"b", at(11), true}}, at(11)},
                                    m_now);
        (void)restore({{"a", at(1, 2), false}, {"b", at(1, 2), false}}, at(5, 2));
        const auto end = m_now + DirectorySynchronizer::restoredEntryHoldBack;
        (void)m_synchronizer.handle(DirectorySyncEvents::Tick{}, end);
        auto actions = m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{}, at(5, 2)}, end);
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::StartList>(actions));
        actions = m_synchronizer.handle(
            DirectorySyncEvents::ListCompleted{{{"a", at(1, 2), false}, {"b", at(1, 2), false}}, at(5, 2)},
            end);
        CPPUNIT_ASSERT(appliesObject(actions, "b"));
    }

    // Another router relays the new era without an entry that it holds back. The store still lists the entry
    // when this router lists it itself. Found by the model (Specs/StoreRestoration.pml).
    void holdBackCoversListsAfterRelayedRestoration()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"b", at(11), true}}, at(11)},
                                    m_now);
        (void)m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{{{"a", at(1, 2), false}}, at(5, 2), true}, m_now);
        auto actions = restore({{"a", at(1, 2), false}, {"b", at(1, 2), false}}, at(5, 2));
        CPPUNIT_ASSERT(!appliesObject(actions, "b"));
        // The same holds for another list within the era.
        actions = restore({{"a", at(1, 2), false}, {"b", at(1, 2), false}}, at(6, 2));
        CPPUNIT_ASSERT(!appliesObject(actions, "b"));
        actions = restore({{"a", at(1, 2), false}, {"b", at(7, 2), false}}, at(7, 2));
        CPPUNIT_ASSERT(appliesObject(actions, "b"));
    }

    // This router started after the restoration, another one knows that "b" has left.
    void objectThatPeerHoldsBackIsHeldBackHere()
    {
        const DirectorySyncEvents::ListCompleted copy{{{"a", at(1, 2), false}, {"b", at(1, 2), false}},
                                                      at(6, 2)};
        (void)m_synchronizer.begin();
        (void)m_synchronizer.handle(copy, m_now);
        auto actions = m_synchronizer.handle(DirectorySyncEvents::HoldBackReceived{{"b"}, at(5, 2)}, m_now);
        CPPUNIT_ASSERT_EQUAL(1, countActions<DirectorySyncActions::Remove>(actions));
        actions = m_synchronizer.handle(copy, m_now);
        CPPUNIT_ASSERT(!appliesObject(actions, "b"));
        // A target that runs has written its entry again, or the store still lists it after the hold-back.
        const auto end = m_now + DirectorySynchronizer::restoredEntryHoldBack;
        (void)m_synchronizer.handle(DirectorySyncEvents::Tick{}, end);
        CPPUNIT_ASSERT(appliesObject(m_synchronizer.handle(copy, end), "b"));
    }

    // Routers that pass their hold-back on to each other must not keep a running target out for good.
    void holdBackOfPeerDoesNotProlongOwn()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"b", at(11), true}}, at(11)},
                                    m_now);
        const DirectorySyncEvents::ListCompleted copy{{{"a", at(1, 2), false}, {"b", at(1, 2), false}},
                                                      at(5, 2)};
        (void)restore(copy.objects, copy.position);
        const auto end = m_now + DirectorySynchronizer::restoredEntryHoldBack;
        (void)m_synchronizer.handle(DirectorySyncEvents::HoldBackReceived{{"b"}, at(6, 2)},
                                    end - absl::Milliseconds(1));
        (void)m_synchronizer.handle(DirectorySyncEvents::Tick{}, end);
        CPPUNIT_ASSERT(appliesObject(m_synchronizer.handle(copy, end), "b"));
        const auto actions =
            m_synchronizer.handle(DirectorySyncEvents::HoldBackReceived{{"b"}, at(6, 2)}, end);
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
    }

    // A router that noticed neither the removal nor the restoration keeps the object for the grace period and
    // relays it. Found by the model (Specs/StoreRestoration.pml).
    void relayOfKeptObjectDoesNotUndoItsRemoval()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::WatchCompleted{{{"b", at(11), true}}, at(11)},
                                    m_now);
        (void)restore({{"a", at(1, 2), false}}, at(6, 2));
        const auto later = m_now + DirectorySynchronizer::restoredEntryHoldBack;
        (void)m_synchronizer.handle(DirectorySyncEvents::Tick{}, later);
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{
                {{"a", at(1, 2), false}, {"b", at(10), false}}, at(6, 2), true},
            later);
        CPPUNIT_ASSERT(!appliesObject(actions, "b"));
        // The other router may have listed the object in an era in between.
        (void)restore({{"a", at(1, 3), false}}, at(6, 3));
        const auto muchLater = later + DirectorySynchronizer::restoredEntryHoldBack;
        (void)m_synchronizer.handle(DirectorySyncEvents::Tick{}, muchLater);
        const auto laterActions = m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{
                {{"a", at(1, 3), false}, {"b", at(1, 2), false}}, at(6, 3), true},
            muchLater);
        CPPUNIT_ASSERT(!appliesObject(laterActions, "b"));
    }

    void secondRestorationIsFollowed()
    {
        loadInitialList();
        (void)restore({{"a", at(3, 2), false}}, at(5, 2));
        m_now += absl::Seconds(1);
        const auto actions = restore({{"a", at(2, 3), false}}, at(4, 3));
        CPPUNIT_ASSERT(appliesObject(actions, "a"));
        CPPUNIT_ASSERT(m_synchronizer.position() == at(4, 3));
        // The grace period of "b" starts again.
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(
            m_synchronizer.handle(DirectorySyncEvents::Tick{}, m_now + absl::Seconds(2))));
    }

    void relayedChangesOfNewEraNeedSnapshot()
    {
        loadInitialList();
        auto actions = m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{{{"c", at(7, 2), false}}, at(7, 2), false}, m_now);
        CPPUNIT_ASSERT(actions.empty());
        actions = m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{
                {{"a", at(1, 2), false}, {"b", at(10), false}, {"c", at(7, 2), false}}, at(7, 2), true},
            m_now);
        CPPUNIT_ASSERT(appliesObject(actions, "c"));
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::EraChanged>(actions));
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
    }

    void relayOfEarlierEraIsIgnored()
    {
        loadInitialList();
        (void)restore({{"a", at(1, 2), false}, {"b", at(1, 2), false}}, at(5, 2));
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{{{"a", at(99), false}}, at(99), true}, m_now);
        CPPUNIT_ASSERT(actions.empty());
    }

    // The router learns of the new era from another router while its own watch is still open.
    void watchThatSpansRelayedRestorationTriggersList()
    {
        loadInitialList();
        (void)m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{
                {{"a", at(1, 2), false}, {"b", at(1, 2), false}}, at(5, 2), true},
            m_now);
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::WatchCompleted{{{"c", at(12, 2), false}}, at(12, 2)}, m_now);
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::StartList>(actions));
        CPPUNIT_ASSERT(m_synchronizer.position() == at(5, 2));
    }

    // A router that started after the restoration knows only the copy.
    void snapshotOfRestartedRouterRemovesNothingAtOnce()
    {
        loadInitialList();
        auto actions = m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{{{"a", at(1, 2), false}}, at(5, 2), true}, m_now);
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
        actions = m_synchronizer.handle(DirectorySyncEvents::Tick{},
                                        m_now + DirectorySynchronizer::removalGracePeriod);
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::Remove>(actions));
    }

    // Lists, watches, relays and late responses of three eras in drawn order. Whatever the order, the view
    // must end with the content of the last era, and its position must never go back.
    void reportsAndRelaysOfOldAndNewEraConverge()
    {
        constexpr int runs = 200;
        for (int run = 0; run < runs; ++run) {
            SeededRandom random(static_cast<std::uint64_t>(run) + 1);
            DirectorySynchronizer synchronizer(random, absl::Seconds(2));
            (void)synchronizer.begin();
            auto now = m_now;
            std::map<std::string, StorePosition> view;
            auto last = synchronizer.position();
            const auto deliver = [&](const DirectorySyncEvent &event) {
                for (const auto &it : synchronizer.handle(event, now)) {
                    if (const auto *change = std::get_if<DirectorySyncActions::Apply>(&it))
                        view[change->name] = change->position;
                    else if (const auto *removal = std::get_if<DirectorySyncActions::Remove>(&it))
                        view.erase(removal->name);
                }
                CPPUNIT_ASSERT(synchronizer.position() >= last);
                last = synchronizer.position();
            };
            constexpr int steps = 30;
            for (int step = 0; step < steps; ++step) {
                now += absl::Milliseconds(static_cast<std::int64_t>(random.below(500)));
                const std::uint64_t era = 1 + random.below(3);
                // Later eras have smaller revisions.
                const std::uint64_t revision = 100 - 30 * era + random.below(20);
                const std::vector<ObjectMetadata> objects = {{"o", at(revision, era), false}};
                switch (random.below(4)) {
                case 0:
                    deliver(DirectorySyncEvents::ListCompleted{objects, at(revision, era)});
                    break;
                case 1:
                    deliver(DirectorySyncEvents::WatchCompleted{objects, at(revision, era)});
                    break;
                case 2:
                    deliver(DirectorySyncEvents::RelayReceived{objects, at(revision, era), true});
                    break;
                default:
                    deliver(DirectorySyncEvents::Tick{});
                }
            }
            deliver(DirectorySyncEvents::ListCompleted{{{"o", at(99, 3), false}}, at(99, 3)});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.size());
            CPPUNIT_ASSERT(view["o"] == at(99, 3));
        }
    }

private:
    // Position in the era of a store that was never restored, unless another era is given.
    static StorePosition at(std::uint64_t revision, std::uint64_t era = 1)
    {
        return {StoreEra(era), ObjectVersion(revision)};
    }
    // The history is lost with the restoration, so the store is listed anew.
    DirectorySyncActionList restore(std::vector<ObjectMetadata> objects, StorePosition position)
    {
        (void)m_synchronizer.handle(DirectorySyncEvents::RevisionExpired{}, m_now);
        return m_synchronizer.handle(DirectorySyncEvents::ListCompleted{std::move(objects), position}, m_now);
    }
    static bool appliesObject(const DirectorySyncActionList &actions, const std::string &name)
    {
        return std::any_of(actions.begin(), actions.end(), [&](const DirectorySyncAction &it) {
            const auto *change = std::get_if<DirectorySyncActions::Apply>(&it);
            return change && change->name == name;
        });
    }
    static DirectorySyncEvents::ListCompleted listResult(const std::vector<std::string> &names,
                                                         std::uint64_t revision)
    {
        DirectorySyncEvents::ListCompleted out;
        for (const auto &it : names)
            out.objects.push_back({it, at(1), false});
        out.position = at(revision);
        return out;
    }
    void loadInitialList()
    {
        (void)m_synchronizer.begin();
        (void)m_synchronizer.handle(listResult({"a", "b"}, 10), m_now);
    }
    template <typename Action>
    static int countActions(const DirectorySyncActionList &actions)
    {
        int n = 0;
        for (const auto &it : actions)
            n += std::holds_alternative<Action>(it) ? 1 : 0;
        return n;
    }
    template <typename Action>
    static bool hasAction(const DirectorySyncActionList &actions)
    {
        return countActions<Action>(actions) > 0;
    }

    absl::Time m_now{absl::FromUnixSeconds(1000)};
    SeededRandom m_random{3};
    DirectorySynchronizer m_synchronizer{m_random, absl::Seconds(2)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDirectorySynchronizer);

} // namespace Wisteria
