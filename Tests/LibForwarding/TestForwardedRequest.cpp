// Tests the state machine of one forwarded request: retries, error responses, resuming of streams on another
// target, and completion.

#include <LibForwarding/ForwardedRequest.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// Allows a fixed number of retries.
class FixedRetryBudget final : public RetryGate
{
public:
    explicit FixedRetryBudget(int remaining) : m_remaining(remaining) { }
    bool tryAcquireRetry(absl::Time) override { return m_remaining-- > 0; }

private:
    int m_remaining;
};

template <typename Action>
const Action *findAction(const ForwardingActionList &actions)
{
    for (const auto &it : actions) {
        if (const auto *found = std::get_if<Action>(&it))
            return found;
    }
    return nullptr;
}

ForwardingParameters streamParameters()
{
    ForwardingParameters parameters;
    parameters.kind = RouteKind::ResumableStream;
    parameters.maxAttempts = 5;
    parameters.routeTimeout = absl::Seconds(25);
    parameters.callerTimeout = absl::Seconds(25);
    parameters.latencyObjective = absl::Milliseconds(4500);
    parameters.maxEventGap = absl::Milliseconds(700);
    parameters.usesCopies = true;
    return parameters;
}

ForwardingParameters nonIdempotentParameters()
{
    ForwardingParameters parameters;
    parameters.kind = RouteKind::AtMostOnce;
    parameters.maxAttempts = 1;
    parameters.routeTimeout = absl::Milliseconds(800);
    parameters.callerTimeout = absl::Milliseconds(1500);
    parameters.latencyObjective = absl::Milliseconds(100);
    return parameters;
}

ForwardingParameters idempotentParameters()
{
    auto parameters = nonIdempotentParameters();
    parameters.kind = RouteKind::Idempotent;
    parameters.maxAttempts = 2;
    return parameters;
}

constexpr int ampleRetries = 100;

} // namespace detail

class TestForwardedRequest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestForwardedRequest);
    CPPUNIT_TEST(nonIdempotentRequestIsNotRetriedAfterItMayHaveRun);
    CPPUNIT_TEST(nonIdempotentRequestIsRetriedWhenNoByteWasAccepted);
    CPPUNIT_TEST(retryAfterRefusalConsumesBudget);
    CPPUNIT_TEST(missingTargetIsRejectedAsNotRun);
    CPPUNIT_TEST(requestIsRefusedUntilFirstTargetEndsItsBackoff);
    CPPUNIT_TEST(retryAfterOfLongBackoffIsOneThatCallersHonor);
    CPPUNIT_TEST(requestThatMayHaveRunIsNotReportedAsNotRunDuringBackoff);
    CPPUNIT_TEST(requestThatWaitsForAPermitIsRejectedAsNotRun);
    CPPUNIT_TEST(runIsTimedFromItsPermit);
    CPPUNIT_TEST(routeTimeoutYields504);
    CPPUNIT_TEST(executedRequestIsNotReportedAsNotRun);
    CPPUNIT_TEST(otherFailuresOfTargetsAreDelivered);
    CPPUNIT_TEST(failedIdempotentRequestIsRetriedThenDelivered);
    CPPUNIT_TEST(stalledIdempotentAttemptIsRetried);
    CPPUNIT_TEST(stalledIdempotentAttemptContinuesWithoutBudget);
    CPPUNIT_TEST(requestThatCannotMeetDeadlineIsRejected);
    CPPUNIT_TEST(unresponsiveTargetIsReplaced);
    CPPUNIT_TEST(firstEventTimeoutGrowsWithBacklog);
    CPPUNIT_TEST(stalledStreamResumesFromCopy);
    CPPUNIT_TEST(suspectedRunGoesOnWhenReplacementIsRejected);
    CPPUNIT_TEST(suspectedRunGoesOnWhenReplacementIsLost);
    CPPUNIT_TEST(suspectedRunGoesOnWhenReplacementFails);
    CPPUNIT_TEST(suspectedRunGoesOnWhenReplacementIsNotStarted);
    CPPUNIT_TEST(suspectedRunGoesOnWhenReplacementIsBarred);
    CPPUNIT_TEST(rejectedReplacementIsNotSoughtAgainAtOnce);
    CPPUNIT_TEST(replacementIsCancelledWhenSuspectedRunGoesOn);
    CPPUNIT_TEST(replacementTakesOverWhenSuspectedRunIsLost);
    CPPUNIT_TEST(repeatedPausesDoNotUseUpTheAttempts);
    CPPUNIT_TEST(unreachableReplacementCostsOneRetry);
    CPPUNIT_TEST(silentReplacementIsReplaced);
    CPPUNIT_TEST(requestIsNotReportedAsNotRunAfterACancelledReplacement);
    CPPUNIT_TEST(bothRunsEndWithTheRequest);
    CPPUNIT_TEST(missingCopyIsRecomputedAfterLastEvent);
    CPPUNIT_TEST(streamUsesAtMostMaxAttempts);
    CPPUNIT_TEST(interruptedStreamIsNeverCompleted);
    CPPUNIT_TEST(callerDisconnectCancelsAttempt);
    CPPUNIT_TEST(shutdownAbortsRunningStream);
    CPPUNIT_TEST(shutdownDoesNotReportStartedRequestAsNotRun);
    CPPUNIT_TEST(longPrefillIsProbedNotRetried);
    CPPUNIT_TEST(silentStreamGoesOnWhileThereIsNoReplacement);
    CPPUNIT_TEST(replacementIsSoughtAgain);
    CPPUNIT_TEST(suspectedStreamGoesOnWhenAttemptsAreUsedUp);
    CPPUNIT_TEST(suspectedStreamGoesOnWithoutRetryBudget);
    CPPUNIT_TEST(suspicionDoesNotEndNonIdempotentRequest);
    CPPUNIT_TEST(barredRequestIsRefusedForTheTimeOfTheBar);
    CPPUNIT_TEST(barredRunIsCancelledAndNotReportedAsNotExecuted);
    CPPUNIT_TEST_SUITE_END();

