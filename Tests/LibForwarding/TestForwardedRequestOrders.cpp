// Drives the state machine of a forwarded request with events in drawn orders and compares what it promises
// with what its runs have done. Found: a refusal as not executed after a cancelled run.

#include <LibCore/Random.h>
#include <LibForwarding/ForwardedRequest.h>

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <Support/RunOverlaps.h>

#include <optional>

namespace Wisteria {

namespace detail {

class DrawnRetryBudget final : public RetryGate
{
public:
    explicit DrawnRetryBudget(int remaining) : m_remaining(remaining) { }
    bool tryAcquireRetry(absl::Time) override { return m_remaining-- > 0; }

private:
    int m_remaining;
};

// What made the request end, if it did.
enum class Cause { RunEnded, RunDelivered, Outside };

// The stated limit for two runs at work. A target may learn this long after maxRunOverlap that its run ended.
constexpr absl::Duration overlapLimit = absl::Milliseconds(400);
const absl::Duration minOverlapGap = overlapLimit - ForwardedRequest::maxRunOverlap;

enum class Engines {
    // Any event may come at any time.
    Drawn,
    // Each run has an engine whose mode decides when its events come.
    WithModes,
};

enum class EngineMode {
    Sound,
    // Never reports anything.
    Silent,
    // Its head, its first event and some of the next ones are late.
    Slow,
    // Its refusal is late.
    Refusing,
    // Refuses like an engine that has lost the copy, if the run resumes from one.
    LosingCopy,
    // Its connection breaks off.
    Failing,
};

// The host of one request. Counts each run as executed unless it ended as not executed.
class DrawnHost
{
public:
    DrawnHost(std::uint64_t seed, Engines engines)
        : m_seed(seed), m_engines(engines), m_random(seed), m_budget(draw(8)), m_parameters(drawParameters()),
          m_request(m_parameters, m_budget, m_now)
    {
    }

    void run()
    {
        m_trace =
            absl::StrCat("kind ", static_cast<int>(m_parameters.kind), " max ", m_parameters.maxAttempts);
        perform(m_request.begin(m_now));
        constexpr int maxDrawnEvents = 40;
        for (int n = 0; n < maxDrawnEvents && !m_request.isFinished(); ++n)
            m_engines == Engines::WithModes ? stepEngines() : step();
        // Its timer alone must end the request by its deadline.
        while (!m_request.isFinished())
            tick();
        check(m_finals == (m_hasCallerLeft ? 0 : 1), "final actions");
        check(!m_runs[0] && !m_runs[1], "run after the end");
    }

private:
    struct Run
    {
        bool isFromCopy{false};
        // Its target has the request and may be at work.
        bool isReached{false};
        bool isOpened{false};
        bool hasEvents{false};
        int number{0};
        EngineMode mode{EngineMode::Sound};
        // Of its engine, if that has a mode.
        absl::Time nextEventAt;
        // Of its start at first.
        absl::Time lastProgressAt;
        absl::Duration timeToFirstEvent{absl::Milliseconds(100)};
        // Its target was reported as suspected.
        bool isSuspected{false};
    };

    // Requests whose runs may resume on another engine.
    bool isBounded() const { return m_parameters.kind == RouteKind::ResumableStream; }

    int draw(int bound) { return static_cast<int>(m_random.below(static_cast<std::uint64_t>(bound))); }
    bool drawOneIn(int n) { return draw(n) == 0; }

    ForwardingParameters drawParameters()
    {
        ForwardingParameters out;
        out.kind = static_cast<RouteKind>(draw(4));
        out.maxAttempts = 1 + draw(4);
        out.routeTimeout = absl::Seconds(8);
        out.callerTimeout = absl::Seconds(3 + draw(10));
        out.latencyObjective = absl::Milliseconds(500);
        out.maxEventGap = absl::Milliseconds(700);
        if (m_engines == Engines::WithModes && !drawOneIn(4)) {
            out.kind = RouteKind::ResumableStream;
            out.maxAttempts = 3 + draw(4);
        }
        out.usesCopies = out.kind == RouteKind::ResumableStream && drawOneIn(2);
        return out;
    }

