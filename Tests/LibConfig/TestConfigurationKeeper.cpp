// The keeper's rules one by one: what counts as a confirmation, and when a change is accepted.

#include <LibConfig/ConfigurationKeeper.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestConfigurationKeeper : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestConfigurationKeeper);
    CPPUNIT_TEST(countsOldAnswersOnlyAfterEmbargo);
    CPPUNIT_TEST(dropsPollWhenListChanges);
    CPPUNIT_TEST(pollsByListOfItsVersion);
    CPPUNIT_TEST(acknowledgesBothLists);
    CPPUNIT_TEST(acknowledgesBaseOfListChange);
    CPPUNIT_TEST(dropsOldAcknowledgements);
    CPPUNIT_TEST(isStaleAfterPause);
    CPPUNIT_TEST(answersRetryWithItsVersion);
    CPPUNIT_TEST_SUITE_END();

    static CountedRouter counted(int n) { return {RouterId("r" + std::to_string(n))}; }

    static FleetConfiguration listed(std::uint64_t version, std::initializer_list<int> list,
                                     std::initializer_list<int> before)
    {
        FleetConfiguration configuration;
        configuration.version = ConfigVersion(version);
        for (const int n : list)
            configuration.countedRouters.push_back(counted(n));
        for (const int n : before)
            configuration.countedBefore.push_back(counted(n));
        return configuration;
    }

    template <typename Action>
    static const Action *find(const KeeperActions &actions)
    {
        const Action *found = nullptr;
        for (const auto &it : actions)
            found = std::holds_alternative<Action>(it) ? &std::get<Action>(it) : found;
        return found;
    }

    KeeperActions feed(const KeeperEvent &event) { return m_keeper->handle(event, m_now); }
    KeeperActions read(const FleetConfiguration &configuration)
    {
        return feed(ConfigurationRead{configuration, ObjectVersion(configuration.version.value()), m_now});
    }
    KeeperActions request(Edit edit) { return feed(ChangeRequested{{"c1", "asha", std::move(edit)}}); }
    KeeperActions acknowledge(int n, std::uint64_t version, absl::Time began)
    {
        return feed(PushAcknowledged{RouterId("r" + std::to_string(n)), ConfigVersion(version), began});
    }
    void answerPoll(int n, std::uint64_t version, bool isConfirmed = true)
    {
        feed(PollAnswered{RouterId("r" + std::to_string(n)), ConfigVersion(version), isConfirmed, m_now});
    }

    absl::Time m_now;
    std::unique_ptr<ConfigurationKeeper> m_keeper;

