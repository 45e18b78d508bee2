// Generations arrive whole and once, however connections end.

#include <LibCaller/FakeTransport.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace Wisteria {

class TestCompletion : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCompletion);
    CPPUNIT_TEST(goesOnAfterCutAtEachToken);
    CPPUNIT_TEST(goesOnAfterCutInsideEvent);
    CPPUNIT_TEST(goesOnAfterHandOver);
    CPPUNIT_TEST(goesOnAfterStall);
    CPPUNIT_TEST(refusesRepeatedToken);
    CPPUNIT_TEST(refusesSkippedToken);
    CPPUNIT_TEST(refusesForeignGeneration);
    CPPUNIT_TEST(refusesDoneWithoutFinishReason);
    CPPUNIT_TEST(honoursRetryAfter);
    CPPUNIT_TEST(endsOnFinalErrors);
    CPPUNIT_TEST(endsAtDeadline);
    CPPUNIT_TEST(endsWhenRetryBudgetIsSpent);
    CPPUNIT_TEST(stopsWhenUserAsks);
    CPPUNIT_TEST(refusesInvalidUtf8);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t tokens = 12;

    FakeClock m_clock;
    FakeTransport m_transport{m_clock};
    SeededRandom m_random{7};
    RetryPolicy m_retry;
    std::string m_received;
    std::vector<std::uint64_t> m_offsets;

    ErrorOr<Completion> complete(StreamControl control = StreamControl::Continue,
                                 const std::string &prompt = "prompt")
    {
        CallerOptions options{m_transport.entryPoints, FailureDomain("d"), m_retry};
        auto client = CallerClient::create(options, m_transport, m_clock, m_random).value();
        CompletionRequest request{WorkspaceName("w"), ServiceName("s"), prompt, tokens};
        return client->complete(request, [&](const Token &token) {
            m_received += token.text;
            m_offsets.push_back(token.id.offset.value());
            return control;
        });
    }

    static std::string wholeText()
    {
        std::string text;
        for (std::uint64_t i = 0; i < tokens; ++i)
            text += tokenText(i);
        return text;
    }

    void assertWhole(const ErrorOr<Completion> &result)
    {
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT_EQUAL(wholeText(), result->text);
        CPPUNIT_ASSERT_EQUAL(wholeText(), m_received);
        CPPUNIT_ASSERT_EQUAL(tokens, result->tokens);
        CPPUNIT_ASSERT_EQUAL(std::string("length"), result->finishReason);
    }

    void assertFails(ErrorCode code, const ErrorOr<Completion> &result)
    {
        CPPUNIT_ASSERT(!result.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string(errorName(code)), std::string(errorName(result.error().code)));
    }

    void restart()
    {
        m_transport.entryPoints.clear();
        m_received.clear();
        m_offsets.clear();
    }

