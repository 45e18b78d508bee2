// What one router tells the others of itself: that it lives, which revisions of the platform's objects it
// holds, what work it has at which targets, and which targets it found at fault. Absolute figures, so that a
// lost report is made good by the next one.

#pragma once

#include <LibCore/Error.h>
#include <LibForwarding/RouterRegistry.h>
#include <LibForwarding/ServiceRetryBudget.h>
#include <LibForwarding/TargetPool.h>

#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

using ServiceCounts = absl::btree_map<ServiceName, RequestCounts>;

struct PeerReport
{
    // Loads in one report; the largest ones where there are more. Source: keeps a report in one datagram.
    static constexpr std::size_t maxLoads = 40;

    // The router itself; `lastReportAt` is not part of the report.
    RouterRegistry::Member router;
    std::uint64_t sequence{0};
    ObjectVersion configurationRevision;
    ObjectVersion targetsRevision;
    TargetLoads loads;
    std::vector<TargetId> faults;
    // Targets that it found gone.
    std::vector<TargetId> gone;
    // Requests and repeats of each service since the process started.
    ServiceCounts counts;
};

// As CBOR, by nlohmann-json.
[[nodiscard]] std::string encodePeerReport(const PeerReport &);
// Errors: InvalidRequest.
[[nodiscard]] ErrorOr<PeerReport> decodePeerReport(std::string_view bytes);

} // namespace Wisteria
