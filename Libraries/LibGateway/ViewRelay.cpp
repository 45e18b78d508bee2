// HTTP requests between routers for their views.

#include <LibGateway/ViewRelay.h>

#include <LibCore/JsonText.h>
#include <LibCore/Views.h>
#include <LibNet/Compression.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace Wisteria {

namespace detail {

constexpr int statusOk = 200;
constexpr int statusNoContent = 204;
constexpr std::string_view viewsPath = "/v1/peer/views/";
// Routers ask for changes after a few distinct revisions only; the cache is cleared when it exceeds this
// size.
constexpr std::size_t maxEncodedResponses = 8;
// How long a response that contains times may be reused.
constexpr absl::Duration maxEncodedAge = absl::Milliseconds(50);

std::string_view httpFailureName(HttpFailure failure)
{
    switch (failure) {
    case HttpFailure::NotConnected:
        return "not connected";
    case HttpFailure::Refused:
        return "refused";
    case HttpFailure::ConnectionLost:
        return "connection lost";
    case HttpFailure::BadAnswer:
        return "malformed response";
    case HttpFailure::Timeout:
        return "no answer in time";
    }
    return "unknown";
}

} // namespace detail

ViewRelay::ViewRelay(boost::asio::io_context &context, DirectoryView &view, std::string name,
                     absl::Duration callTimeout, StructuredLog &log, RandomSource &random)
    : m_context(context), m_view(view), m_name(std::move(name)), m_callTimeout(callTimeout), m_log(log),
      m_random(random), m_timer(context)
{
}

std::optional<ViewRequest> ViewRelay::readRequest(std::string_view path)
{
    if (!absl::StartsWith(abslView(path), abslView(detail::viewsPath)))
        return std::nullopt;
    const std::vector<absl::string_view> parts =
        absl::StrSplit(abslView(path.substr(detail::viewsPath.size())), '/');
    constexpr std::size_t partCount = 3;
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    if (parts.size() != partCount || !absl::SimpleAtoi(parts[1], &era)
        || !absl::SimpleAtoi(parts[2], &revision))
        return std::nullopt;
    return ViewRequest{std::string(parts[0]), {StoreEra(era), ObjectVersion(revision)}};
}

HttpResponse ViewRelay::responseFor(StorePosition after)
{
    const auto position = m_view.changePosition();
    if (after.revision.value() != 0 && after >= position)
        return makeResponse(detail::statusNoContent, "", "");
    const auto now = monotonicNow();
    const bool isOutOfDate = m_view.hasDeferredRemovals() && now - m_encodedAt > detail::maxEncodedAge;
    if (m_encodedPosition != position || m_encodedChangeCount != m_view.changeCount() || isOutOfDate
        || m_encodedResponses.size() >= detail::maxEncodedResponses)
        m_encodedResponses.clear();
    if (m_encodedResponses.empty())
        m_encodedAt = now;
    m_encodedPosition = position;
    m_encodedChangeCount = m_view.changeCount();
    auto &encoded = m_encodedResponses[after];
    if (encoded.empty())
        encoded = compressBytes(writeUntrustedJson(m_view.changesAfter(after)));
    auto response = makeResponse(detail::statusOk, "application/json", encoded);
    response.head.fields.set("Content-Encoding", "deflate");
    return response;
}

void ViewRelay::notePosition(const RouterRegistry::Member &peer, StorePosition position)
{
    if (position > m_view.changePosition())
        schedulePull(peer, PullScope::Changes);
}

void ViewRelay::noteNewerContent(const RouterRegistry::Member &peer)
{
    schedulePull(peer, PullScope::FullView);
}

void ViewRelay::schedulePull(const RouterRegistry::Member &peer, PullScope scope)
{
    m_newerPeer = peer;
    if (std::exchange(m_isPulling, true))
        return;
    m_timer.expires_after(absl::ToChronoNanoseconds(pullDelay * (1 + m_random.fraction())));
    m_timer.async_wait([this, scope](const auto &ec) {
        if (!ec)
            pull(m_newerPeer, scope == PullScope::FullView ? StorePosition() : m_view.changePosition());
    });
}

void ViewRelay::pullFullView(const RouterRegistry::Member &peer)
{
    if (!std::exchange(m_isPulling, true))
        pull(peer, StorePosition());
}

void ViewRelay::pull(const RouterRegistry::Member &peer, StorePosition after)
{
    const auto endpoint = parseEndpoint(peer.peerAddress);
    if (!endpoint) {
        m_isPulling = false;
        logFailure(peer.id, endpoint.error().detail);
        return;
    }
    HttpFields fields;
    fields.set("Host", peer.peerAddress);
    fields.set("Connection", "close");
    const auto path = absl::StrCat(abslView(detail::viewsPath), m_name, "/", after.era.value(), "/",
                                   after.revision.value());
    callHttp(m_context, std::make_shared<HttpClientConnection>(m_context, *endpoint, SocketLimits{}),
             serializeRequest("GET", path, fields, ""), m_callTimeout, maxViewBytes,
             [this, id = peer.id](const HttpCallResult &result) {
                 m_isPulling = false;
                 handlePullResult(id, result);
             });
}

void ViewRelay::handlePullResult(const RouterId &id, const HttpCallResult &result)
{
    if (!result)
        return logFailure(id, detail::httpFailureName(result.error()));
    if (result->head.status == detail::statusNoContent)
        return;
    if (result->head.status != detail::statusOk)
        return logFailure(id, absl::StrCat("status ", result->head.status));
    const auto text = expandBytes(result->body, maxViewBytes);
    if (!text)
        return logFailure(id, text.error().detail);
    auto json = parseUntrustedJson(*text);
    if (!json)
        return logFailure(id, json.error().detail);
    const auto before = m_view.changePosition();
    const auto merged = m_view.mergePeerView(std::move(*json));
    if (!merged)
        return logFailure(id, merged.error().detail);
    // A router that has not noticed a restoration yet does not know what to hold back after it.
    m_hasMergedView = m_hasMergedView || merged->era == m_view.changePosition().era;
    if (const auto after = m_view.changePosition(); after > before) {
        m_log.write("relayed",
                    {{"router", id.value()},
                     {"view", m_name},
                     {"bytes", result->body.size()},
                     {"era", after.era.value()},
                     {"from", before.revision.value()},
                     {"to", after.revision.value()}},
                    monotonicNow());
    }
}

void ViewRelay::logFailure(const RouterId &id, std::string_view detail)
{
    m_log.write("relay_failed", {{"router", id.value()}, {"view", m_name}, {"detail", detail}},
                monotonicNow());
}

} // namespace Wisteria
