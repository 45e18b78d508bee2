// Decides whether a request can be served in time, and records what that is estimated from.

#include <LibGateway/ForwardSession.h>

#include <LibCore/Views.h>
#include <LibForwarding/DeadlineAdmission.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// Capacity that is reckoned with at least when refused callers are told to return.
constexpr double minCapacityShare = 0.1;

} // namespace detail

double ForwardSession::moreUrgentShare(const ExpectedStart &start, absl::Time now) const
{
    const double tokens =
        m_gatewayContext.admissions[m_routed.service->name].demand.moreUrgentTokensPerSecond(rank(), now);
    return tokens > 0 ? absl::ToDoubleSeconds(tokens * start.timePerToken) : 0;
}

bool ForwardSession::canFinishInTime(int attemptNumber, absl::Duration timeLeft)
{
    // A stream that is resumed may be shorter than the caller's estimate, so it is never refused here.
    if (!m_routed.service->isModelService || m_forwardedRequest.lastEvent())
        return true;
    const auto now = monotonicNow();
    const auto start = m_gatewayContext.targets.earliestStart(requirements(), now);
    const auto backlog = start.wait;
    // Without a healthy target, the pool chooses a suspect one or none.
    if (backlog == absl::InfiniteDuration())
        return true;
    const auto &size = m_routed.request.size;
    const auto prefillTime = start.speed.timeFor(performance().prefillTime(size.promptTokens));
    const auto decodeTime = start.speed.timeFor(performance().decodeTime(size.expectedOutputTokens));
    const double moreUrgentShare = this->moreUrgentShare(start, now);
    const bool canFinishInTime = DeadlineAdmission::canFinishInTime({.backlog = backlog,
                                                                     .prefillTime = prefillTime,
                                                                     .decodeTime = decodeTime,
                                                                     .timeLeft = timeLeft,
                                                                     .moreUrgentShare = moreUrgentShare});
    if (!canFinishInTime && fallBackToBaseline())
        return this->canFinishInTime(attemptNumber, timeLeft);
    if (!canFinishInTime) {
        log("no_time_left",
            {{"number", attemptNumber},
             {"prompt_tokens", size.promptTokens},
             {"expected_tokens", size.expectedOutputTokens},
             {"backlog_ms", absl::ToInt64Milliseconds(backlog)},
             {"prefill_ms", absl::ToInt64Milliseconds(prefillTime)},
             {"decode_ms", absl::ToInt64Milliseconds(decodeTime)},
             {"rank", rank().value()},
             {"more_urgent_share", moreUrgentShare},
             {"time_left_ms", absl::ToInt64Milliseconds(timeLeft)}});
    }
    return canFinishInTime;
}

std::optional<PlannedReturn> ForwardSession::planReturn(RefusalReason reason, absl::Time now) const
{
    const bool isPlanned = reason == RefusalReason::NoTimeLeft || reason == RefusalReason::TargetsFull;
    if (!isPlanned || !m_routed.service->isModelService)
        return std::nullopt;
    const auto start = m_gatewayContext.targets.earliestStart(requirements(), now);
    if (start.timePerToken == absl::InfiniteDuration())
        return std::nullopt;
    const auto &size = m_routed.request.size;
    const auto serviceTime = start.speed.timeFor(performance().prefillTime(size.promptTokens)
                                                 + performance().decodeTime(size.expectedOutputTokens));
    auto &admission = m_gatewayContext.admissions[m_routed.service->name];
    // What more urgent requests leave, and a little even if they leave nothing.
    const double share = std::max(1 - moreUrgentShare(start, now), detail::minCapacityShare);
    const auto callerTimeout = m_routed.request.callerTimeout.value_or(m_routed.route->timeout);
    return admission.returns.plan(
        {.untilCapacity = std::max(start.wait / share + serviceTime - callerTimeout, absl::ZeroDuration()),
         .workTime = static_cast<double>(size.promptTokens) * admission.demand.fleetFactor(now) / share
             * start.timePerToken,
         .callerTimeout = callerTimeout,
         .timeLeft = callerTimeout - (now - m_arrivedAt),
         .serviceTime = serviceTime},
        now);
}

