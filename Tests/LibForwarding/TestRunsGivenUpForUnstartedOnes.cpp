// Runs were given up for others that had not started: a long prefill everywhere, a replacement that was not
// reached or was rejected late, a target that accepted connections again.

#include <LibForwarding/ForwardedRequest.h>

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace Wisteria {

namespace detail {

class Retries final : public RetryGate
{
public:
    bool tryAcquireRetry(absl::Time) override { return true; }
};

ForwardingParameters parameters()
{
    ForwardingParameters out;
    out.kind = RouteKind::ResumableStream;
    out.maxAttempts = 5;
    out.routeTimeout = absl::Seconds(25);
    out.callerTimeout = absl::Seconds(25);
    out.latencyObjective = absl::Milliseconds(4500);
    out.maxEventGap = absl::Milliseconds(700);
    out.usesCopies = true;
    return out;
}

template <typename Action>
const Action *find(const ForwardingActionList &actions)
{
    for (const auto &it : actions) {
        if (const auto *found = std::get_if<Action>(&it))
            return found;
    }
    return nullptr;
}

bool cancelsCurrent(const ForwardingActionList &actions)
{
    const auto *cancel = find<ForwardingActions::CancelAttempt>(actions);
    return cancel && cancel->role == RunRole::Current;
}

// Engines that all take the same time to the first event. Runs the request by its own timer.
class EvenFleet
{
public:
    EvenFleet(absl::Duration timeToFirstEvent, absl::Duration expected)
        : m_timeToFirstEvent(timeToFirstEvent), m_expected(expected),
          m_request(parameters(), m_retries, m_now)
    {
        perform(m_request.begin(m_now));
    }

    // Time to the first event that reached the caller; unset if there was none until `end`.
    std::optional<absl::Duration> run(absl::Duration end)
    {
        while (!m_request.isFinished() && !m_firstEventAt && m_now - m_start < end) {
            auto at = m_timer;
            std::optional<RunRole> ready;
            for (const auto role : {RunRole::Current, RunRole::Replacement}) {
                auto &run = runOf(role);
                if (run && *run + m_timeToFirstEvent <= at) {
                    at = *run + m_timeToFirstEvent;
                    ready = role;
                }
            }
            m_now = std::max(m_now, at);
            if (ready) {
                m_firstEventAt = m_now;
                perform(m_request.handle(ForwardingEvents::EventsReceived{EventNumber(1), *ready}, m_now));
            } else {
                perform(m_request.handle(ForwardingEvents::Tick{}, m_now));
            }
        }
        if (!m_firstEventAt)
            return std::nullopt;
        return *m_firstEventAt - m_start;
    }
    int runs() const { return m_runCount; }

private:
    std::optional<absl::Time> &runOf(RunRole role) { return m_runs[role == RunRole::Replacement ? 1 : 0]; }

    void perform(const ForwardingActionList &actions)
    {
        for (const auto &it : actions) {
            if (const auto *start = std::get_if<ForwardingActions::StartAttempt>(&it)) {
                ++m_runCount;
                runOf(start->role) = m_now;
                perform(m_request.handle(ForwardingEvents::AttemptSent{m_expected, start->role}, m_now));
            } else if (std::get_if<ForwardingActions::FindReplacement>(&it)) {
                perform(m_request.handle(ForwardingEvents::ReplacementFound{}, m_now));
            } else if (const auto *cancel = std::get_if<ForwardingActions::CancelAttempt>(&it)) {
                runOf(cancel->role).reset();
            } else if (std::get_if<ForwardingActions::AdoptReplacement>(&it)) {
                m_runs[0] = std::exchange(m_runs[1], std::nullopt);
            } else if (const auto *timer = std::get_if<ForwardingActions::SetTimer>(&it)) {
                m_timer = timer->at;
            }
        }
    }

    absl::Duration m_timeToFirstEvent;
    absl::Duration m_expected;
    Retries m_retries;
    absl::Time m_start{absl::FromUnixSeconds(1000)};
    absl::Time m_now{m_start};
    ForwardedRequest m_request;
    absl::Time m_timer{absl::InfiniteFuture()};
    std::optional<absl::Time> m_runs[2];
    std::optional<absl::Time> m_firstEventAt;
    int m_runCount{0};
};

} // namespace detail

class TestRunsGivenUpForUnstartedOnes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRunsGivenUpForUnstartedOnes);
    CPPUNIT_TEST(longPrefillEverywhereIsServed);
    CPPUNIT_TEST(longPrefillIsNotGivenUpForAnUnacceptedRun);
    CPPUNIT_TEST(silentRunIsNotGivenUpForAnUnacceptedRun);
    CPPUNIT_TEST(streamIsWholeWhenItsReplacementIsNotReached);
    CPPUNIT_TEST(streamIsWholeWhenItsReplacementIsRejectedLate);
    CPPUNIT_TEST(reachableTargetIsNotTakenForUnreachable);
    CPPUNIT_TEST(unreachableTargetIsReplacedSoon);
    CPPUNIT_TEST(briefSilenceIsNotGivenUpForARunWithoutEvents);
    CPPUNIT_TEST(oldRunIsNotGivenUpForANewOneThatIsNoFurther);
    CPPUNIT_TEST(silenceWithinTheAllowedPauseIsSound);
    CPPUNIT_TEST(lateTimerGivesNoTimeToTheReplacement);
    CPPUNIT_TEST_SUITE_END();

