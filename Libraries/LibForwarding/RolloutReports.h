// Sums the reports of the routers about one order: answers, attempts, runs, and the phase that they follow.
//
// Counts of a report are absolute within the sender's incarnation. Those of earlier incarnations and of
// routers that have gone silent stay in the sums, since the answers that they count have been given.
//
// Performs no I/O. Invariant: the time passed in never goes back.

#pragma once

#include <LibForwarding/RolloutMessages.h>
#include <LibForwarding/VersionComparison.h>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace Wisteria {

class RolloutReports
{
public:
    // A router that has not reported for this long is silent. In large fleets, reports are less frequent and
    // the time is longer (see RolloutCoordinator).
    static constexpr absl::Duration silence = absl::Milliseconds(2100);
    // Bounds the memory. Reports of further routers are ignored.
    static constexpr std::size_t maxRouters = 1000;

    // Ignores a report that is older than one of the same router that has been taken.
    void add(const RolloutReport &, absl::Time now);

    // Tallies and attempts of all routers, also of silent ones.
    [[nodiscard]] const VersionTallies &tallies() const { return m_tallies; }
    [[nodiscard]] const RolloutCounts &counts() const { return m_counts; }
    // Answers of new targets on all routes.
    [[nodiscard]] std::uint32_t candidateAnswers() const;

    // Processes of old targets that have answered, as far as they are known.
    [[nodiscard]] std::size_t baselineProcesses() const;

    // The following look at the routers that have reported since the given time only.
    [[nodiscard]] RolloutRuns runs(absl::Time since) const;
    [[nodiscard]] std::size_t heardRouters(absl::Time since) const;
    // All of them follow this phase or a later one, and there is at least one.
    [[nodiscard]] bool allFollow(RolloutPhase, absl::Time since) const;

private:
    struct Member
    {
        Incarnation incarnation;
        RolloutPhase phase{RolloutPhase::Idle};
        RolloutCounts counts;
        RolloutRuns runs;
        // The largest of each route, since a report may leave routes out.
        VersionTallies tallies;
        absl::Time heardAt{absl::InfinitePast()};
    };

    absl::flat_hash_map<RouterId, Member> m_members;
    VersionTallies m_tallies;
    RolloutCounts m_counts;
};

} // namespace Wisteria
