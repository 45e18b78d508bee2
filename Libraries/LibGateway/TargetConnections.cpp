// One connection pool per target; a target that restarted or moved gets a new pool.

#include <LibGateway/TargetConnections.h>

#include <LibPlatform/MonotonicClock.h>

namespace Wisteria {

namespace detail {

// A connection is closed when sent data stays unacknowledged for this long. A target may be silent for a
// second or two and go on; an attempt that can be replaced is replaced earlier.
constexpr SocketLimits socketLimits{.unacknowledged = absl::Seconds(4)};

// Responses to control requests are small JSON objects.
constexpr std::size_t maxControlResponseBytes = std::size_t{64} * 1024;

} // namespace detail

std::shared_ptr<HttpClientConnection> TargetConnections::take(const ForwardingTarget &record, absl::Time now)
{
    auto &entry = m_entries[record.id];
    if (!entry.pool || entry.address != record.address || entry.startedAtMs != record.startedAtMs) {
        const auto endpoint = parseEndpoint(record.address);
        if (!endpoint)
            return nullptr;
        if (entry.pool)
            entry.pool->closeIdle();
        entry = Entry{record.address, record.startedAtMs,
                      std::make_shared<HttpPool>(m_context, *endpoint, detail::socketLimits)};
    }
    return entry.pool->take(now);
}

void TargetConnections::probe(const ForwardingTarget &record, std::function<void(ProbeResult)> handler)
{
    const auto endpoint = parseEndpoint(record.address);
    if (!endpoint) {
        handler(ProbeResult::Refused);
        return;
    }
    struct Probe
    {
        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        std::function<void(ProbeResult)> handler;

        void finish(ProbeResult result)
        {
            const auto done = std::exchange(handler, nullptr);
            boost::system::error_code ignored;
            socket.close(ignored);
            timer.cancel();
            if (done)
                done(result);
        }
    };
    auto state = std::make_shared<Probe>(Probe{boost::asio::ip::tcp::socket(m_context),
                                               boost::asio::steady_timer(m_context), std::move(handler)});
    state->timer.expires_after(absl::ToChronoNanoseconds(connectTimeout));
    state->timer.async_wait([state](const auto &ec) {
        if (!ec)
            state->finish(ProbeResult::TimedOut);
    });
    state->socket.async_connect(*endpoint, [state](const auto &ec) {
        if (!ec)
            state->finish(ProbeResult::Connected);
        else
            state->finish(ec == boost::asio::error::connection_refused ? ProbeResult::Refused
                                                                       : ProbeResult::TimedOut);
    });
}

void TargetConnections::sendControlRequest(const ForwardingTarget &record, const ControlRequest &request,
                                           absl::Duration timeout, HttpCallHandler handler)
{
    const auto endpoint = parseEndpoint(record.address);
    if (!endpoint) {
        handler(tl::unexpected(HttpFailure::NotConnected));
        return;
    }
    const auto connection =
        std::make_shared<HttpClientConnection>(m_context, *endpoint, detail::socketLimits);
    HttpFields fields;
    fields.set("Host", record.address);
    if (!request.body.empty())
        fields.set("Content-Type", "application/json");
    callHttp(m_context, connection, serializeRequest(request.method, request.path, fields, request.body),
             timeout, detail::maxControlResponseBytes,
             [connection, handler = std::move(handler)](HttpCallResult result) {
                 connection->cancel();
                 handler(std::move(result));
             });
}

void TargetConnections::remove(const TargetId &id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    if (it->second.pool)
        it->second.pool->closeIdle();
    m_entries.erase(it);
}

void TargetConnections::dropOld(absl::Time now)
{
    for (const auto &[id, entry] : m_entries) {
        if (entry.pool)
            entry.pool->dropOld(now);
    }
}

} // namespace Wisteria
