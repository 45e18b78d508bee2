// A router crashed when the head of a stream without events was the last straw for a caller that read
// nothing.

#include "FakeDeployment.h"

#include <LibNet/HttpClient.h>

#include <boost/asio/write.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestUnreadAnswers : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestUnreadAnswers);
    CPPUNIT_TEST(routerOutlivesAStreamThatItsCallerCannotTake);
    CPPUNIT_TEST_SUITE_END();

public:
    // The caller sends its requests ahead. What the answers leave unsent exceeds the backlog of a stream.
    void routerOutlivesAStreamThatItsCallerCannotTake()
    {
        constexpr int plainAnswers = 4;
        m_engineState.answerPadding = std::size_t{4} * 1000 * 1000;
        m_engineState.eventsPerStream = 0;
        startGateway();
        boost::asio::ip::tcp::socket caller(*m_context);
        caller.connect(*parseEndpoint(m_address));
        std::string requests;
        for (int n = 0; n < plainAnswers; ++n)
            requests += request(absl::StrCat("/look/", n), absl::StrCat("plain-", n));
        requests += request("/stream/x", "r1");
        boost::asio::write(caller, boost::asio::buffer(requests));
        CPPUNIT_ASSERT(runUntil([&] { return m_engineState.runsByRequest.contains("r1"); }));
        m_context->run_for(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(200, call("GET", "/-/ready", "").head.status);
        m_gateway.reset();
    }

private:
    static std::string request(const std::string &target, const std::string &id)
    {
        return absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: ", id,
                            "\r\nAuthorization: Bearer key\r\nDeadline-Ms: 3000\r\n\r\n");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUnreadAnswers);

} // namespace Wisteria
