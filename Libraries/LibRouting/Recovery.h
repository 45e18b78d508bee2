// Goes on with generations whose attempts failed or fell silent, within the retry budget.

#pragma once

#include <LibRouting/GenerationCloser.h>
#include <LibRouting/StallDetector.h>

namespace Wisteria {

class Recovery
{
public:
    Recovery(RoutingState &, AttemptLauncher &, GenerationCloser &);

    // The engine, or the connection to it, ended the attempt.
    void handle(const AttemptFailed &);
    // The attempt is over at the engine without the answer's end.
    void handleAttemptEnded(Generation &, AttemptId, AttemptFailure);
    // The attempt is of no use any more, though the engine may still run it.
    void handleStreamBroken(Generation &, AttemptId);
    // All attempts at the target are lost.
    void handleTargetGone(const TargetId &);
    // The configuration has changed.
    void handleConfigurationChange(Generation &);
    // The generation's wake-up is due.
    void handleWakeUp(Generation &);

    // Makes the next attempt of a generation that has none; it may have to wait or be refused instead.
    void resumeOrRetry(Generation &);

    [[nodiscard]] absl::Time nextCheckAt(const Generation &generation) const
    {
        return m_stallDetector.nextCheckAt(generation);
    }

private:
    void noteFailure(Generation &, const TargetId &, AttemptFailure);
    void handleStall(Generation &);
    void hedge(Generation &, const Attempt &stalled);
    // Looks at the generation again a little later.
    void postponeStallCheck(Generation &);
    void startNextAttempt(Generation &);
    // Moves a generation without tokens to the service's present model; one with tokens cannot follow and is
    // lost. False when the generation was refused instead.
    [[nodiscard]] bool switchToCurrentModel(Generation &);
    // False when the generation was refused instead.
    [[nodiscard]] bool authorizeRetry(Generation &);
    [[nodiscard]] bool tryConsumeBudget(RetryBudget::Kind);

    RoutingState &m_state;
    AttemptLauncher &m_launcher;
    GenerationCloser &m_closer;
    StallDetector m_stallDetector;
};

} // namespace Wisteria
