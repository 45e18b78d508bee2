// A request that arrives after the start of a planned stop gets its answer or is refused before it has run,
// whatever happens until the process is killed at the end of its grace period.

#include "FakeDeployment.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <thread>

namespace Wisteria {

namespace detail {

// A plain request whose parts the test sends when it wants to, and all that is read on its connection.
class ScriptedRequest
{
public:
    ScriptedRequest(boost::asio::io_context &context, const std::string &address) : m_socket(context)
    {
        m_socket.connect(*parseEndpoint(address));
        boost::asio::async_read(m_socket, boost::asio::dynamic_buffer(m_answer),
                                [this](const auto &, std::size_t) { m_hasEnded = true; });
    }
    void sendHead(const std::string &target, const std::string &id, std::chrono::milliseconds timeout)
    {
        send(absl::StrCat("POST ", target, " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: ", id,
                          "\r\nAuthorization: Bearer key\r\nToken-Counts: 1000,140\r\nDeadline-Ms: ",
                          timeout.count(), "\r\nContent-Length: 4\r\n\r\n"));
    }
    void sendBody() { send("body"); }
    [[nodiscard]] bool hasEnded() const { return m_hasEnded; }
    [[nodiscard]] bool hasStatus(int status) const
    {
        return absl::StartsWith(m_answer, absl::StrCat("HTTP/1.1 ", status, " "));
    }
    [[nodiscard]] const std::string &answer() const { return m_answer; }

private:
    void send(const std::string &bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }

