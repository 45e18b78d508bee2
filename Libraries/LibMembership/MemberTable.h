// One router's view of all routers and targets, kept by gossip.

#pragma once

#include <LibCore/Random.h>
#include <LibMembership/Events.h>

#include <memory>

namespace Wisteria {

// An address for a caller, best first.
struct EntryPoint
{
    RouterId router;
    std::string callerAddress;
    FailureDomain domain;
};

// How long a caller may keep an answer; a leaving router serves at least this long after it left the answer.
inline constexpr absl::Duration entryPointLifetime = absl::Seconds(10);

// A single-threaded state machine.
class MemberTable
{
public:
    // Seeds are the peer addresses of the settings, by which a new router finds the others.
    [[nodiscard]] static std::unique_ptr<MemberTable>
    create(RouterRecord self, std::vector<std::string> seedPeerAddresses, RandomSource &random);
    virtual ~MemberTable() = default;

    [[nodiscard]] virtual MembershipActions handle(const MembershipEvent &event, absl::Time now) = 0;
    [[nodiscard]] virtual absl::Time nextWakeUp() const = 0;

    // The answer to a peer's gossip message. The host handles the message as GossipReceived first.
    [[nodiscard]] virtual GossipMessage answerTo(const GossipMessage &message, absl::Time now) = 0;
    // Live routers: the caller's failure domain first, then by load. Leaving and suspect ones are left out
    // unless there is no other.
    [[nodiscard]] virtual std::vector<EntryPoint> entryPoints(const FailureDomain &callerDomain) const = 0;
    [[nodiscard]] virtual std::vector<RouterRecord> routers() const = 0;
    [[nodiscard]] virtual std::vector<TargetRecord> targets() const = 0;
    // Whether this router is among the few that read the object API: the first ones by a hash over the live
    // members.
    [[nodiscard]] virtual bool isStoreReader() const = 0;
};

} // namespace Wisteria
