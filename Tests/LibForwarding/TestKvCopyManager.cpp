// The copies of running generations under the loss of domains one after the other.

#include <LibForwarding/KvCopyManager.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestKvCopyManager : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestKvCopyManager);
    CPPUNIT_TEST(copyOfTheTargetItselfNeedsNoCall);
    CPPUNIT_TEST(lostHolderIsReplaced);
    CPPUNIT_TEST(nothingIsCopiedBeforeTheFirstEvent);
    CPPUNIT_TEST(copyByNameIsRenewedAtItsHolder);
    CPPUNIT_TEST(refusedCopyIsAskedForAgain);
    CPPUNIT_TEST(answerToAnEarlierAttemptIsIgnored);
    CPPUNIT_TEST(copyByNameIsGivenBack);
    CPPUNIT_TEST(impossibleCopyIsNotAskedForAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void copyOfTheTargetItselfNeedsNoCall()
    {
        CPPUNIT_ASSERT(begin(m_first).empty());
        CPPUNIT_ASSERT(m_keeper.handle(KvCopyEvents::FirstEventReceived{}, m_now).empty());
        CPPUNIT_ASSERT(m_keeper.copy()->holder == m_first);
    }

    // Load pattern: the holder's domain is lost, then the target's, each within the life of a stream.
    void lostHolderIsReplaced()
    {
        (void)begin(m_first);
        (void)m_keeper.handle(KvCopyEvents::FirstEventReceived{}, m_now);
        const auto actions = m_keeper.handle(KvCopyEvents::TargetLost{m_first}, m_now);
        CPPUNIT_ASSERT(!m_keeper.copy());
        const int call = callOf(actions);
        (void)m_keeper.handle(KvCopyEvents::CopyCreated{call, m_second, "h1"}, m_now);
        CPPUNIT_ASSERT(m_keeper.copy()->holder == m_second);
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), m_keeper.copy()->handle);
    }

    void nothingIsCopiedBeforeTheFirstEvent()
    {
        (void)begin(m_first);
        CPPUNIT_ASSERT(m_keeper.handle(KvCopyEvents::TargetLost{m_first}, m_now).empty());
        callOf(m_keeper.handle(KvCopyEvents::FirstEventReceived{}, m_now));
    }

    void copyByNameIsRenewedAtItsHolder()
    {
        const int call = beginWithoutHolder();
        (void)m_keeper.handle(KvCopyEvents::CopyCreated{call, m_first, "h1"}, m_now);
        const auto early = m_now + KvCopyManager::renewInterval - absl::Milliseconds(1);
        CPPUNIT_ASSERT(m_keeper.handle(KvCopyEvents::Tick{}, early).empty());
        const auto actions = m_keeper.handle(KvCopyEvents::Tick{}, m_now + KvCopyManager::renewInterval);
        callOf(actions);
        CPPUNIT_ASSERT(std::get<KvCopyActions::CreateCopy>(actions.front()).holder == m_first);
    }

    void refusedCopyIsAskedForAgain()
    {
        const int call = beginWithoutHolder();
        (void)m_keeper.handle(KvCopyEvents::CopyFailed{call}, m_now);
        CPPUNIT_ASSERT(!m_keeper.copy());
        const auto later = m_now + KvCopyManager::retryDelay;
        CPPUNIT_ASSERT(callOf(m_keeper.handle(KvCopyEvents::Tick{}, later)) != call);
    }

    void answerToAnEarlierAttemptIsIgnored()
    {
        const int call = beginWithoutHolder();
        (void)begin(m_second);
        (void)m_keeper.handle(KvCopyEvents::CopyFailed{call}, m_now);
        CPPUNIT_ASSERT(m_keeper.copy() && m_keeper.copy()->holder == m_second);
        (void)m_keeper.handle(KvCopyEvents::CopyCreated{call, m_first, "h1"}, m_now);
        CPPUNIT_ASSERT(m_keeper.copy()->holder == m_second);
        (void)m_keeper.handle(KvCopyEvents::CopyUnsupported{call}, m_now);
        (void)m_keeper.handle(KvCopyEvents::FirstEventReceived{}, m_now);
        callOf(m_keeper.handle(KvCopyEvents::TargetLost{m_second}, m_now));
    }

    void copyByNameIsGivenBack()
    {
        const int call = beginWithoutHolder();
        (void)m_keeper.handle(KvCopyEvents::CopyCreated{call, m_first, "h1"}, m_now);
        const auto actions = m_keeper.handle(KvCopyEvents::AttemptEnded{}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), std::get<KvCopyActions::DeleteCopy>(actions.front()).handle);
        CPPUNIT_ASSERT(!m_keeper.copy());
    }

    void impossibleCopyIsNotAskedForAgain()
    {
        const int call = beginWithoutHolder();
        (void)m_keeper.handle(KvCopyEvents::CopyUnsupported{call}, m_now);
        CPPUNIT_ASSERT(m_keeper.handle(KvCopyEvents::Tick{}, m_now + absl::Seconds(10)).empty());
    }

private:
    std::vector<KvCopyAction> begin(const TargetId &holder)
    {
        return m_keeper.handle(KvCopyEvents::AttemptStarted{holder}, m_now);
    }

    // Returns the number of the call that the first event brings about.
    int beginWithoutHolder()
    {
        (void)m_keeper.handle(KvCopyEvents::AttemptStarted{}, m_now);
        return callOf(m_keeper.handle(KvCopyEvents::FirstEventReceived{}, m_now));
    }

    static int callOf(const std::vector<KvCopyAction> &actions)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        const auto *action = std::get_if<KvCopyActions::CreateCopy>(&actions.front());
        CPPUNIT_ASSERT(action);
        return action->callId;
    }

    const TargetId m_first{"first"};
    const TargetId m_second{"second"};
    absl::Time m_now{absl::FromUnixSeconds(1000)};
    KvCopyManager m_keeper;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestKvCopyManager);

} // namespace Wisteria
