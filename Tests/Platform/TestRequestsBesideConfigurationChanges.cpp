// A request that has been read is answered under the configuration that it was read under, whatever the next
// one says. A half sent request gets an answer or a refusal.

#include "FakeDeployment.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>

namespace Wisteria {

namespace detail {

using ConfigurationEdit = std::function<void(nlohmann::json &)>;

// Sends its request in two parts.
class HalfSentRequest
{
public:
    HalfSentRequest(boost::asio::io_context &context, const std::string &address) : m_socket(context)
    {
        m_socket.connect(*parseEndpoint(address));
        const std::string body(bodyBytes, 'x');
        const auto head = absl::StrCat("POST /book/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: "
                                       "half\r\nAuthorization: Bearer key\r\n",
                                       "Deadline-Ms: 3000\r\nX-Padding: ", std::string(headerPadding, 'x'),
                                       "\r\nContent-Length: ", bodyBytes, "\r\n\r\n");
        boost::asio::write(m_socket, boost::asio::buffer(head + body.substr(bodyBytes / 2)));
        boost::asio::async_read_until(m_socket, boost::asio::dynamic_buffer(m_answer), "\r\n\r\n",
                                      [this](const auto &, std::size_t) { m_isDone = true; });
    }
    void sendRest()
    {
        boost::system::error_code ec;
        // A refusal may have closed the connection.
        boost::asio::write(m_socket, boost::asio::buffer(std::string(bodyBytes / 2, 'x')), ec);
    }
    [[nodiscard]] bool isDone() const { return m_isDone; }
    [[nodiscard]] bool isAnswered() const { return absl::StartsWith(m_answer, "HTTP/1.1 "); }

private:
    static constexpr std::size_t bodyBytes = 2000;
    static constexpr std::size_t headerPadding = 1000;

    boost::asio::ip::tcp::socket m_socket;
    std::string m_answer;
    bool m_isDone{false};
};

} // namespace detail

class TestRequestsBesideConfigurationChanges : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestRequestsBesideConfigurationChanges);
    CPPUNIT_TEST(removedRoutesEndNoRequest);
    CPPUNIT_TEST(movedServicesEndNoRequest);
    CPPUNIT_TEST(withdrawnKeyEndsNoRequest);
    CPPUNIT_TEST(shorterTimeoutsEndNoRequest);
    CPPUNIT_TEST(shorterIdleAndHeaderLimitsEndNoRequest);
    CPPUNIT_TEST(longerIdleLimitEndsNoRequest);
    CPPUNIT_TEST(lowerSizeLimitsEndNoRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void removedRoutesEndNoRequest()
    {
        check([](auto &it) { it["routes"] = nlohmann::json::array(); });
    }

    void movedServicesEndNoRequest()
    {
        check([](auto &it) {
            for (auto &route : it["routes"])
                route["service"] = route["service"] == "llm" ? "app" : "llm";
        });
    }

    void withdrawnKeyEndsNoRequest()
    {
        check([](auto &it) { it["tenants"][0]["apiKeys"] = {"key2"}; });
    }

    void shorterTimeoutsEndNoRequest()
    {
        check([](auto &it) {
            for (auto &route : it["routes"])
                route["timeoutMs"] = 100;
        });
    }

    void shorterIdleAndHeaderLimitsEndNoRequest()
    {
        check([](auto &it) { it["limits"] = {{"idleTimeoutMs", 100}, {"headerTimeoutMs", 100}}; });
    }

    void longerIdleLimitEndsNoRequest()
    {
        check([](auto &it) { it["limits"] = {{"idleTimeoutMs", 60000}}; });
    }

    void lowerSizeLimitsEndNoRequest()
    {
        check([](auto &it) { it["limits"] = {{"maxHeaderBytes", 800}, {"maxBodyBytes", 8}}; });
    }

private:
    struct Call
    {
        HttpResponse response;
        bool isDone{false};
    };

    // A stream under way, one that waits for its first event, two plain requests at silent engines and a
    // half sent one meet the change.
    void check(const detail::ConfigurationEdit &edit)
    {
        constexpr std::chrono::milliseconds silence{1800};
        m_engineState.eventsPerStream = 80;
        m_engineState.eventInterval = std::chrono::milliseconds(30);
        m_engineState.prefillTime = std::chrono::milliseconds(300);
        startGateway();
        // The store is watched from a second after the start.
        m_context->run_for(std::chrono::milliseconds(2000));
        std::map<std::string, Call> calls;
        start(calls, "POST", "/stream/x", "running");
        m_context->run_for(std::chrono::milliseconds(500));
        for (const auto *id : {"app-0", "app-1"})
            m_engines.at(id)->pauseFor(silence);
        start(calls, "POST", "/book/x", "unsafe");
        start(calls, "GET", "/look/x", "safe");
        detail::HalfSentRequest half(*m_context, m_address);
        m_context->run_for(std::chrono::milliseconds(100));
        start(calls, "POST", "/stream/x", "prefilling");
        m_context->run_for(std::chrono::milliseconds(100));
        auto configuration = fakeConfiguration(2);
        edit(configuration);
        m_store->put("config", "main", configuration);
        CPPUNIT_ASSERT(runUntil([&] { return configurationVersion() == 2; }));
        CPPUNIT_ASSERT(!calls.at("running").isDone && !calls.at("unsafe").isDone);
        m_context->run_for(std::chrono::milliseconds(150));
        half.sendRest();
        for (const auto &it : calls) {
            CPPUNIT_ASSERT_MESSAGE(it.first, runUntil([&] { return it.second.isDone; }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.first, 200, it.second.response.head.status);
        }
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), calls.at("running").response.body);
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), calls.at("prefilling").response.body);
        CPPUNIT_ASSERT(runUntil([&] { return half.isDone(); }));
        CPPUNIT_ASSERT(half.isAnswered());
    }

    void start(std::map<std::string, Call> &calls, const std::string &method, const std::string &target,
               const std::string &id)
    {
        auto &it = calls[id];
        startCall(method, target, id, "key", it.response, it.isDone);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestsBesideConfigurationChanges);

} // namespace Wisteria
