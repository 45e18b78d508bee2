// Decodes notices by the dialect and logs those that change what the target is sent.

#include <LibGateway/TargetNoticeRecorder.h>

namespace Wisteria {

namespace detail {

constexpr absl::Duration malformedLogInterval = absl::Seconds(10);

} // namespace detail

void TargetNoticeRecorder::record(const TargetProcess &process, const HttpResponseHead &head,
                                  absl::Time requestSentAt, absl::Time now)
{
    const auto notice = m_dialect.readTargetNotice(head);
    if (notice.isMalformed) {
        m_metrics.increment("target_notices_malformed_total", "");
        if (now >= m_nextMalformedLogAt) {
            m_nextMalformedLogAt = now + detail::malformedLogInterval;
            m_log.write("target_notice_malformed", {{"target", process.id.value()}, {"status", head.status}},
                        now);
        }
    }
    const auto effect = m_targets.recordNotice(process, notice, requestSentAt, now);
    if (effect.hasStartedLeaving) {
        m_metrics.increment("target_leaving_total", "");
        m_log.write("target_leaving",
                    {{"target", process.id.value()}, {"started_at_ms", process.startedAtMs}}, now);
    }
    m_limits.limitChanged(process, effect.limit, now);
    if (effect.hasBackedOff) {
        m_metrics.increment("target_backoff_total", "");
        m_log.write("target_backoff",
                    {{"target", process.id.value()},
                     {"for_ms", absl::ToInt64Milliseconds(m_targets.backoffEnd(process.id) - now)}},
                    now);
    }
}

} // namespace Wisteria
