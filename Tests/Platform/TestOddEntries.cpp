// Guards against entries of other writers in the store: one that couldn't be read made routers reject all
// lists and watches, so that they stopped following the targets.

#include "FakeHttp.h"

#include <LibCore/Random.h>
#include <LibNet/HttpServer.h>

#include <ObjectDecoder.h>
#include <StoreClient.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

namespace Wisteria {

namespace detail {

// A store with one answer for all calls.
class CannedStore final : public HttpRequestHandler
{
public:
    explicit CannedStore(boost::asio::io_context &context) : m_address(unusedLoopbackAddress())
    {
        m_server = std::move(*HttpServer::create(context, *Address::parse(m_address), *this, {}));
    }

    void handleRequest(const std::shared_ptr<HttpServerConnection> &connection, HttpRequest request) override
    {
        const auto target = request.target();
        targets.emplace_back(target.data(), target.size());
        connection->respond(makeResponse(200, "application/json", body));
    }
    [[nodiscard]] const std::string &address() const { return m_address; }

    std::string body;
    std::vector<std::string> targets;

private:
    std::string m_address;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace detail

class TestOddEntries : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOddEntries);
    CPPUNIT_TEST(unreadableEntryDoesNotSpoilList);
    CPPUNIT_TEST(unreadableEntryDoesNotSpoilWatch);
    CPPUNIT_TEST(unreadableEntryOfKnownNameIsUnusable);
    CPPUNIT_TEST(largeForeignEntryIsNotRead);
    CPPUNIT_TEST(onlyKnownFieldsOfEntriesAreKept);
    CPPUNIT_TEST(numbersOutOfRangeAreInvalid);
    CPPUNIT_TEST(entriesThatLackFieldsAreUnusable);
    CPPUNIT_TEST(entriesWithUnknownFieldsAreSound);
    CPPUNIT_TEST(pageWithoutNamesEndsTheList);
    CPPUNIT_TEST(nameInPathIsEncoded);
    CPPUNIT_TEST(damagedEntriesNeverSpoilOthers);
    CPPUNIT_TEST(damagedAnswersAreHandled);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<boost::asio::io_context>(1);
        m_store = std::make_unique<detail::CannedStore>(*m_context);
        m_client = std::move(
            *Platform::StoreClient::create(*m_context, m_store->address(), absl::Milliseconds(2000)));
    }

    void tearDown() override
    {
        m_client.reset();
        m_store.reset();
        m_context.reset();
    }

