// Calls to other routers, each with its own deadline. Channels are kept by address.

#pragma once

#include <LibCore/Error.h>
#include <LibLedger/Events.h>
#include <LibPeer/PeerMessages.h>

#include <memory>
#include <string>

namespace Wisteria {

// What a peer holds, by its own word.
struct HeldConfiguration
{
    RouterId router;
    ConfigurationDigest digest;
};

// Thread-safe. All calls block up to the timeout; errors are ConnectionFailed (the peer was not reached or
// did not answer in time) and ProtocolViolation.
class PeerClient
{
public:
    [[nodiscard]] static std::unique_ptr<PeerClient> create();
    virtual ~PeerClient() = default;

    [[nodiscard]] virtual ErrorOr<PeerGossip> gossip(const std::string &address, const PeerGossip &gossip,
                                                     absl::Duration timeout) = 0;
    [[nodiscard]] virtual ErrorOr<FleetConfiguration> fetchConfiguration(const std::string &address,
                                                                         absl::Duration timeout) = 0;
    [[nodiscard]] virtual ErrorOr<HeldConfiguration>
    pushConfiguration(const std::string &address, const FleetConfiguration &configuration,
                      absl::Duration timeout) = 0;
    [[nodiscard]] virtual ErrorOr<HeldConfiguration> poll(const std::string &address,
                                                          absl::Duration timeout) = 0;
    // LeaseLost when the asked router is another incarnation by now.
    [[nodiscard]] virtual ErrorOr<CallAnswer> forwardCall(const std::string &address,
                                                          const ForwardedCall &call) = 0;
};

} // namespace Wisteria
