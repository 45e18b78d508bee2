// Replies of another router that are cut at any byte: a call fails or has the whole reply.

#include <LibCore/Address.h>
#include <LibPeer/PeerClient.h>
#include <LibPeer/PeerServer.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <atomic>
#include <limits>
#include <thread>

namespace Wisteria {

namespace detail {

// Answers each forwarded call with the same body.
class AnsweringHandler final : public PeerHandler
{
public:
    ErrorOr<PeerGossip> onGossip(const PeerGossip &) override { return makeError(ErrorCode::Draining); }
    ErrorOr<FleetConfiguration> onFetchConfiguration() override { return makeError(ErrorCode::Draining); }
    ErrorOr<ConfigurationDigest> onPushConfiguration(FleetConfiguration) override
    {
        return makeError(ErrorCode::Draining);
    }
    ErrorOr<ConfigurationDigest> onPoll() override { return makeError(ErrorCode::Draining); }
    ErrorOr<CallAnswer> onForwardedCall(const ForwardedCall &) override
    {
        return CallAnswer{CallOutcome::Ran, 200, "twelve bytes"};
    }
};

// Passes connections on to a server, and closes each one after some bytes of the server's.
class CuttingProxy
{
public:
    CuttingProxy(const std::string &server, std::size_t maxBytes)
        : m_server(boost::asio::ip::make_address("127.0.0.1"),
                   static_cast<std::uint16_t>(Address::parse(server)->port())),
          m_maxBytes(maxBytes), m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0})
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~CuttingProxy()
    {
        m_context.stop();
        m_thread.join();
    }

    [[nodiscard]] std::string address() const
    {
        return absl::StrCat("127.0.0.1:", m_acceptor.local_endpoint().port());
    }
    [[nodiscard]] std::size_t passedBytes() const { return m_passedBytes; }

private:
    struct Link
    {
        explicit Link(boost::asio::ip::tcp::socket it) : caller(std::move(it)), server(caller.get_executor())
        {
        }

        boost::asio::ip::tcp::socket caller;
        boost::asio::ip::tcp::socket server;
        std::array<char, 16384> request{};
        std::array<char, 16384> reply{};
        std::size_t passed{0};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const auto &ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            auto link = std::make_shared<Link>(std::move(socket));
            link->server.connect(m_server);
            passRequest(link);
            passReply(link);
            accept();
        });
    }

    static void passRequest(const std::shared_ptr<Link> &link)
    {
        link->caller.async_read_some(
            boost::asio::buffer(link->request), [link](const auto &ec, std::size_t n) {
                boost::system::error_code failed = ec;
                boost::asio::write(link->server, boost::asio::buffer(link->request.data(), n), failed);
                if (!ec && !failed)
                    passRequest(link);
            });
    }

    void passReply(const std::shared_ptr<Link> &link)
    {
        link->server.async_read_some(
            boost::asio::buffer(link->reply), [this, link](const auto &ec, std::size_t n) {
                n = std::min(n, m_maxBytes - link->passed);
                boost::system::error_code failed = ec;
                boost::asio::write(link->caller, boost::asio::buffer(link->reply.data(), n), failed);
                link->passed += n;
                m_passedBytes = std::max(m_passedBytes.load(), link->passed);
                if (!ec && !failed && link->passed < m_maxBytes) {
                    passReply(link);
                    return;
                }
                boost::system::error_code ignored;
                link->caller.close(ignored);
                link->server.close(ignored);
            });
    }

    boost::asio::io_context m_context{1};
    boost::asio::ip::tcp::endpoint m_server;
    std::size_t m_maxBytes;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_passedBytes{0};
    std::thread m_thread;
};

} // namespace detail

class TestCutReplies : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCutReplies);
    CPPUNIT_TEST(replyCutAtAnyByteIsWholeOrNone);
    CPPUNIT_TEST_SUITE_END();

public:
    void replyCutAtAnyByteIsWholeOrNone()
    {
        detail::AnsweringHandler handler;
        const auto address = unusedAddress();
        const auto server = std::move(*PeerServer::create(address, RouterId("peer"), handler));
        detail::CuttingProxy whole(address, std::numeric_limits<std::size_t>::max());
        CPPUNIT_ASSERT(isWhole(call(whole.address())));
        const auto size = whole.passedBytes();
        CPPUNIT_ASSERT(size > 0);
        int failures = 0;
        for (std::size_t n = 0; n < size; ++n) {
            detail::CuttingProxy proxy(address, n);
            const auto answer = call(proxy.address());
            failures += answer ? 0 : 1;
            CPPUNIT_ASSERT_MESSAGE(absl::StrCat(n), !answer || isWhole(answer));
        }
        CPPUNIT_ASSERT(failures > 0);
        server->stop(absl::ZeroDuration());
    }

private:
    static std::string unusedAddress()
    {
        boost::asio::io_context context(1);
        boost::asio::ip::tcp::acceptor free(context, {boost::asio::ip::address_v4::loopback(), 0});
        return absl::StrCat("127.0.0.1:", free.local_endpoint().port());
    }

    static ErrorOr<CallAnswer> call(const std::string &address)
    {
        ForwardedCall call;
        call.body = "{}";
        call.remaining = absl::Seconds(5);
        return PeerClient::create()->forwardCall(address, call);
    }

    static bool isWhole(const ErrorOr<CallAnswer> &answer)
    {
        return answer && answer->outcome == CallOutcome::Ran && answer->status == 200
            && answer->body == "twelve bytes";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCutReplies);

} // namespace Wisteria
