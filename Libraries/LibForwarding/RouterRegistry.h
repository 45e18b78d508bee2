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
    [[nodiscard]] const Member *find(const RouterId &) const;
    // Number of known routers, alive or not.
    [[nodiscard]] std::size_t size() const { return m_members.size(); }
    // Changes whenever a router is added or moves to another failure domain.
    [[nodiscard]] std::uint64_t membershipVersion() const { return m_membershipVersion; }
    [[nodiscard]] std::size_t aliveCount(absl::Time now) const;
    [[nodiscard]] std::size_t aliveCountAmong(const std::vector<RouterId> &, absl::Time now) const;
    // Live, serving routers, those that started first before the others; at most so many. With trust needed,
    // only those with a reliable view of the store.
    enum class StoreTrust { Needed, NotNeeded };
    [[nodiscard]] std::vector<const Member *> longestServing(std::size_t count, StoreTrust,
                                                             absl::Time now) const;
    // Returns true if another live router reports reliable access to the store.
    [[nodiscard]] bool isStoreTrustedByOthers(absl::Time now) const;
    // Returns true if fewer than `perDomain` live, serving routers of the group and domain with a reliable
    // view of the store have a smaller id. Only these watch the store; the others receive the changes from
    // them. A router that receives no reports watches the store itself. While the store is away, no router
    // has a reliable view; then only the first few try, because the store is called by all of them. Routers
    // that have been silent for longer than `maxSilence` don't count.
    [[nodiscard]] bool shouldWatchStore(const Member &self, const std::vector<RouterId> &group,
                                        std::size_t perDomain, absl::Duration maxSilence,
                                        absl::Time now) const;
    // Number of routers of the group with a smaller id that have not been silent for longer than
    // `maxSilence`.
    [[nodiscard]] std::size_t countHeardBefore(const RouterId &self, const std::vector<RouterId> &group,
                                               absl::Duration maxSilence, absl::Time now) const;
    // Caller addresses of the other serving routers; those in the given domain come first.
    [[nodiscard]] std::vector<std::string> entryPoints(const FailureDomain &, absl::Time now) const;

private:
    // Routers that try to reach the store while none has a reliable view, as a multiple of the watchers.
    static constexpr std::size_t maxWatcherFactor = 4;

    Member &memberFor(const RouterId &, const FailureDomain &);
    [[nodiscard]] static bool isHeard(const Member &, absl::Duration maxSilence, absl::Time now);

    absl::btree_map<RouterId, Member> m_members;
    std::uint64_t m_membershipVersion{0};
};

} // namespace Wisteria