    void check(bool isKept, const char *what)
    {
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("seed ", m_seed, ": ", what, ": ", m_trace), isKept);
    }

    std::optional<Run> &runOf(RunRole role) { return m_runs[role == RunRole::Replacement ? 1 : 0]; }

    void handle(const char *name, const ForwardingEvent &event, Cause cause)
    {
        absl::StrAppend(&m_trace, ", ", name, " at ", absl::FormatDuration(m_now - m_beganAt));
        m_cause = cause;
        m_hasCancelledRun = false;
        answer(event);
        checkOverlap();
    }

    void checkOverlap()
    {
        if (!isBounded())
            return;
        check(m_overlaps.longest(m_now) <= ForwardedRequest::maxRunOverlap, "overlap of two runs");
    }

    void answer(const ForwardingEvent &event) { perform(m_request.handle(event, m_now)); }

    void perform(const ForwardingActionList &actions)
    {
        for (const auto &it : actions)
            std::visit([this](const auto &action) { perform(action); }, it);
    }

    void perform(const ForwardingActions::StartAttempt &action)
    {
        check(!runOf(action.role), "two runs in one role");
        check(action.role == RunRole::Current || runOf(RunRole::Current), "replacement of no run");
        switch (draw(12)) {
        case 0:
            absl::StrAppend(&m_trace, " [no target]");
            answer(ForwardingEvents::NoTarget{.role = action.role});
            return;
        case 1:
            absl::StrAppend(&m_trace, " [no time left]");
            answer(ForwardingEvents::NoTimeLeft{action.role});
            return;
        case 2:
            absl::StrAppend(&m_trace, " [barred]");
            answer(ForwardingEvents::AttemptBarred{absl::Seconds(1), action.role});
            return;
        default:
            break;
        }
        absl::StrAppend(&m_trace, action.role == RunRole::Current ? " [run]" : " [replacement]");
        check(isRetryable(m_parameters.kind) || m_executedRuns == 0, "run of a request that may have run");
        ++m_executedRuns;
        check(m_executedRuns <= m_parameters.maxAttempts, "more runs than attempts");
        startRun(action);
        answer(ForwardingEvents::AttemptSent{runOf(action.role)->timeToFirstEvent, action.role});
        if (!drawOneIn(4))
            reach(action.role);
    }

    void reach(RunRole role)
    {
        auto &run = runOf(role);
        if (!run || std::exchange(run->isReached, true))
            return;
        absl::StrAppend(&m_trace, " [reached]");
        m_overlaps.start(run->number, m_now);
        answer(ForwardingEvents::AttemptReached{role});
    }

    void startRun(const ForwardingActions::StartAttempt &action)
    {
        Run run{.isFromCopy = action.fromCopy, .number = ++m_startedRuns, .lastProgressAt = m_now};
        if (m_engines == Engines::WithModes) {
            run.mode = static_cast<EngineMode>(draw(6));
            run.nextEventAt = m_now + drawDelay(run);
            run.timeToFirstEvent = absl::Milliseconds(drawOneIn(2) ? 100 : 1000);
        }
        runOf(action.role) = run;
    }

    void endRun(RunRole role)
    {
        auto &run = runOf(role);
        m_overlaps.end(run->number, m_now);
        run.reset();
    }

    void perform(const ForwardingActions::FindReplacement &)
    {
        if (drawOneIn(3))
            answer(ForwardingEvents::NoReplacement{});
        else
            answer(ForwardingEvents::ReplacementFound{});
    }

    void perform(const ForwardingActions::CancelAttempt &action)
    {
        absl::StrAppend(&m_trace, " [cancel]");
        check(runOf(action.role).has_value(), "cancellation of no run");
        if (action.role == RunRole::Current && m_cause == Cause::RunEnded)
            checkGivenUpRun();
        endRun(action.role);
        m_hasCancelledRun = true;
    }

