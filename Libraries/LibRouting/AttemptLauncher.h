// Chooses targets, starts and ends attempts, and keeps the load counts of the targets up to date.

#pragma once

#include <LibRouting/RoutingState.h>

namespace Wisteria {

// The target for the next attempt, or the reason why there is none.
struct TargetChoice
{
    enum class Outcome { Chosen, NoCapacity, NoTarget };

    Outcome outcome{Outcome::NoTarget};
    TargetId target;
    std::vector<TargetId> alternatives;
    std::string reason;
};

class AttemptLauncher
{
public:
    explicit AttemptLauncher(RoutingState &state) : m_state(state) { }

    [[nodiscard]] TargetChoice choose(const Generation &, ResumeTargetStrategy) const;
    // Opens a stream whose prefix is the answer up to the next offset of the generation.
    void start(Generation &, const TargetChoice &, DecisionKind);
    // Attaches to a stream that this or another router opened earlier.
    void reattach(Generation &, const ResumePoint &);

    // Ends an attempt that may still be running on the engine and cancels it there.
    void cancel(Generation &, AttemptId);
    void cancelAllBut(Generation &, AttemptId winner);
    // Ends an attempt that the engine has finished or that another router will continue.
    void release(Generation &, AttemptId);

private:
    [[nodiscard]] CandidateQuery queryFor(const Generation &) const;
    [[nodiscard]] std::size_t select(const Generation &, ResumeTargetStrategy,
                                     std::span<const TargetCandidate>) const;
    // The failure domain of the target that the generation lost most recently.
    [[nodiscard]] std::optional<FailureDomain> lostDomain(const Generation &) const;

    RoutingState &m_state;
};

} // namespace Wisteria
