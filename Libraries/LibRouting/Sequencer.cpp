// Adopts attempts and delivers their tokens.

#include <LibRouting/Sequencer.h>

namespace Wisteria {

Sequencer::Sequencer(RoutingState &state, AttemptLauncher &launcher, GenerationCloser &closer,
                     Recovery &recovery)
    : m_state(state), m_launcher(launcher), m_closer(closer), m_recovery(recovery)
{
}

void Sequencer::handle(const AttemptStarted &event)
{
    if (Generation *generation = m_state.generations.findByAttempt(event.attempt))
        generation->find(event.attempt)->stream = event.stream;
}

void Sequencer::handle(const TokenArrived &event)
{
    Generation *generation = m_state.generations.findByAttempt(event.attempt);
    // A re-attached stream may repeat tokens that the caller already has.
    if (!generation || event.offset < generation->next)
        return;
    if (event.offset > generation->next) {
        m_recovery.handleStreamBroken(*generation, event.attempt);
        return;
    }
    if (generation->adopted != event.attempt)
        adopt(*generation, *generation->find(event.attempt));
    Attempt &attempt = *generation->find(event.attempt);
    noteProgress(*generation, attempt);
    m_state.actions.push_back(DeliverToken{generation->id(), attempt.id, event.offset, event.text,
                                           attempt.target, attempt.stream, attempt.streamStart});
    generation->next = nextOffset(event.offset);
    generation->attemptsSinceProgress = 0;
    generation->failedTargets.clear();
    generation->nextStallCheck = absl::InfinitePast();
}

void Sequencer::handle(const AttemptFinished &event)
{
    Generation *generation = m_state.generations.findByAttempt(event.attempt);
    if (!generation)
        return;
    if (event.end != generation->next) {
        m_recovery.handleAttemptEnded(*generation, event.attempt, AttemptFailure::StreamLost);
        return;
    }
    m_launcher.cancelAllBut(*generation, event.attempt);
    m_launcher.release(*generation, event.attempt);
    m_closer.complete(*generation, event.reason);
}

void Sequencer::adopt(Generation &generation, const Attempt &attempt)
{
    const AttemptId winner = attempt.id;
    m_state.record(DecisionKind::Adopt, generation.id(), attempt.target,
                   generation.attempts.size() > 1 ? "first attempt to produce the next token"
                                                  : "first token");
    m_launcher.cancelAllBut(generation, winner);
    generation.adopted = winner;
    m_state.markForReschedule(generation);
}

void Sequencer::noteProgress(const Generation &generation, Attempt &attempt)
{
    const absl::Duration latency = m_state.now - attempt.lastProgress;
    if (TargetState *target = m_state.targets.find(attempt.target)) {
        if (attempt.progress == AttemptProgress::Producing)
            target->tokenLatency().addInterTokenLatency(latency);
        else if (attempt.kind == AttemptKind::Start)
            target->tokenLatency().addTimeToFirstToken(
                latency, generation.request.promptTokens + attempt.streamStart.value());
        target->noteProgress(m_state.now);
    }
    attempt.lastProgress = m_state.now;
    attempt.progress = AttemptProgress::Producing;
}

} // namespace Wisteria