    // Until then, a sound engine may show nothing of the run.
    absl::Time soundUntil(const Run &run) const
    {
        if (!run.hasEvents && run.isSuspected)
            return run.lastProgressAt + ForwardedRequest::shortestUnreachableRun;
        const auto prefillTime = ForwardedRequest::firstEventTimeoutFactor * run.timeToFirstEvent;
        return run.lastProgressAt
            + std::max(ForwardedRequest::longestSoundSilence,
                       run.hasEvents ? absl::ZeroDuration() : prefillTime);
    }

    // The current run is cancelled for its replacement.
    void checkGivenUpRun()
    {
        const auto &replacement = runOf(RunRole::Replacement);
        check(replacement.has_value(), "cancellation without a replacement");
        check(replacement->hasEvents || m_now >= soundUntil(*runOf(RunRole::Current)),
              "run given up for one that has not begun");
    }

    void perform(const ForwardingActions::AdoptReplacement &)
    {
        check(!runOf(RunRole::Current), "adoption beside a run");
        check(runOf(RunRole::Replacement).has_value(), "adoption of no run");
        runOf(RunRole::Current) = std::exchange(runOf(RunRole::Replacement), std::nullopt);
    }

    void perform(const ForwardingActions::StartResponse &)
    {
        const auto &run = runOf(RunRole::Current);
        check(run && run->isOpened, "head of a run that has sent none");
        check(!std::exchange(m_isResponseStarted, true), "second head");
    }

    void perform(const ForwardingActions::CompleteStream &)
    {
        check(m_isResponseStarted, "end of a response without a head");
        endRequest();
    }

    void perform(const ForwardingActions::SendResponse &)
    {
        check(m_hasResponse && !m_isResponseStarted, "response of no target");
        endRequest();
    }

    void perform(const ForwardingActions::Refuse &action)
    {
        check(!m_isResponseStarted, "refusal after a head");
        check(!action.isNotExecuted || m_executedRuns == 0, "refused as not executed after a run");
        endRequest();
    }

    void perform(const ForwardingActions::AbortResponse &)
    {
        check(m_isResponseStarted, "abort without a head");
        endRequest();
    }

    void perform(const ForwardingActions::SetTimer &action) { m_timer = action.at; }
    void perform(const ForwardingActions::ReportSuspicion &) { }
    void perform(const ForwardingActions::ProbeTarget &) { }

    void endRequest()
    {
        ++m_finals;
        check(m_finals == 1, "second final action");
        check(m_cause != Cause::RunEnded || !m_hasCancelledRun, "end beside a live run");
    }

    void tick()
    {
        check(m_timer >= m_now, "timer in the past");
        check(m_timer <= m_request.deadline(), "timer after the deadline");
        m_now = m_timer;
        handle("tick", ForwardingEvents::Tick{},
               m_now >= m_request.deadline() ? Cause::Outside : Cause::RunEnded);
    }

    void step()
    {
        if (drawOneIn(3))
            return tick();
        m_now = std::min(m_timer, m_now + absl::Milliseconds(draw(100)));
        if (drawOneIn(60)) {
            handle("shutdown", ForwardingEvents::ShutdownRequested{}, Cause::Outside);
        } else if (drawOneIn(60)) {
            m_hasCallerLeft = true;
            handle("caller left", ForwardingEvents::CallerDisconnected{}, Cause::Outside);
        } else {
            const bool isReplacement = runOf(RunRole::Replacement) && drawOneIn(2);
            stepRun(isReplacement ? RunRole::Replacement : RunRole::Current);
        }
    }

