// Answers of the object API and of engines that are cut at any byte, for the clients of the own interface.

#include <Support/FakeClosingPeer.h>

#include <LibPlatform/BlockingHttpClient.h>
#include <LibPlatform/HttpObjectStore.h>

#include <absl/cleanup/cleanup.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <thread>

namespace Wisteria {

class TestCutAnswersOfObjectApi : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCutAnswersOfObjectApi);
    CPPUNIT_TEST(cutObjectIsNotRead);
    CPPUNIT_TEST(outcomeOfCutWriteIsUnknown);
    CPPUNIT_TEST(cutAnswerToACallIsNone);
    CPPUNIT_TEST(wholeAnswerIsRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void cutObjectIsNotRead()
    {
        forEachCut([](const std::string &address) {
            const auto object = HttpObjectStore::create(address, timeout).value()->get("k", "n");
            CPPUNIT_ASSERT(!object && object.error().code == ErrorCode::StoreUnavailable);
        });
    }

    void outcomeOfCutWriteIsUnknown()
    {
        forEachCut([](const std::string &address) {
            const auto version =
                HttpObjectStore::create(address, timeout).value()->put("k", "n", "{}", ObjectVersion());
            CPPUNIT_ASSERT(!version && version.error().code == ErrorCode::StoreOutcomeUnknown);
        });
    }

    void cutAnswerToACallIsNone()
    {
        forEachCut([](const std::string &address) {
            const BlockingHttpClient client(*Address::parse(address), timeout);
            const auto result = client.post("/v1/calls", "{}");
            CPPUNIT_ASSERT(!result && !wasNeverSent(result.error()));
        });
    }

    void wholeAnswerIsRead()
    {
        ask(answer, FakeEnding::Close, [](const std::string &address) {
            const auto object = HttpObjectStore::create(address, timeout).value()->get("k", "n");
            CPPUNIT_ASSERT(object && *object);
            CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":1}"), (*object)->body);
        });
    }

private:
    using Step = std::function<void(const std::string &address)>;

    static constexpr absl::Duration timeout = absl::Seconds(2);
    static inline const std::string answer =
        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 7\r\n\r\n{\"a\":1}";

    static void ask(const std::string &bytes, FakeEnding ending, const Step &step)
    {
        boost::asio::io_context context(1);
        FakeClosingPeer peer(context, bytes, ending);
        std::thread thread([&context] { context.run(); });
        const auto end = absl::MakeCleanup([&] {
            context.stop();
            thread.join();
        });
        step(peer.address());
    }

    static void forEachCut(const Step &step)
    {
        for (const auto ending : {FakeEnding::Close, FakeEnding::Reset, FakeEnding::HalfClose}) {
            for (std::size_t n = 0; n < answer.size(); ++n)
                ask(answer.substr(0, n), ending, step);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCutAnswersOfObjectApi);

} // namespace Wisteria
