// Admits, queues or rejects new requests.

#pragma once

#include <LibRouting/Recovery.h>

namespace Wisteria {

class Admission
{
public:
    Admission(RoutingState &, AttemptLauncher &, GenerationCloser &, Recovery &);

    void handle(const RequestOpened &);
    // Starts queued requests while there is capacity and refuses those whose service has no target left.
    void dispatchQueued();

private:
    // Refuses or hands over a request that must not be admitted. Returns true if it did.
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
