// Events and actions of membership: which routers and targets are live, suspect, leaving or gone.
// Routers gossip over the peers' interface; the object API is not needed to stay a member.

#pragma once

#include <LibConfig/FleetConfiguration.h>
#include <LibCore/Ids.h>

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Wisteria {

enum class MemberPhase { Live, Suspect, Leaving, Dead };
[[nodiscard]] std::string_view memberPhaseName(MemberPhase);

// What one router says about another (or itself). A greater incarnation wins, then a greater sequence, then
// the later phase in the order of MemberPhase. Only the router itself raises its sequence, which is how it
// refutes a suspicion.
struct RouterRecord
{
    RouterId id;
    Incarnation incarnation;
    std::uint64_t sequence{0};
    MemberPhase phase{MemberPhase::Live};
    // "IP:port" for callers and for peers.
    std::string callerAddress;
    std::string peerAddress;
    FailureDomain domain;
    // Share of the router's stream capacity in use, in per mille.
    std::uint32_t loadPerMille{0};

    bool operator==(const RouterRecord &) const = default;
};

enum class TargetHealth { Up, Suspect, Leaving, Gone };
[[nodiscard]] std::string_view targetHealthName(TargetHealth);

// What one router observed of a target. `round` counts changes; a greater round wins, then the worse health.
struct TargetRecord
{
    TargetId id;
    TargetHealth health{TargetHealth::Up};
    std::uint64_t round{0};
    RouterId observedBy;

    bool operator==(const TargetRecord &) const = default;
};

struct WorkspaceDemand
{
    WorkspaceName workspace;
    std::uint32_t generations{0};

    bool operator==(const WorkspaceDemand &) const = default;
};

// One gossip message; the answer to it has the same form.
struct GossipMessage
{
    RouterRecord sender;
    // Records that changed lately, each sent a bounded number of times; a full exchange now and then repairs
    // gaps.
    std::vector<RouterRecord> routers;
    std::vector<TargetRecord> targets;
    // The sender's own demand, by workspace.
    std::vector<WorkspaceDemand> demand;
    // Digest of all records the sender holds; a differing digest asks for a full exchange. Zero: the message
    // carries no records and asks for none, only for what the receiver knows of the configuration.
    std::uint64_t digest{0};
    bool full{false};
};

// ---- Events
// -----------------------------------------------------------------------------------------------------

struct GossipReceived
{
    GossipMessage message;
};

// A gossip round with a peer got no answer.
struct GossipFailed
{
    RouterId peer;
};

// What this router itself saw of a target: connections refused or streams lost, or a good answer. The host
// probes suspect targets now and then, since they receive no work that would show them to be up again.
struct TargetObserved
{
    TargetId target;
    bool reachable{false};
};

// The platform's list, which lags. An entry is a VM address with its state.
struct VmEntry
{
    TargetId target;
    bool leaving{false};
};

struct VmListRead
{
    std::vector<VmEntry> vms;
};

struct MembersConfigured
{
    FleetConfiguration configuration;
};

struct OwnStateChanged
{
    std::uint32_t loadPerMille{0};
    std::vector<WorkspaceDemand> demand;
};

struct LeaveStarted
{
};

struct MembershipTick
{
};

using MembershipEvent = std::variant<GossipReceived, GossipFailed, TargetObserved, VmListRead,
                                     MembersConfigured, OwnStateChanged, LeaveStarted, MembershipTick>;

// ---- Actions
// ----------------------------------------------------------------------------------------------------

// Send to the peer; report its answer as GossipReceived, or GossipFailed.
// An empty peer name stands for a seed or a dead member, whose name behind the address is not known; its
// failure needs no report.
struct SendGossip
{
    RouterId peer;
    std::string peerAddress;
    GossipMessage message;
};

struct TargetHealthChanged
{
    TargetId target;
    TargetHealth health{TargetHealth::Up};
    std::string reason;
};

struct RouterPhaseChanged
{
    RouterRecord record;
};

// Demand of the other live routers together, for the shared limits.
struct DemandElsewhere
{
    WorkspaceName workspace;
    std::uint32_t generations{0};
    std::uint32_t liveRouters{1};
};

using MembershipAction = std::variant<SendGossip, TargetHealthChanged, RouterPhaseChanged, DemandElsewhere>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace Wisteria
