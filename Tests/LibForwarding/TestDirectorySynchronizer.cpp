// Tests following the object store through outages, lost watch history, expired entries and relays.

#include <LibForwarding/DirectorySynchronizer.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestDirectorySynchronizer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDirectorySynchronizer);
    CPPUNIT_TEST(listsThenWatches);
    CPPUNIT_TEST(lostHistoryTriggersRelist);
    CPPUNIT_TEST(failedCallsBackOff);
    CPPUNIT_TEST(expiredEntryThatReturnsWithinGraceIsKept);
    CPPUNIT_TEST(expiredEntryIsRemovedAfterGrace);
    CPPUNIT_TEST(removalAppliesAtOnceWhenOtherRoutersReachedStore);
    CPPUNIT_TEST(relayedRemovalAppliesDuringOutage);
    CPPUNIT_TEST(initialListIsRetriedWithShorterBackoff);
    CPPUNIT_TEST(staleRelayIsIgnored);
    CPPUNIT_TEST(staleObjectRevisionIsIgnored);
    CPPUNIT_TEST(relayedChangesAdvanceRevision);
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
        DirectorySynchronizer synchronizer(m_random);
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
            DirectorySyncEvents::WatchCompleted{{{"a", ObjectVersion(11), true}}, ObjectVersion(11)},
            storeReturn);
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
        actions = m_synchronizer.handle(
            DirectorySyncEvents::WatchCompleted{{{"a", ObjectVersion(12), false}}, ObjectVersion(12)},
            storeReturn + absl::Seconds(1));
        actions = m_synchronizer.handle(DirectorySyncEvents::Tick{}, storeReturn + absl::Seconds(10));
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
    }

    void expiredEntryIsRemovedAfterGrace()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::CallFailed{}, m_now);
        const auto storeReturn = m_now + absl::Seconds(5);
        (void)m_synchronizer.handle(
            DirectorySyncEvents::WatchCompleted{{{"a", ObjectVersion(11), true}}, ObjectVersion(11)},
            storeReturn);
        const auto before = storeReturn + DirectorySynchronizer::removalGracePeriod - absl::Milliseconds(1);
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(
            m_synchronizer.handle(DirectorySyncEvents::Tick{}, before)));
        const auto after = storeReturn + DirectorySynchronizer::removalGracePeriod;
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::Remove>(
            m_synchronizer.handle(DirectorySyncEvents::Tick{}, after)));
    }

    // If the store rejected only this router's calls, a removal is real. Holding it back as a possible expiry
    // delayed the removal of a draining target beyond its bound.
    void removalAppliesAtOnceWhenOtherRoutersReachedStore()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::CallFailed{}, m_now);
        m_synchronizer.setStoreTrustedByOthers(true);
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::WatchCompleted{{{"a", ObjectVersion(11), true}}, ObjectVersion(11)},
            m_now + absl::Seconds(5));
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::Remove>(actions));
    }

    void relayedRemovalAppliesDuringOutage()
    {
        loadInitialList();
        (void)m_synchronizer.handle(DirectorySyncEvents::CallFailed{}, m_now);
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{{{"a", ObjectVersion(11), true}}, ObjectVersion(11), false},
            m_now);
        CPPUNIT_ASSERT(hasAction<DirectorySyncActions::Remove>(actions));
    }

    void staleRelayIsIgnored()
    {
        loadInitialList();
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{{{"a", ObjectVersion(3), true}}, ObjectVersion(9), true},
            m_now);
        CPPUNIT_ASSERT(actions.empty());
    }

    void staleObjectRevisionIsIgnored()
    {
        loadInitialList();
        (void)m_synchronizer.handle(
            DirectorySyncEvents::WatchCompleted{{{"a", ObjectVersion(15), false}}, ObjectVersion(15)}, m_now);
        const auto actions = m_synchronizer.handle(
            DirectorySyncEvents::WatchCompleted{
                {{"a", ObjectVersion(14), false}, {"a", ObjectVersion(14), true}}, ObjectVersion(16)},
            m_now);
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Apply>(actions));
        CPPUNIT_ASSERT(!hasAction<DirectorySyncActions::Remove>(actions));
    }

    void relayedChangesAdvanceRevision()
    {
        loadInitialList();
        (void)m_synchronizer.handle(
            DirectorySyncEvents::RelayReceived{{{"c", ObjectVersion(30), false}}, ObjectVersion(30), false},
            m_now);
        CPPUNIT_ASSERT(m_synchronizer.changeRevision() == ObjectVersion(30));
        CPPUNIT_ASSERT(m_synchronizer.revision() == ObjectVersion(30));
    }

private:
    static DirectorySyncEvents::ListCompleted listResult(const std::vector<std::string> &names,
                                                         std::uint64_t revision)
    {
        DirectorySyncEvents::ListCompleted out;
        for (const auto &it : names)
            out.objects.push_back({it, ObjectVersion(1), false});
        out.revision = ObjectVersion(revision);
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
    DirectorySynchronizer m_synchronizer{m_random};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDirectorySynchronizer);

} // namespace Wisteria
