// Tests how copies of running generations are requested, renewed and replaced when failure domains are lost.

#include <LibForwarding/KvCopyManager.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestKvCopyManager : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestKvCopyManager);
    CPPUNIT_TEST(copyMadeByTargetNeedsNoCall);
    CPPUNIT_TEST(lostHolderIsReplaced);
    CPPUNIT_TEST(noCopyIsRequestedBeforeFirstEvent);
    CPPUNIT_TEST(requestedCopyIsRenewedAtSameHolder);
    CPPUNIT_TEST(refusedCopyIsRetried);
    CPPUNIT_TEST(responseToEarlierAttemptIsIgnored);
    CPPUNIT_TEST(requestedCopyIsDroppedAfterAttempt);
    CPPUNIT_TEST(impossibleCopyIsNotRetried);
    CPPUNIT_TEST_SUITE_END();

public:
    void copyMadeByTargetNeedsNoCall()
    {
        CPPUNIT_ASSERT(beginAttempt(m_firstHolder).empty());
        CPPUNIT_ASSERT(m_manager.handle(KvCopyEvents::FirstEventReceived{}, m_now).empty());
        CPPUNIT_ASSERT(m_manager.copy()->holder == m_firstHolder);
    }

    // The holder's failure domain is lost during a stream. A new copy is needed before the target's domain
    // fails too.
    void lostHolderIsReplaced()
    {
        (void)beginAttempt(m_firstHolder);
        (void)m_manager.handle(KvCopyEvents::FirstEventReceived{}, m_now);
        const auto actions = m_manager.handle(KvCopyEvents::TargetLost{m_firstHolder}, m_now);
        CPPUNIT_ASSERT(!m_manager.copy());
        const int call = copyCallNumber(actions);
        (void)m_manager.handle(KvCopyEvents::CopyCreated{call, m_secondHolder, "h1"}, m_now);
        CPPUNIT_ASSERT(m_manager.copy()->holder == m_secondHolder);
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), m_manager.copy()->handle);
    }

    void noCopyIsRequestedBeforeFirstEvent()
    {
        (void)beginAttempt(m_firstHolder);
        CPPUNIT_ASSERT(m_manager.handle(KvCopyEvents::TargetLost{m_firstHolder}, m_now).empty());
        copyCallNumber(m_manager.handle(KvCopyEvents::FirstEventReceived{}, m_now));
    }

    void requestedCopyIsRenewedAtSameHolder()
    {
        const int call = beginAttemptWithoutHolder();
        (void)m_manager.handle(KvCopyEvents::CopyCreated{call, m_firstHolder, "h1"}, m_now);
        const auto early = m_now + KvCopyManager::renewInterval - absl::Milliseconds(1);
        CPPUNIT_ASSERT(m_manager.handle(KvCopyEvents::Tick{}, early).empty());
        const auto actions = m_manager.handle(KvCopyEvents::Tick{}, m_now + KvCopyManager::renewInterval);
        copyCallNumber(actions);
        CPPUNIT_ASSERT(std::get<KvCopyActions::CreateCopy>(actions.front()).holder == m_firstHolder);
    }

    void refusedCopyIsRetried()
    {
        const int call = beginAttemptWithoutHolder();
        (void)m_manager.handle(KvCopyEvents::CopyFailed{call}, m_now);
        CPPUNIT_ASSERT(!m_manager.copy());
        const auto later = m_now + KvCopyManager::retryDelay;
        CPPUNIT_ASSERT(copyCallNumber(m_manager.handle(KvCopyEvents::Tick{}, later)) != call);
    }

    void responseToEarlierAttemptIsIgnored()
    {
        const int call = beginAttemptWithoutHolder();
        (void)beginAttempt(m_secondHolder);
        (void)m_manager.handle(KvCopyEvents::CopyFailed{call}, m_now);
        CPPUNIT_ASSERT(m_manager.copy() && m_manager.copy()->holder == m_secondHolder);
        (void)m_manager.handle(KvCopyEvents::CopyCreated{call, m_firstHolder, "h1"}, m_now);
        CPPUNIT_ASSERT(m_manager.copy()->holder == m_secondHolder);
        (void)m_manager.handle(KvCopyEvents::CopyUnsupported{call}, m_now);
        (void)m_manager.handle(KvCopyEvents::FirstEventReceived{}, m_now);
        copyCallNumber(m_manager.handle(KvCopyEvents::TargetLost{m_secondHolder}, m_now));
    }

    void requestedCopyIsDroppedAfterAttempt()
    {
        const int call = beginAttemptWithoutHolder();
        (void)m_manager.handle(KvCopyEvents::CopyCreated{call, m_firstHolder, "h1"}, m_now);
        const auto actions = m_manager.handle(KvCopyEvents::AttemptEnded{}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), std::get<KvCopyActions::DeleteCopy>(actions.front()).handle);
        CPPUNIT_ASSERT(!m_manager.copy());
    }

    void impossibleCopyIsNotRetried()
    {
        const int call = beginAttemptWithoutHolder();
        (void)m_manager.handle(KvCopyEvents::CopyUnsupported{call}, m_now);
        CPPUNIT_ASSERT(m_manager.handle(KvCopyEvents::Tick{}, m_now + absl::Seconds(10)).empty());
    }

private:
    std::vector<KvCopyAction> beginAttempt(const TargetId &holder)
    {
        return m_manager.handle(KvCopyEvents::AttemptStarted{holder}, m_now);
    }

    // Returns the number of the copy call that the first event triggers.
    int beginAttemptWithoutHolder()
    {
        (void)m_manager.handle(KvCopyEvents::AttemptStarted{}, m_now);
        return copyCallNumber(m_manager.handle(KvCopyEvents::FirstEventReceived{}, m_now));
    }

    static int copyCallNumber(const std::vector<KvCopyAction> &actions)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        const auto *action = std::get_if<KvCopyActions::CreateCopy>(&actions.front());
        CPPUNIT_ASSERT(action);
        return action->callId;
    }

    const TargetId m_firstHolder{"first"};
    const TargetId m_secondHolder{"second"};
    absl::Time m_now{absl::FromUnixSeconds(1000)};
    KvCopyManager m_manager;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestKvCopyManager);

} // namespace Wisteria
