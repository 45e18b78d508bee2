// The platform's clients against an HTTP server in the same process.

#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/VmDirectory.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include <thread>

namespace Wisteria {

class TestPlatformClients : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlatformClients);
    CPPUNIT_TEST(readsVmList);
    CPPUNIT_TEST(refusesMalformedVmList);
    CPPUNIT_TEST(sendsPreconditions);
    CPPUNIT_TEST(tellsNoEffectFromUnknownOutcome);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_server = std::make_unique<httplib::Server>();
        m_port = m_server->bind_to_any_port("127.0.0.1");
        m_address = "127.0.0.1:" + std::to_string(m_port);
    }

    void tearDown() override
    {
        m_server->stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    void readsVmList()
    {
        answerVms(R"({"vms": [{"target": "e1", "address": "127.0.0.1:1", "state": "live"},
                              {"target": "e2", "address": "127.0.0.1:2", "state": "leaving"}]})");
        auto vms = createHttpVmDirectory(m_address, timeout).value()->list().value();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), vms.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), vms[1].target.value());
        CPPUNIT_ASSERT(!vms[0].leaving);
        CPPUNIT_ASSERT(vms[1].leaving);
    }

    void refusesMalformedVmList()
    {
        answerVms(R"({"vms": [{"state": "live"}]})");
        auto vms = createHttpVmDirectory(m_address, timeout).value()->list();
        CPPUNIT_ASSERT(!vms);
        CPPUNIT_ASSERT(vms.error().code == ErrorCode::ProtocolViolation);
    }

    void sendsPreconditions()
    {
        std::string none;
        std::string match;
        m_server->Put("/v1/objects/k/n", [&](const httplib::Request &in, httplib::Response &out) {
            none = in.get_header_value("If-None-Match");
            match = in.get_header_value("If-Match");
            out.status = match.empty() ? 201 : 412;
            out.set_header("ETag", "\"7\"");
        });
        serve();
        auto store = HttpObjectStore::create(m_address, timeout).value();
        CPPUNIT_ASSERT(store->put("k", "n", "{}", ObjectVersion()).value() == ObjectVersion(7));
        CPPUNIT_ASSERT_EQUAL(std::string("*"), none);
        CPPUNIT_ASSERT(store->put("k", "n", "{}", ObjectVersion(6)).error().code == ErrorCode::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("\"6\""), match);
    }

    void tellsNoEffectFromUnknownOutcome()
    {
        m_server->Put("/v1/objects/k/n",
                      [](const httplib::Request &, httplib::Response &out) { out.status = 500; });
        serve();
        auto store = HttpObjectStore::create(m_address, timeout).value();
        auto answered = store->put("k", "n", "{}", ObjectVersion());
        CPPUNIT_ASSERT(answered.error().code == ErrorCode::StoreOutcomeUnknown);
        m_server->stop();
        m_thread.join();
        auto refused = store->put("k", "n", "{}", ObjectVersion());
        CPPUNIT_ASSERT(refused.error().code == ErrorCode::StoreUnavailable);
    }

private:
    static constexpr absl::Duration timeout = absl::Seconds(20);

    void answerVms(std::string body)
    {
        m_server->Get("/v1/vms", [body = std::move(body)](const httplib::Request &, httplib::Response &out) {
            out.set_content(body, "application/json");
        });
        serve();
    }

    void serve()
    {
        m_thread = std::thread([this] { m_server->listen_after_bind(); });
        while (!m_server->is_running())
            std::this_thread::yield();
    }

    std::unique_ptr<httplib::Server> m_server;
    int m_port{0};
    std::string m_address;
    std::thread m_thread;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlatformClients);

} // namespace Wisteria
