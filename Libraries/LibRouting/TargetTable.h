// All targets that this router knows, and which of them may take an attempt.

#pragma once

#include <LibRouting/TargetSelector.h>
#include <LibRouting/TargetState.h>

#include <map>
#include <set>

namespace Wisteria {

// How far an attempt may fill a target.
enum class SlotClass {
    // Leaves the urgent reserve free.
    Patient,
    // May use the reserve too.
    Shared,
    // May go past the slots by the reserve once more: the engine serves it by priority.
    Priority,
};

struct CandidateQuery
{
    ServiceName service;
    PromptHead head;
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
    std::vector<TargetCandidate> withRoom;
    // Whether any target could take the attempt once it has room.
    bool anyExists{false};
};

class TargetTable
{
public:
    void apply(const TargetChanged &);
    // Drops a gone target, so that replaced VMs leave nothing behind.
    void forgetIfGone(const TargetId &);

    // Null for targets that are gone or were never reported.
    [[nodiscard]] TargetState *find(const TargetId &);
    [[nodiscard]] const TargetState *find(const TargetId &) const;

    [[nodiscard]] Candidates candidates(const CandidateQuery &, absl::Time now) const;
    // Whether any target of the service takes new work.
    [[nodiscard]] bool anyTakesNewWork(const ServiceName &) const;

private:
    [[nodiscard]] static std::uint32_t room(const TargetState &, const CandidateQuery &);

    std::map<TargetId, TargetState> m_targets;
    // Invariant: names each target under its present service.
    std::map<ServiceName, std::set<TargetId>> m_byService;
};

} // namespace Wisteria
