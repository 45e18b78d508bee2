// Retries, resumes or hedges generations whose attempts failed or stalled, within the retry budget.

#pragma once

#include <LibRouting/GenerationCloser.h>
#include <LibRouting/StallDetector.h>

namespace Wisteria {

class Recovery
{
public:
    Recovery(RoutingState &, AttemptLauncher &, GenerationCloser &);

    // The engine or the connection to it ended the attempt.
    void handle(const AttemptFailed &);
    // The engine ended the attempt before the answer was complete.
    void handleAttemptEnded(Generation &, AttemptId, AttemptFailure);
    // The attempt is unusable, but the engine may still be running it.
    void handleStreamBroken(Generation &, AttemptId);
    // All attempts on the target are lost.
    void handleTargetGone(const TargetId &);
    void handleConfigurationChange(Generation &);
    void handleWakeUp(Generation &);

    // Starts the next attempt of a generation that has none, possibly after a backoff. The generation may be
    // queued, completed or refused instead.
    void resumeOrRetry(Generation &);

    [[nodiscard]] absl::Time nextCheckAt(const Generation &generation) const
    {
        return m_stallDetector.nextCheckAt(generation);
    }

private:
    void noteFailure(Generation &, const TargetId &, AttemptFailure);
    void handleStall(Generation &);
    void hedge(Generation &, const Attempt &stalled);
    // Delays the next stall check of the generation.
    void postponeStallCheck(Generation &);
    void startNextAttempt(Generation &);
    // Switches a generation without delivered tokens to the service's current model. A generation with
    // delivered tokens can't switch and is refused. Returns false if the generation was refused.
    [[nodiscard]] bool switchToCurrentModel(Generation &);
    // Checks the deadline, model, attempt limits and retry budget. Returns false if the generation was
    // refused.
    [[nodiscard]] bool authorizeRetry(Generation &);
    [[nodiscard]] bool tryConsumeBudget(RetryBudget::Kind);

    RoutingState &m_state;
    AttemptLauncher &m_launcher;
    GenerationCloser &m_closer;
    StallDetector m_stallDetector;
};

} // namespace Wisteria
