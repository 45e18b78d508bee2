// Goes on with generations whose attempts failed or fell silent, within the retry budget.

#pragma once

#include <LibRouting/GenerationCloser.h>
#include <LibRouting/SilenceWatch.h>

namespace Wisteria {

class Recovery
{
public:
    Recovery(RoutingState &, AttemptLauncher &, GenerationCloser &);

    // The engine, or the connection to it, ended the attempt.
    void handle(const AttemptFailed &);
    // The attempt is over at the engine without the answer's end.
    void handleEnded(Generation &, AttemptId, AttemptFailure);
    // The attempt is of no use any more, though the engine may still run it.
    void handleBroken(Generation &, AttemptId);
    // All attempts at the target are lost.
    void handleGone(const TargetId &);
    // The configuration has changed.
    void handleConfiguration(Generation &);
    // The generation's wake-up is due.
    void handleWakeUp(Generation &);

    // Makes the next attempt of a generation that has none; it may have to wait or be refused instead.
    void goOn(Generation &);

    [[nodiscard]] absl::Time dueAt(const Generation &generation) const { return m_watch.dueAt(generation); }

private:
    void noteFailure(Generation &, const TargetId &, AttemptFailure);
    void handleSilence(Generation &);
    void race(Generation &, const Attempt &silent);
    // Looks at the generation again a little later.
    void lookAgain(Generation &);
    void startNext(Generation &);
    // Moves a generation without tokens to the service's present model; one with tokens cannot follow and is
    // lost. False when the generation was refused instead.
    [[nodiscard]] bool followModel(Generation &);
    // False when the generation was refused instead.
    [[nodiscard]] bool mayGoOn(Generation &);
    [[nodiscard]] bool takeFromBudget(RetryBudget::Kind);

    RoutingState &m_state;
    AttemptLauncher &m_launcher;
    GenerationCloser &m_closer;
    SilenceWatch m_watch;
};

} // namespace Wisteria
