// Replicates one view of the store between routers: serves the changes after a position, compressed, and
// pulls newer changes from other routers. Requests are `GET /v1/peer/views/NAME/ERA/REVISION`.
//
// All routers but a few watchers request the same change at the same moment, so responses are encoded once
// and cached. Each view has its own relay, so that updates of targets never wait for a configuration of
// thousands of routes.

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

// Another router's request for the changes of a view.
struct ViewRequest
{
    std::string view;
    // Revision zero requests all objects.
    StorePosition after;
};

class ViewRelay
{
public:
    // Delay before a pull, so that one request fetches all changes when a failure domain is lost. It must be
    // a fraction of the two seconds after which a leaving target gets no more requests.
    static constexpr absl::Duration pullDelay = absl::Milliseconds(60);
    // Size limit of an uncompressed view; several times the largest value of the store.
    static constexpr std::size_t maxViewBytes = std::size_t{8} << 20U;

    // `name` identifies the view in requests between routers. A request that takes longer than `callTimeout`
    // is cancelled.
    ViewRelay(boost::asio::io_context &, DirectoryView &, std::string name, absl::Duration callTimeout,
              StructuredLog &, RandomSource &);

    // Empty when the path is not a request for a view.
    [[nodiscard]] static std::optional<ViewRequest> readRequest(std::string_view path);
    [[nodiscard]] const std::string &name() const { return m_name; }
    // The status is 204 when nothing changed after the position.
    [[nodiscard]] HttpResponse responseFor(StorePosition after);

    // The router reported this position of its view.
    void notePosition(const RouterRegistry::Member &, StorePosition);
    // The router has newer content that no position tells of.
    void noteNewerContent(const RouterRegistry::Member &);
    [[nodiscard]] bool hasMergedView() const { return m_hasMergedView; }
    // Pulls the other router's full view and merges it.
    void pullFullView(const RouterRegistry::Member &);

private:
    enum class PullScope { Changes, FullView };

    void schedulePull(const RouterRegistry::Member &, PullScope);
    void pull(const RouterRegistry::Member &, StorePosition after);
    void handlePullResult(const RouterId &, const HttpCallResult &);
    void logFailure(const RouterId &, std::string_view detail);

    boost::asio::io_context &m_context;
    DirectoryView &m_view;
    std::string m_name;
    absl::Duration m_callTimeout;
    StructuredLog &m_log;
    RandomSource &m_random;
    boost::asio::steady_timer m_timer;
    // The router that last reported a newer view.
    RouterRegistry::Member m_newerPeer;
    // Another router's view of this view's era, or changes of it, have been merged.
    bool m_hasMergedView{false};
    // A pull is in progress or scheduled.
    bool m_isPulling{false};
    // Encoded responses by the requested position. Invariant: encoded when the view had changed
    // m_encodedChangeCount times and was at m_encodedPosition, none before m_encodedAt.
    std::map<StorePosition, std::string> m_encodedResponses;
    StorePosition m_encodedPosition;
    std::uint64_t m_encodedChangeCount{0};
    absl::Time m_encodedAt{absl::InfinitePast()};
};

} // namespace Wisteria
