// Guards against answers without end, in a head or in a body, to the blocking clients of the own interface:
// the process kept all that came until it ran out of memory, and the call never ended.

#include <Support/FakeEndlessPeer.h>

#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/VmDirectory.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <thread>

namespace Wisteria {

class TestEndlessAnswersOfPlatform : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEndlessAnswersOfPlatform);
    CPPUNIT_TEST(floodedReadEndsEarly);
    CPPUNIT_TEST(floodedWriteHasAnUnknownOutcome);
    CPPUNIT_TEST(floodedListEndsEarly);
    CPPUNIT_TEST(slowAnswerEndsAtTheCallsTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void floodedReadEndsEarly()
    {
        forEachAnswer(floodInterval, [](const std::string &address) {
            const auto object = HttpObjectStore::create(address, timeout).value()->get("k", "n");
            CPPUNIT_ASSERT(!object && object.error().code == ErrorCode::StoreUnavailable);
        });
    }

    void floodedWriteHasAnUnknownOutcome()
    {
        forEachAnswer(floodInterval, [](const std::string &address) {
            const auto version =
                HttpObjectStore::create(address, timeout).value()->put("k", "n", "{}", ObjectVersion());
            CPPUNIT_ASSERT(!version && version.error().code == ErrorCode::StoreOutcomeUnknown);
        });
    }

    void floodedListEndsEarly()
    {
        forEachAnswer(floodInterval, [](const std::string &address) {
            CPPUNIT_ASSERT(!createHttpVmDirectory(address, timeout).value()->list());
        });
    }

    void slowAnswerEndsAtTheCallsTimeout()
    {
        forEachAnswer(dripInterval, [](const std::string &address) {
            CPPUNIT_ASSERT(!HttpObjectStore::create(address, timeout).value()->get("k", "n"));
        });
    }

private:
    static constexpr absl::Duration timeout = absl::Milliseconds(500);
    // The largest body of an answer, and what the kernel holds of a connection.
    static constexpr std::size_t maxSentBytes = std::size_t{64} << 20U;
    // The peer gives up then, so that the test ends if the call doesn't.
    static constexpr std::chrono::seconds patience{5};

    static void forEachAnswer(std::chrono::milliseconds interval,
                              const std::function<void(const std::string &address)> &call)
    {
        for (const auto &answer : endlessAnswers("HTTP/1.1 200 OK\r\nETag: \"7\"\r\n", interval)) {
            boost::asio::io_context context(1);
            auto peer = std::make_unique<FakeEndlessPeer>(context, answer);
            const auto address = peer->address();
            std::atomic<bool> isDone{false};
            std::size_t sentBytes = 0;
            const auto end = std::chrono::steady_clock::now() + patience;
            std::thread thread([&] {
                while (!isDone && sentBytes <= maxSentBytes && std::chrono::steady_clock::now() < end) {
                    context.run_for(std::chrono::milliseconds(5));
                    sentBytes = peer->sentBytes();
                }
                peer.reset();
                // Its connections close with their handlers.
                context.run_for(std::chrono::milliseconds(5));
            });
            call(address);
            const bool hasEndedByItself = std::chrono::steady_clock::now() < end;
            isDone = true;
            thread.join();
            CPPUNIT_ASSERT_MESSAGE(answer.start, hasEndedByItself);
            CPPUNIT_ASSERT_MESSAGE(answer.start, sentBytes <= maxSentBytes);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEndlessAnswersOfPlatform);

} // namespace Wisteria
