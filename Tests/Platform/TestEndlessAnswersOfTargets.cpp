// Targets whose answers never end, fast or slowly, behind a gateway: what callers get, and when.

#include "FakeDeployment.h"

#include <Support/FakeEndlessPeer.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

namespace detail {

const std::string sealedHead = "HTTP/1.1 200 OK\r\nEngine-Seal: seal\r\n";
const std::string streamHead =
    "HTTP/1.1 200 OK\r\nEngine-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string rejectedHead = "HTTP/1.1 503 Full\r\nNot-Executed: full\r\n\r\n";

} // namespace detail

class TestEndlessAnswersOfTargets : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestEndlessAnswersOfTargets);
    CPPUNIT_TEST(idempotentRequestIsRepeatedElsewhere);
    CPPUNIT_TEST(atMostOnceRequestFailsAfterFlood);
    CPPUNIT_TEST(atMostOnceRequestEndsAtItsDeadlineDuringDrip);
    CPPUNIT_TEST(rejectionWithEndlessBodyIsNotExecuted);
    CPPUNIT_TEST(rejectionWithSlowBodyIsNotExecuted);
    CPPUNIT_TEST(eventWithoutEndIsReplaced);
    CPPUNIT_TEST(repeatedEventIsSilence);
    CPPUNIT_TEST(eventsThatGoOnEndAtTheRoutesTimeout);
    CPPUNIT_TEST(otherRequestsAreAnsweredDuringFlood);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        m_peer.reset();
        FakeDeployment::tearDown();
    }

    void idempotentRequestIsRepeatedElsewhere()
    {
        int n = 0;
        for (const auto interval : {floodInterval, dripInterval}) {
            for (const auto &answer : endlessAnswers(detail::sealedHead, interval)) {
                replaceTargets({"app-0"}, answer);
                preferEngine("app-0");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.start, 200,
                                             call("GET", "/look/x", absl::StrCat("r", n++)).head.status);
                CPPUNIT_ASSERT(m_peer->connectionCount() > 0);
                CPPUNIT_ASSERT(runUntil([&] { return m_peer->openConnectionCount() == 0; }));
            }
        }
    }

    void atMostOnceRequestFailsAfterFlood()
    {
        int n = 0;
        for (const auto &answer : endlessAnswers(detail::sealedHead, floodInterval)) {
            replaceTargets({"app-0", "app-1"}, answer);
            const auto begin = monotonicNow();
            const auto response = call("POST", "/book/x", absl::StrCat("r", n++));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.start, 502, response.head.status);
            CPPUNIT_ASSERT(monotonicNow() - begin < absl::Seconds(2));
            CPPUNIT_ASSERT_EQUAL(1, m_peer->connectionCount());
            CPPUNIT_ASSERT(runUntil([&] { return m_peer->openConnectionCount() == 0; }));
        }
    }

    // The target may have run it: there is no second attempt, and the deadline of 3 seconds ends the first.
    void atMostOnceRequestEndsAtItsDeadlineDuringDrip()
    {
        replaceTargets({"app-0", "app-1"}, {"HTTP/1.1 200 ", repeatedPiece("OK"), dripInterval});
        const auto begin = monotonicNow();
        const auto response = call("POST", "/book/x", "r");
        CPPUNIT_ASSERT(response.head.status == 502 || response.head.status == 504);
        CPPUNIT_ASSERT(monotonicNow() - begin < absl::Milliseconds(3300));
        CPPUNIT_ASSERT_EQUAL(1, m_peer->connectionCount());
        CPPUNIT_ASSERT(runUntil([&] { return m_peer->openConnectionCount() == 0; }));
    }

    void rejectionWithEndlessBodyIsNotExecuted()
    {
        assertRejectionIsRepeated({detail::rejectedHead, repeatedPiece("abcd")});
    }

    void rejectionWithSlowBodyIsNotExecuted()
    {
        assertRejectionIsRepeated({detail::rejectedHead, repeatedPiece("abcd"), dripInterval});
    }

    void eventWithoutEndIsReplaced()
    {
        int n = 0;
        for (const auto interval : {floodInterval, dripInterval}) {
            replaceTargets({"llm-0"}, {detail::streamHead + "id: 1\ndata: ", repeatedPiece("a"), interval});
            preferEngine("llm-0");
            const auto response = call("POST", "/stream/x", absl::StrCat("r", n++));
            CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
            CPPUNIT_ASSERT(m_peer->connectionCount() > 0);
            CPPUNIT_ASSERT(runUntil([&] { return m_peer->openConnectionCount() == 0; }));
        }
    }

    void repeatedEventIsSilence()
    {
        const auto stream = m_engineState.completeStream();
        const auto firstEvent = stream.substr(0, stream.find("\n\n") + 2);
        replaceTargets({"llm-0"}, {detail::streamHead, repeatedPiece(firstEvent), dripInterval});
        preferEngine("llm-0");
        CPPUNIT_ASSERT_EQUAL(stream, call("POST", "/stream/x", "r").body);
        CPPUNIT_ASSERT(m_peer->connectionCount() > 0);
        CPPUNIT_ASSERT(runUntil([&] { return m_peer->openConnectionCount() == 0; }));
    }

    // A stream whose numbers go on is a sound one of any length.
    void eventsThatGoOnEndAtTheRoutesTimeout()
    {
        replaceTargets({"llm-0", "llm-1", "llm-2", "llm-3"},
                       {detail::streamHead,
                        [](std::uint64_t n) { return absl::StrCat("id: ", n + 1, "\ndata: a\n\n"); },
                        std::chrono::milliseconds(20)});
        HttpResponse response;
        bool isDone = false;
        const auto begin = monotonicNow();
        startCall("POST", "/stream/x", "r", "key", response, isDone);
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        const auto took = monotonicNow() - begin;
        CPPUNIT_ASSERT_MESSAGE(absl::FormatDuration(took),
                               took > absl::Milliseconds(2800) && took < absl::Milliseconds(3300));
        CPPUNIT_ASSERT_EQUAL(1, m_peer->connectionCount());
        CPPUNIT_ASSERT(runUntil([&] { return m_peer->openConnectionCount() == 0; }));
    }

    void otherRequestsAreAnsweredDuringFlood()
    {
        replaceTargets({"llm-0", "llm-1", "llm-2", "llm-3"},
                       {detail::streamHead, repeatedPiece("id: 1\n\n")});
        HttpResponse response;
        bool isDone = false;
        startCall("POST", "/stream/x", "r", "key", response, isDone);
        CPPUNIT_ASSERT(runUntil([&] { return m_peer->connectionCount() > 0; }));
        for (int n = 0; n < 5; ++n) {
            const auto begin = monotonicNow();
            CPPUNIT_ASSERT_EQUAL(200, call("GET", "/look/x", absl::StrCat("l", n)).head.status);
            CPPUNIT_ASSERT(monotonicNow() - begin < absl::Milliseconds(500));
        }
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
    }

private:
    // Starts a gateway that knows no faults yet, with the peer behind the targets' addresses.
    void replaceTargets(const std::vector<std::string> &ids, const EndlessAnswer &answer)
    {
        endRouter(m_gateway, m_client);
        m_peer = std::make_unique<FakeEndlessPeer>(*m_context, answer);
        for (const auto &id : ids) {
            m_engines[id]->setPublishedAddress(m_peer->address());
            m_store->put("servers", id, m_engines[id]->storeRecord());
        }
        startGateway();
    }

    void assertRejectionIsRepeated(const EndlessAnswer &answer)
    {
        replaceTargets({"app-0"}, answer);
        preferEngine("app-0");
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "/book/x", "r").head.status);
        CPPUNIT_ASSERT(m_peer->connectionCount() > 0);
        CPPUNIT_ASSERT(runUntil([&] { return m_peer->openConnectionCount() == 0; }));
    }

    std::unique_ptr<FakeEndlessPeer> m_peer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEndlessAnswersOfTargets);

} // namespace Wisteria
