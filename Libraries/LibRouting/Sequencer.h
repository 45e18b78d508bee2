// Delivers the tokens of an answer in order, each offset once and only from the adopted attempt.

#pragma once

#include <LibRouting/Recovery.h>

namespace Wisteria {

class Sequencer
{
public:
    Sequencer(RoutingState &, AttemptLauncher &, GenerationCloser &, Recovery &);

    void handle(const AttemptStarted &);
    void handle(const TokenArrived &);
    void handle(const AttemptFinished &);

private:
    // Makes the attempt the only source of the answer and cancels all others.
    void adopt(Generation &, const Attempt &);
    void noteProgress(const Generation &, Attempt &);

    RoutingState &m_state;
    AttemptLauncher &m_launcher;
    GenerationCloser &m_closer;
    Recovery &m_recovery;
};

} // namespace Wisteria
