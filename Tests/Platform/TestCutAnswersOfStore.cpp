// Answers of the store that are cut at any byte: no list, watch or publication takes one for whole.

#include <Support/FakeClosingPeer.h>

#include <LibPlatform/MonotonicClock.h>

#include <StoreClient.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestCutAnswersOfStore : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCutAnswersOfStore);
    CPPUNIT_TEST(cutListIsNotRead);
    CPPUNIT_TEST(cutWatchIsNotRead);
    CPPUNIT_TEST(cutPublicationIsUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void cutListIsNotRead()
    {
        check(
            R"({"items":[{"metadata":{"name":"a","revision":3},"spec":{}}],"hasMore":false,"currentRev":7})",
            BodyUse::Read, [](auto &client, auto done) {
                client.list(DirectoryKind::Targets, [done](const auto &batch) { done(batch.has_value()); });
            });
    }

    void cutWatchIsNotRead()
    {
        check(R"({"events":[{"object":{"metadata":{"name":"a"}},"deleted":true}],"currentRev":7})",
              BodyUse::Read, [](auto &client, auto done) {
                  client.watch(DirectoryKind::Targets, {StoreEra(1), ObjectVersion(1)},
                               absl::Milliseconds(100),
                               [done](const auto &batch) { done(batch.has_value()); });
              });
    }

    // The status alone acknowledges it.
    void cutPublicationIsUnknown()
    {
        check("{}", BodyUse::Ignored, [](auto &client, auto done) {
            client.publish({}, [done](const auto &era) { done(era.has_value()); });
        });
    }

private:
    enum class BodyUse { Read, Ignored };

    using Done = std::function<void(bool)>;
    using Call = std::function<void(Platform::StoreClient &, Done)>;

    static void check(const std::string &body, BodyUse use, const Call &call)
    {
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        const auto length = absl::StrCat(head, "Content-Length: ", body.size(), "\r\n\r\n");
        const auto chunked = absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n", absl::Hex(body.size()),
                                          "\r\n", body, "\r\n0\r\n\r\n");
        const auto plain = head + "\r\n";
        checkCuts(length + body, length.size() + body.size(), call);
        checkCuts(chunked, chunked.size(), call);
        checkCuts(plain + body, use == BodyUse::Read ? plain.size() + body.size() : plain.size(), call);
    }

    static void checkCuts(const std::string &answer, std::size_t end, const Call &call)
    {
        for (const auto ending : {FakeEnding::Close, FakeEnding::Reset, FakeEnding::HalfClose}) {
            for (std::size_t n = 0; n < end; ++n)
                CPPUNIT_ASSERT_MESSAGE(answer.substr(0, n), !isTaken(answer.substr(0, n), ending, call));
        }
        CPPUNIT_ASSERT_MESSAGE(answer, isTaken(answer, FakeEnding::Close, call));
    }

    static bool isTaken(const std::string &answer, FakeEnding ending, const Call &call)
    {
        boost::asio::io_context context(1);
        FakeClosingPeer peer(context, answer, ending);
        const auto client =
            std::move(*Platform::StoreClient::create(context, peer.address(), absl::Seconds(2)));
        std::optional<bool> result;
        call(*client, [&result](bool isTaken) { result = isTaken; });
        while (!result)
            context.run_one();
        return *result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCutAnswersOfStore);

} // namespace Wisteria
