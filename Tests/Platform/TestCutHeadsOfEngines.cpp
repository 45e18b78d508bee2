// Engines that stop in the head of an answer, or between the head and the first byte of its body: callers get
// no success, and a request that must not be repeated reaches one engine.

#include "FakeDeployment.h"

#include <Support/FakeClosingPeer.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

namespace detail {

const std::string sealedHead = "HTTP/1.1 200 OK\r\nEngine-Seal: seal\r\n";
const std::string plainHead = sealedHead + "Content-Length: 5\r\n\r\n";
const std::string earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const std::string streamHead = sealedHead + "Content-Type: text/event-stream\r\n";
const std::string chunkedStreamHead = streamHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string firstChunk = "13\r\nid: 1\ndata: token\n\n\r\n";

constexpr FakeEnding cuts[] = {FakeEnding::Close, FakeEnding::Reset, FakeEnding::HalfClose};

} // namespace detail

class TestCutHeadsOfEngines : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestCutHeadsOfEngines);
    CPPUNIT_TEST(plainAnswerCutAtAnyByteIsNotDelivered);
    CPPUNIT_TEST(plainAnswerCutOnAKeptConnectionIsNotDelivered);
    CPPUNIT_TEST(plainAnswerCutAfterAnInterimOneIsNotDelivered);
    CPPUNIT_TEST(cutIdempotentAnswerIsRepeated);
    CPPUNIT_TEST(streamCutAtAnyByteOfItsHeadIsNotDelivered);
    CPPUNIT_TEST(streamCutBeforeItsFirstEventIsRepeated);
    CPPUNIT_TEST(streamCutInTheHeadsOfItsFirstAndNextRunDoesNotLookComplete);
    CPPUNIT_TEST(rejectionCutInItsHeadIsNoRejection);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        m_gateway.reset();
        m_peer.reset();
        FakeDeployment::tearDown();
    }

    void plainAnswerCutAtAnyByteIsNotDelivered() { checkCutAnswers(detail::plainHead + "whole", 1); }

    void plainAnswerCutOnAKeptConnectionIsNotDelivered()
    {
        startWithPeer({"app-0"}, "app-1");
        for (std::size_t n = 0; n < detail::plainHead.size(); n += 7) {
            for (const auto ending : detail::cuts) {
                m_peer->setAnswerBefore(detail::plainHead + "first");
                m_peer->setAnswer(detail::plainHead.substr(0, n), ending);
                CPPUNIT_ASSERT_EQUAL(std::string("first"), book().body);
                expectNoAnswer(detail::plainHead.substr(0, n));
            }
        }
    }

    void plainAnswerCutAfterAnInterimOneIsNotDelivered()
    {
        const auto answer = detail::earlyHints + detail::plainHead;
        checkCutAnswers(answer, 11);
        startWithPeer({"app-0"}, "app-1");
        m_peer->setAnswer(answer + "whole", FakeEnding::Close);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), book().body);
    }

    void cutIdempotentAnswerIsRepeated()
    {
        for (const std::size_t n : {0, 9, 17, 30, 55, 60}) {
            for (const auto ending : detail::cuts) {
                startWithPeer({"app-0"}, "");
                m_peer->setAnswer((detail::plainHead + "whole").substr(0, n), ending);
                preferEngine("app-0");
                const auto id = absl::StrCat("r", m_calls++);
                CPPUNIT_ASSERT_EQUAL("answer of " + id, call("GET", "/look/x", id).body);
                CPPUNIT_ASSERT_EQUAL(1, m_peer->requestCount());
            }
        }
    }

    // No other engine is there: the head of the caller's answer isn't written before the first event.
    void streamCutAtAnyByteOfItsHeadIsNotDelivered()
    {
        for (std::size_t n = 0; n <= detail::chunkedStreamHead.size(); n += 3) {
            startWithPeer({"llm-0"}, "llm-1,llm-2,llm-3");
            m_peer->setAnswer(detail::chunkedStreamHead.substr(0, n), detail::cuts[n % 3]);
            const auto response = call("POST", "/stream/x", absl::StrCat("r", m_calls++));
            CPPUNIT_ASSERT(m_peer->requestCount() > 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat(n), 502, response.head.status);
            CPPUNIT_ASSERT(fieldValue(response.head.fields, "Engine-Seal").empty());
        }
    }

    void streamCutBeforeItsFirstEventIsRepeated()
    {
        for (const auto &framing : {std::string("\r\n"), std::string("Content-Length: 90\r\n\r\n"),
                                    std::string("Transfer-Encoding: chunked\r\n\r\n"),
                                    std::string("Transfer-Encoding: chunked\r\n\r\n0\r\n")}) {
            for (const auto ending : detail::cuts) {
                startWithPeer({"llm-0"}, "");
                m_peer->setAnswer(detail::streamHead + framing, ending);
                preferEngine("llm-0");
                const auto response = call("POST", "/stream/x", absl::StrCat("r", m_calls++));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(framing, m_engineState.completeStream(), response.body);
                CPPUNIT_ASSERT_EQUAL(1, m_peer->requestCount());
            }
        }
    }

    // The head of the caller's answer has been written when the next run is cut.
    void streamCutInTheHeadsOfItsFirstAndNextRunDoesNotLookComplete()
    {
        for (std::size_t n = 0; n <= detail::chunkedStreamHead.size(); n += 9) {
            startWithPeer({"llm-0"}, "llm-1,llm-2,llm-3");
            m_peer->setAnswer(detail::chunkedStreamHead + detail::firstChunk, FakeEnding::Reset);
            HttpResponse response;
            bool isDone = false;
            startCall("POST", "/stream/x", absl::StrCat("r", m_calls++), "key", response, isDone);
            CPPUNIT_ASSERT(runUntil([&] { return m_peer->requestCount() == 1; }));
            m_peer->setAnswer(detail::chunkedStreamHead.substr(0, n), detail::cuts[n % 3]);
            CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat(n), 0, response.head.status);
        }
    }

    // Without the whole head, the request may have run.
    void rejectionCutInItsHeadIsNoRejection()
    {
        const std::string head = "HTTP/1.1 503 Full\r\nNot-Executed: full\r\nRetry-After: 1\r\n\r\n";
        for (std::size_t n = 0; n < head.size(); n += 3) {
            startWithPeer({"app-0"}, "app-1");
            m_peer->setAnswer(head.substr(0, n), detail::cuts[n % 3]);
            expectNoAnswer(head.substr(0, n));
        }
    }

