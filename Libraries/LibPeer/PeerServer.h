// The gRPC server through which the other routers reach this one.

#pragma once

#include <LibCore/Error.h>
#include <LibLedger/Events.h>
#include <LibPeer/PeerMessages.h>

#include <memory>
#include <string>

namespace Wisteria {

// What the host answers. Calls come on gRPC's threads, several at once.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    // Errors of all calls: RingFull and Draining when the host can't take the request.
    [[nodiscard]] virtual ErrorOr<PeerGossip> onGossip(const PeerGossip &gossip) = 0;
    [[nodiscard]] virtual ErrorOr<FleetConfiguration> onFetchConfiguration() = 0;
    // Takes a pushed configuration and says what is held afterwards.
    [[nodiscard]] virtual ErrorOr<ConfigurationDigest>
    onPushConfiguration(FleetConfiguration configuration) = 0;
    [[nodiscard]] virtual ErrorOr<ConfigurationDigest> onPoll() = 0;
    // LeaseLost when another incarnation than this one owns the call.
    [[nodiscard]] virtual ErrorOr<CallAnswer> onForwardedCall(const ForwardedCall &call) = 0;
};

class PeerServer
{
public:
    // Listens on "IP:port"; the handler must outlive the server. Errors: ConnectionFailed.
    [[nodiscard]] static ErrorOr<std::unique_ptr<PeerServer>> create(const std::string &address,
                                                                     RouterId self, PeerHandler &handler);
    virtual ~PeerServer() = default;

    // Ends running calls after the grace period.
    virtual void stop(absl::Duration grace) = 0;
};

} // namespace Wisteria
