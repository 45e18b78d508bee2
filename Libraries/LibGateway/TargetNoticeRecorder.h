// Passes on what targets say of themselves in answers, of any kind, to the pool, the log and the metrics.

#pragma once

#include <LibForwarding/TargetPool.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/LimitGuard.h>
#include <LibGateway/StructuredLog.h>

#include <absl/time/time.h>

namespace Wisteria {

class TargetNoticeRecorder
{
public:
    TargetNoticeRecorder(const Dialect &dialect, TargetPool &targets, LimitGuard &limits, StructuredLog &log,
                         GatewayMetrics &metrics)
        : m_dialect(dialect), m_targets(targets), m_limits(limits), m_log(log), m_metrics(metrics)
    {
    }

    // `requestSentAt` is when the request was sent that the response answers.
    void record(const TargetProcess &, const HttpResponseHead &, absl::Time requestSentAt, absl::Time now);

private:
    const Dialect &m_dialect;
    TargetPool &m_targets;
    LimitGuard &m_limits;
    StructuredLog &m_log;
    GatewayMetrics &m_metrics;
    absl::Time m_nextMalformedLogAt{absl::InfinitePast()};
};

} // namespace Wisteria
