// Sends calls to plain services: non-idempotent ones exactly as the ledger orders, idempotent ones with
// retries.

#pragma once

#include <LibLedger/Events.h>
#include <LibPlatform/ElasticPool.h>
#include <Router/DecisionLog.h>
#include <Router/HostEvents.h>
#include <Router/Metrics.h>
#include <Router/PlainTargets.h>

namespace Wisteria {

class TargetCalls
{
public:
    // All references must outlive the object.
    TargetCalls(EventSink &sink, PlainTargets &targets, DecisionLog &log, Metrics &metrics,
                std::size_t maxThreads);

    // Sends the call once, to one target, and posts TargetAnswered or DispatchFailed.
    void dispatchOnce(CallId call, const ServiceName &service, const IdempotencyKey &key, std::string body,
                      absl::Duration timeout);

    // Runs an idempotent call on the caller's thread and tries further targets while the deadline allows.
    [[nodiscard]] CallAnswer runIdempotent(const ServiceName &service, const std::string &body,
                                           absl::Time deadline);

private:
    void send(CallId call, const ServiceName &service, const IdempotencyKey &key, const std::string &body,
              absl::Duration timeout);
    void noteChoice(std::string_view request, const PlainTargets::Slot &slot, std::string_view reason);

    EventSink &m_sink;
    PlainTargets &m_targets;
    DecisionLog &m_log;
    Metrics &m_metrics;
    ElasticPool m_pool;
};

} // namespace Wisteria