public:
    void nonIdempotentRequestIsNotRetriedAfterItMayHaveRun()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::nonIdempotentParameters(), budget, m_start);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::StartAttempt>(request.begin(m_start)));
        const auto actions =
            request.handle(ForwardingEvents::AttemptLost{}, m_start + absl::Milliseconds(10));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::StartAttempt>(actions));
        const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal);
        CPPUNIT_ASSERT(!refusal->isNotExecuted);
        CPPUNIT_ASSERT_EQUAL(502, refusal->status);
        CPPUNIT_ASSERT(!refusal->retryAfter);
    }

    void nonIdempotentRequestIsRetriedWhenNoByteWasAccepted()
    {
        detail::FixedRetryBudget budget(0);
        ForwardedRequest request(detail::nonIdempotentParameters(), budget, m_start);
        (void)request.begin(m_start);
        const auto actions = request.handle(ForwardingEvents::AttemptNotExecuted{}, m_start);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::StartAttempt>(actions));
    }

    void retryAfterRefusalConsumesBudget()
    {
        detail::FixedRetryBudget budget(1);
        ForwardedRequest request(detail::nonIdempotentParameters(), budget, m_start);
        (void)request.begin(m_start);
        const ForwardingEvents::AttemptNotExecuted refused{.fault = TargetFault::Gone, .wasRefused = true};
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::StartAttempt>(request.handle(refused, m_start)));
        const auto actions = request.handle(refused, m_start);
        const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal && refusal->isNotExecuted && refusal->retryAfter);
        CPPUNIT_ASSERT_EQUAL(503, refusal->status);
    }

    void missingTargetIsRejectedAsNotRun()
    {
        detail::FixedRetryBudget budget(0);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        const auto actions = request.handle(ForwardingEvents::NoTarget{}, m_start);
        const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal && refusal->isNotExecuted && refusal->retryAfter);
        CPPUNIT_ASSERT(request.isFinished());
    }

    void requestIsRefusedUntilFirstTargetEndsItsBackoff()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        const auto backoff = absl::Seconds(3);
        const auto actions = request.handle(ForwardingEvents::NoTarget{backoff}, m_start);
        const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal && refusal->isNotExecuted && refusal->retryAfter);
        CPPUNIT_ASSERT(refusal->reason == RefusalReason::TargetsBackingOff);
        CPPUNIT_ASSERT_EQUAL(503, refusal->status);
        CPPUNIT_ASSERT(refusal->earliestRetry == backoff);
        CPPUNIT_ASSERT(*refusal->retryAfter > backoff);
        CPPUNIT_ASSERT(request.isFinished());
    }

    void retryAfterOfLongBackoffIsOneThatCallersHonor()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        const auto parameters = detail::streamParameters();
        ForwardedRequest request(parameters, budget, m_start);
        (void)request.begin(m_start);
        const auto actions = request.handle(ForwardingEvents::NoTarget{absl::Hours(1)}, m_start);
        const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal && refusal->retryAfter);
        CPPUNIT_ASSERT(*refusal->retryAfter <= parameters.callerTimeout / 3);
    }

    void requestThatMayHaveRunIsNotReportedAsNotRunDuringBackoff()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::AttemptLost{}, m_start);
        const auto actions = request.handle(ForwardingEvents::NoTarget{absl::Seconds(3)}, m_start);
        const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal && !refusal->isNotExecuted && !refusal->retryAfter);
        CPPUNIT_ASSERT_EQUAL(502, refusal->status);
    }

    void requestThatWaitsForAPermitIsRejectedAsNotRun()
    {
        const auto checkNotRun = [](const ForwardingActionList &actions, RefusalReason reason) {
            const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
            CPPUNIT_ASSERT(refusal);
            CPPUNIT_ASSERT_EQUAL(503, refusal->status);
            CPPUNIT_ASSERT(refusal->isNotExecuted);
            CPPUNIT_ASSERT(refusal->reason == reason);
            CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::CancelAttempt>(actions));
        };
        const auto waiting = [this](ForwardedRequest &request) -> ForwardedRequest & {
            (void)request.begin(m_start);
            const auto actions = request.handle(ForwardingEvents::AttemptDelayed{}, m_start);
            CPPUNIT_ASSERT(detail::findAction<ForwardingActions::SetTimer>(actions)->at
                           == request.deadline());
            return request;
        };
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest denied(detail::nonIdempotentParameters(), budget, m_start);
        checkNotRun(
            waiting(denied).handle(
                ForwardingEvents::NoTarget{.backoff = absl::Milliseconds(300), .isLimited = true}, m_start),
            RefusalReason::TargetsLimited);
        ForwardedRequest stopped(detail::nonIdempotentParameters(), budget, m_start);
        checkNotRun(waiting(stopped).handle(ForwardingEvents::ShutdownRequested{}, m_start),
                    RefusalReason::Stopping);
        ForwardedRequest late(detail::nonIdempotentParameters(), budget, m_start);
        checkNotRun(waiting(late).handle(ForwardingEvents::Tick{}, late.deadline()), RefusalReason::TimedOut);
    }

    void runIsTimedFromItsPermit()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::idempotentParameters(), budget, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::AttemptDelayed{}, m_start);
        const auto permitAt = m_start + absl::Milliseconds(250);
        const auto actions = request.handle(ForwardingEvents::AttemptSent{}, permitAt);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::SetTimer>(actions)->at
                       == permitAt + absl::Milliseconds(300));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::FindReplacement>(
            request.handle(ForwardingEvents::Tick{}, m_start + absl::Milliseconds(400))));
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::FindReplacement>(
            request.handle(ForwardingEvents::Tick{}, permitAt + absl::Milliseconds(300))));
    }

    void routeTimeoutYields504()
    {
        detail::FixedRetryBudget budget(0);
        ForwardedRequest request(detail::nonIdempotentParameters(), budget, m_start);
        (void)request.begin(m_start);
        CPPUNIT_ASSERT_EQUAL(std::string("800ms"), absl::FormatDuration(request.deadline() - m_start));
        const auto actions = request.handle(ForwardingEvents::Tick{}, request.deadline());
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::CancelAttempt>(actions));
        const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal && !refusal->isNotExecuted);
        CPPUNIT_ASSERT_EQUAL(504, refusal->status);
    }

    // Callers took the status for a promise, sent the request again and had it executed twice.
    void executedRequestIsNotReportedAsNotRun()
    {
        auto singleRunStream = detail::streamParameters();
        singleRunStream.kind = RouteKind::AtMostOnceStream;
        for (const auto &parameters : {detail::nonIdempotentParameters(), singleRunStream}) {
            for (const int status : {408, 421, 429, 503}) {
                detail::FixedRetryBudget budget(detail::ampleRetries);
                ForwardedRequest request(parameters, budget, m_start);
                (void)request.begin(m_start);
                const auto actions = request.handle(ForwardingEvents::ResponseReceived{status}, m_start);
                const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
                CPPUNIT_ASSERT(refusal && !refusal->isNotExecuted && !refusal->retryAfter);
                CPPUNIT_ASSERT_EQUAL(502, refusal->status);
                CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::SendResponse>(actions));
                CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::StartAttempt>(actions));
                CPPUNIT_ASSERT(request.isFinished());
            }
        }
    }

    void otherFailuresOfTargetsAreDelivered()
    {
        for (const int status : {400, 404, 500, 502, 504}) {
            detail::FixedRetryBudget budget(detail::ampleRetries);
            ForwardedRequest request(detail::nonIdempotentParameters(), budget, m_start);
            (void)request.begin(m_start);
            const auto actions = request.handle(ForwardingEvents::ResponseReceived{status}, m_start);
            CPPUNIT_ASSERT(detail::findAction<ForwardingActions::SendResponse>(actions));
        }
    }

    void failedIdempotentRequestIsRetriedThenDelivered()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::idempotentParameters(), budget, m_start);
        (void)request.begin(m_start);
        auto actions = request.handle(ForwardingEvents::ResponseReceived{500}, m_start);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::StartAttempt>(actions));
        actions = request.handle(ForwardingEvents::ResponseReceived{500}, m_start);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::SendResponse>(actions));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::Refuse>(actions));
    }

    void stalledIdempotentAttemptIsRetried()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::idempotentParameters(), budget, m_start);
        (void)request.begin(m_start);
        // Stall deadline of a request without a stream: 3 x latencyObjective (100 ms).
        auto actions = tickAndReplace(request, m_start + absl::Milliseconds(301));
        const auto *start = detail::findAction<ForwardingActions::StartAttempt>(actions);
        CPPUNIT_ASSERT(start && start->role == RunRole::Replacement);
        actions = request.handle(ForwardingEvents::ResponseReceived{200, RunRole::Replacement},
                                 m_start + absl::Milliseconds(350));
        const auto *cancel = detail::findAction<ForwardingActions::CancelAttempt>(actions);
        CPPUNIT_ASSERT(cancel && cancel->role == RunRole::Current);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::SendResponse>(actions));
    }

    void stalledIdempotentAttemptContinuesWithoutBudget()
    {
        detail::FixedRetryBudget budget(0);
        ForwardedRequest request(detail::idempotentParameters(), budget, m_start);
        (void)request.begin(m_start);
        // Stall deadline of a request without a stream: 3 x latencyObjective (100 ms).
        auto actions = request.handle(ForwardingEvents::Tick{}, m_start + absl::Milliseconds(301));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::CancelAttempt>(actions));
        actions = request.handle(ForwardingEvents::ReplacementFound{}, m_start + absl::Milliseconds(301));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::CancelAttempt>(actions));
        actions = request.handle(ForwardingEvents::ResponseReceived{200}, m_start + absl::Milliseconds(400));
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::SendResponse>(actions));
    }

    // After an outage many callers reconnect at once, with little time left until their deadlines.
    void requestThatCannotMeetDeadlineIsRejected()
    {
        detail::FixedRetryBudget budget(10);
        const auto now = absl::FromUnixSeconds(1000);
        ForwardedRequest request(detail::streamParameters(), budget, now);
        (void)request.begin(now);
        const auto actions = request.handle(ForwardingEvents::NoTimeLeft{}, now);
        const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal && refusal->isNotExecuted && refusal->retryAfter);
        CPPUNIT_ASSERT_EQUAL(503, refusal->status);
        CPPUNIT_ASSERT(request.isFinished());
        // Once an attempt may have run, the response must not claim that the request did not run.
        ForwardedRequest repeated(detail::streamParameters(), budget, now);
        (void)repeated.begin(now);
        (void)repeated.handle(ForwardingEvents::AttemptLost{}, now);
        const auto last = repeated.handle(ForwardingEvents::NoTimeLeft{}, now);
        CPPUNIT_ASSERT_EQUAL(502, detail::findAction<ForwardingActions::Refuse>(last)->status);
    }

    // A target whose link accepts connections but delivers no responses passes probes. Without this limit the
    // request ended with 504 after the whole route timeout.
    void unresponsiveTargetIsReplaced()
    {
        detail::FixedRetryBudget budget(10);
        const auto begin = absl::FromUnixSeconds(1000);
        ForwardedRequest request(detail::streamParameters(), budget, begin);
        (void)request.begin(begin);
        (void)request.handle(ForwardingEvents::AttemptSent{absl::Seconds(1)}, begin);
        const auto objective = detail::streamParameters().latencyObjective;
        const auto early =
            request.handle(ForwardingEvents::Tick{}, begin + objective - absl::Milliseconds(1));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::CancelAttempt>(early));
        const auto late = tickAndReplace(request, begin + objective);
        const auto *start = detail::findAction<ForwardingActions::StartAttempt>(late);
        CPPUNIT_ASSERT(start && start->number == 2 && !start->fromCopy);
        checkIsCancelledOnProgress(request, EventNumber(1), begin + objective);
    }

    // Under load each target has several prompts queued. Retrying elsewhere would give up the place in the
    // queue and lengthen the queues.
    void firstEventTimeoutGrowsWithBacklog()
    {
        detail::FixedRetryBudget budget(10);
        const auto begin = absl::FromUnixSeconds(1000);
        ForwardedRequest request(detail::streamParameters(), budget, begin);
        (void)request.begin(begin);
        (void)request.handle(ForwardingEvents::AttemptSent{absl::Seconds(4)}, begin);
        // First-event deadline: 3 x expected time to first event (4 s) = 12 s.
        const auto actions = request.handle(ForwardingEvents::Tick{}, begin + absl::Milliseconds(11900));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::CancelAttempt>(actions));
        const auto lost = tickAndReplace(request, begin + absl::Seconds(12));
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::StartAttempt>(lost));
    }

    // A target that was silent for a second went on, but its stream had been broken off for a replacement
    // that could not be started.
    void silentStreamGoesOnWhileThereIsNoReplacement()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(1)}, m_start);
        const auto silentAt = m_start + absl::Milliseconds(351);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::FindReplacement>(
            request.handle(ForwardingEvents::Tick{}, silentAt)));
        checkGoesOn(request, request.handle(ForwardingEvents::NoReplacement{}, silentAt));
    }

    void replacementIsSoughtAgain()
    {
        detail::FixedRetryBudget budget(1);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(1)}, m_start);
        const auto silentAt = m_start + absl::Milliseconds(351);
        (void)request.handle(ForwardingEvents::Tick{}, silentAt);
        const auto actions = request.handle(ForwardingEvents::NoReplacement{}, silentAt);
        const auto *timer = detail::findAction<ForwardingActions::SetTimer>(actions);
        CPPUNIT_ASSERT(timer && timer->at == silentAt + ForwardedRequest::replacementInterval);
        // A search without a result takes no retry from the budget.
        const auto replaced = tickAndReplace(request, timer->at);
        const auto *start = detail::findAction<ForwardingActions::StartAttempt>(replaced);
        CPPUNIT_ASSERT(start && start->role == RunRole::Replacement);
    }

    void suspectedStreamGoesOnWhenAttemptsAreUsedUp()
    {
        auto parameters = detail::streamParameters();
        parameters.maxAttempts = 1;
        checkSuspectedStreamGoesOn(parameters, detail::ampleRetries);
    }

    void suspectedStreamGoesOnWithoutRetryBudget()
    {
        checkSuspectedStreamGoesOn(detail::streamParameters(), 0);
    }

    void suspicionDoesNotEndNonIdempotentRequest()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::nonIdempotentParameters(), budget, m_start);
        (void)request.begin(m_start);
        CPPUNIT_ASSERT(request.handle(ForwardingEvents::TargetSuspected{}, m_start).empty());
        const auto actions =
            request.handle(ForwardingEvents::ResponseReceived{200}, m_start + absl::Milliseconds(700));
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::SendResponse>(actions));
    }

    void stalledStreamResumesFromCopy()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        const auto eventAt = m_start + absl::Seconds(1);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::StartResponse>(
            request.handle(ForwardingEvents::EventsReceived{EventNumber(7)}, eventAt)));
        // Stall deadline after an event: half of maxEventGap (700 ms).
        const auto actions = tickAndReplace(request, eventAt + absl::Milliseconds(351));
        const auto *start = detail::findAction<ForwardingActions::StartAttempt>(actions);
        CPPUNIT_ASSERT(start && start->fromCopy);
        CPPUNIT_ASSERT(start->lastEvent == EventNumber(7));
        // The old attempt is cancelled at the first event of the new one.
        checkIsCancelledOnProgress(request, EventNumber(8), eventAt + absl::Milliseconds(500));
    }

    // One silence of the first target, and a replacement that doesn't take over.
    void suspectedRunGoesOnWhenReplacementIsRejected()
    {
        checkSuspectedRunGoesOnAfter(
            ForwardingEvents::AttemptNotExecuted{.wasRefused = true, .role = RunRole::Replacement});
    }
    void suspectedRunGoesOnWhenReplacementIsLost()
    {
        checkSuspectedRunGoesOnAfter(
            ForwardingEvents::AttemptLost{TargetFault::ConnectionLost, RunRole::Replacement});
    }
    void suspectedRunGoesOnWhenReplacementFails()
    {
        checkSuspectedRunGoesOnAfter(ForwardingEvents::ResponseReceived{500, RunRole::Replacement});
    }
    void suspectedRunGoesOnWhenReplacementIsNotStarted()
    {
        checkSuspectedRunGoesOnAfter(ForwardingEvents::NoTarget{.role = RunRole::Replacement});
    }
    void suspectedRunGoesOnWhenReplacementIsBarred()
    {
        checkSuspectedRunGoesOnAfter(ForwardingEvents::RunBarred{absl::Minutes(1), RunRole::Replacement});
    }

    // A silent run went through all full targets at once and used up the retries of lost runs.
    void rejectedReplacementIsNotSoughtAgainAtOnce()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        startSuspectedStream(request);
        const auto soughtAt = m_start + absl::Milliseconds(351);
        const auto actions = request.handle(
            ForwardingEvents::AttemptNotExecuted{.wasRefused = true, .role = RunRole::Replacement},
            soughtAt + absl::Milliseconds(5));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::FindReplacement>(actions));
        const auto *timer = detail::findAction<ForwardingActions::SetTimer>(actions);
        CPPUNIT_ASSERT(timer && timer->at == soughtAt + ForwardedRequest::replacementInterval);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::FindReplacement>(
            request.handle(ForwardingEvents::Tick{}, timer->at)));
    }

    void replacementIsCancelledWhenSuspectedRunGoesOn()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        startSuspectedStream(request);
        const auto actions =
            request.handle(ForwardingEvents::EventsReceived{EventNumber(2)}, m_start + absl::Seconds(1));
        const auto *cancel = detail::findAction<ForwardingActions::CancelAttempt>(actions);
        CPPUNIT_ASSERT(cancel && cancel->role == RunRole::Replacement && !cancel->fault);
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::AdoptReplacement>(actions));
        checkGoesOn(request, request.handle(ForwardingEvents::Tick{}, m_start + absl::Seconds(1)));
    }

    void replacementTakesOverWhenSuspectedRunIsLost()
    {
        detail::FixedRetryBudget budget(1);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        startSuspectedStream(request);
        const auto actions =
            request.handle(ForwardingEvents::AttemptLost{}, m_start + absl::Milliseconds(400));
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::AdoptReplacement>(actions));
        checkGoesOn(request, actions);
    }

    // A target that paused again and again used up the attempts, so that its end also ended the answer.
    void repeatedPausesDoNotUseUpTheAttempts()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        auto now = m_start;
        for (std::uint64_t n = 1; n <= 10; ++n) {
            (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(n)}, now);
            const auto goesOnAt = now + absl::Milliseconds(500);
            while ((now += absl::Milliseconds(50)) < goesOnAt) {
                const auto actions = request.handle(ForwardingEvents::Tick{}, now);
                if (detail::findAction<ForwardingActions::FindReplacement>(actions))
                    (void)request.handle(ForwardingEvents::ReplacementFound{}, now);
            }
        }
        (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(11)}, now);
        const auto actions = request.handle(ForwardingEvents::AttemptLost{}, now);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::StartAttempt>(actions));
    }

    // A replacement that reached no target took a retry from the budget, which the next one uses.
    void unreachableReplacementCostsOneRetry()
    {
        detail::FixedRetryBudget budget(1);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        startSuspectedStream(request);
        const auto failedAt = m_start + absl::Milliseconds(600);
        auto actions =
            request.handle(ForwardingEvents::AttemptNotExecuted{.role = RunRole::Replacement}, failedAt);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::FindReplacement>(actions));
        actions = request.handle(ForwardingEvents::ReplacementFound{}, failedAt);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::StartAttempt>(actions));
    }

    void silentReplacementIsReplaced()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        startSuspectedStream(request);
        const auto suspectedAt = m_start + absl::Milliseconds(1600);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::FindReplacement>(
            request.handle(ForwardingEvents::TargetSuspected{TargetFault::Unresponsive, RunRole::Replacement},
                           suspectedAt)));
        const auto actions = request.handle(ForwardingEvents::ReplacementFound{}, suspectedAt);
        const auto *cancel = detail::findAction<ForwardingActions::CancelAttempt>(actions);
        CPPUNIT_ASSERT(cancel && cancel->role == RunRole::Replacement);
        const auto *start = detail::findAction<ForwardingActions::StartAttempt>(actions);
        CPPUNIT_ASSERT(start && start->role == RunRole::Replacement);
        (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(2)}, suspectedAt);
    }

    // The first target rejects the request after its replacement was given up for another one.
    void requestIsNotReportedAsNotRunAfterACancelledReplacement()
    {
        detail::FixedRetryBudget budget(2);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::AttemptSent{absl::Seconds(1)}, m_start);
        for (const int ms : {4500, 9000})
            replace(request, m_start + absl::Milliseconds(ms));
        const auto end = m_start + absl::Seconds(10);
        (void)request.handle(
            ForwardingEvents::AttemptNotExecuted{.wasRefused = true, .role = RunRole::Replacement}, end);
        const auto actions = request.handle(ForwardingEvents::AttemptNotExecuted{.wasRefused = true}, end);
        const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal && !refusal->isNotExecuted);
    }

    void bothRunsEndWithTheRequest()
    {
        for (const ForwardingEvent &end : {ForwardingEvent(ForwardingEvents::CallerDisconnected{}),
                                           ForwardingEvent(ForwardingEvents::ShutdownRequested{}),
                                           ForwardingEvent(ForwardingEvents::RunBarred{absl::Minutes(1)})}) {
            detail::FixedRetryBudget budget(detail::ampleRetries);
            ForwardedRequest request(detail::streamParameters(), budget, m_start);
            startSuspectedStream(request);
            const auto actions = request.handle(end, m_start + absl::Milliseconds(500));
            const auto cancels = std::count_if(actions.begin(), actions.end(), [](const auto &it) {
                return std::holds_alternative<ForwardingActions::CancelAttempt>(it);
            });
            CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, cancels);
            CPPUNIT_ASSERT(request.isFinished());
        }
    }

    void missingCopyIsRecomputedAfterLastEvent()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(3)}, m_start + absl::Seconds(1));
        auto actions = request.handle(ForwardingEvents::AttemptLost{}, m_start + absl::Seconds(1));
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::StartAttempt>(actions)->fromCopy);
        actions =
            request.handle(ForwardingEvents::AttemptNotExecuted{.wasRefused = true, .isCopyMissing = true},
                           m_start + absl::Seconds(1));
        const auto *start = detail::findAction<ForwardingActions::StartAttempt>(actions);
        CPPUNIT_ASSERT(start && !start->fromCopy);
        CPPUNIT_ASSERT(start->lastEvent == EventNumber(3));
    }

    void streamUsesAtMostMaxAttempts()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        int attempts = 0;
        auto actions = request.begin(m_start);
        while (detail::findAction<ForwardingActions::StartAttempt>(actions)) {
            ++attempts;
            actions = request.handle(ForwardingEvents::AttemptLost{}, m_start + absl::Milliseconds(attempts));
        }
        CPPUNIT_ASSERT_EQUAL(5, attempts);
        CPPUNIT_ASSERT(request.isFinished());
    }

    void interruptedStreamIsNeverCompleted()
    {
        detail::FixedRetryBudget budget(0);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(1)}, m_start);
        const auto actions = request.handle(ForwardingEvents::AttemptLost{}, m_start);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::AbortResponse>(actions));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::CompleteStream>(actions));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::Refuse>(actions));
    }

    void callerDisconnectCancelsAttempt()
    {
        detail::FixedRetryBudget budget(0);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        const auto actions = request.handle(ForwardingEvents::CallerDisconnected{}, m_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::CancelAttempt>(actions));
        CPPUNIT_ASSERT(request.handle(ForwardingEvents::Tick{}, m_start + absl::Seconds(1)).empty());
    }

    void shutdownAbortsRunningStream()
    {
        detail::FixedRetryBudget budget(0);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(1)}, m_start);
        const auto actions = request.handle(ForwardingEvents::ShutdownRequested{}, m_start);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::CancelAttempt>(actions));
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::AbortResponse>(actions));
    }

    void shutdownDoesNotReportStartedRequestAsNotRun()
    {
        detail::FixedRetryBudget budget(0);
        ForwardedRequest request(detail::nonIdempotentParameters(), budget, m_start);
        (void)request.begin(m_start);
        const auto actions = request.handle(ForwardingEvents::ShutdownRequested{}, m_start);
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::Refuse>(actions)->isNotExecuted);
    }

    void longPrefillIsProbedNotRetried()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        int probes = 0;
        for (int ms = 0; ms < 4000; ms += 50) {
            const auto actions = request.handle(ForwardingEvents::Tick{}, m_start + absl::Milliseconds(ms));
            CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::StartAttempt>(actions));
            probes += detail::findAction<ForwardingActions::ProbeTarget>(actions) ? 1 : 0;
        }
        CPPUNIT_ASSERT(probes >= 5);
    }

    void barredRequestIsRefusedForTheTimeOfTheBar()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        const auto actions = request.handle(ForwardingEvents::AttemptBarred{absl::Minutes(8)}, m_start);
        const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal);
        CPPUNIT_ASSERT_EQUAL(503, refusal->status);
        CPPUNIT_ASSERT(refusal->isNotExecuted);
        CPPUNIT_ASSERT(refusal->retryAfter == absl::Minutes(8));
        CPPUNIT_ASSERT(request.isFinished());
    }

    // Also when the next attempt is barred after one that has run.
    void barredRunIsCancelledAndNotReportedAsNotExecuted()
    {
        detail::FixedRetryBudget budget(detail::ampleRetries);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        (void)request.begin(m_start);
        auto actions = request.handle(ForwardingEvents::RunBarred{absl::Minutes(1)}, m_start);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::CancelAttempt>(actions));
        const auto *refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal && refusal->status == 502 && !refusal->retryAfter);

        ForwardedRequest lost(detail::streamParameters(), budget, m_start);
        (void)lost.begin(m_start);
        actions = lost.handle(ForwardingEvents::AttemptLost{}, m_start);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::StartAttempt>(actions));
        actions = lost.handle(ForwardingEvents::AttemptBarred{absl::Minutes(1)}, m_start);
        refusal = detail::findAction<ForwardingActions::Refuse>(actions);
        CPPUNIT_ASSERT(refusal && refusal->status == 502 && !refusal->isNotExecuted);
    }

