// All targets known to this router and their eligibility for attempts.

#pragma once

#include <LibRouting/TargetSelector.h>
#include <LibRouting/TargetState.h>

#include <map>
#include <set>

namespace Wisteria {

// How far an attempt may fill a target and which targets are closed to it.
enum class SlotClass {
    // Leaves the urgent reserve free.
    Patient,
    // A patient generation that has delivered tokens and lost its stream. It may exceed the slots, so that it
    // does not wait behind new work.
    Resumed,
    // Prefers reserved targets and may exceed the slots, because the engine schedules it by priority.
    Urgent,
};

struct CandidateQuery
{
    ServiceName service;
    PromptPrefixHash prefixHash;
    SlotClass slotClass{SlotClass::Patient};
    double urgentReserve{0};
    // Targets that already run this generation. They are never candidates.
    std::vector<TargetId> running;
    // Targets that failed this generation. They are candidates only if no other target is left.
    std::vector<TargetId> failed;
};

struct Candidates
{
    // Ordered by id.
    std::vector<TargetCandidate> available;
    // Whether any target could take the attempt once it has capacity.
    bool anyExists{false};
};

class TargetTable
{
public:
    void apply(const TargetChanged &);
    // Removes the target if it is gone, so that replaced VMs leave no entries behind.
    void removeIfGone(const TargetId &);

    // Null for targets that are gone or were never reported.
    [[nodiscard]] TargetState *find(const TargetId &);
    [[nodiscard]] const TargetState *find(const TargetId &) const;

    [[nodiscard]] Candidates candidates(const CandidateQuery &, absl::Time now) const;
    [[nodiscard]] bool anyAcceptsNewWork(const ServiceName &) const;

private:
    // The targets that are reserved as a whole for urgent work: the first ones of the service in hash order,
    // so that all routers agree on them. Whole targets are reserved because load reports are delayed: routers
    // that each leave some slots of a shared target free would together fill it before a report shows that. A
    // target without patient work stays free. Empty if the reserved share amounts to less than one target;
    // then a share of each target's slots is reserved instead.
    [[nodiscard]] std::set<TargetId> reservedTargets(const CandidateQuery &) const;
    // The targets of the service that the attempt may use, ordered by id.
    [[nodiscard]] std::vector<TargetId> eligibleTargets(const CandidateQuery &,
                                                        const std::set<TargetId> &reserved) const;
    [[nodiscard]] static std::uint32_t loadLimit(const TargetState &, const CandidateQuery &,
                                                 bool hasReservedTargets);

    std::map<TargetId, TargetState> m_targets;
    // Invariant: contains each target under its current service.
    std::map<ServiceName, std::set<TargetId>> m_byService;
    // Invariant: contains the same targets as m_byService, ordered by a hash of their ids.
    std::map<ServiceName, std::set<std::pair<std::uint64_t, TargetId>>> m_byHash;
};

} // namespace Wisteria
