// Views of another router that are cut at any byte: none of them is merged.

#include "FakeDirectory.h"

#include <Support/FakeClosingPeer.h>

#include <LibGateway/ViewRelay.h>
#include <LibPlatform/MonotonicClock.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestCutViewsOfRouters : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCutViewsOfRouters);
    CPPUNIT_TEST(viewWithLengthCutAtAnyByteIsNotMerged);
    CPPUNIT_TEST(viewWithoutLengthCutAtAnyByteIsNotMerged);
    CPPUNIT_TEST_SUITE_END();

public:
    void viewWithLengthCutAtAnyByteIsNotMerged()
    {
        checkCuts(serializeResponse(view(), ConnectionUse::Close));
    }

    void viewWithoutLengthCutAtAnyByteIsNotMerged()
    {
        checkCuts("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + view().body);
    }

private:
    HttpResponse view()
    {
        detail::DirectoryViewFixture other(DirectoryKind::Targets);
        other.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        ViewRelay relay(m_context, other.view, "targets", absl::Seconds(1), other.log, other.random);
        return relay.responseFor(StorePosition());
    }

    void checkCuts(const std::string &answer)
    {
        for (const auto ending : {FakeEnding::Close, FakeEnding::Reset, FakeEnding::HalfClose}) {
            for (std::size_t n = 0; n < answer.size(); ++n)
                CPPUNIT_ASSERT_MESSAGE(answer.substr(0, n), !isMerged(answer.substr(0, n), ending, cutWait));
        }
        CPPUNIT_ASSERT(isMerged(answer, FakeEnding::Close, wholeWait));
    }

    bool isMerged(const std::string &bytes, FakeEnding ending, absl::Duration wait)
    {
        FakeClosingPeer peer(m_context, bytes, ending);
        RouterRegistry::Member member;
        member.id = RouterId("peer");
        member.peerAddress = peer.address();
        detail::DirectoryViewFixture local(DirectoryKind::Targets);
        ViewRelay relay(m_context, local.view, "targets", wholeWait, local.log, local.random);
        relay.pullFullView(member);
        while (peer.requestCount() == 0)
            m_context.run_one();
        const auto end = monotonicNow() + wait;
        while (monotonicNow() < end && !local.listener.targets.contains("a"))
            m_context.run_for(std::chrono::milliseconds(1));
        return local.listener.targets.contains("a");
    }

    // After the answer has been sent.
    static constexpr absl::Duration cutWait = absl::Milliseconds(5);
    static constexpr absl::Duration wholeWait = absl::Seconds(1);

    boost::asio::io_context m_context{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCutViewsOfRouters);

} // namespace Wisteria