private:
    // The running attempt is suspected, and is kept until the replacement's event.
    void checkIsCancelledOnProgress(ForwardedRequest &request, EventNumber event, absl::Time now)
    {
        const auto actions =
            request.handle(ForwardingEvents::EventsReceived{event, RunRole::Replacement}, now);
        const auto *cancel = detail::findAction<ForwardingActions::CancelAttempt>(actions);
        CPPUNIT_ASSERT(cancel && cancel->role == RunRole::Current);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::AdoptReplacement>(actions));
    }

    // The latest run has sent no event in time, and the host finds another target.
    static void replace(ForwardedRequest &request, absl::Time now)
    {
        const auto asked = request.handle(ForwardingEvents::Tick{}, now);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::FindReplacement>(asked));
        (void)request.handle(ForwardingEvents::ReplacementFound{}, now);
        (void)request.handle(ForwardingEvents::AttemptSent{absl::Seconds(1), RunRole::Replacement}, now);
    }

    // A stream with one event whose target is silent, and a replacement that was started after 351 ms.
    void startSuspectedStream(ForwardedRequest &request) const
    {
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(1)}, m_start);
        const auto actions = tickAndReplace(request, m_start + absl::Milliseconds(351));
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::StartAttempt>(actions));
    }

    void checkSuspectedRunGoesOnAfter(const ForwardingEvent &event) const
    {
        detail::FixedRetryBudget budget(1);
        ForwardedRequest request(detail::streamParameters(), budget, m_start);
        startSuspectedStream(request);
        checkGoesOn(request, request.handle(event, m_start + absl::Milliseconds(500)));
    }

    // A tick at which the host finds another target. Until then, the running attempt isn't touched.
    static ForwardingActionList tickAndReplace(ForwardedRequest &request, absl::Time now)
    {
        const auto asked = request.handle(ForwardingEvents::Tick{}, now);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::FindReplacement>(asked));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::CancelAttempt>(asked));
        auto actions = request.handle(ForwardingEvents::ReplacementFound{}, now);
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::CancelAttempt>(actions));
        const auto *suspicion = detail::findAction<ForwardingActions::ReportSuspicion>(actions);
        CPPUNIT_ASSERT(suspicion && suspicion->fault == TargetFault::Unresponsive);
        return actions;
    }

    // The stream is neither cancelled nor ended, and its next event is passed on to its end.
    static void checkGoesOn(ForwardedRequest &request, const ForwardingActionList &actions)
    {
        const bool isCurrentCancelled = std::any_of(actions.begin(), actions.end(), [](const auto &it) {
            const auto *cancel = std::get_if<ForwardingActions::CancelAttempt>(&it);
            return cancel && cancel->role == RunRole::Current;
        });
        CPPUNIT_ASSERT(!isCurrentCancelled);
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::AbortResponse>(actions));
        CPPUNIT_ASSERT(!detail::findAction<ForwardingActions::Refuse>(actions));
        const auto goesOnAt = absl::FromUnixSeconds(1000) + absl::Seconds(3);
        (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(2)}, goesOnAt);
        CPPUNIT_ASSERT(detail::findAction<ForwardingActions::CompleteStream>(
            request.handle(ForwardingEvents::StreamCompleted{}, goesOnAt)));
    }

    void checkSuspectedStreamGoesOn(const ForwardingParameters &parameters, int retries) const
    {
        detail::FixedRetryBudget budget(retries);
        ForwardedRequest request(parameters, budget, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(1)}, m_start);
        const auto suspectedAt = m_start + absl::Milliseconds(500);
        auto actions = request.handle(ForwardingEvents::TargetSuspected{}, suspectedAt);
        if (detail::findAction<ForwardingActions::FindReplacement>(actions))
            actions = request.handle(ForwardingEvents::ReplacementFound{}, suspectedAt);
        checkGoesOn(request, actions);
    }

    absl::Time m_start{absl::FromUnixSeconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestForwardedRequest);

} // namespace Wisteria
