// At-most-once calls: which router sees which key, and the three truthful outcomes. Discovery besides.

#include <LibCaller/FakeTransport.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestCalls : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCalls);
    CPPUNIT_TEST(usesTicketOfItsRouter);
    CPPUNIT_TEST(dropsTicketThatWasNeverSent);
    CPPUNIT_TEST(keepsTicketAfterFirstByte);
    CPPUNIT_TEST(takesNewTicketAfterNotRun);
    CPPUNIT_TEST(saysUnknownAtDeadline);
    CPPUNIT_TEST(saysNotRunWhenNothingWasSent);
    CPPUNIT_TEST(refusalDoesNotHideEarlierAttempt);
    CPPUNIT_TEST(finalNotRunIsNotRetried);
    CPPUNIT_TEST(keepsCallersOwnKey);
    CPPUNIT_TEST(sendsNoKeyForIdempotentCalls);
    CPPUNIT_TEST(asksAgainAfterLifetime);
    CPPUNIT_TEST(seedsAreTheLastResort);
    CPPUNIT_TEST_SUITE_END();

    const std::string m_ran = R"({"outcome":"ran","status":200,"result":{"seat":4}})";
    const std::string m_draining =
        R"({"outcome":"not_run","error":{"type":"draining","message":"","retry_after_ms":100}})";
    const std::string m_unknown =
        R"({"outcome":"unknown","error":{"type":"deadline_exceeded","message":"","retry_after_ms":100}})";

    FakeClock m_clock;
    FakeTransport m_transport{m_clock};
    SeededRandom m_random{7};
    ServiceCall m_request{WorkspaceName("w"), ServiceName("booking"), "book", "{}"};

    CallResult call()
    {
        CallerOptions options{m_transport.entryPoints};
        auto client = CallerClient::create(options, m_transport, m_clock, m_random).value();
        return client->call(m_request);
    }

    std::string keyOf(std::size_t n) const
    {
        return headerOf(m_transport.work().at(n).request, "Idempotency-Key");
    }

    void assertRan(const CallResult &result)
    {
        CPPUNIT_ASSERT(std::holds_alternative<CallRan>(result));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"seat":4})"), std::get<CallRan>(result).result);
    }