    void stepRun(RunRole role)
    {
        auto &run = runOf(role);
        absl::StrAppend(&m_trace, role == RunRole::Current ? ", current:" : ", replacement:");
        if (!run->isReached && drawOneIn(2))
            return reach(role);
        switch (draw(7)) {
        case 0:
            run->isSuspected = true;
            return handle("suspected", ForwardingEvents::TargetSuspected{.role = role}, Cause::RunEnded);
        case 1:
            endRun(role);
            return handle("lost", ForwardingEvents::AttemptLost{.role = role}, Cause::RunEnded);
        case 2:
            if (!run->hasEvents && drawOneIn(4))
                handle("barred", ForwardingEvents::RunBarred{absl::Seconds(1), role}, Cause::Outside);
            return;
        case 3:
            return run->isOpened ? sendEvent(role) : endAsNotExecuted(role);
        case 4:
            return run->isOpened ? completeStream(role) : respond(role);
        default:
            return openOrSendEvent(role);
        }
    }

    void openOrSendEvent(RunRole role)
    {
        auto &run = runOf(role);
        if (!isStream(m_parameters.kind))
            return;
        if (run->isOpened)
            return sendEvent(role);
        reach(role);
        run->isOpened = true;
        handle("opened", ForwardingEvents::StreamOpened{.role = role}, Cause::RunEnded);
    }

    void sendEvent(RunRole role)
    {
        auto &run = runOf(role);
        run->hasEvents = true;
        run->lastProgressAt = m_now;
        handle("event", ForwardingEvents::EventsReceived{EventNumber(++m_lastEvent), role}, Cause::RunEnded);
        check(!m_runs[1], "two runs after progress");
    }

    void completeStream(RunRole role)
    {
        // Its end is reported while the run still has its role.
        handle("completed", ForwardingEvents::StreamCompleted{role}, Cause::RunDelivered);
        check(m_request.isFinished(), "request open after its answer");
        endRun(RunRole::Current);
    }

    void respond(RunRole role)
    {
        constexpr int statuses[] = {200, 404, 500};
        const int status = statuses[draw(3)];
        const bool isDelivered = status < 500 && !m_isResponseStarted;
        reach(role);
        m_hasResponse = true;
        if (!isDelivered)
            endRun(role);
        handle(status < 500 ? "response" : "error response", ForwardingEvents::ResponseReceived{status, role},
               isDelivered ? Cause::RunDelivered : Cause::RunEnded);
        if (isDelivered)
            endRun(RunRole::Current);
    }

    void endAsNotExecuted(RunRole role)
    {
        const bool isCopyMissing = runOf(role)->isFromCopy && drawOneIn(2);
        const bool wasRefused = isCopyMissing || runOf(role)->isReached;
        endAsNotExecuted(role, wasRefused, isCopyMissing);
    }

    void endAsNotExecuted(RunRole role, bool wasRefused, bool isCopyMissing)
    {
        m_overlaps.discard(runOf(role)->number, m_now);
        runOf(role).reset();
        --m_executedRuns;
        handle(wasRefused ? "refused" : "not reached",
               ForwardingEvents::AttemptNotExecuted{
                   .wasRefused = wasRefused, .isCopyMissing = isCopyMissing, .role = role},
               Cause::RunEnded);
    }

    absl::Duration drawSteps(int milliseconds) { return absl::Milliseconds(10 * draw(milliseconds / 10)); }

    // Time until the next event of the run's engine.
    absl::Duration drawDelay(const Run &run)
    {
        // In steps, so that events and timers often come at the same time.
        const auto delay = drawSteps(100);
        switch (run.mode) {
        case EngineMode::Silent:
            return absl::InfiniteDuration();
        case EngineMode::Slow:
            return run.hasEvents && !drawOneIn(4) ? delay : delay + drawSteps(2500);
        case EngineMode::Refusing:
        case EngineMode::LosingCopy:
        case EngineMode::Failing:
            return delay + drawSteps(600);
        case EngineMode::Sound:
            break;
        }
        // A sound engine may fall silent too, once it works.
        return run.hasEvents && drawOneIn(8) ? delay + drawSteps(2000) : delay;
    }