    void unreadableEntryDoesNotSpoilList()
    {
        for (const auto &spec : oddSpecs()) {
            const auto batch = list({object("a", sound), object("b", spec), object("c", sound)});
            CPPUNIT_ASSERT_MESSAGE(spec.substr(0, 40), batch);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, batch->objects.size());
            CPPUNIT_ASSERT(m_decoder.target(batch->objects[0]));
            CPPUNIT_ASSERT(!m_decoder.target(batch->objects[1]));
            CPPUNIT_ASSERT(m_decoder.target(batch->objects[2]));
        }
    }

    void unreadableEntryDoesNotSpoilWatch()
    {
        for (const auto &spec : oddSpecs()) {
            const auto batch = watch({event(object("b", spec), false), event(object("c", sound), false),
                                      event(object("d", spec), true)});
            CPPUNIT_ASSERT_MESSAGE(spec.substr(0, 40), batch);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, batch->objects.size());
            CPPUNIT_ASSERT(m_decoder.target(batch->objects[1]));
            CPPUNIT_ASSERT(batch->objects[2].isRemoved);
        }
    }

    // It replaces what was there, so that its target isn't used any more.
    void unreadableEntryOfKnownNameIsUnusable()
    {
        const auto batch = list({object("a", "{\"service\":\"\xff\"}")});
        CPPUNIT_ASSERT(batch && batch->objects.size() == 1 && batch->objects[0].content.is_null());
        CPPUNIT_ASSERT(batch->objects[0].position.revision == ObjectVersion(7));
    }

    void largeForeignEntryIsNotRead()
    {
        std::string strings = "[\"\"";
        while (strings.size() < 1000000)
            strings += ",\"\"";
        const auto batch = list({object("a", sound), object("b", strings + "]")});
        CPPUNIT_ASSERT(batch && batch->objects.size() == 2);
        CPPUNIT_ASSERT(batch->objects[1].content.is_null());
    }

    // Parsed entries of another writer, many times the size of their text, took routers beyond their memory.
    void onlyKnownFieldsOfEntriesAreKept()
    {
        auto spec = nlohmann::json::parse(sound);
        const auto kept = list({object("a", sound)})->objects.at(0).content;
        for (int n = 0; n < 2000; ++n)
            spec["field-" + std::to_string(n)] = {1, 2, 3};
        const auto batch = list({object("a", spec.dump())});
        CPPUNIT_ASSERT(batch && batch->objects.size() == 1);
        CPPUNIT_ASSERT(batch->objects[0].content == kept);
        CPPUNIT_ASSERT(m_decoder.target(batch->objects[0]));
        for (const auto *field : {"service", "address", "zone", "state", "slots", "born"}) {
            for (const auto &odd : {nlohmann::json(std::string(5000, 'x')), nlohmann::json::array({1, 2})}) {
                auto spoiled = nlohmann::json::parse(sound);
                spoiled[field] = odd;
                const auto entry = list({object("a", spoiled.dump())})->objects.at(0);
                CPPUNIT_ASSERT_MESSAGE(field, entry.content.dump().size() < 500);
                CPPUNIT_ASSERT_MESSAGE(field, !m_decoder.target(entry));
            }
        }
    }

    void numbersOutOfRangeAreInvalid()
    {
        for (const auto *slots : {"-1", "1e300", "2147483648", "9223372036854775807", "null", "\"6\""})
            CPPUNIT_ASSERT_MESSAGE(slots, !decode(soundExcept("slots", slots)));
        for (const auto *born : {"-1", "1e300", "18446744073709551615", "\"5\""})
            CPPUNIT_ASSERT_MESSAGE(born, !decode(soundExcept("born", born)));
        for (const auto *address :
             {"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:", "127.0.0.1", ":9", "x:9"})
            CPPUNIT_ASSERT_MESSAGE(address,
                                   !decode(soundExcept("address", absl::StrCat("\"", address, "\""))));
        CPPUNIT_ASSERT(decode(sound));
    }

    // Such an entry under the id of a sound engine made it an engine of another service.
    void entriesThatLackFieldsAreUnusable()
    {
        for (const auto *field :
             {"service", "address", "zone", "slots", "state", "version", "sequence", "coldRemainingMs"}) {
            auto spec = nlohmann::json::parse(sound);
            spec.erase(field);
            CPPUNIT_ASSERT_MESSAGE(field, !decode(spec.dump()));
            for (const auto *odd : {"null", "true", "[]", "{}"})
                CPPUNIT_ASSERT_MESSAGE(absl::StrCat(field, " ", odd), !decode(soundExcept(field, odd)));
        }
        for (const auto *field : {"version", "state", "service", "zone"})
            CPPUNIT_ASSERT_MESSAGE(field, !decode(soundExcept(field, "7")));
        for (const auto *field : {"sequence", "coldRemainingMs", "slots"}) {
            CPPUNIT_ASSERT_MESSAGE(field, !decode(soundExcept(field, "\"1\"")));
            CPPUNIT_ASSERT_MESSAGE(field, !decode(soundExcept(field, "-1")));
        }
        CPPUNIT_ASSERT(!decode(soundExcept("born", "5.5")));
        CPPUNIT_ASSERT(!decode(soundExcept("sequence", "5.5")));
        const auto batch = list({object("a", soundExcept("sequence", "\"1\""))});
        CPPUNIT_ASSERT(m_decoder.target(batch->objects.at(0)).error().detail.find("sequence")
                       != std::string::npos);
    }

    // Later versions of targets may say more, and not all say when they started.
    void entriesWithUnknownFieldsAreSound()
    {
        auto spec = nlohmann::json::parse(sound);
        spec["mood"] = {{"a", 1}};
        spec["unusable"] = true;
        spec["coldRemainingMs"] = 812.5;
        CPPUNIT_ASSERT(decode(spec.dump()));
        spec.erase("born");
        CPPUNIT_ASSERT(decode(spec.dump()));
    }

    void pageWithoutNamesEndsTheList()
    {
        m_store->body =
            R"({"items":[{"metadata":{"name":"a"},"spec":1},{"metadata":{"name":5}}],"hasMore":true,"currentRev":9})";
        CPPUNIT_ASSERT(!call());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_store->targets.size());
    }

    void nameInPathIsEncoded()
    {
        m_store->body =
            R"({"items":[{"metadata":{"name":"a&b c/\u00e9"},"spec":1}],"hasMore":true,"currentRev":9})";
        CPPUNIT_ASSERT(!call());
        CPPUNIT_ASSERT_EQUAL(std::string("/-/objects/servers?after=a%26b%20c%2f%c3%a9"),
                             m_store->targets.back());
    }

    // Bytes of a spec are changed, but its brackets and quotes stay balanced.
    void damagedEntriesNeverSpoilOthers()
    {
        SeededRandom random(36);
        for (int n = 0; n < 300; ++n) {
            auto spec = std::string(sound);
            for (std::uint64_t k = 1 + random.below(4); k > 0; --k) {
                auto &c = spec[random.below(spec.size())];
                const auto replacement = static_cast<char>(random.below(256));
                if (!isStructural(c) && !isStructural(replacement))
                    c = replacement;
            }
            const auto batch = list({object("a", sound), object("b", spec), object("c", sound)});
            CPPUNIT_ASSERT_MESSAGE(spec, batch && batch->objects.size() == 3);
            CPPUNIT_ASSERT_MESSAGE(spec, m_decoder.target(batch->objects[0]));
            (void)m_decoder.target(batch->objects[1]);
            CPPUNIT_ASSERT_MESSAGE(spec, m_decoder.target(batch->objects[2]));
        }
    }

    // Any bytes anywhere: nothing but an error or a list may come of it.
    void damagedAnswersAreHandled()
    {
        SeededRandom random(37);
        const auto whole = listBody({object("a", sound), object("b", sound)});
        for (int n = 0; n < 1000; ++n) {
            auto body = whole;
            for (std::uint64_t k = 1 + random.below(6); k > 0; --k)
                body[random.below(body.size())] = static_cast<char>(random.below(256));
            body.resize(body.size() - random.below(body.size() / 2));
            m_store->body = body;
            if (const auto batch = call()) {
                for (const auto &it : batch->objects)
                    (void)m_decoder.target(it);
            }
        }
    }

