// A store whose answers never end: each call ends within its own time.

#include <Support/FakeEndlessPeer.h>

#include <LibPlatform/MonotonicClock.h>

#include <StoreClient.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestEndlessAnswersOfStore : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEndlessAnswersOfStore);
    CPPUNIT_TEST(slowWatchEndsAfterItsWaitAndTheCallsTimeout);
    CPPUNIT_TEST(floodEndsAListEarly);
    CPPUNIT_TEST(dripEndsAListAtItsTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void slowWatchEndsAfterItsWaitAndTheCallsTimeout()
    {
        boost::asio::io_context context(1);
        for (const auto *start : {"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\n\r\n{\"events\":["}) {
            FakeEndlessPeer peer(context,
                                 {start, [](std::uint64_t) { return " "; }, std::chrono::milliseconds(20)});
            const auto client =
                std::move(*Platform::StoreClient::create(context, peer.address(), absl::Milliseconds(300)));
            bool isDone = false;
            const auto begin = monotonicNow();
            client->watch(DirectoryKind::Targets, {StoreEra(1), ObjectVersion(1)}, absl::Milliseconds(200),
                          [&](const auto &batch) { isDone = !batch; });
            while (!isDone && monotonicNow() - begin < absl::Seconds(2))
                context.run_for(std::chrono::milliseconds(10));
            CPPUNIT_ASSERT(isDone);
            CPPUNIT_ASSERT(monotonicNow() - begin < absl::Milliseconds(700));
            context.run_for(std::chrono::milliseconds(50));
            CPPUNIT_ASSERT_EQUAL(0, peer.openConnectionCount());
        }
    }

    void floodEndsAListEarly() { checkListsEnd(floodInterval); }
    void dripEndsAListAtItsTimeout() { checkListsEnd(dripInterval); }

private:
    static void checkListsEnd(std::chrono::milliseconds interval)
    {
        constexpr absl::Duration callTimeout = absl::Milliseconds(400);
        constexpr std::size_t maxSentBytes = std::size_t{32} << 20U;
        boost::asio::io_context context(1);
        for (const auto &answer : endlessAnswers("HTTP/1.1 200 OK\r\n", interval)) {
            FakeEndlessPeer peer(context, answer);
            const auto client =
                std::move(*Platform::StoreClient::create(context, peer.address(), callTimeout));
            bool isFailed = false;
            client->list(DirectoryKind::Targets, [&](const auto &batch) { isFailed = !batch; });
            context.run_for(absl::ToChronoMilliseconds(callTimeout + absl::Milliseconds(200)));
            CPPUNIT_ASSERT_MESSAGE(answer.start, isFailed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.start, 0, peer.openConnectionCount());
            CPPUNIT_ASSERT(peer.sentBytes() < maxSentBytes);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEndlessAnswersOfStore);

} // namespace Wisteria
