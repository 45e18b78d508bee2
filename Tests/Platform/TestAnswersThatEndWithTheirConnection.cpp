// End-to-end tests of engines whose answers have neither a length nor chunks: whole ones, and those that the
// end of the engine or of the connection breaks off. An engine that had started again at its address when the
// gateway looked counted as still running, so that half an answer was delivered as a whole one.

#include "FakeDeployment.h"

#include <Support/FakeClosingPeer.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

namespace detail {

const std::string plainHead = "HTTP/1.1 200 OK\r\nEngine-Seal: seal\r\n\r\n";
const std::string streamHead =
    "HTTP/1.1 200 OK\r\nEngine-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n";

constexpr const char *statusCheck = "GET /health ";
const std::string fullEngine = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

std::string statusOf(const std::string &engine, const std::string &status = "200 OK",
                     const std::string &body = "")
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\nInstance-Id: ", engine, "\r\nContent-Length: ", body.size(),
                        "\r\n\r\n", body);
}

} // namespace detail

class TestAnswersThatEndWithTheirConnection : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestAnswersThatEndWithTheirConnection);
    CPPUNIT_TEST(wholeStreamIsDelivered);
    CPPUNIT_TEST(streamThatEndsAfterItsHeadIsRepeated);
    CPPUNIT_TEST(streamThatEndsInsideAnEventIsResumed);
    CPPUNIT_TEST(streamThatIsResetBetweenEventsIsResumed);
    CPPUNIT_TEST(streamOfEngineThatEndsBetweenEventsIsResumed);
    CPPUNIT_TEST(engineThatEndsInAnAnswerCountsAgainstItsParts);
    CPPUNIT_TEST(wholePlainAnswerIsDelivered);
    CPPUNIT_TEST(plainAnswerThatIsResetIsNotDelivered);
    CPPUNIT_TEST(plainAnswerOfEngineThatEndsIsNotDelivered);
    CPPUNIT_TEST(plainAnswerOfEngineThatStartedAgainIsNotDelivered);
    CPPUNIT_TEST(streamOfEngineThatStartedAgainIsResumed);
    CPPUNIT_TEST(wholeAnswerOfEngineThatSaysWhichItIsIsDelivered);
    CPPUNIT_TEST(wholeAnswerOfFullEngineIsDeliveredOnceItSaysWhichItIs);
    CPPUNIT_TEST(plainAnswerBeforeAnUnreadUploadIsNotDelivered);
    CPPUNIT_TEST(errorAfterAStreamBeganIsNotSent);
    CPPUNIT_TEST(rejectionIsNotExecuted);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        m_peer.reset();
        FakeDeployment::tearDown();
    }

    void wholeStreamIsDelivered()
    {
        replaceEngine("llm-0", detail::streamHead + m_engineState.completeStream(), FakeEnding::Close);
        expectWholeStream();
        CPPUNIT_ASSERT(m_engineState.runsByRequest.empty());
    }

    void streamThatEndsAfterItsHeadIsRepeated()
    {
        for (const auto ending : {FakeEnding::Close, FakeEnding::Reset, FakeEnding::CloseWithProcess}) {
            replaceEngine("llm-0", detail::streamHead, ending);
            expectWholeStream();
        }
    }

    void streamThatEndsInsideAnEventIsResumed()
    {
        for (const auto ending : {FakeEnding::Close, FakeEnding::Reset, FakeEnding::CloseWithProcess}) {
            replaceEngine("llm-0", detail::streamHead + beginOfStream(5) + "id: 6\nda", ending);
            expectWholeStream();
            // It may work on.
            CPPUNIT_ASSERT(m_peer->controlRequestCount() > 0 || ending == FakeEnding::CloseWithProcess);
        }
    }

    void streamThatIsResetBetweenEventsIsResumed()
    {
        replaceEngine("llm-0", detail::streamHead + beginOfStream(5), FakeEnding::Reset);
        expectWholeStream();
    }

    // The connection ends as that of a whole stream does, but nothing listens at the engine's address.
    void streamOfEngineThatEndsBetweenEventsIsResumed()
    {
        replaceEngine("llm-0", detail::streamHead + beginOfStream(5), FakeEnding::CloseWithProcess);
        expectWholeStream();
    }

    // The end of such an answer is no sign that the engine lives on.
    void engineThatEndsInAnAnswerCountsAgainstItsParts()
    {
        m_prompt = "9:100,77:20";
        for (const auto &bytes : {detail::streamHead, detail::streamHead + beginOfStream(2)}) {
            replaceEngine("llm-0", bytes, FakeEnding::CloseWithProcess);
            m_engineState.eventInterval = std::chrono::milliseconds(100);
            HttpResponse response;
            bool isDone = false;
            startCall("POST", "/stream/x", absl::StrCat("r", m_calls++), "key", response, isDone);
            CPPUNIT_ASSERT(runUntil([&] { return m_peer->requestCount() > 0; }));
            m_context->run_for(std::chrono::milliseconds(300));
            const auto metrics = call("GET", "/metrics", "").body;
            CPPUNIT_ASSERT(metrics.find("wisteria_target_ends_with_suspects_total 1") != std::string::npos);
            CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
            CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
        }
    }

    void wholePlainAnswerIsDelivered()
    {
        replaceEngine("app-0", detail::plainHead + "whole", FakeEnding::Close);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), call("POST", "/book/x", "r").body);
        CPPUNIT_ASSERT_EQUAL(1, m_peer->requestCount());
    }

    void plainAnswerThatIsResetIsNotDelivered()
    {
        replaceEngine("app-0", detail::plainHead + "whole", FakeEnding::Reset);
        const auto repeated = call("GET", "/look/x", "r1");
        CPPUNIT_ASSERT_EQUAL(std::string("answer of r1"), repeated.body);
        replaceEngine("app-0", detail::plainHead + "whole", FakeEnding::Reset);
        CPPUNIT_ASSERT_EQUAL(502, call("POST", "/book/x", "r2").head.status);
        CPPUNIT_ASSERT(!m_engineState.runsByRequest.contains("r2"));
    }

    // The end of the process closes the connection like the end of an answer.
    void plainAnswerOfEngineThatEndsIsNotDelivered()
    {
        replaceEngine("app-0", detail::plainHead + "half", FakeEnding::CloseWithProcess);
        CPPUNIT_ASSERT_EQUAL(std::string("answer of r1"), call("GET", "/look/x", "r1").body);
        replaceEngine("app-0", detail::plainHead + "half", FakeEnding::CloseWithProcess);
        CPPUNIT_ASSERT_EQUAL(502, call("POST", "/book/x", "r2").head.status);
        CPPUNIT_ASSERT(!m_engineState.runsByRequest.contains("r2"));
    }

    void plainAnswerOfEngineThatStartedAgainIsNotDelivered()
    {
        useStatusChecks();
        for (const auto &status :
             {detail::statusOf("app-9"), detail::statusOf("app-0", "200 OK", R"({"born": 77})")}) {
            replaceEngine("app-0", detail::plainHead + "half", FakeEnding::Close);
            m_peer->setControlRequest(detail::statusCheck, status);
            CPPUNIT_ASSERT_EQUAL(502, call("POST", "/book/x", absl::StrCat("r", m_calls++)).head.status);
            CPPUNIT_ASSERT_EQUAL(1, m_peer->requestCount());
            CPPUNIT_ASSERT_EQUAL(1, m_peer->controlRequestCount());
        }
        CPPUNIT_ASSERT(m_engineState.runsByRequest.empty());
    }

    void streamOfEngineThatStartedAgainIsResumed()
    {
        useStatusChecks();
        replaceEngine("llm-0", detail::streamHead + beginOfStream(5), FakeEnding::Close);
        m_peer->setControlRequest(detail::statusCheck, detail::statusOf("llm-9"));
        expectWholeStream();
    }

    void wholeAnswerOfEngineThatSaysWhichItIsIsDelivered()
    {
        useStatusChecks();
        for (const auto &status : {detail::statusOf("app-0"), detail::statusOf("app-0", "503 Draining")}) {
            replaceEngine("app-0", detail::plainHead + "whole", FakeEnding::Close);
            m_peer->setControlRequest(detail::statusCheck, status);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"),
                                 call("POST", "/book/x", absl::StrCat("r", m_calls++)).body);
            CPPUNIT_ASSERT_EQUAL(1, m_peer->controlRequestCount());
        }
        replaceEngine("llm-0", detail::streamHead + m_engineState.completeStream(), FakeEnding::Close);
        m_peer->setControlRequest(detail::statusCheck, detail::statusOf("llm-0"));
        expectWholeStream();
        CPPUNIT_ASSERT(m_engineState.runsByRequest.empty());
    }

    void wholeAnswerOfFullEngineIsDeliveredOnceItSaysWhichItIs()
    {
        useStatusChecks();
        replaceEngine("app-0", detail::plainHead + "whole", FakeEnding::Close);
        m_peer->setControlRequest(detail::statusCheck, detail::fullEngine);
        HttpResponse response;
        bool isDone = false;
        startCall("POST", "/book/x", "r", "key", response, isDone);
        CPPUNIT_ASSERT(runUntil([&] { return m_peer->controlRequestCount() > 0; }));
        m_peer->setControlRequest(detail::statusCheck, detail::statusOf("app-0"));
        CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.body);
    }

    // The engine answers early and closes; its machine resets the connection for the bytes that it left
    // unread.
    void plainAnswerBeforeAnUnreadUploadIsNotDelivered()
    {
        for (const auto ending : {FakeEnding::Close, FakeEnding::HalfCloseThenClose}) {
            for (const std::size_t bytes : {std::size_t{100} << 10U, std::size_t{4} << 20U}) {
                replaceEngine("app-0", detail::plainHead + "half", ending);
                HttpResponse response;
                bool isDone = false;
                startCall("POST", "/book/x", absl::StrCat("r", m_calls++), "key", response, isDone,
                          std::string(bytes, 'x'));
                CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
                CPPUNIT_ASSERT_EQUAL(502, response.head.status);
                CPPUNIT_ASSERT_EQUAL(1, m_peer->requestCount());
            }
        }
    }

    // Neither does the error stand in the stream, nor does the stream look complete.
    void errorAfterAStreamBeganIsNotSent()
    {
        for (const auto mode :
             {FakeEngineMode::Failing, FakeEngineMode::Overloaded, FakeEngineMode::LosingStreams}) {
            for (const auto ending : {FakeEnding::Reset, FakeEnding::CloseWithProcess}) {
                replaceEngine("llm-0", detail::streamHead + beginOfStream(2), ending);
                setModes("llm", mode);
                HttpResponse response;
                bool isDone = false;
                startCall("POST", "/stream/x", absl::StrCat("r", m_calls++), "key", response, isDone);
                CPPUNIT_ASSERT(runUntil([&] { return isDone; }));
                // The call has failed: its answer was cut.
                CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 0, response.head.status);
                setModes("llm", FakeEngineMode::Healthy);
            }
        }
    }

    void rejectionIsNotExecuted()
    {
        for (const auto *status : {"429 Too Many", "503 Full"}) {
            for (const auto ending : {FakeEnding::Close, FakeEnding::Reset}) {
                replaceEngine("app-0",
                              absl::StrCat("HTTP/1.1 ", status, "\r\nNot-Executed: full\r\n\r\nno room"),
                              ending);
                const auto id = absl::StrCat("r", m_calls++);
                CPPUNIT_ASSERT_EQUAL("answer of " + id, call("POST", "/book/x", id).body);
                CPPUNIT_ASSERT_EQUAL(1, m_peer->requestCount());
            }
        }
    }