private:
    static constexpr const char *sound =
        R"({"service":"s","address":"127.0.0.1:9","zone":"z","slots":6,"state":"ready","born":5,"version":"v1","sequence":4,"coldRemainingMs":0})";

    // The value is JSON.
    static std::string soundExcept(const std::string &field, const std::string &value)
    {
        auto spec = nlohmann::json::parse(sound);
        spec[field] = "VALUE";
        auto text = spec.dump();
        const std::string mark = "\"VALUE\"";
        return text.replace(text.find(mark), mark.size(), value);
    }

    static std::vector<std::string> oddSpecs()
    {
        return {"{\"service\":\"\xff\xfe\x80\"}",
                R"({"service":"\udcff"})",
                R"({"slots":1e999})",
                R"({"slots":NaN})",
                R"({"slots":})",
                R"({"a" "b"})",
                "nothing",
                R"({"text":"} ] \" \\"})",
                R"({"address":)" + std::string(120, '[') + std::string(120, ']') + "}",
                std::string(100000, '[') + std::string(100000, ']')};
    }

    static bool isStructural(char c)
    {
        return std::string_view("{}[]\":,\\ \t\r\n").find(c) != std::string_view::npos;
    }

    static std::string object(const std::string &name, const std::string &spec)
    {
        return absl::StrCat(R"({"metadata":{"name":")", name, R"(","revision":7},"spec":)", spec,
                            R"(,"status":{}})");
    }
    static std::string event(const std::string &object, bool isRemoved)
    {
        return absl::StrCat(R"({"object":)", object, R"(,"deleted":)", isRemoved ? "true" : "false", "}");
    }
    static std::string join(const std::vector<std::string> &items)
    {
        std::string out;
        for (const auto &it : items)
            absl::StrAppend(&out, out.empty() ? "" : ",", it);
        return out;
    }
    static std::string listBody(const std::vector<std::string> &objects)
    {
        return absl::StrCat(R"({"items":[)", join(objects), R"(],"hasMore":false,"currentRev":9})");
    }

    ErrorOr<DirectoryBatch> list(const std::vector<std::string> &objects)
    {
        m_store->body = listBody(objects);
        return call();
    }
    ErrorOr<DirectoryBatch> watch(const std::vector<std::string> &events)
    {
        m_store->body = absl::StrCat(R"({"events":[)", join(events), R"(],"currentRev":9})");
        std::optional<ErrorOr<DirectoryBatch>> out;
        m_client->watch(DirectoryKind::Targets, {StoreEra(0), ObjectVersion(1)}, absl::Milliseconds(100),
                        [&](ErrorOr<DirectoryBatch> result) { out = std::move(result); });
        return wait(out);
    }
    ErrorOr<DirectoryBatch> call()
    {
        std::optional<ErrorOr<DirectoryBatch>> out;
        m_client->list(DirectoryKind::Targets,
                       [&](ErrorOr<DirectoryBatch> result) { out = std::move(result); });
        return wait(out);
    }
    ErrorOr<DirectoryBatch> wait(std::optional<ErrorOr<DirectoryBatch>> &out)
    {
        for (int n = 0; n < 4000 && !out; ++n) {
            m_context->restart();
            m_context->run_for(std::chrono::milliseconds(1));
        }
        CPPUNIT_ASSERT(out);
        return std::move(*out);
    }
    [[nodiscard]] bool decode(const std::string &spec)
    {
        const auto batch = list({object("a", spec)});
        return batch && batch->objects.size() == 1 && m_decoder.target(batch->objects[0]);
    }

    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<detail::CannedStore> m_store;
    std::unique_ptr<Platform::StoreClient> m_client;
    Platform::ObjectDecoder m_decoder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOddEntries);

} // namespace Wisteria
