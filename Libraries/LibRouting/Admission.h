// Takes new requests in, lets them wait, or refuses them at once.

#pragma once

#include <LibRouting/Recovery.h>

namespace Wisteria {

class Admission
{
public:
    Admission(RoutingState &, AttemptLauncher &, GenerationCloser &, Recovery &);

    void handle(const RequestOpened &);
    // Starts what waits, as far as there is room, and refuses what no target is left for.
    void dispatchQueued();

private:
    // Refuses or hands over what must not come in; true when it did.
    [[nodiscard]] bool rejectIfInadmissible(const RequestOpened &);
    [[nodiscard]] bool mayReattach(const RequestOpened &) const;
    [[nodiscard]] bool hasQueuedAtOrAbove(const ServiceName &, QueuePriority) const;

    void admitNew(Generation &);
    void admitResumed(Generation &, const ResumePoint &);
    void enqueue(Generation &, QueuePriority);
    void dispatchQueued(const ServiceName &, QueuePriority);

    RoutingState &m_state;
    AttemptLauncher &m_launcher;
    GenerationCloser &m_closer;
    Recovery &m_recovery;
};

} // namespace Wisteria