public:
    void setUp() override
    {
        m_now = absl::FromUnixSeconds(1000);
        m_keeper = ConfigurationKeeper::create(RouterId("r9"), true, m_now);
    }

    void countsOldAnswersOnlyAfterEmbargo()
    {
        read(listed(1, {0, 1, 2}, {0, 1, 2}));
        CPPUNIT_ASSERT(m_keeper->isFresh(m_now));
        // A round that this router may have acknowledged before its start can still complete.
        CPPUNIT_ASSERT(!m_keeper->confirmedSinceStart());
        m_now += acknowledgementWindow;
        read(listed(1, {0, 1, 2}, {0, 1, 2}));
        CPPUNIT_ASSERT(!m_keeper->confirmedSinceStart());
        m_now += restartEmbargo - acknowledgementWindow;
        read(listed(1, {0, 1, 2}, {0, 1, 2}));
        CPPUNIT_ASSERT(m_keeper->confirmedSinceStart());
        // Answers of peers that are not confirmed since their start make no majority.
        m_now += freshnessBound;
        CPPUNIT_ASSERT(find<PollCountedRouters>(feed(KeeperTick{})));
        answerPoll(0, 1, false);
        answerPoll(1, 1);
        CPPUNIT_ASSERT(!m_keeper->isFresh(m_now));
        answerPoll(2, 1);
        CPPUNIT_ASSERT(m_keeper->isFresh(m_now));
    }

    void dropsPollWhenListChanges()
    {
        read(listed(1, {0, 1, 2}, {0, 1, 2}));
        m_now += freshnessBound;
        feed(KeeperTick{});
        answerPoll(0, 1);
        // A pushed version arrives in the middle of the poll; its short list makes no majority of old
        // answers.
        feed(ConfigurationReceived{listed(2, {0}, {0, 1})});
        answerPoll(0, 1);
        CPPUNIT_ASSERT(!m_keeper->isFresh(m_now));
    }

    void pollsByListOfItsVersion()
    {
        read(listed(1, {0, 1, 2}, {0, 1, 2}));
        m_now += freshnessBound;
        feed(KeeperTick{});
        answerPoll(0, 1);
        const auto actions = feed(PollAnswered{RouterId("r1"), ConfigVersion(2), true, m_now});
        CPPUNIT_ASSERT(find<FetchConfiguration>(actions));
        // The fetched version counts four routers, so the answers by the list of three confirm nothing.
        feed(ConfigurationReceived{listed(2, {0, 1, 2, 3}, {0, 1, 2})});
        answerPoll(2, 1);
        CPPUNIT_ASSERT(!m_keeper->isFresh(m_now));
        m_now += absl::Seconds(1);
        feed(KeeperTick{});
        answerPoll(0, 2);
        answerPoll(1, 2);
        CPPUNIT_ASSERT(!m_keeper->isFresh(m_now));
        answerPoll(3, 2);
        CPPUNIT_ASSERT(m_keeper->isFresh(m_now));
    }

    void acknowledgesBothLists()
    {
        request(PutWorkspace{{WorkspaceName("routes")}});
        CPPUNIT_ASSERT(find<WriteConfiguration>(read(listed(4, {1, 2, 3, 4}, {0, 1, 2}))));
        feed(ConfigurationWritten{"c1", ObjectVersion(5)});
        acknowledge(3, 5, m_now);
        // Half of the list by now, but only routers that the list before did not count.
        CPPUNIT_ASSERT(!find<AnswerChange>(acknowledge(4, 5, m_now)));
        CPPUNIT_ASSERT(!find<AnswerChange>(acknowledge(0, 5, m_now)));
        const auto actions = acknowledge(1, 5, m_now);
        CPPUNIT_ASSERT(find<AnswerChange>(actions));
        CPPUNIT_ASSERT(find<AnswerChange>(actions)->result == ConfigVersion(5));
    }

    void acknowledgesBaseOfListChange()
    {
        request(PutCountedRouter{counted(3)});
        const auto actions = read(listed(4, {0, 1, 2}, {0, 1, 2}));
        CPPUNIT_ASSERT(!find<WriteConfiguration>(actions));
        CPPUNIT_ASSERT(find<PushConfiguration>(actions));
        acknowledge(0, 4, m_now);
        CPPUNIT_ASSERT(find<WriteConfiguration>(acknowledge(1, 4, m_now)));
    }

    void dropsOldAcknowledgements()
    {
        request(PutWorkspace{{WorkspaceName("routes")}});
        read(listed(4, {0, 1, 2}, {0, 1, 2}));
        const auto push = feed(ConfigurationWritten{"c1", ObjectVersion(5)});
        const auto began = find<PushConfiguration>(push)->began;
        acknowledge(0, 5, began);
        CPPUNIT_ASSERT(!find<AnswerChange>(acknowledge(1, 5, began - absl::Milliseconds(1))));
        // After a pause the first acknowledgement may be forgotten, so the second one comes too late.
        m_now += acknowledgementWindow + absl::Milliseconds(1);
        const auto late = acknowledge(1, 5, began);
        CPPUNIT_ASSERT(find<AnswerChange>(late));
        CPPUNIT_ASSERT(find<AnswerChange>(late)->result.error().code == ErrorCode::NotAcknowledged);
    }

    void isStaleAfterPause()
    {
        read(listed(1, {0, 1, 2}, {0, 1, 2}));
        m_now += freshnessBound;
        CPPUNIT_ASSERT(!m_keeper->isFresh(m_now));
        // A late answer makes a confirmation older, never younger.
        const auto began = m_now - absl::Seconds(5);
        feed(ConfirmationReceived{RouterId("r0"), ConfigVersion(1),
                                  Confirmation{ConfigVersion(1), absl::Seconds(4)}, began});
        CPPUNIT_ASSERT(!m_keeper->isFresh(m_now));
        feed(ConfirmationReceived{RouterId("r0"), ConfigVersion(1),
                                  Confirmation{ConfigVersion(1), absl::Seconds(2)}, began});
        CPPUNIT_ASSERT(m_keeper->isFresh(m_now));
    }

    void answersRetryWithItsVersion()
    {
        auto applied = listed(7, {0}, {0});
        applied.recentChanges = {{"c1", ConfigVersion(6)}};
        request(PutWorkspace{{WorkspaceName("routes")}});
        CPPUNIT_ASSERT(!find<WriteConfiguration>(read(applied)));
        const auto actions = acknowledge(0, 7, m_now);
        CPPUNIT_ASSERT(find<AnswerChange>(actions)->result == ConfigVersion(6));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConfigurationKeeper);

} // namespace Wisteria
