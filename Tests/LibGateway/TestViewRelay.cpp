// Tests the relay of directory views between routers, over connections on loopback.

#include "FakeDirectory.h"

#include <LibGateway/ViewRelay.h>
#include <LibNet/Compression.h>
#include <LibNet/HttpServer.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace Wisteria {

namespace detail {

// Another router that serves its own view to relay calls.
class FakePeerRouter final : private HttpRequestHandler
{
public:
    FakePeerRouter(boost::asio::io_context &context, DirectoryKind kind, std::string name)
        : m_fixture(kind),
          m_relay(context, m_fixture.view, std::move(name), absl::Seconds(1), m_fixture.log, m_fixture.random)
    {
        boost::asio::ip::tcp::acceptor probe(context, {boost::asio::ip::address_v4::loopback(), 0});
        m_member.peerAddress = absl::StrCat("127.0.0.1:", probe.local_endpoint().port());
        m_member.id = RouterId("peer");
        probe.close();
        m_server = std::move(*HttpServer::create(context, *Address::parse(m_member.peerAddress), *this, {}));
    }

    [[nodiscard]] DirectoryViewFixture &fixture() { return m_fixture; }
    [[nodiscard]] const RouterRegistry::Member &member() const { return m_member; }
    // While unresponsive, calls are accepted but get no response.
    void setUnresponsive(bool isUnresponsive) { m_isUnresponsive = isUnresponsive; }
    [[nodiscard]] int calls() const { return m_calls; }

private:
    void handleRequest(const std::shared_ptr<HttpServerConnection> &connection, HttpRequest request) override
    {
        ++m_calls;
        const auto target = request.target();
        const auto view = ViewRelay::readRequest({target.data(), target.size()});
        if (!m_isUnresponsive && view && view->view == m_relay.name())
            connection->respond(m_relay.responseFor(view->after));
        else
            m_unansweredConnections.push_back(connection);
    }

    DirectoryViewFixture m_fixture;
    ViewRelay m_relay;
    RouterRegistry::Member m_member;
    std::unique_ptr<HttpServer> m_server;
    std::vector<std::shared_ptr<HttpServerConnection>> m_unansweredConnections;
    bool m_isUnresponsive{false};
    int m_calls{0};
};

} // namespace detail

class TestViewRelay : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewRelay);
    CPPUNIT_TEST(changesAreFetchedFromPeer);
    CPPUNIT_TEST(configurationRelayDoesNotDelayTargetRelay);
    CPPUNIT_TEST(largeViewIsCompressed);
    CPPUNIT_TEST(failedCallIsLoggedAndRetried);
    CPPUNIT_TEST(viewOfAPeerThatHasNotNoticedARestorationDoesNotEndTheSearch);
    CPPUNIT_TEST(unchangedViewYieldsNoContent);
    CPPUNIT_TEST(invalidPathsAreRejected);
    CPPUNIT_TEST(corruptedDataFailsToDecompress);
    CPPUNIT_TEST_SUITE_END();

