// Kept connections to targets, one pool for each process of a target.

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
    // A target that does not accept within this time is taken for unreachable. Source: connects take a few
    // milliseconds on the users' sheets; a lost packet is sent again after a second.
    static constexpr absl::Duration connectTimeout = absl::Milliseconds(250);

    explicit TargetConnections(boost::asio::io_context &context) : m_context(context) { }

    // A connection to the target; null for an address that is none.
    [[nodiscard]] std::shared_ptr<HttpClientConnection> take(const ForwardingTarget &, absl::Time now);
    // Tells whether the target accepts connections at all.
    void probe(const ForwardingTarget &, std::function<void(ProbeResult)>);
    // Calls the target on a kept connection.
    void sendControlRequest(const ForwardingTarget &, const ControlRequest &, absl::Duration timeout,
                            HttpCallHandler);
    void remove(const TargetId &);
    // Closes idle connections whose peer is about to do so.
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