    absl::Time nextEventOf(RunRole role)
    {
        const auto &run = runOf(role);
        return run ? run->nextEventAt : absl::InfiniteFuture();
    }

    void stepEngines()
    {
        const auto role = nextEventOf(RunRole::Replacement) < nextEventOf(RunRole::Current)
            ? RunRole::Replacement
            : RunRole::Current;
        const auto at = nextEventOf(role);
        if (drawOneIn(8))
            return suspect(std::min({m_timer, at, m_now + absl::Milliseconds(draw(300))}));
        if (at > m_timer || (at == m_timer && drawOneIn(2)))
            return tick();
        m_now = std::max(m_now, at);
        stepEngine(role);
    }

    void suspect(absl::Time at)
    {
        m_now = at;
        const auto role =
            runOf(RunRole::Replacement) && drawOneIn(2) ? RunRole::Replacement : RunRole::Current;
        if (auto &run = runOf(role))
            run->isSuspected = true;
        handle("suspected", ForwardingEvents::TargetSuspected{.role = role}, Cause::RunEnded);
    }

    void stepEngine(RunRole role)
    {
        auto &run = runOf(role);
        run->nextEventAt = m_now + drawDelay(*run);
        absl::StrAppend(&m_trace, role == RunRole::Current ? ", current:" : ", replacement:");
        const bool isAccepted = run->isOpened;
        if (!isAccepted && run->mode == EngineMode::Refusing)
            return endAsNotExecuted(role, true, false);
        if (!isAccepted && run->mode == EngineMode::LosingCopy)
            return endAsNotExecuted(role, run->isFromCopy, run->isFromCopy);
        if (run->mode == EngineMode::Failing && drawOneIn(2)) {
            endRun(role);
            return handle("lost", ForwardingEvents::AttemptLost{.role = role}, Cause::RunEnded);
        }
        if (!isStream(m_parameters.kind) || drawOneIn(40))
            return isAccepted ? completeStream(role) : respond(role);
        openOrSendEvent(role);
        // Reads the prompt after its head.
        if (auto &it = runOf(role); it && it->mode == EngineMode::Slow && !it->hasEvents)
            it->nextEventAt = m_now + drawDelay(*it);
    }

    std::uint64_t m_seed;
    Engines m_engines;
    SeededRandom m_random;
    DrawnRetryBudget m_budget;
    ForwardingParameters m_parameters;
    absl::Time m_beganAt{absl::FromUnixSeconds(1000)};
    absl::Time m_now{m_beganAt};
    ForwardedRequest m_request;
    std::string m_trace;
    absl::Time m_timer{absl::InfiniteFuture()};
    // The current run and its replacement.
    std::optional<Run> m_runs[2];
    RunOverlaps m_overlaps{minOverlapGap};
    int m_startedRuns{0};
    int m_executedRuns{0};
    int m_finals{0};
    std::uint64_t m_lastEvent{0};
    bool m_isResponseStarted{false};
    bool m_hasResponse{false};
    bool m_hasCallerLeft{false};
    Cause m_cause{Cause::RunEnded};
    // While the latest event was handled.
    bool m_hasCancelledRun{false};
};

} // namespace detail

class TestForwardedRequestOrders : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestForwardedRequestOrders);
    CPPUNIT_TEST(promisesHoldInAllOrders);
    CPPUNIT_TEST(promisesHoldBeforeSlowEngines);
    CPPUNIT_TEST_SUITE_END();

public:
    void promisesHoldInAllOrders() { runSeeds(detail::Engines::Drawn); }
    void promisesHoldBeforeSlowEngines() { runSeeds(detail::Engines::WithModes); }

private:
    static void runSeeds(detail::Engines engines)
    {
        constexpr std::uint64_t seeds = 50000;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            detail::DrawnHost(seed, engines).run();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestForwardedRequestOrders);

} // namespace Wisteria
