// Passes one view of the store from router to router: the changes after a revision, compressed, in answer to
// a call; and the calls by which this router takes what others have.
//
// Load patterns: a change that all routers but a few watchers learn from each other at the same moment
// (answers are encoded once), and a large view beside a small one (each has its own relay, so that targets
// that leave never wait for a configuration of thousands of routes).

#pragma once

#include <LibForwarding/RouterRegistry.h>
#include <LibGateway/DirectoryView.h>
#include <LibNet/HttpClient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Wisteria {

// A router's call for the changes of a view.
struct ViewRequest
{
    std::string view;
    // Zero asks for all objects.
    ObjectVersion after;
};

class ViewRelay
{
public:
    // Changes come in groups when a failure domain is lost; one call takes them all. Source: a fraction of
    // the two seconds within which a leaving target gets no more work.
    static constexpr absl::Duration pullDelay = absl::Milliseconds(60);
    // Of a view as text. Source: several times the largest value of the store.
    static constexpr std::size_t maxViewBytes = std::size_t{8} << 20U;

    // `name` is the view's name between routers. A call that takes longer than `callTimeout` is given up.
    ViewRelay(boost::asio::io_context &, DirectoryView &, std::string name, absl::Duration callTimeout,
              StructuredLog &, RandomSource &);

    // Empty when the path is no such call.
    [[nodiscard]] static std::optional<ViewRequest> readRequest(std::string_view path);
    [[nodiscard]] const std::string &name() const { return m_name; }
    // 204 when nothing has changed after the revision.
    [[nodiscard]] HttpResponse responseFor(ObjectVersion after);

    // The router said that its view has this revision.
    void noteRevision(const RouterRegistry::Member &, ObjectVersion);
    // Compares the whole view with the other router's.
    void pullFullView(const RouterRegistry::Member &);

private:
    void pull(const RouterRegistry::Member &, ObjectVersion after);
    void handlePullResult(const RouterId &, const HttpCallResult &);
    void logFailure(const RouterId &, std::string_view detail);

    boost::asio::io_context &m_context;
    DirectoryView &m_view;
    std::string m_name;
    absl::Duration m_callTimeout;
    StructuredLog &m_log;
    RandomSource &m_random;
    boost::asio::steady_timer m_timer;
    // The router that was last heard of with a newer view.
    RouterRegistry::Member m_newerPeer;
    // A call to another router is under way or about to begin.
    bool m_isPulling{false};
    // Encoded answers by the revision asked from. Invariant: made at m_encodedRevision.
    std::map<ObjectVersion, std::string> m_encodedResponses;
    ObjectVersion m_encodedRevision;
};

} // namespace Wisteria
