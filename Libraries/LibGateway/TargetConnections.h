// Keep-alive connections to targets, with one pool per target process.

#pragma once

#include <LibForwarding/TargetPool.h>
#include <LibGateway/Dialect.h>
#include <LibNet/HttpClient.h>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>

namespace Wisteria {

enum class ProbeResult { Connected, Refused, TimedOut };

class TargetConnections
{
public:
    // A target that does not accept a connection within this time counts as unreachable. A connect takes a
    // few milliseconds; a lost SYN is retransmitted only after a second.
    static constexpr absl::Duration connectTimeout = absl::Milliseconds(250);

    explicit TargetConnections(boost::asio::io_context &context) : m_context(context) { }

    // Returns a connection to the target; null if its address is malformed.
    [[nodiscard]] std::shared_ptr<HttpClientConnection> take(const ForwardingTarget &, absl::Time now);
    // Checks whether the target accepts connections.
    void probe(const ForwardingTarget &, std::function<void(ProbeResult)>);
    // Sends the request on a connection of its own. Answers to control requests don't say which request they
    // belong to, and on a kept connection a late copy of an earlier answer may come first.
    void sendControlRequest(const ForwardingTarget &, const ControlRequest &, absl::Duration timeout,
                            HttpCallHandler);
    void remove(const TargetId &);
    // Closes idle connections that the peer is about to close.
    void dropOld(absl::Time now);

private:
    struct Entry
    {
        std::string address;
        std::int64_t startedAtMs{0};
        std::shared_ptr<HttpPool> pool;
    };

    boost::asio::io_context &m_context;
    absl::flat_hash_map<TargetId, Entry> m_entries;
};

} // namespace Wisteria
