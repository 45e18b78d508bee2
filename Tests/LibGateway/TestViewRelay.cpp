// Views passed between routers, over real connections on loopback.

#include "FakeViews.h"

#include <LibGateway/ViewRelay.h>
#include <LibNet/Compression.h>
#include <LibNet/HttpServer.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace Wisteria {

namespace detail {

// Another router: a view of its own, and the answers to calls for it.
class PeerRouter final : private HttpRequestHandler
{
public:
    PeerRouter(boost::asio::io_context &context, DirectoryKind kind, std::string name)
        : m_host(kind),
          m_relay(context, m_host.view, std::move(name), absl::Seconds(1), m_host.log, m_host.random)
    {
        boost::asio::ip::tcp::acceptor probe(context, {boost::asio::ip::address_v4::loopback(), 0});
        m_member.peerAddress = absl::StrCat("127.0.0.1:", probe.local_endpoint().port());
        m_member.id = RouterId("peer");
        probe.close();
        m_server = std::move(*HttpServer::create(context, *Address::parse(m_member.peerAddress), *this, {}));
    }

    [[nodiscard]] ViewHost &host() { return m_host; }
    [[nodiscard]] const RouterRegistry::Member &member() const { return m_member; }
    // Calls are taken and never answered.
    void setMute(bool isMute) { m_isMute = isMute; }
    [[nodiscard]] int calls() const { return m_calls; }

private:
    void handleRequest(const std::shared_ptr<HttpServerConnection> &caller, HttpRequest request) override
    {
        ++m_calls;
        const auto target = request.target();
        const auto view = ViewRelay::readRequest({target.data(), target.size()});
        if (!m_isMute && view && view->view == m_relay.name())
            caller->respond(m_relay.responseFor(view->after));
        else
            m_held.push_back(caller);
    }

    ViewHost m_host;
    ViewRelay m_relay;
    RouterRegistry::Member m_member;
    std::unique_ptr<HttpServer> m_server;
    std::vector<std::shared_ptr<HttpServerConnection>> m_held;
    bool m_isMute{false};
    int m_calls{0};
};

} // namespace detail

