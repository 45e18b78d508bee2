// Tracks which routers are alive and their phases, based on their own reports. Selects the entry points that
// are announced to callers.

#pragma once

#include <LibCore/Ids.h>

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

namespace Wisteria {

enum class RouterPhase { Starting, Serving, Draining };

enum class ReportOrder {
    // The router was not alive before, or has restarted.
    First,
    Next,
    // A newer report of the router has already arrived; datagrams may be reordered or duplicated.
    Outdated,
};

class RouterRegistry
{
public:
    // A router is considered dead if no report arrives for this long, which is four report intervals.
    static constexpr absl::Duration livenessTimeout = absl::Milliseconds(2100);
    // Maximum number of entry points in one response. Callers use up to 64.
    static constexpr std::size_t maxEntryPoints = 64;

    struct Member
    {
        RouterId id;
        FailureDomain domain;
        std::string callerAddress;
        std::string peerAddress;
        Incarnation incarnation;
        RouterPhase phase{RouterPhase::Starting};
        // The router can read the platform's store, and its view of it is reliable.
        bool isStoreTrusted{false};
        // Number of the router's last report within its incarnation.
        std::uint64_t reportSequence{0};
        absl::Time lastReportAt{absl::InfinitePast()};
    };

    // Adds the router's entry from the platform's store. The entry does not show that the router is alive.
    void upsertRecord(const Member &);
    // Records a report from the router itself. An outdated report changes nothing.
    ReportOrder recordReport(const Member &report, absl::Time now);

    [[nodiscard]] bool isAlive(const RouterId &, absl::Time now) const;
    [[nodiscard]] std::vector<Member> members() const;
    [[nodiscard]] std::size_t aliveCount(absl::Time now) const;
    // Returns true if another live router reports reliable access to the store.
    [[nodiscard]] bool isStoreTrustedByOthers(absl::Time now) const;
    // Returns true if fewer than `perDomain` live, serving routers of the domain with a reliable view of the
    // store have a smaller id. Only these watch the store; the others receive the changes from them. A router
    // that receives no reports watches the store itself.
    [[nodiscard]] bool shouldWatchStore(const Member &self, std::size_t perDomain, absl::Time now) const;
    // Caller addresses of the other serving routers; those in the given domain come first.
    [[nodiscard]] std::vector<std::string> entryPoints(const FailureDomain &, absl::Time now) const;

private:
    absl::btree_map<RouterId, Member> m_members;
};

} // namespace Wisteria