private:
    // The targets of all services say which process they are.
    void useStatusChecks()
    {
        auto configuration = fakeConfiguration(1);
        for (auto &it : configuration["services"])
            it["healthPath"] = "/health";
        m_store->put("config", "main", configuration);
    }

    // Starts a gateway that sends its next request of the service to the peer.
    void replaceEngine(const std::string &id, const std::string &answer, FakeEnding ending)
    {
        endRouter(m_gateway, m_client);
        m_peer = std::make_unique<FakeClosingPeer>(*m_context, answer, ending);
        m_peer->setControlRequest(fakeMoveRequest);
        m_engines[id]->setPublishedAddress(m_peer->address());
        m_store->put("servers", id, m_engines[id]->storeRecord());
        startGateway();
        preferEngine(id);
    }

    void expectWholeStream()
    {
        const auto response = call("POST", "/stream/x", absl::StrCat("r", m_calls++));
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), response.body);
        CPPUNIT_ASSERT_EQUAL(1, m_peer->requestCount());
    }

    [[nodiscard]] std::string beginOfStream(int events) const
    {
        auto state = m_engineState;
        state.eventsPerStream = events;
        return state.completeStream();
    }

    std::unique_ptr<FakeClosingPeer> m_peer;
    int m_calls{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAnswersThatEndWithTheirConnection);

} // namespace Wisteria
