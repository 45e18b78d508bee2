// The fleet's configuration: services, workspaces, presets, targets and the preset in force, under one
// version. It is a single object in the platform's object API, so that one conditional update changes it as a
// whole and "exactly one preset in force" needs no further rule. docs/DESIGN.md weighs this against an object
// for each item.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/Ids.h>

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

enum class ServiceKind { Generation, Plain };
enum class Urgency { Urgent, Patient };
// Whether a target refuses orders that carry an old fencing number.
enum class OrderChecking { ChecksFencing, Unchecked };

// Who changed an item last, and in which version. The version is what an operator's next change must name.
struct ItemStamp
{
    ConfigVersion changedIn;
    std::string changeId;
    std::string operatorName;

    bool operator==(const ItemStamp &) const = default;
};

struct ServiceSpec
{
    ServiceName name;
    ServiceKind kind{ServiceKind::Generation};
    // Generation services only. An attempt never moves to a target of another model or version.
    ModelName model;
    std::string modelVersion;
    // Plain services only: operations that may run more than once. All others need an Idempotency-Key.
    std::vector<std::string> idempotentOperations;
    ItemStamp stamp;

    bool operator==(const ServiceSpec &) const = default;
};

struct WorkspaceSpec
{
    WorkspaceName name;
    // Relative share of the engines when they are all busy.
    double weight{1.0};
    // Generations that run at once over all routers.
    std::uint32_t maxGenerations{100};
    ItemStamp stamp;

    bool operator==(const WorkspaceSpec &) const = default;
};

// How the generations of one service are resumed after a loss.
struct ResumeSpec
{
    // Name of a registered resume policy plug-in.
    std::string policy{"adaptive"};
    // The one knob between resume latency (0) and extra engine work (1), in [0, 1].
    double thrift{0.5};

    bool operator==(const ResumeSpec &) const = default;
};

struct PresetSpec
{
    PresetName name;
    // Name of a registered target selection plug-in.
    std::string selection{"affinity"};
    // Share of each target's slots that only urgent work may take, in [0, 1).
    double urgentReserve{0.1};
    // Retries allowed for each first attempt, over a sliding window.
    double retryBudget{0.1};
    // Patient requests that may wait at one router before further ones are refused.
    std::uint32_t maxWaiting{64};
    // How long a planned stop lets running work finish before it is handed over.
    absl::Duration drainLimit{absl::Seconds(30)};
    ResumeSpec resume;
    // Exceptions to `resume`, by service.
    std::map<ServiceName, ResumeSpec> resumeByService;
    ItemStamp stamp;

    bool operator==(const PresetSpec &) const = default;
};

struct TargetSpec
{
    TargetId id;
    ServiceName service;
    // "IP:port" of the target's HTTP interface.
    std::string address;
    FailureDomain domain;
    // Streams that the engine batches together; calls at once for a plain service.
    std::uint32_t slots{16};
    OrderChecking orderChecking{OrderChecking::Unchecked};
    // A retiring target finishes what runs and receives no new work.
    bool retiring{false};
    ItemStamp stamp;

    bool operator==(const TargetSpec &) const = default;
};

// A router whose acknowledgement counts towards a majority.
struct CountedRouter
{
    RouterId id;
    // "IP:port" of the router's interface for its peers.
    std::string peerAddress;
    FailureDomain domain;

    bool operator==(const CountedRouter &) const = default;
};

// A change that is part of the configuration, by which a retry of it is recognised.
struct AppliedChange
{
    std::string changeId;
    ConfigVersion version;

    bool operator==(const AppliedChange &) const = default;
};

// Changes remembered for retries: more than six hours at 930 changes a day.
inline constexpr std::size_t maxRecentChanges = 256;

struct FleetConfiguration
{
    ConfigVersion version;
    // Invariant: empty, or the name of an entry of `presets`.
    PresetName presetInForce;
    ItemStamp presetInForceStamp;
    std::map<ServiceName, ServiceSpec> services;
    std::map<WorkspaceName, WorkspaceSpec> workspaces;
    std::map<PresetName, PresetSpec> presets;
    std::map<TargetId, TargetSpec> targets;
    // One versioned list for everybody, since two routers' own views of the members may differ.
    std::vector<CountedRouter> countedRouters;
    // The list before its last change. Acknowledgements must reach half of both lists, so that a router which
    // still counts by the older list meets the newer configuration.
    std::vector<CountedRouter> countedBefore;
    // Invariant: at most maxRecentChanges entries, the oldest first.
    std::vector<AppliedChange> recentChanges;

    bool operator==(const FleetConfiguration &) const = default;

    // The preset in force, or a default one when none was put in force yet.
    [[nodiscard]] const PresetSpec &preset() const;
    // The version in which the change was applied; empty when it is not among the recent changes.
    [[nodiscard]] std::optional<ConfigVersion> versionOfChange(std::string_view changeId) const;
};

// The JSON form that the object API keeps and the operators' interface shows.
[[nodiscard]] std::string toJson(const FleetConfiguration &);
// Fails with ErrorCode::InvalidRequest where a field is missing, of the wrong type or out of range.
[[nodiscard]] ErrorOr<FleetConfiguration> fleetConfigurationFromJson(std::string_view);

} // namespace Wisteria
