// All targets that this router knows, and which of them may take an attempt.

#pragma once

#include <LibRouting/TargetSelector.h>
#include <LibRouting/TargetState.h>

#include <map>
#include <set>

namespace Wisteria {

// How far an attempt may fill a target, and which targets are kept from it.
enum class SlotClass {
    // Leaves the urgent reserve free.
    Patient,
    // A patient answer that lost its stream: it may go past the slots, so that it does not wait behind new
    // work.
    Resumed,
    // Takes reserved targets first; may go past the slots, since the engine serves it by priority.
    Urgent,
};

struct CandidateQuery
{
    ServiceName service;
    PromptPrefixHash prefixHash;
    SlotClass slotClass{SlotClass::Patient};
    double urgentReserve{0};
    // Targets that already run the generation. They are never candidates.
    std::vector<TargetId> running;
    // Targets that failed the generation. They are candidates only when no other is left.
    std::vector<TargetId> failed;
};

struct Candidates
{
    // In the order of their ids.
    std::vector<TargetCandidate> available;
    // Whether any target could take the attempt once it has room.
    bool anyExists{false};
};

class TargetTable
{
public:
    void apply(const TargetChanged &);
    // Drops a gone target, so that replaced VMs leave nothing behind.
    void removeIfGone(const TargetId &);

    // Null for targets that are gone or were never reported.
    [[nodiscard]] TargetState *find(const TargetId &);
    [[nodiscard]] const TargetState *find(const TargetId &) const;

    [[nodiscard]] Candidates candidates(const CandidateQuery &, absl::Time now) const;
    // Whether any target of the service takes new work.
    [[nodiscard]] bool anyAcceptsNewWork(const ServiceName &) const;

private:
    // Whole targets that make up the reserve: the first ones of the service by a hash, alike at every router.
    // Load reports lag, so slots that each router leaves free are taken by the others before a report says
    // so; a target that nobody gives patient work to stays free. Empty where the share is less than one
    // target, and the reserve is then a share of each target's slots.
    [[nodiscard]] std::set<TargetId> reservedTargets(const CandidateQuery &) const;
    // The targets of the service that the attempt may be given to, in the order of their ids.
    [[nodiscard]] std::vector<TargetId> eligibleTargets(const CandidateQuery &,
                                                        const std::set<TargetId> &reserved) const;
    [[nodiscard]] static std::uint32_t loadLimit(const TargetState &, const CandidateQuery &,
                                                 bool hasReservedTargets);

    std::map<TargetId, TargetState> m_targets;
    // Invariant: names each target under its present service.
    std::map<ServiceName, std::set<TargetId>> m_byService;
    // Invariant: the same targets as in m_byService, in the order of a hash of their ids.
    std::map<ServiceName, std::set<std::pair<std::uint64_t, TargetId>>> m_byHash;
};

} // namespace Wisteria