public:
    // 5 s everywhere; the objective and three times the expected time are 4.5 s. Callers leave after 18 s.
    void longPrefillEverywhereIsServed()
    {
        detail::EvenFleet fleet(absl::Seconds(5), absl::Milliseconds(1500));
        const auto after = fleet.run(absl::Seconds(25));
        const auto what =
            absl::StrCat("first event after ", after ? absl::FormatDuration(*after) : std::string("never"),
                         ", ", fleet.runs(), " runs");
        CPPUNIT_ASSERT_MESSAGE(what, after && *after <= absl::Milliseconds(5100));
    }

    void longPrefillIsNotGivenUpForAnUnacceptedRun()
    {
        ForwardedRequest request(detail::parameters(), m_retries, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::AttemptSent{absl::Milliseconds(1500)}, m_start);
        replaceAt(request, 4500);
        CPPUNIT_ASSERT(!detail::cancelsCurrent(request.handle(ForwardingEvents::Tick{}, at(4750))));
    }

    void silentRunIsNotGivenUpForAnUnacceptedRun()
    {
        ForwardedRequest request(detail::parameters(), m_retries, m_start);
        startStream(request);
        replaceAt(request, 1250);
        CPPUNIT_ASSERT(!detail::cancelsCurrent(request.handle(ForwardingEvents::Tick{}, at(1500))));
    }

    // The connect timeout equals the longest overlap and begins a moment after it.
    void streamIsWholeWhenItsReplacementIsNotReached()
    {
        checkIsWholeAfter({.role = RunRole::Current}, 1501);
    }
    void streamIsWholeWhenItsReplacementIsRejectedLate()
    {
        checkIsWholeAfter({.wasRefused = true, .role = RunRole::Current}, 1550);
    }

    // Two failed probes within a second, others succeed in between: a successful probe reports nothing.
    void reachableTargetIsNotTakenForUnreachable()
    {
        ForwardedRequest request(detail::parameters(), m_retries, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::AttemptSent{absl::Milliseconds(1000)}, m_start);
        bool isGivenUp = false;
        for (const int ms : {700, 1600, 2500}) {
            const auto actions =
                request.handle(ForwardingEvents::TargetSuspected{TargetFault::Refused}, at(ms));
            if (detail::find<ForwardingActions::FindReplacement>(actions)) {
                (void)request.handle(ForwardingEvents::ReplacementFound{}, at(ms));
                (void)request.handle(ForwardingEvents::AttemptSent{absl::Seconds(1), RunRole::Replacement},
                                     at(ms));
                isGivenUp = detail::cancelsCurrent(request.handle(ForwardingEvents::Tick{}, at(ms + 250)));
            }
        }
        CPPUNIT_ASSERT(!isGivenUp);
    }

    // A target that ended without a trace: from 1.2 s on its probes time out, every 400 ms.
    void unreachableTargetIsReplacedSoon()
    {
        ForwardedRequest request(detail::parameters(), m_retries, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::AttemptSent{absl::Milliseconds(1000)}, m_start);
        int ms = 1200;
        for (;; ms += 400) {
            const auto actions =
                request.handle(ForwardingEvents::TargetSuspected{TargetFault::Unresponsive}, at(ms));
            if (detail::find<ForwardingActions::FindReplacement>(actions))
                break;
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("replacement sought after ", ms, " ms"), ms <= 1600);
    }

    // Accepted is not begun: a request runs from its first token.
    void briefSilenceIsNotGivenUpForARunWithoutEvents()
    {
        ForwardedRequest request(detail::parameters(), m_retries, m_start);
        startStream(request);
        replaceAt(request, 350);
        (void)request.handle(ForwardingEvents::StreamOpened{RunRole::Replacement}, at(360));
        CPPUNIT_ASSERT(!detail::cancelsCurrent(request.handle(ForwardingEvents::Tick{}, at(600))));
    }

    // Both have been accepted, and neither has sent an event.
    void oldRunIsNotGivenUpForANewOneThatIsNoFurther()
    {
        ForwardedRequest request(detail::parameters(), m_retries, m_start);
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::AttemptSent{absl::Milliseconds(1500)}, m_start);
        (void)request.handle(ForwardingEvents::StreamOpened{RunRole::Current}, at(10));
        replaceAt(request, 4500);
        (void)request.handle(ForwardingEvents::StreamOpened{RunRole::Replacement}, at(4510));
        CPPUNIT_ASSERT(!detail::cancelsCurrent(request.handle(ForwardingEvents::Tick{}, at(4750))));
    }

    // The route allows pauses of 6 s.
    void silenceWithinTheAllowedPauseIsSound()
    {
        auto patient = detail::parameters();
        patient.maxEventGap = absl::Seconds(6);
        ForwardedRequest request(patient, m_retries, m_start);
        startStream(request);
        replaceAt(request, 3000);
        CPPUNIT_ASSERT(!detail::cancelsCurrent(request.handle(ForwardingEvents::Tick{}, at(3250))));
    }

    // The timer of the overlap is late; the replacement's failed probe comes first.
    void lateTimerGivesNoTimeToTheReplacement()
    {
        ForwardedRequest request(detail::parameters(), m_retries, m_start);
        startStream(request);
        replaceAt(request, 1250);
        auto actions = request.handle(
            ForwardingEvents::TargetSuspected{TargetFault::Refused, RunRole::Replacement}, at(1510));
        if (!detail::find<ForwardingActions::FindReplacement>(actions))
            return;
        actions = request.handle(ForwardingEvents::ReplacementFound{}, at(1510));
        CPPUNIT_ASSERT(detail::find<ForwardingActions::StartAttempt>(actions));
        CPPUNIT_ASSERT(!detail::cancelsCurrent(request.handle(ForwardingEvents::Tick{}, at(1511))));
    }