public:
    void changesAreFetchedFromPeer()
    {
        detail::FakePeerRouter peer(m_context, DirectoryKind::Targets, "targets");
        peer.fixture().store.completeList(
            {{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        detail::DirectoryViewFixture local(DirectoryKind::Targets);
        ViewRelay relay(m_context, local.view, "targets", absl::Seconds(1), local.log, local.random);
        relay.notePosition(peer.member(), detail::makePosition(1));
        CPPUNIT_ASSERT(runUntil([&] { return local.listener.targets.contains("a"); }));
    }

    // When both views shared one response, transferring a configuration of 1,724 routes over slow links
    // delayed changes of draining targets by 4.4 s.
    void configurationRelayDoesNotDelayTargetRelay()
    {
        detail::FakePeerRouter slow(m_context, DirectoryKind::Configuration, "configuration");
        slow.fixture().store.completeList({{detail::makeObject("main", 1, 1U)}, detail::makePosition(1)});
        slow.setUnresponsive(true);
        detail::FakePeerRouter peer(m_context, DirectoryKind::Targets, "targets");
        peer.fixture().store.completeList(
            {{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        detail::DirectoryViewFixture configuration(DirectoryKind::Configuration);
        detail::DirectoryViewFixture targets(DirectoryKind::Targets);
        ViewRelay large(m_context, configuration.view, "configuration", absl::Seconds(5), configuration.log,
                        configuration.random);
        ViewRelay small(m_context, targets.view, "targets", absl::Seconds(1), targets.log, targets.random);
        large.notePosition(slow.member(), detail::makePosition(1));
        CPPUNIT_ASSERT(runUntil([&] { return slow.calls() == 1; }));
        small.notePosition(peer.member(), detail::makePosition(1));
        CPPUNIT_ASSERT(runUntil([&] { return targets.listener.targets.contains("a"); }));
        CPPUNIT_ASSERT(configuration.listener.versions.empty());
    }

    void largeViewIsCompressed()
    {
        constexpr int routes = 1724;
        constexpr std::size_t minCompressionRatio = 8;
        nlohmann::json content = nlohmann::json::array();
        for (int n = 0; n < routes; ++n) {
            content.push_back({{"name", absl::StrCat("r-", n)},
                               {"host", "ficu95.example"},
                               {"pathPrefix", absl::StrCat("/lohu", n, "/")},
                               {"kind", "unsafe"},
                               {"timeoutMs", 25000},
                               {"service", "jera89b"}});
        }
        detail::DirectoryViewFixture local(DirectoryKind::Targets);
        local.store.completeList({{detail::makeObject("large", 1, content)}, detail::makePosition(1)});
        ViewRelay relay(m_context, local.view, "targets", absl::Seconds(1), local.log, local.random);
        const auto answer = relay.responseFor(StorePosition());
        CPPUNIT_ASSERT(answer.body.size() * minCompressionRatio < content.dump().size());
        CPPUNIT_ASSERT(expandBytes(answer.body, ViewRelay::maxViewBytes)
                       == local.view.changesAfter(StorePosition()).dump());
    }

    void failedCallIsLoggedAndRetried()
    {
        int pipeEnds[2];
        CPPUNIT_ASSERT_EQUAL(0, pipe(pipeEnds));
        detail::FakePeerRouter peer(m_context, DirectoryKind::Targets, "targets");
        peer.fixture().store.completeList(
            {{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        peer.setUnresponsive(true);
        detail::DirectoryViewFixture local(DirectoryKind::Targets, pipeEnds[1]);
        ViewRelay relay(m_context, local.view, "targets", absl::Milliseconds(100), local.log, local.random);
        relay.notePosition(peer.member(), detail::makePosition(1));
        m_context.run_for(std::chrono::milliseconds(400));
        local.log.flush();
        char buf[4096];
        const auto n = read(pipeEnds[0], buf, sizeof(buf));
        CPPUNIT_ASSERT(n > 0);
        const std::string lines(buf, static_cast<std::size_t>(n));
        CPPUNIT_ASSERT(lines.find("relay_failed") != std::string::npos);
        CPPUNIT_ASSERT(lines.find("no answer in time") != std::string::npos);
        peer.setUnresponsive(false);
        relay.notePosition(peer.member(), detail::makePosition(1));
        CPPUNIT_ASSERT(runUntil([&] { return local.listener.targets.contains("a"); }));
        close(pipeEnds[0]);
        close(pipeEnds[1]);
    }

    // A restarted router asked such a peer once, and used an engine that had left.
    void viewOfAPeerThatHasNotNoticedARestorationDoesNotEndTheSearch()
    {
        detail::FakePeerRouter before(m_context, DirectoryKind::Targets, "targets");
        before.fixture().store.completeList(
            {{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(5, 1)});
        detail::FakePeerRouter after(m_context, DirectoryKind::Targets, "targets");
        after.fixture().store.completeList(
            {{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(3, 2)});
        detail::DirectoryViewFixture local(DirectoryKind::Targets);
        local.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(3, 2)});
        ViewRelay relay(m_context, local.view, "targets", absl::Seconds(1), local.log, local.random);
        relay.noteNewerContent(before.member());
        CPPUNIT_ASSERT(runUntil([&] { return before.calls() == 1; }));
        m_context.run_for(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(!relay.hasMergedView());
        relay.noteNewerContent(after.member());
        CPPUNIT_ASSERT(runUntil([&] { return relay.hasMergedView(); }));
    }

    void unchangedViewYieldsNoContent()
    {
        detail::DirectoryViewFixture local(DirectoryKind::Targets);
        local.store.completeList({{detail::makeObject("a", 5, "1.1.1.1:1")}, detail::makePosition(5)});
        ViewRelay relay(m_context, local.view, "targets", absl::Seconds(1), local.log, local.random);
        CPPUNIT_ASSERT_EQUAL(204, relay.responseFor(detail::makePosition(5)).head.status);
        CPPUNIT_ASSERT_EQUAL(200, relay.responseFor(detail::makePosition(4)).head.status);
    }

    void invalidPathsAreRejected()
    {
        for (const auto *path : {"/v1/peer/views/", "/v1/peer/views/targets", "/v1/peer/views/targets/1/x",
                                 "/v1/peer/views/targets/1/-1", "/v1/peer/views/targets/17",
                                 "/v1/peer/views/targets/x/17", "/v1/peer/views/targets/1/2/3", "/book/x"})
            CPPUNIT_ASSERT(!ViewRelay::readRequest(path));
        const auto request = ViewRelay::readRequest("/v1/peer/views/targets/2/17");
        CPPUNIT_ASSERT(request && request->view == "targets"
                       && request->after == detail::makePosition(17, 2));
    }

    void corruptedDataFailsToDecompress()
    {
        const auto compressed = compressBytes(std::string(5000, 'x'));
        CPPUNIT_ASSERT(expandBytes(compressed, 5000));
        CPPUNIT_ASSERT(!expandBytes(compressed, 4999));
        for (std::size_t n = 0; n < compressed.size(); ++n)
            CPPUNIT_ASSERT(!expandBytes(std::string_view(compressed).substr(0, n), 5000));
        CPPUNIT_ASSERT(!expandBytes("no such bytes", 5000));
    }

private:
    bool runUntil(const std::function<bool()> &check)
    {
        const auto end = monotonicNow() + absl::Seconds(5);
        while (!check() && monotonicNow() < end)
            m_context.run_for(std::chrono::milliseconds(10));
        return check();
    }

    boost::asio::io_context m_context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewRelay);

} // namespace Wisteria
