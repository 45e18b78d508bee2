// Streams that end in order without what a whole one has: they were completed for the caller, empty or with
// the events so far.

#include "FakeDeployment.h"

#include <Support/FakeClosingPeer.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

namespace detail {

const std::string streamFields =
    "HTTP/1.1 200 OK\r\nEngine-Seal: seal\r\nContent-Type: text/event-stream\r\n";

std::string framedStream(const std::string &body)
{
    return absl::StrCat(streamFields, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

} // namespace detail

class TestStreamsThatEndTooEarly : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestStreamsThatEndTooEarly);
    CPPUNIT_TEST(streamWithoutEventsIsRepeated);
    CPPUNIT_TEST(streamWithoutEventsIsNotCompleted);
    CPPUNIT_TEST(runThatEndsBeforeItsResumePointIsNotCompleted);
    CPPUNIT_TEST(runThatRepeatsAllEventsIsCompleted);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        m_gateway.reset();
        m_first.reset();
        m_second.reset();
        FakeDeployment::tearDown();
    }

    // A generation has at least one event.
    void streamWithoutEventsIsRepeated()
    {
        for (const auto *framing :
             {"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
            endRouter(m_gateway, m_client);
            m_first = startPeer("llm-0", detail::streamFields + framing);
            startGateway();
            preferEngine("llm-0");
            const auto response = call("POST", "/stream/x", absl::StrCat("r", m_calls++));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(framing, m_engineState.completeStream(), response.body);
            CPPUNIT_ASSERT_EQUAL(1, m_first->requestCount());
        }
    }

    void streamWithoutEventsIsNotCompleted()
    {
        m_first = startPeer("llm-0", detail::framedStream(""));
        for (const auto *id : {"llm-1", "llm-2", "llm-3"})
            m_store->remove("servers", id);
        startGateway();
        const auto response = call("POST", "/stream/x", "r");
        CPPUNIT_ASSERT(m_first->requestCount() > 0);
        CPPUNIT_ASSERT_EQUAL(502, response.head.status);
    }

    // It may be of another generation, and it isn't the rest of this one.
    void runThatEndsBeforeItsResumePointIsNotCompleted()
    {
        startWithRuns(5, 3);
        HttpResponse response = call("POST", "/stream/x", "r");
        CPPUNIT_ASSERT_EQUAL(1, m_first->requestCount());
        CPPUNIT_ASSERT(m_second->requestCount() > 0);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 0, response.head.status);
    }

    void runThatRepeatsAllEventsIsCompleted()
    {
        startWithRuns(5, 5);
        CPPUNIT_ASSERT_EQUAL(beginOfStream(5), call("POST", "/stream/x", "r").body);
        CPPUNIT_ASSERT_EQUAL(1, m_second->requestCount());
    }

private:
    std::unique_ptr<FakeClosingPeer> startPeer(const std::string &id, const std::string &answer)
    {
        auto peer = std::make_unique<FakeClosingPeer>(*m_context, answer, FakeEnding::Close);
        peer->setControlRequest(fakeMoveRequest);
        m_engines[id]->setPublishedAddress(peer->address());
        m_store->put("servers", id, m_engines[id]->storeRecord());
        return peer;
    }

    // The first run is cut after some events, and each later one ends in order after others.
    void startWithRuns(int firstEvents, int laterEvents)
    {
        m_first = startPeer("llm-0", detail::streamFields + "\r\n" + beginOfStream(firstEvents) + "id: ");
        m_second = startPeer("llm-1", detail::framedStream(beginOfStream(laterEvents)));
        for (const auto *id : {"llm-2", "llm-3"})
            m_store->remove("servers", id);
        startGateway();
        preferEngine("llm-0");
    }

    [[nodiscard]] std::string beginOfStream(int events) const
    {
        auto state = m_engineState;
        state.eventsPerStream = events;
        return state.completeStream();
    }

    std::unique_ptr<FakeClosingPeer> m_first;
    std::unique_ptr<FakeClosingPeer> m_second;
    int m_calls{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStreamsThatEndTooEarly);

} // namespace Wisteria