private:
    absl::Time at(int ms) const { return m_start + absl::Milliseconds(ms); }

    void startStream(ForwardedRequest &request)
    {
        (void)request.begin(m_start);
        (void)request.handle(ForwardingEvents::AttemptSent{absl::Seconds(1)}, m_start);
        (void)request.handle(ForwardingEvents::EventsReceived{EventNumber(1)}, m_start);
    }

    void replaceAt(ForwardedRequest &request, int ms)
    {
        CPPUNIT_ASSERT(detail::find<ForwardingActions::FindReplacement>(
            request.handle(ForwardingEvents::Tick{}, at(ms))));
        CPPUNIT_ASSERT(detail::find<ForwardingActions::StartAttempt>(
            request.handle(ForwardingEvents::ReplacementFound{}, at(ms))));
        (void)request.handle(ForwardingEvents::AttemptSent{absl::Seconds(1), RunRole::Replacement}, at(ms));
    }

    // The suspected run would have gone on at 1.6 s. There is no third target.
    void checkIsWholeAfter(ForwardingEvents::AttemptNotExecuted rejection, int ms)
    {
        ForwardedRequest request(detail::parameters(), m_retries, m_start);
        startStream(request);
        replaceAt(request, 1250);
        const bool isGivenUp = detail::cancelsCurrent(request.handle(ForwardingEvents::Tick{}, at(1500)));
        rejection.role = isGivenUp ? RunRole::Current : RunRole::Replacement;
        auto actions = request.handle(rejection, at(ms));
        if (const auto *start = detail::find<ForwardingActions::StartAttempt>(actions))
            actions = request.handle(ForwardingEvents::NoTarget{.role = start->role}, at(ms));
        CPPUNIT_ASSERT_MESSAGE("the answer was broken off",
                               !detail::find<ForwardingActions::AbortResponse>(actions));
        actions = request.handle(ForwardingEvents::EventsReceived{EventNumber(2)}, at(1600));
        CPPUNIT_ASSERT(!request.isFinished());
    }

    detail::Retries m_retries;
    absl::Time m_start{absl::FromUnixSeconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRunsGivenUpForUnstartedOnes);

} // namespace Wisteria
