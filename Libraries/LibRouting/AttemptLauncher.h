// Chooses targets and begins and ends attempts, keeping the targets' load counts in step.

#pragma once

#include <LibRouting/RoutingState.h>

namespace Wisteria {

// The target of a further attempt, or why there is none.
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
    // Opens a stream with the prefix below the generation's next offset.
    void start(Generation &, const TargetChoice &, DecisionKind);
    // Attaches to the stream that an earlier router opened.
    void reattach(Generation &, const ResumePoint &);

    // Ends an attempt that the engine may still run.
    void cancel(Generation &, AttemptId);
    void cancelAllBut(Generation &, AttemptId winner);
    // Ends an attempt that is over at the engine, or that another router goes on with.
    void release(Generation &, AttemptId);

private:
    [[nodiscard]] CandidateQuery queryFor(const Generation &) const;
    [[nodiscard]] std::size_t select(const Generation &, ResumeTargetStrategy,
                                     std::span<const TargetCandidate>) const;
    // The failure domain in which the generation's latest attempt was lost.
    [[nodiscard]] std::optional<FailureDomain> lostDomain(const Generation &) const;

    RoutingState &m_state;
};

} // namespace Wisteria