class TestViewRelay : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewRelay);
    CPPUNIT_TEST(changesArrive);
    CPPUNIT_TEST(targetsDoNotWaitForTheConfiguration);
    CPPUNIT_TEST(largeConfigurationIsSmallOnTheWire);
    CPPUNIT_TEST(failedCallIsLoggedAndMadeAgain);
    CPPUNIT_TEST(nothingNewIsAnEmptyAnswer);
    CPPUNIT_TEST(otherPathsAreNotCalls);
    CPPUNIT_TEST(damagedBytesAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void changesArrive()
    {
        detail::PeerRouter peer(m_context, DirectoryKind::Targets, "targets");
        peer.host().store.answerList({{detail::object("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        detail::ViewHost own(DirectoryKind::Targets);
        ViewRelay relay(m_context, own.view, "targets", absl::Seconds(1), own.log, own.random);
        relay.noteRevision(peer.member(), ObjectVersion(1));
        CPPUNIT_ASSERT(runUntil([&] { return own.listener.targets.contains("a"); }));
    }

    // Found by hunt-1fbc-7 on kalpaka-hold-grown (DRAIN): a configuration of 1,724 routes on slow links held
    // up the news of leaving targets, which came in the same answer, for 4.4 s.
    void targetsDoNotWaitForTheConfiguration()
    {
        detail::PeerRouter slow(m_context, DirectoryKind::Configuration, "configuration");
        slow.host().store.answerList({{detail::object("main", 1, 1U)}, ObjectVersion(1)});
        slow.setMute(true);
        detail::PeerRouter peer(m_context, DirectoryKind::Targets, "targets");
        peer.host().store.answerList({{detail::object("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        detail::ViewHost configuration(DirectoryKind::Configuration);
        detail::ViewHost targets(DirectoryKind::Targets);
        ViewRelay large(m_context, configuration.view, "configuration", absl::Seconds(5), configuration.log,
                        configuration.random);
        ViewRelay small(m_context, targets.view, "targets", absl::Seconds(1), targets.log, targets.random);
        large.noteRevision(slow.member(), ObjectVersion(1));
        CPPUNIT_ASSERT(runUntil([&] { return slow.calls() == 1; }));
        small.noteRevision(peer.member(), ObjectVersion(1));
        CPPUNIT_ASSERT(runUntil([&] { return targets.listener.targets.contains("a"); }));
        CPPUNIT_ASSERT(configuration.listener.versions.empty());
    }

    void largeConfigurationIsSmallOnTheWire()
    {
        constexpr int routes = 1724;
        constexpr std::size_t leastRatio = 8;
        nlohmann::json content = nlohmann::json::array();
        for (int n = 0; n < routes; ++n) {
            content.push_back({{"name", absl::StrCat("r-", n)},
                               {"host", "ficu95.example"},
                               {"pathPrefix", absl::StrCat("/lohu", n, "/")},
                               {"kind", "unsafe"},
                               {"timeoutMs", 25000},
                               {"service", "jera89b"}});
        }
        detail::ViewHost own(DirectoryKind::Targets);
        own.store.answerList({{detail::object("large", 1, content)}, ObjectVersion(1)});
        ViewRelay relay(m_context, own.view, "targets", absl::Seconds(1), own.log, own.random);
        const auto answer = relay.responseFor(ObjectVersion());
        CPPUNIT_ASSERT(answer.body.size() * leastRatio < content.dump().size());
        CPPUNIT_ASSERT(expandBytes(answer.body, ViewRelay::maxViewBytes)
                       == own.view.changesAfter(ObjectVersion()).dump());
    }

    void failedCallIsLoggedAndMadeAgain()
    {
        int ends[2];
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends));
        detail::PeerRouter peer(m_context, DirectoryKind::Targets, "targets");
        peer.host().store.answerList({{detail::object("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        peer.setMute(true);
        detail::ViewHost own(DirectoryKind::Targets, ends[1]);
        ViewRelay relay(m_context, own.view, "targets", absl::Milliseconds(100), own.log, own.random);
        relay.noteRevision(peer.member(), ObjectVersion(1));
        m_context.run_for(std::chrono::milliseconds(400));
        own.log.flush();
        char buf[4096];
        const auto n = read(ends[0], buf, sizeof(buf));
        CPPUNIT_ASSERT(n > 0);
        const std::string lines(buf, static_cast<std::size_t>(n));
        CPPUNIT_ASSERT(lines.find("relay_failed") != std::string::npos);
        CPPUNIT_ASSERT(lines.find("no answer in time") != std::string::npos);
        peer.setMute(false);
        relay.noteRevision(peer.member(), ObjectVersion(1));
        CPPUNIT_ASSERT(runUntil([&] { return own.listener.targets.contains("a"); }));
        close(ends[0]);
        close(ends[1]);
    }

    void nothingNewIsAnEmptyAnswer()
    {
        detail::ViewHost own(DirectoryKind::Targets);
        own.store.answerList({{detail::object("a", 5, "1.1.1.1:1")}, ObjectVersion(5)});
        ViewRelay relay(m_context, own.view, "targets", absl::Seconds(1), own.log, own.random);
        CPPUNIT_ASSERT_EQUAL(204, relay.responseFor(ObjectVersion(5)).head.status);
        CPPUNIT_ASSERT_EQUAL(200, relay.responseFor(ObjectVersion(4)).head.status);
    }

    void otherPathsAreNotCalls()
    {
        for (const auto *path : {"/v1/peer/views/", "/v1/peer/views/targets", "/v1/peer/views/targets/x",
                                 "/v1/peer/views/targets/-1", "/book/x"})
            CPPUNIT_ASSERT(!ViewRelay::readRequest(path));
        const auto request = ViewRelay::readRequest("/v1/peer/views/targets/17");
        CPPUNIT_ASSERT(request && request->view == "targets" && request->after == ObjectVersion(17));
    }

    void damagedBytesAreErrors()
    {
        const auto whole = compressBytes(std::string(5000, 'x'));
        CPPUNIT_ASSERT(expandBytes(whole, 5000));
        CPPUNIT_ASSERT(!expandBytes(whole, 4999));
        for (std::size_t n = 0; n < whole.size(); ++n)
            CPPUNIT_ASSERT(!expandBytes(std::string_view(whole).substr(0, n), 5000));
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
