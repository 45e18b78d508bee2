// A verdict on a part of a prompt ended an answer on which a target had written for long, when the answer was
// to be resumed on another target.

#include "FakeDeployment.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestVerdictsOnBegunAnswers : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestVerdictsOnBegunAnswers);
    CPPUNIT_TEST(streamThatHasBeenWrittenForLongIsResumed);
    CPPUNIT_TEST_SUITE_END();

public:
    void streamThatHasBeenWrittenForLongIsResumed()
    {
        startLongStream();
        // No target writes on the prompt, so the verdict isn't withdrawn.
        for (const auto &[id, engine] : m_engines)
            engine->pauseFor(std::chrono::milliseconds(3500));
        m_context->run_for(std::chrono::milliseconds(2500));
        reportEnds();
        CPPUNIT_ASSERT(isBarred());
        m_engines.at("llm-0")->end();
        const auto end = monotonicNow() + absl::Seconds(8);
        while (!m_isDone && monotonicNow() < end)
            m_context->run_for(std::chrono::milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(200, m_response.head.status);
        CPPUNIT_ASSERT_EQUAL(m_engineState.completeStream(), m_response.body);
        m_gateway.reset();
    }

private:
    static constexpr const char *prompt = "5a:200,bad1:900,77:20";

    // Longer than PromptQuarantine::survivalTime.
    void startLongStream()
    {
        auto configuration = fakeConfiguration(2);
        for (auto &it : configuration["routes"])
            it["timeoutMs"] = 15000;
        m_store->put("config", "main", configuration);
        m_callTimeout = std::chrono::milliseconds(15000);
        m_engineState.eventsPerStream = 200;
        m_prompt = prompt;
        startGateway();
        preferEngine("llm-0");
        startCall("POST", "/stream/x", "r1", "key", m_response, m_isDone);
        m_context->run_for(std::chrono::milliseconds(1300));
        CPPUNIT_ASSERT_EQUAL(1, m_engineState.runsByRequest["r1"]);
    }

    // Three targets, unknown here, ended on the first two parts of the prompt, one after the other.
    void reportEnds()
    {
        PromptEvidence evidence;
        for (std::uint64_t n = 1; n <= PromptQuarantine::endsForVerdict; ++n)
            evidence.ends.push_back(
                {.id = TargetEndId(n),
                 .runs = {{{PromptPartId(0x5a), PromptPartId(0xbad1)}, {TargetEndId(n - 1)}}}});
        m_peerRouter->report(m_peerAddress, evidence);
    }

    bool isBarred()
    {
        HttpResponse response;
        bool isDone = false;
        m_prompt = "5a:200,bad1:900,78:20";
        startCall("POST", "/stream/x", "r2", "key", response, isDone);
        return runUntil([&] { return isDone; }) && response.head.status == 503;
    }

    HttpResponse m_response;
    bool m_isDone{false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestVerdictsOnBegunAnswers);

} // namespace Wisteria
