// Verifies answers that have no framing and end with their connection.

#include <LibGateway/ForwardSession.h>

#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/steady_timer.hpp>

namespace Wisteria {

namespace detail {

// A full target rejects a status check, too.
constexpr int maxStatusChecks = 5;
constexpr std::chrono::milliseconds statusCheckInterval{30};

} // namespace detail

void ForwardSession::completeIfTargetRuns(const TargetAttempt &attempt,
                                          std::function<void(ForwardSession &, RunRole)> complete)
{
    const auto &run = *runOf(roleOf(attempt));
    verify(std::make_shared<UnframedAnswer>(
        UnframedAnswer{.attempt = run.attempt(), .process = run.process(), .complete = std::move(complete)}));
}

void ForwardSession::verify(const std::shared_ptr<UnframedAnswer> &answer)
{
    const auto &process = answer->process;
    if (m_routed.service->statusPath.empty() || !maySendControlRequest(process.id)) {
        verifyByConnecting(answer);
        return;
    }
    ++answer->checks;
    const ForwardingTarget target{
        .id = process.id, .address = process.address, .startedAtMs = process.startedAtMs};
    sendPermittedControlRequest(
        target, m_gatewayContext.dialect.makeStatusCheck(m_routed.service->statusPath),
        [weak = weak_from_this(), answer](const HttpCallResult &result) {
            const auto self = weak.lock();
            if (!self || self->isFinished())
                return;
            const auto identity = result
                ? self->m_gatewayContext.dialect.parseStatusResponse(*result, answer->process)
                : TargetIdentity::Unknown;
            const bool mayAskAgain = result || result.error() == HttpFailure::ConnectionLost
                || result.error() == HttpFailure::BadAnswer;
            if (identity != TargetIdentity::Unknown || !mayAskAgain
                || answer->checks >= detail::maxStatusChecks) {
                self->answerVerified(*answer, identity);
                return;
            }
            auto timer = std::make_shared<boost::asio::steady_timer>(self->m_gatewayContext.context,
                                                                     detail::statusCheckInterval);
            timer->async_wait([weak, answer, timer](const auto &ec) {
                if (const auto session = weak.lock(); session && !ec && !session->isFinished())
                    session->verify(answer);
            });
        });
}

void ForwardSession::verifyByConnecting(const std::shared_ptr<UnframedAnswer> &answer)
{
    const ForwardingTarget target{.id = answer->process.id, .address = answer->process.address};
    m_gatewayContext.connections.probe(target, [weak = weak_from_this(), answer](ProbeResult result) {
        if (const auto self = weak.lock(); self && !self->isFinished())
            self->answerVerified(
                *answer, result == ProbeResult::Connected ? TargetIdentity::Same : TargetIdentity::Unknown);
    });
}

void ForwardSession::answerVerified(const UnframedAnswer &answer, TargetIdentity identity)
{
    const auto attempt = answer.attempt.lock();
    if (!attempt)
        return;
    const bool wasReset = attempt->wasResetAfterAnswer();
    const bool isWhole = identity == TargetIdentity::Same && !wasReset
        && !m_gatewayContext.targets.isSuperseded(answer.process);
    m_gatewayContext.metrics.increment("unframed_answers_total",
                                       isWhole ? R"(outcome="whole")" : R"(outcome="lost")");
    log("unframed_answer",
        {{"target", answer.process.id.value()},
         {"whole", isWhole},
         {"target_runs", identity == TargetIdentity::Same},
         {"reset", wasReset},
         {"status_checks", answer.checks}});
    if (isWhole)
        answer.complete(*this, roleOf(*attempt));
    else
        attemptLost(*attempt,
                    identity == TargetIdentity::Other ? TargetFault::Gone : TargetFault::ConnectionLost);
}

} // namespace Wisteria