void ForwardSession::countRefusal(RefusalReason reason)
{
    m_gatewayContext.metrics.increment("rejections_total",
                                       absl::StrCat("reason=\"", abslView(refusalReasonName(reason)),
                                                    "\",rank=\"",
                                                    std::min(rank().value(), RankedDemand::maxRank), "\""));
}

void ForwardSession::countWaste(const TargetRun &run, RunRole role, std::string_view reason, absl::Time now)
{
    if (!m_routed.service->isModelService)
        return;
    const bool hasEvents = run.firstEventAt().has_value();
    const auto waste = promptWasteOf(reason, role == RunRole::Replacement, hasEvents);
    if (!waste)
        return;
    countWaste(*waste,
               processedPromptTokens({.promptTokens = m_routed.request.size.promptTokens,
                                      .expectedWait = run.origin().expectedWait,
                                      .prefillTime = run.origin().prefillTime,
                                      .lasted = now - run.sentAt(),
                                      .hasEvents = hasEvents,
                                      .isFromCopy = run.origin().isFromCopy}));
}

void ForwardSession::countWaste(PromptWaste waste, std::int64_t promptTokens)
{
    if (promptTokens <= 0)
        return;
    m_gatewayContext.metrics.increment("wasted_prompt_tokens_total",
                                       absl::StrCat("class=\"", abslView(promptWasteName(waste)), "\""),
                                       static_cast<std::uint64_t>(promptTokens));
}

void ForwardSession::recordFirstEvent(const TargetRun &run, absl::Time now)
{
    m_nextSurvivalAt = now + PromptQuarantine::survivalTime;
    sampleFirstEvent(run, now);
    const bool isFirstAttempt = m_triedTargets.size() == 1 && !m_routed.request.lastEvent;
    if (!isFirstAttempt)
        return;
    const auto promptTokens = m_routed.request.size.promptTokens;
    performance().recordPrompt(promptTokens);
    if (m_routed.service->isModelService) {
        const auto expected = run.origin().expectedWait + run.origin().prefillTime;
        const auto actual = now - run.sentAt();
        m_gatewayContext.metrics.observe("attempt_first_event_seconds", R"(time="expected")", expected);
        m_gatewayContext.metrics.observe("attempt_first_event_seconds", R"(time="actual")", actual);
        m_gatewayContext.metrics.observe("attempt_first_event_seconds", R"(time="beyond_expected")",
                                         std::max(actual - expected, absl::ZeroDuration()));
    }
    if (!run.origin().wasTargetIdle)
        return;
    performance().recordPrefill(promptTokens, now - run.sentAt());
    auto &targets = m_gatewayContext.targets;
    // A short prompt's time consists of delays other than the prefill.
    const bool isLongPrompt =
        performance().prefillTime(promptTokens) > performance().typicalPrefillTime() / 2;
    if (isLongPrompt && !targets.hadPeerPromptSince(run.target(), run.sentAt()))
        targets.speeds().recordPrefill(run.process(), m_routed.service->name, promptTokens,
                                       now - run.sentAt(), now);
}

void ForwardSession::recordCompletedStream(const TargetRun &run, absl::Time now)
{
    sampleRate(run, now);
    const bool isFirstAttempt = m_triedTargets.size() == 1 && !m_routed.request.lastEvent;
    if (!isFirstAttempt || !run.firstEventAt())
        return;
    performance().recordGeneration({.expectedOutputTokens = m_routed.request.size.expectedOutputTokens,
                                    .events = run.eventCount(),
                                    .total = now - run.sentAt(),
                                    .decoding = run.writingTime(now)});
}

} // namespace Wisteria
