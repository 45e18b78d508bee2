// Measures the answers of targets, for estimates of their speed and for the comparison of versions, and
// chooses the versions that an attempt may use.

#include <LibGateway/ForwardSession.h>

#include <LibPlatform/MonotonicClock.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr int firstServerErrorStatus = 500;
// Suffixes of a stream's route in the comparison of versions.
constexpr const char *firstEventSuffix = "#first";
constexpr const char *rateSuffix = "#rate";
// Shorter times than this are measured too coarsely to compare them.
constexpr absl::Duration minExpectedTime = absl::Milliseconds(1);
// Fewer events don't tell a stream's rate.
constexpr std::int64_t minRateEvents = 4;

} // namespace detail

ServicePerformance &ForwardSession::performance() const
{
    return m_gatewayContext.targets.performance(m_routed.service->name);
}

void ForwardSession::recordResumption(const TargetRun &run, absl::Time now)
{
    m_gatewayContext.metrics.observe("resume_seconds", "", now - *m_interruptedAt);
    log("resumed",
        {{"target", run.target().value()},
         {"from_copy", run.origin().isFromCopy},
         {"after_ms", absl::ToInt64Milliseconds(now - *m_interruptedAt)}});
}

void ForwardSession::chooseVersions()
{
    if (m_gatewayContext.rollouts)
        m_versions = m_gatewayContext.rollouts->ruleFor(m_routed.service->name, monotonicNow());
}

bool ForwardSession::fallBackToBaseline()
{
    if (m_versions.choice != VersionChoice::CandidateOnly
        || !m_gatewayContext.rollouts->mayFallBack(m_routed.service->name, monotonicNow()))
        return false;
    m_versions.choice = VersionChoice::BaselineOnly;
    return true;
}

std::optional<TargetId> ForwardSession::chooseTarget(RunRole role, absl::Time now)
{
    auto target = chooseAllowedTarget(role, now);
    if (target && m_gatewayContext.targets.isHealthy(*target, now))
        return target;
    const auto before = m_versions;
    if (!fallBackToBaseline())
        return target;
    auto other = chooseAllowedTarget(role, now);
    // A suspect target of the new version is better than none.
    if (!other && target) {
        m_versions = before;
        return target;
    }
    return other;
}

TargetRequirements ForwardSession::copyRequirements(const TargetId &target) const
{
    auto out = requirements();
    const auto *record = m_gatewayContext.targets.find(target);
    if (m_gatewayContext.rollouts && record)
        out.versions = m_gatewayContext.rollouts->copyRuleFor(*record, monotonicNow());
    return out;
}

bool ForwardSession::mayResumeAt(const ForwardingTarget &record) const
{
    return !m_gatewayContext.rollouts || m_gatewayContext.rollouts->mayPrefer(record, monotonicNow());
}

void ForwardSession::sampleAnswer(const TargetRun &run, SampledPart part, AnswerSample sample)
{
    if (!m_gatewayContext.rollouts)
        return;
    sample.route = m_routed.route->name;
    if (isStream(m_routed.route->kind))
        sample.route += part == SampledPart::Answer ? detail::firstEventSuffix : detail::rateSuffix;
    sample.process = run.target();
    m_gatewayContext.rollouts->recordAnswer(m_routed.service->name, run.version(), std::move(sample),
                                            monotonicNow());
}

void ForwardSession::sampleResponse(const TargetRun &run, int status, absl::Time now)
{
    AnswerSample sample;
    sample.isFailure = status >= detail::firstServerErrorStatus;
    if (!sample.isFailure && !isStream(m_routed.route->kind))
        sample.slowness = absl::ToDoubleMilliseconds(now - run.sentAt());
    sampleAnswer(run, SampledPart::Answer, std::move(sample));
}

void ForwardSession::sampleFirstEvent(const TargetRun &run, absl::Time now)
{
    AnswerSample sample;
    // A run that resumes from a copy processes a part of the prompt only.
    if (!run.origin().isFromCopy) {
        sample.slowness = absl::FDivDuration(now - run.sentAt(),
                                             std::max(run.origin().expectedTime, detail::minExpectedTime));
    }
    sampleAnswer(run, SampledPart::Answer, std::move(sample));
}

void ForwardSession::sampleRate(const TargetRun &run, absl::Time now)
{
    AnswerSample sample;
    if (run.eventCount() >= detail::minRateEvents)
        sample.slowness =
            absl::ToDoubleMilliseconds(run.writingTime(now)) / static_cast<double>(run.eventCount() - 1);
    sampleAnswer(run, SampledPart::StreamRate, std::move(sample));
}

void ForwardSession::sampleLoss(const TargetRun &run, TargetFault fault)
{
    const bool isMalformed = fault == TargetFault::InvalidResponse;
    sampleAnswer(run, run.firstEventAt() ? SampledPart::StreamRate : SampledPart::Answer,
                 {.isFailure = isMalformed, .isLoss = !isMalformed});
}

void ForwardSession::sampleCancelledRun(const TargetRun &run, RunRole role, absl::Time now)
{
    const bool isReplaced = !m_forwardedRequest.isFinished();
    // Otherwise the caller has left, or this router stops, which says nothing of the target.
    if (!isReplaced && now < m_forwardedRequest.deadline())
        return;
    if (!run.firstEventAt()) {
        if (isStream(m_routed.route->kind))
            sampleFirstEvent(run, now);
        else
            sampleAnswer(run, SampledPart::Answer,
                         {.slowness = absl::ToDoubleMilliseconds(now - run.sentAt())});
    } else if (!isReplaced) {
        sampleRate(run, now);
    } else if (role == RunRole::Current) {
        // The stream was silent for too long.
        sampleLoss(run, TargetFault::Unresponsive);
    }
}

} // namespace Wisteria