public:
    void usesTicketOfItsRouter()
    {
        m_transport.script("a", {answerJson(200, m_ran)});
        assertRan(call());
        CPPUNIT_ASSERT_EQUAL(std::string("ticket-a-1"), keyOf(0));
    }

    void dropsTicketThatWasNeverSent()
    {
        m_transport.script("a", {refuseConnection()});
        m_transport.script("b", {answerJson(200, m_ran)});
        assertRan(call());
        CPPUNIT_ASSERT_EQUAL(std::string("ticket-a-1"), keyOf(0));
        CPPUNIT_ASSERT_EQUAL(std::string("ticket-b-2"), keyOf(1));
    }

    void keepsTicketAfterFirstByte()
    {
        m_transport.script("a", {loseReply()});
        m_transport.script("b", {answerJson(504, m_unknown), answerJson(200, m_ran)});
        assertRan(call());
        CPPUNIT_ASSERT(m_transport.work().size() >= 3);
        for (std::size_t n = 0; n < m_transport.work().size(); ++n) {
            CPPUNIT_ASSERT_EQUAL(std::string("ticket-a-1"), keyOf(n));
            CPPUNIT_ASSERT_EQUAL(std::to_string(n + 1),
                                 headerOf(m_transport.work().at(n).request, "Wisteria-Attempt"));
        }
    }

    void takesNewTicketAfterNotRun()
    {
        m_transport.script("a", {loseReply(), answerJson(503, m_draining)});
        m_transport.script("b", {answerJson(503, m_draining), answerJson(200, m_ran)});
        assertRan(call());
        CPPUNIT_ASSERT_EQUAL(std::string("ticket-a-1"), keyOf(0));
        CPPUNIT_ASSERT_EQUAL(std::string("ticket-a-1"), keyOf(1));
        CPPUNIT_ASSERT(keyOf(2) != keyOf(1));
    }

    void saysUnknownAtDeadline()
    {
        m_transport.script("a", {stallAfter(m_clock, "")});
        auto began = m_clock.now();
        auto result = call();
        CPPUNIT_ASSERT(std::holds_alternative<CallUnknown>(result));
        CPPUNIT_ASSERT_EQUAL(std::string("ticket-a-1"), std::get<CallUnknown>(result).key->value());
        CPPUNIT_ASSERT(m_clock.now() - began <= m_request.timeout);
    }

    void saysNotRunWhenNothingWasSent()
    {
        m_transport.script("a", {refuseConnection()});
        CPPUNIT_ASSERT(std::holds_alternative<CallNotRun>(call()));
    }

    void refusalDoesNotHideEarlierAttempt()
    {
        const std::string refusal = R"({"error":{"type":"unknown_workspace","message":""}})";
        m_transport.script("a", {loseReply(), answerJson(404, refusal)});
        CPPUNIT_ASSERT(std::holds_alternative<CallUnknown>(call()));
        m_transport.entryPoints.clear();
        const std::string notRun = R"({"outcome":"not_run","error":{"type":"unknown_service","message":""}})";
        m_transport.script("a", {loseReply(), answerJson(404, notRun)});
        CPPUNIT_ASSERT(std::holds_alternative<CallUnknown>(call()));
        m_transport.entryPoints.clear();
        m_transport.script("a", {answerJson(404, refusal)});
        CPPUNIT_ASSERT(std::holds_alternative<CallNotRun>(call()));
    }

    void finalNotRunIsNotRetried()
    {
        m_transport.script(
            "a",
            {answerJson(404, R"({"outcome":"not_run","error":{"type":"unknown_service","message":""}})")});
        auto result = call();
        CPPUNIT_ASSERT(std::holds_alternative<CallNotRun>(result));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.work().size());
    }

    void keepsCallersOwnKey()
    {
        m_request.key = IdempotencyKey("mine");
        m_transport.script("a", {refuseConnection()});
        m_transport.script("b", {answerJson(503, m_draining), answerJson(200, m_ran)});
        assertRan(call());
        for (std::size_t n = 0; n < m_transport.work().size(); ++n)
            CPPUNIT_ASSERT_EQUAL(std::string("mine"), keyOf(n));
    }

    void sendsNoKeyForIdempotentCalls()
    {
        m_request.repetition = Repetition::Idempotent;
        m_transport.script("a", {loseReply()});
        m_transport.script("b", {answerJson(200, m_ran)});
        assertRan(call());
        CPPUNIT_ASSERT(keyOf(0).empty() && keyOf(1).empty());
    }

    void asksAgainAfterLifetime()
    {
        m_transport.script("a", {answerJson(200, m_ran)});
        EntryPoints points(m_transport, m_clock, {"a"}, FailureDomain("d"), absl::Seconds(1));
        CPPUNIT_ASSERT(points.choose().has_value());
        CPPUNIT_ASSERT(points.choose().has_value());
        CPPUNIT_ASSERT_EQUAL(1, m_transport.discoveries);
        m_clock.sleepFor(m_transport.lifetime);
        CPPUNIT_ASSERT(points.choose().has_value());
        CPPUNIT_ASSERT_EQUAL(2, m_transport.discoveries);
    }

    void seedsAreTheLastResort()
    {
        m_transport.script("seed", {answerJson(200, m_ran)});
        m_transport.script("a", {answerJson(200, m_ran)});
        m_transport.entryPoints = {"a"};
        EntryPoints points(m_transport, m_clock, {"seed"}, FailureDomain("d"), absl::Seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), points.choose()->address);
        // The known router dies; the seed tells of another one.
        m_transport.script("a", {});
        m_transport.entryPoints = {"b"};
        m_clock.sleepFor(m_transport.lifetime);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), points.choose()->address);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCalls);

} // namespace Wisteria
