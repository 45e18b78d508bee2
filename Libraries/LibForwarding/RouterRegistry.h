// The routers of the system: who is alive, serving or leaving, by their own reports. Chooses the entry points
// that callers are told.

#pragma once

#include <LibCore/Ids.h>

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

namespace Wisteria {

enum class RouterPhase { Starting, Serving, Draining };

class RouterRegistry
{
public:
    // A router is taken for lost when nothing was heard of it for this long. Source: four report intervals.
    static constexpr absl::Duration livenessTimeout = absl::Milliseconds(2100);
    // Most entry points in one answer. Source: callers use up to 64.
    static constexpr std::size_t maxEntryPoints = 64;

    struct Member
    {
        RouterId id;
        FailureDomain domain;
        std::string callerAddress;
        std::string peerAddress;
        Incarnation incarnation;
        RouterPhase phase{RouterPhase::Starting};
        // The router reads the store without trouble.
        bool isStoreTrusted{false};
        absl::Time lastReportAt{absl::InfinitePast()};
    };

    // The entry in the platform's store; it proves nothing about life.
    void upsertRecord(const Member &);
    // A report of the router itself, with its incarnation and phase. Returns true when the router was not
    // alive before. Reports of an earlier incarnation are ignored.
    bool recordReport(const Member &report, absl::Time now);

    [[nodiscard]] bool isAlive(const RouterId &, absl::Time now) const;
    [[nodiscard]] std::vector<Member> members() const;
    [[nodiscard]] std::size_t aliveCount(absl::Time now) const;
    // Some other live router has had the store without a break.
    [[nodiscard]] bool isStoreTrustedByOthers(absl::Time now) const;
    // The router is one of the first `perDomain` of its domain, by id, among those that live and have the
    // store. The others leave the watching of the store to them. A router that hears of nobody watches.
    [[nodiscard]] bool shouldWatchStore(const Member &self, std::size_t perDomain, absl::Time now) const;
    // Caller addresses of the serving routers, those of the domain first; the own one is not among them.
    [[nodiscard]] std::vector<std::string> entryPoints(const FailureDomain &, absl::Time now) const;

private:
    absl::btree_map<RouterId, Member> m_members;
};

} // namespace Wisteria
