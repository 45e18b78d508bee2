// Adds what has changed since the last report of a router. This takes time in proportion to one report, not
// to the number of routers.

#include <LibForwarding/RolloutReports.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// The fields that RouteTally and ProcessTally have in common. A count that has dropped adds nothing.
template <typename Tally>
void addCountGrowth(Tally &sum, const Tally &before, const Tally &after)
{
    const auto grown = [](std::uint32_t one, std::uint32_t other) { return other - std::min(one, other); };
    sum.answers += grown(before.answers, after.answers);
    sum.failures += grown(before.failures, after.failures);
    sum.losses += grown(before.losses, after.losses);
    sum.isolatedLosses += grown(before.isolatedLosses, after.isolatedLosses);
    for (std::size_t n = 0; n < sum.slowness.size(); ++n)
        sum.slowness[n] += grown(before.slowness[n], after.slowness[n]);
}

void addGrowth(RouteTally &sum, const RouteTally &before, const RouteTally &after)
{
    addCountGrowth(sum, before, after);
    for (const auto &it : after.processes) {
        if (!before.processes.contains(it) && sum.processes.size() < RouteTally::maxSummedProcesses)
            sum.processes.insert(it);
    }
    for (const auto &it : after.failingProcesses) {
        if (sum.failingProcesses.size() < RouteTally::maxFailingProcesses)
            sum.failingProcesses.insert(it);
    }
    for (const auto &[process, tally] : after.byProcess) {
        const auto it = before.byProcess.find(process);
        if (it != before.byProcess.end() && it->second == tally)
            continue;
        if (sum.byProcess.size() >= RouteTally::maxSummedProcesses && !sum.byProcess.contains(process))
            continue;
        addCountGrowth(sum.byProcess[process], it == before.byProcess.end() ? ProcessTally{} : it->second,
                       tally);
    }
}

void addGrowth(VersionTallies &sum, VersionTallies &known, const VersionTallies &reported)
{
    for (const auto &[route, sides] : reported) {
        auto &knownSides = known[route];
        auto &sumSides = sum[route];
        for (std::size_t side = 0; side < sides.size(); ++side) {
            if (sides[side].answers < knownSides[side].answers)
                continue;
            addGrowth(sumSides[side], knownSides[side], sides[side]);
            knownSides[side] = sides[side];
        }
    }
}

} // namespace detail

void RolloutReports::add(const RolloutReport &report, absl::Time now)
{
    if (!m_members.contains(report.sender) && m_members.size() >= maxRouters)
        return;
    auto &member = m_members[report.sender];
    const bool isNew = member.heardAt == absl::InfinitePast();
    if (!isNew && report.incarnation < member.incarnation)
        return;
    // Within an incarnation, counts begin anew if the router has followed another order in between. That
    // takes longer than a datagram is under way.
    const bool isBehind = report.counts.total < member.counts.total;
    if (!isNew && report.incarnation == member.incarnation && isBehind && now - member.heardAt <= silence)
        return;
    if (!isNew && (report.incarnation != member.incarnation || isBehind)) {
        member.tallies.clear();
        member.counts = {};
    }
    member.incarnation = report.incarnation;
    m_counts.total += report.counts.total - member.counts.total;
    m_counts.candidate +=
        report.counts.candidate - std::min(member.counts.candidate, report.counts.candidate);
    member.counts = report.counts;
    detail::addGrowth(m_tallies, member.tallies, report.tallies);
    member.phase = report.phase;
    member.runs = report.runs;
    member.heardAt = now;
}

std::uint32_t RolloutReports::candidateAnswers() const
{
    std::uint32_t answers = 0;
    for (const auto &[route, sides] : m_tallies)
        answers += sides[static_cast<std::size_t>(VersionSide::Candidate)].answers;
    return answers;
}

std::size_t RolloutReports::baselineProcesses() const
{
    // The routes of a service share its targets, so the one with the most stands for all.
    std::size_t processes = 0;
    for (const auto &[route, sides] : m_tallies)
        processes =
            std::max(processes, sides[static_cast<std::size_t>(VersionSide::Baseline)].processes.size());
    return processes;
}

RolloutRuns RolloutReports::runs(absl::Time since) const
{
    RolloutRuns sum;
    for (const auto &[id, it] : m_members) {
        if (it.heardAt < since)
            continue;
        sum.baseline += it.runs.baseline;
        sum.baselineAtMostOnce += it.runs.baselineAtMostOnce;
        sum.candidate += it.runs.candidate;
    }
    return sum;
}

std::size_t RolloutReports::heardRouters(absl::Time since) const
{
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(), [since](const auto &it) { return it.second.heardAt >= since; }));
}

bool RolloutReports::allFollow(RolloutPhase phase, absl::Time since) const
{
    return heardRouters(since) > 0
        && std::all_of(m_members.begin(), m_members.end(), [phase, since](const auto &it) {
               return it.second.heardAt < since || it.second.phase >= phase;
           });
}

} // namespace Wisteria
