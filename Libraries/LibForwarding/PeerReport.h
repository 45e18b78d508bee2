// Status that a router reports to its peers. It serves as a heartbeat and contains the positions of the
// router's views of the platform's store, its load on each target, and the targets it found faulty.
//
// Positions, loads and request counts are absolute, so the next report makes up for a lost one. `faults` and
// `gone` contain what was found since the previous report and are not sent again.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/StorePosition.h>
#include <LibForwarding/PromptQuarantine.h>
#include <LibForwarding/RouterRegistry.h>
#include <LibForwarding/ServiceRetryBudget.h>
#include <LibForwarding/TargetPool.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

using ServiceCounts = absl::btree_map<ServiceName, RequestCounts>;

struct PeerReport
{
    // Maximum number of loads in a report, so that it fits into one datagram. The largest loads are kept.
    static constexpr std::size_t maxLoads = 40;

    // The reporting router. `lastReportAt` is not transmitted.
    RouterRegistry::Member router;
    StorePosition configurationPosition;
    // How long ago the store confirmed the position to the router; empty if the router does not read the
    // store.
    std::optional<absl::Duration> configurationAge;
    // Zero without a configuration. It can be newer than what the store holds at the position, if the store
    // was restored from an older copy.
    ConfigVersion configurationVersion;
    StorePosition targetsPosition;
    std::optional<absl::Duration> targetsAge;
    // The view of the orders of rollouts; only routers with rollouts have one.
    struct OrdersState
    {
        StorePosition position;
        // Like the ages above.
        std::optional<absl::Duration> age;
        // Position up to which there are no later changes.
        StorePosition readUpTo;
    };
    std::optional<OrdersState> orders;
    TargetLoads loads;
    // Of targets that may not be typical. Kept for the same targets as the loads if there are too many.
    SpeedReports speeds;
    std::vector<TargetProcess> faults;
    // Processes that no longer exist at their address.
    std::vector<TargetProcess> gone;
    // Requests and retries per service since the process started.
    ServiceCounts counts;
    PromptEvidence promptEvidence;
    // What the brief report has in its place.
    PromptEvidence promptEvidenceForOthers;

    // The part that concerns routers of other groups: liveness, positions and evidence against prompts.
    [[nodiscard]] PeerReport brief() const;
};

// Encodes the report as CBOR.
[[nodiscard]] std::string encodePeerReport(const PeerReport &);
// Errors: InvalidRequest.
[[nodiscard]] ErrorOr<PeerReport> decodePeerReport(std::string_view bytes);

} // namespace Wisteria