public:
    void goesOnAfterCutAtEachToken()
    {
        for (std::uint64_t cut = 0; cut <= tokens; ++cut) {
            restart();
            m_transport.script("a", {streamBytes(tokenEvents(0, cut))});
            m_transport.script("b", {streamBytes(tokenEvents(cut, tokens) + finishEvents())});
            auto before = m_transport.work().size();
            assertWhole(complete());
            auto second = m_transport.work().at(before + 1).request;
            CPPUNIT_ASSERT_EQUAL(cut == 0 ? std::string() : "g1/e1/s1/0/" + std::to_string(cut - 1),
                                 headerOf(second, "Last-Event-ID"));
            auto body = nlohmann::json::parse(second.body);
            CPPUNIT_ASSERT_EQUAL(cut > 0, body.contains("received"));
            if (cut > 0)
                CPPUNIT_ASSERT_EQUAL(m_received.substr(0, body["received"].get<std::string>().size()),
                                     body["received"].get<std::string>());
            m_clock.sleepFor(absl::Minutes(1));
        }
    }

    void goesOnAfterCutInsideEvent()
    {
        const auto third = tokenEvent(2);
        for (std::size_t n = 1; n < third.size(); ++n) {
            restart();
            m_transport.script("a", {streamBytes(tokenEvents(0, 2) + third.substr(0, n))});
            m_transport.script("b", {streamBytes(tokenEvents(2, tokens) + finishEvents())});
            assertWhole(complete());
            m_clock.sleepFor(absl::Minutes(1));
        }
    }

    void goesOnAfterHandOver()
    {
        m_transport.script("a", {streamBytes(tokenEvents(0, 5) + "event: handover\ndata: {}\n\n")});
        m_transport.script("b", {streamBytes(tokenEvents(5, tokens) + finishEvents())});
        auto began = m_clock.now();
        auto result = complete();
        assertWhole(result);
        CPPUNIT_ASSERT_EQUAL(1, result->reconnects);
        CPPUNIT_ASSERT(m_clock.now() == began);
    }

    void goesOnAfterStall()
    {
        m_transport.script("a", {stallAfter(m_clock, tokenEvents(0, 5))});
        m_transport.script("b", {streamBytes(tokenEvents(5, tokens) + finishEvents())});
        auto began = m_clock.now();
        assertWhole(complete());
        CPPUNIT_ASSERT(m_clock.now() - began == CallerOptions().streamStallLimit);
    }

    void refusesRepeatedToken()
    {
        m_transport.script("a", {streamBytes(tokenEvents(0, 4) + tokenEvents(3, tokens) + finishEvents())});
        assertFails(ErrorCode::ProtocolViolation, complete());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_offsets.size());
    }

    void refusesSkippedToken()
    {
        m_transport.script("a", {streamBytes(tokenEvents(0, 4) + tokenEvents(5, tokens) + finishEvents())});
        assertFails(ErrorCode::ProtocolViolation, complete());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_offsets.size());
    }

    void refusesForeignGeneration()
    {
        m_transport.script("a", {streamBytes(tokenEvents(0, 4))});
        m_transport.script("b", {streamBytes(tokenEvent(4, "g2") + finishEvents())});
        assertFails(ErrorCode::ProtocolViolation, complete());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_offsets.size());
    }

    void refusesDoneWithoutFinishReason()
    {
        m_transport.script("a", {streamBytes(tokenEvents(0, 4) + "data: [DONE]\n\n")});
        assertFails(ErrorCode::ProtocolViolation, complete());
    }

    void honoursRetryAfter()
    {
        auto refusal =
            answerJson(503, R"({"error":{"type":"overloaded","message":"","retry_after_ms":3000}})");
        m_transport.script("a", {refusal, streamBytes(tokenEvents(0, tokens) + finishEvents())});
        auto began = m_clock.now();
        assertWhole(complete());
        CPPUNIT_ASSERT(m_clock.now() - began >= absl::Seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.work().size());
    }

    void endsOnFinalErrors()
    {
        m_transport.script("a", {answerJson(404, R"({"error":{"type":"unknown_service","message":""}})")});
        assertFails(ErrorCode::UnknownService, complete());
        restart();
        const std::string givenUp =
            "event: error\ndata: {\"error\":{\"type\":\"answer_lost\",\"message\":\"\"}}\n\n";
        m_transport.script("a", {streamBytes(tokenEvents(0, 3) + givenUp)});
        assertFails(ErrorCode::AnswerLost, complete());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_transport.work().size());
    }

    void endsAtDeadline()
    {
        m_transport.script("a", {stallAfter(m_clock, "")});
        auto began = m_clock.now();
        assertFails(ErrorCode::DeadlineExceeded, complete());
        CPPUNIT_ASSERT(m_clock.now() - began <= CompletionRequest().timeout);
    }

    void endsWhenRetryBudgetIsSpent()
    {
        m_retry.maxFailures = 5;
        m_transport.script("a", {loseReply()});
        assertFails(ErrorCode::ConnectionLost, complete());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), m_transport.work().size());
    }

    void stopsWhenUserAsks()
    {
        m_transport.script("a", {streamBytes(tokenEvents(0, tokens) + finishEvents())});
        auto result = complete(StreamControl::Stop);
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), result->tokens);
        CPPUNIT_ASSERT(result->finishReason.empty());
    }

    void refusesInvalidUtf8()
    {
        m_transport.script("a", {streamBytes(tokenEvents(0, tokens) + finishEvents())});
        assertFails(ErrorCode::InvalidRequest, complete(StreamControl::Continue, "\xff\xfe"));
        CPPUNIT_ASSERT(m_transport.work().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCompletion);

} // namespace Wisteria
