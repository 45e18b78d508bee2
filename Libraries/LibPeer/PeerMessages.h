// What routers tell each other, in the types of the decision parts, and the conversions to the wire form.

#pragma once

#include <LibConfig/ConfigurationKeeper.h>
#include <LibCore/Ids.h>
#include <LibMembership/Events.h>

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace wisteria {
class GossipProto;
} // namespace wisteria

namespace Wisteria {

// What a router knows of the configuration; it rides on every gossip message.
struct ConfigurationDigest
{
    ConfigVersion held;
    // Whether the incarnation has had a confirmation that began after its start.
    bool confirmedSinceStart{false};
    std::optional<Confirmation> confirmation;
};

struct PeerGossip
{
    GossipMessage message;
    ConfigurationDigest digest;
};

// A call that is handed to the incarnation that owns its key.
struct ForwardedCall
{
    Incarnation incarnation;
    WorkspaceName workspace;
    ServiceName service;
    IdempotencyKey key;
    // The call's JSON body.
    std::string body;
    absl::Duration remaining;
    // The caller's count of its requests under the key; zero when it does not say.
    std::uint32_t attempt{0};
};

[[nodiscard]] wisteria::GossipProto toProto(const PeerGossip &);
[[nodiscard]] PeerGossip fromProto(const wisteria::GossipProto &);

} // namespace Wisteria
