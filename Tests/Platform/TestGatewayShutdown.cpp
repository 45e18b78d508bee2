// Planned stops of a gateway: nothing that was read is left without an answer.

#include "FakeDeployment.h"

#include <boost/asio/write.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace Wisteria {

class TestGatewayShutdown : public FakeDeployment
{
    CPPUNIT_TEST_SUITE(TestGatewayShutdown);
    CPPUNIT_TEST(requestOnOpenConnectionAtTheEndOfShutdownIsRefused);
    CPPUNIT_TEST(answerThatIsBeingSentOutlivesTheLastRequest);
    CPPUNIT_TEST(shutdownEndsWhileOwnRecordCannotBeWritten);
    CPPUNIT_TEST(requestTakenLateInAShutdownIsNotCutAtItsEnd);
    CPPUNIT_TEST(shutdownEndsWithinAShortGrace);
    CPPUNIT_TEST_SUITE_END();

public:
    // Callers use open connections until the process is gone. A request that was passed on would be cut.
    void requestOnOpenConnectionAtTheEndOfShutdownIsRefused()
    {
        startGateway();
        setModes("app", FakeEngineMode::Stalled);
        m_gateway->startShutdown();
        runFor(Gateway::stopListeningAfter - absl::Milliseconds(200));
        auto socket = connect();
        runFor(absl::Milliseconds(350));
        send(socket, "r1");
        CPPUNIT_ASSERT(readUntilEnd(socket).rfind("HTTP/1.1 503", 0) == 0);
        CPPUNIT_ASSERT(!m_engineState.runsByRequest.contains("r1"));
    }

    // The caller reads the answer only after the router has no open request any more.
    void answerThatIsBeingSentOutlivesTheLastRequest()
    {
        constexpr std::size_t unsentBytes = std::size_t{256} * 1024;
        m_engineState.answerPadding = kernelCapacity() + unsentBytes;
        startGateway();
        m_gateway->startShutdown();
        runFor(Gateway::stopListeningAfter - absl::Milliseconds(500));
        auto socket = connect();
        send(socket, "r1");
        runFor(absl::Milliseconds(1200));
        CPPUNIT_ASSERT_EQUAL(1, m_engineState.runsByRequest["r1"]);
        CPPUNIT_ASSERT(readUntilEnd(socket).size() > m_engineState.answerPadding);
    }

    // A write that fails after SIGTERM must not stop the checks that end the process.
    void shutdownEndsWhileOwnRecordCannotBeWritten()
    {
        startGateway(Readiness::DontWait);
        m_store->setMode(FakeStoreMode::Unresponsive);
        runFor(absl::Milliseconds(300));
        m_gateway->startShutdown();
        const auto end = monotonicNow() + Gateway::stopListeningAfter + absl::Seconds(1);
        while (!m_context->stopped() && monotonicNow() < end)
            m_context->run_for(std::chrono::milliseconds(10));
        CPPUNIT_ASSERT(m_context->stopped());
    }

    // One slow request keeps the listeners open beyond stopListeningAfter. A request that comes meanwhile and
    // can't be finished within the grace period is refused, not passed on and cut.
    void requestTakenLateInAShutdownIsNotCutAtItsEnd()
    {
        startGateway();
        setStopGrace(absl::Seconds(5));
        setModes("app", FakeEngineMode::Stalled);
        m_gateway->startShutdown();
        runFor(absl::Milliseconds(500));
        auto slow = connect();
        send(slow, "slow");
        runFor(Gateway::stopListeningAfter - absl::Milliseconds(200));
        auto late = connect();
        send(late, "late");
        const auto answer = readUntilEnd(late);
        CPPUNIT_ASSERT_EQUAL(1, m_engineState.runsByRequest["slow"]);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.rfind("HTTP/1.1 503", 0) == 0);
        CPPUNIT_ASSERT(!m_engineState.runsByRequest.contains("late"));
    }

    // The process is killed at the end of its grace period. Half a request keeps it to the last moment.
    void shutdownEndsWithinAShortGrace()
    {
        constexpr absl::Duration grace = absl::Seconds(2);
        startGateway();
        setStopGrace(grace);
        const auto startedAt = monotonicNow();
        m_gateway->startShutdown();
        runFor(absl::Milliseconds(1500));
        auto socket = connect();
        boost::asio::write(socket, boost::asio::buffer(std::string("POST /book/x HTTP/1.1\r\nHost: s")));
        CPPUNIT_ASSERT(runUntil([&] { return m_context->stopped(); }));
        const auto elapsed = monotonicNow() - startedAt;
        CPPUNIT_ASSERT_MESSAGE(absl::FormatDuration(elapsed), elapsed < grace);
    }

private:
    void setStopGrace(absl::Duration grace)
    {
        GatewaySettings settings;
        settings.stopGrace = grace;
        m_gateway->reload(settings);
    }

    void runFor(absl::Duration duration) { m_context->run_for(absl::ToChronoMilliseconds(duration)); }

    boost::asio::ip::tcp::socket connect()
    {
        boost::asio::ip::tcp::socket socket(*m_context);
        socket.connect(*parseEndpoint(m_address));
        return socket;
    }

    // Bytes that the kernel takes for a peer that reads nothing.
    std::size_t kernelCapacity()
    {
        boost::asio::ip::tcp::acceptor acceptor(*m_context, {boost::asio::ip::address_v4::loopback(), 0});
        boost::asio::ip::tcp::socket client(*m_context);
        client.connect(acceptor.local_endpoint());
        auto server = acceptor.accept();
        server.non_blocking(true);
        const std::string piece(std::size_t{64} * 1024, 'x');
        std::size_t total = 0;
        boost::system::error_code ec;
        while (!ec)
            total += server.write_some(boost::asio::buffer(piece), ec);
        return total;
    }

    static void send(boost::asio::ip::tcp::socket &socket, const std::string &id,
                     const std::string &target = "/book/x")
    {
        const auto request = absl::StrCat("POST ", target,
                                          " HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key\r\n"
                                          "Deadline-Ms: 3000\r\nToken-Counts: 1000,140\r\nRequest-Id: ",
                                          id, "\r\nContent-Length: 4\r\n\r\nbody");
        boost::asio::write(socket, boost::asio::buffer(request));
    }

    // Reads until the peer closes or the gateway's event loop ends.
    std::string readUntilEnd(boost::asio::ip::tcp::socket &socket)
    {
        std::string out;
        std::array<char, 65536> buf{};
        boost::system::error_code ec;
        socket.non_blocking(true);
        const auto readAvailable = [&] {
            for (std::size_t n = 1; n > 0;) {
                n = socket.read_some(boost::asio::buffer(buf), ec);
                out.append(buf.data(), n);
            }
            return ec != boost::asio::error::would_block;
        };
        CPPUNIT_ASSERT(runUntil([&] { return readAvailable() || m_context->stopped(); }));
        // If the process is gone, only what the kernel has taken still arrives.
        (void)readAvailable();
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestGatewayShutdown);

} // namespace Wisteria
