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
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEndlessAnswersOfStore);

} // namespace Wisteria