    boost::asio::ip::tcp::socket m_socket;
    std::string m_answer;
    bool m_hasEnded{false};
};

} // namespace detail

class TestRequestsLateInTheGrace : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestRequestsLateInTheGrace);
    CPPUNIT_TEST(shorterGraceOfReloadCutsNoRequest);
    CPPUNIT_TEST(shorterGraceOfReloadTakesFewerRequests);
    CPPUNIT_TEST(longerGraceOfReloadTakesNoMoreRequests);
    CPPUNIT_TEST(secondStopDoesNotExtendTheGrace);
    CPPUNIT_TEST(requestsEndInTimeWhenTheStopIsNoticedLate);
    CPPUNIT_TEST(requestsEndInTimeWhenTheLoopIsHeldUpLate);
    CPPUNIT_TEST(timeOfHalfSentRequestCountsFromItsEnd);
    CPPUNIT_TEST(raisedTimeoutsKeepNoRequestBeyondTheGrace);
    CPPUNIT_TEST(overrunningTargetsLeaveNoRequestWithoutAnswer);
    CPPUNIT_TEST(requestsThatWaitForPermitsAreAnswered);
    CPPUNIT_TEST(graceWithoutRoomTakesNoRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void shorterGraceOfReloadCutsNoRequest()
    {
        startGateway();
        setStopGrace(absl::Seconds(6));
        pauseEngines(std::chrono::milliseconds(1600));
        startStop();
        runUntilGrace(absl::Milliseconds(200));
        const auto request = send("/book/x", "r1", std::chrono::milliseconds(2500));
        runUntilGrace(absl::Milliseconds(400));
        setStopGrace(absl::Seconds(1));
        waitForAnswer(*request);
        CPPUNIT_ASSERT_MESSAGE(request->answer(), request->hasStatus(200));
        CPPUNIT_ASSERT_EQUAL(1, m_engineState.runsByRequest["r1"]);
    }

    // The shorter one may be in force, too.
    void shorterGraceOfReloadTakesFewerRequests()
    {
        startGateway();
        setStopGrace(absl::Seconds(8));
        startStop();
        runUntilGrace(absl::Milliseconds(200));
        setStopGrace(absl::Seconds(2));
        const auto request = send("/book/x", "r1", std::chrono::milliseconds(2500));
        checkRefusedUnrun(*request, "r1");
    }

    // Whoever stops the process has counted the grace since its signal.
    void longerGraceOfReloadTakesNoMoreRequests()
    {
        startGateway();
        setStopGrace(absl::Seconds(2));
        startStop();
        runUntilGrace(absl::Milliseconds(200));
        setStopGrace(absl::Seconds(30));
        const auto request = send("/book/x", "r1", std::chrono::milliseconds(3000));
        checkRefusedUnrun(*request, "r1");
        checkStopsBefore(absl::Seconds(2));
    }

    void secondStopDoesNotExtendTheGrace()
    {
        startGateway();
        setStopGrace(absl::Seconds(2));
        startStop();
        runUntilGrace(absl::Milliseconds(1000));
        m_gateway->startShutdown();
        const auto request = send("/book/x", "r1", std::chrono::milliseconds(1500));
        checkRefusedUnrun(*request, "r1");
        checkStopsBefore(absl::Seconds(2));
    }

    void requestsEndInTimeWhenTheStopIsNoticedLate()
    {
        startGateway();
        setStopGrace(absl::Seconds(2));
        setModes("app", FakeEngineMode::Stalled);
        m_stopSignalAt = monotonicNow();
        holdUpLoop();
        m_gateway->startShutdown();
        checkEndBeforeKill(absl::Seconds(2), {});
    }

    void requestsEndInTimeWhenTheLoopIsHeldUpLate()
    {
        startGateway();
        setStopGrace(absl::Seconds(2));
        setModes("app", FakeEngineMode::Stalled);
        startStop();
        checkEndBeforeKill(absl::Seconds(2), {absl::Milliseconds(1250), absl::Milliseconds(1750)});
    }

    void timeOfHalfSentRequestCountsFromItsEnd()
    {
        startGateway();
        setStopGrace(absl::Seconds(4));
        detail::ScriptedRequest fitting(*m_context, m_address);
        detail::ScriptedRequest late(*m_context, m_address);
        fitting.sendHead("/book/x", "fitting", std::chrono::milliseconds(1500));
        late.sendHead("/book/x", "late", std::chrono::milliseconds(1500));
        runFor(absl::Milliseconds(100));
        startStop();
        runUntilGrace(absl::Milliseconds(1500));
        fitting.sendBody();
        waitForAnswer(fitting);
        CPPUNIT_ASSERT_MESSAGE(fitting.answer(), fitting.hasStatus(200));
        runUntilGrace(absl::Milliseconds(2600));
        late.sendBody();
        checkRefusedUnrun(late, "late");
    }

    void raisedTimeoutsKeepNoRequestBeyondTheGrace()
    {
        startGateway();
        setStopGrace(absl::Seconds(5));
        setModes("app", FakeEngineMode::Stalled);
        startStop();
        runUntilGrace(absl::Milliseconds(200));
        const auto before = send("/book/x", "before", std::chrono::milliseconds(60000));
        runFor(absl::Milliseconds(100));
        auto configuration = fakeConfiguration(2);
        for (auto &it : configuration["routes"])
            it["timeoutMs"] = 60000;
        m_store->put("config", "main", configuration);
        CPPUNIT_ASSERT(runUntil([&] { return configurationVersion() == 2; }));
        const auto after = send("/book/x", "after", std::chrono::milliseconds(60000));
        checkRefusedUnrun(*after, "after");
        waitForAnswer(*before);
        CPPUNIT_ASSERT_MESSAGE(before->answer(), before->hasStatus(504));
        checkStopsBefore(absl::Seconds(5));
    }

    // The answers would come after the requests' time, some of them after the process has ended.
    void overrunningTargetsLeaveNoRequestWithoutAnswer()
    {
        startGateway();
        setStopGrace(absl::Seconds(2));
        pauseEngines(std::chrono::milliseconds(2200));
        startStop();
        std::vector<std::unique_ptr<detail::ScriptedRequest>> requests;
        for (int n = 0; n < 14; ++n) {
            runUntilGrace(n * absl::Milliseconds(100));
            requests.push_back(send(n % 2 == 0 ? "/book/x" : "/look/x", absl::StrCat("r", n),
                                    std::chrono::milliseconds(500)));
        }
        for (const auto &it : requests) {
            waitForAnswer(*it);
            CPPUNIT_ASSERT_MESSAGE(it->answer(), it->hasStatus(504) || it->hasStatus(503));
        }
        checkStopsBefore(absl::Seconds(2));
    }

    // The other router issues the permits.
    void requestsThatWaitForPermitsAreAnswered()
    {
        startGateway();
        const auto issuer = createRouter("g0");
        runFor(RouterRegistry::livenessTimeout + absl::Milliseconds(400));
        setStopGrace(absl::Seconds(3));
        for (const auto &it : m_engines)
            it.second->setLimit("2");
        CPPUNIT_ASSERT(runUntil([&] {
            (void)call("POST", "/book/x", "before");
            return gaugeValue("targets_limited") == 2;
        }));
        startStop();
        std::vector<std::unique_ptr<detail::ScriptedRequest>> requests;
        for (int n = 0; n < 24; ++n) {
            runUntilGrace(n * absl::Milliseconds(100));
            requests.push_back(send("/book/x", absl::StrCat("r", n), std::chrono::milliseconds(900)));
        }
        int answered = 0;
        for (int n = 0; n < static_cast<int>(requests.size()); ++n) {
            const auto &it = *requests[static_cast<std::size_t>(n)];
            waitForAnswer(it);
            const bool hasRun = m_engineState.runsByRequest.contains(absl::StrCat("r", n));
            CPPUNIT_ASSERT_MESSAGE(it.answer(), it.hasStatus(hasRun ? 200 : 503));
            answered += hasRun ? 1 : 0;
        }
        CPPUNIT_ASSERT(answered > 0);
        checkStopsBefore(absl::Seconds(3));
    }

    void graceWithoutRoomTakesNoRequests()
    {
        startGateway();
        setStopGrace(absl::ZeroDuration());
        startStop();
        CPPUNIT_ASSERT(m_context->stopped());
    }

private:
    // How long the loop is held up; less than what requests leave of the grace.
    static constexpr std::chrono::milliseconds holdUp{350};

    void setStopGrace(absl::Duration grace)
    {
        GatewaySettings settings;
        settings.stopGrace = grace;
        m_gateway->reload(settings);
    }

    void startStop()
    {
        m_stopSignalAt = monotonicNow();
        m_gateway->startShutdown();
    }

    void runFor(absl::Duration duration) { m_context->run_for(absl::ToChronoMilliseconds(duration)); }

    void runUntilGrace(absl::Duration elapsed)
    {
        runFor(std::max(m_stopSignalAt + elapsed - monotonicNow(), absl::ZeroDuration()));
    }

    static void holdUpLoop() { std::this_thread::sleep_for(holdUp); }

    void pauseEngines(std::chrono::milliseconds duration)
    {
        for (const auto &it : m_engines)
            it.second->pauseFor(duration);
    }

    std::unique_ptr<detail::ScriptedRequest> send(const std::string &target, const std::string &id,
                                                  std::chrono::milliseconds timeout)
    {
        auto out = std::make_unique<detail::ScriptedRequest>(*m_context, m_address);
        out->sendHead(target, id, timeout);
        out->sendBody();
        return out;
    }

    void waitForAnswer(const detail::ScriptedRequest &request)
    {
        CPPUNIT_ASSERT(runUntil([&] { return request.hasEnded() || m_context->stopped(); }));
        if (m_context->stopped()) {
            // What the process had written before its end still arrives.
            m_context->restart();
            m_context->poll();
            m_context->stop();
        }
    }

    void checkRefusedUnrun(const detail::ScriptedRequest &request, const std::string &id)
    {
        waitForAnswer(request);
        CPPUNIT_ASSERT_MESSAGE(request.answer(), request.hasStatus(503));
        CPPUNIT_ASSERT(!m_engineState.runsByRequest.contains(id));
    }

    void checkStopsBefore(absl::Duration grace)
    {
        CPPUNIT_ASSERT(runUntil([&] { return m_context->stopped(); }));
        CPPUNIT_ASSERT(monotonicNow() < m_stopSignalAt + grace);
    }

    // Requests whose time would end in the last part of the grace. The loop is held up at the given times.
    void checkEndBeforeKill(absl::Duration grace, const std::vector<absl::Duration> &heldUpAt)
    {
        std::vector<std::unique_ptr<detail::ScriptedRequest>> requests;
        runUntilGrace(absl::Milliseconds(500));
        for (int n = 0; n < 12; ++n) {
            const auto left = m_stopSignalAt + grace - monotonicNow() - n * absl::Milliseconds(70);
            requests.push_back(send("/book/x", absl::StrCat("r", n), absl::ToChronoMilliseconds(left)));
        }
        for (const auto &it : heldUpAt) {
            runUntilGrace(it);
            holdUpLoop();
        }
        runUntilGrace(grace);
        for (int n = 0; n < 12; ++n) {
            const auto &it = *requests[static_cast<std::size_t>(n)];
            const bool hasRun = m_engineState.runsByRequest.contains(absl::StrCat("r", n));
            const auto name = absl::StrCat("r", n, hasRun ? " was passed on: " : ": ", it.answer());
            CPPUNIT_ASSERT_MESSAGE(name, it.hasStatus(hasRun ? 504 : 503));
        }
    }

    absl::Time m_stopSignalAt;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestsLateInTheGrace);

} // namespace Wisteria