private:
    // A gateway that has the peer at the address of some engines, and doesn't know the removed ones.
    void startWithPeer(const std::vector<std::string> &replaced, const std::string &removed)
    {
        endRouter(m_gateway, m_client);
        m_peer = std::make_unique<FakeClosingPeer>(*m_context, "", FakeEnding::Close);
        m_peer->setControlRequest(fakeMoveRequest);
        for (const auto &[id, engine] : m_engines) {
            if (removed.find(id) != std::string::npos)
                m_store->remove("servers", id);
        }
        for (const auto &id : replaced) {
            m_engines[id]->setPublishedAddress(m_peer->address());
            m_store->put("servers", id, m_engines[id]->storeRecord());
        }
        startGateway();
    }

    HttpResponse book() { return call("POST", "/book/x", absl::StrCat("r", m_calls++)); }

    // The request reaches the engine once, and its failure is the gateway's own.
    void expectNoAnswer(const std::string &bytes)
    {
        const int before = m_peer->requestCount();
        const auto response = book();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, before + 1, m_peer->requestCount());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, 502, response.head.status);
        CPPUNIT_ASSERT(fieldValue(response.head.fields, "Engine-Seal").empty());
    }

    void checkCutAnswers(const std::string &answer, std::size_t step)
    {
        startWithPeer({"app-0"}, "app-1");
        for (std::size_t n = 0; n < answer.size(); n += step) {
            for (const auto ending : detail::cuts) {
                m_peer->setAnswer(answer.substr(0, n), ending);
                expectNoAnswer(answer.substr(0, n));
            }
        }
    }

    std::unique_ptr<FakeClosingPeer> m_peer;
    int m_calls{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCutHeadsOfEngines);

} // namespace Wisteria
