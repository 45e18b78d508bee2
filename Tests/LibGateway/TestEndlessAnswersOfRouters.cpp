// Another router whose answers never end: each pull of its view ends within the call's time.

#include "FakeDirectory.h"

#include <Support/FakeEndlessPeer.h>

#include <LibGateway/ViewRelay.h>
#include <LibNet/Compression.h>
#include <LibPlatform/MonotonicClock.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestEndlessAnswersOfRouters : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEndlessAnswersOfRouters);
    CPPUNIT_TEST(floodEndsThePull);
    CPPUNIT_TEST(dripEndsThePull);
    CPPUNIT_TEST(viewThatExpandsWithoutEndIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void floodEndsThePull() { checkPullsEnd(floodInterval); }
    void dripEndsThePull() { checkPullsEnd(dripInterval); }

    void viewThatExpandsWithoutEndIsRejected()
    {
        const std::string bomb = compressBytes(std::string(4 * ViewRelay::maxViewBytes, 'x'));
        CPPUNIT_ASSERT(bomb.size() < ViewRelay::maxViewBytes / 8);
        CPPUNIT_ASSERT(!expandBytes(bomb, ViewRelay::maxViewBytes));
    }

private:
    static constexpr absl::Duration callTimeout = absl::Milliseconds(400);

    void checkPullsEnd(std::chrono::milliseconds interval)
    {
        for (const auto &answer : endlessAnswers("HTTP/1.1 200 OK\r\n", interval)) {
            FakeEndlessPeer peer(m_context, answer);
            RouterRegistry::Member member;
            member.id = RouterId("peer");
            member.peerAddress = peer.address();
            detail::DirectoryViewFixture local(DirectoryKind::Targets);
            ViewRelay relay(m_context, local.view, "targets", callTimeout, local.log, local.random);
            relay.pullFullView(member);
            m_context.run_for(absl::ToChronoMilliseconds(callTimeout + absl::Milliseconds(200)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.start, 1, peer.connectionCount());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.start, 0, peer.openConnectionCount());
            CPPUNIT_ASSERT(peer.sentBytes() < 4 * ViewRelay::maxViewBytes);
            // The relay is free for the next pull.
            relay.pullFullView(member);
            m_context.run_for(std::chrono::milliseconds(50));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.start, 2, peer.connectionCount());
            m_context.run_for(absl::ToChronoMilliseconds(callTimeout + absl::Milliseconds(200)));
        }
    }

    boost::asio::io_context m_context{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEndlessAnswersOfRouters);

} // namespace Wisteria
