// Decides how one request is forwarded, from its arrival to the final response: when an attempt is sent,
// retried or resumed on another target, and when the request is answered, refused or aborted.
//
// A run whose target is suspected goes on beside its replacement until one of the two makes progress: the
// replacement may be rejected or lost, and the target may only have been silent for a while. Two runs of a
// stream overlap for `maxRunOverlap` at most. Then the replacement is cancelled. Only if the current run is
// overdue, and the replacement has reached its target, the current run is given up instead.
//
// A state machine without I/O. The host reports events and performs the returned actions in order. Invariant:
// the time passed in never goes back. At each `StartAttempt` the host chooses the target from its TargetPool
// and reports `NoTarget` if none is available.

#pragma once

#include <LibForwarding/Request.h>
#include <LibForwarding/TargetPool.h>

#include <absl/time/time.h>

#include <optional>
#include <variant>
#include <vector>

namespace Wisteria {

// Properties of the request that determine how it is forwarded. They are fixed at its arrival.
struct ForwardingParameters
{
    RouteKind kind{RouteKind::AtMostOnce};
    int maxAttempts{1};
    // Measured from the arrival of the request.
    absl::Duration routeTimeout;
    absl::Duration callerTimeout;
    absl::Duration latencyObjective;
    absl::Duration maxEventGap;
    GenerationSize size;
    std::optional<EventNumber> lastEvent;
    // Whether copies of the running generation's KV cache can be kept on a second target.
    bool usesCopies{false};
};

enum class RunRole {
    Current,
    // Started beside the current run, which is suspected.
    Replacement,
};

namespace ForwardingEvents {

// No target is available for the attempt.
struct NoTarget
{
    // Set if all targets of the service want no requests: time until the first one accepts them again.
    std::optional<absl::Duration> backoff;
    // The targets limit the requests that they take, rather than wanting none.
    bool isLimited{false};
    RunRole role{RunRole::Current};
};
// No target could finish the request before its deadline. This attempt was not sent.
struct NoTimeLeft
{
    RunRole role{RunRole::Current};
};
// Requests with such a prompt are barred, since they end their targets. This attempt was not sent.
struct AttemptBarred
{
    // How long requests like this one are barred.
    absl::Duration barTime;
    RunRole role{RunRole::Current};
};
// Requests like the one of the running attempt have become barred.
struct RunBarred
{
    absl::Duration barTime;
    RunRole role{RunRole::Current};
};
// The attempt waits for a permit of its target, which limits its requests. Nothing has been sent. Followed by
// AttemptSent, or by an event that the attempt was not sent.
struct AttemptDelayed
{
};
// The attempt was sent to a target that is expected to send its first event after this time.
struct AttemptSent
{
    absl::Duration expectedTimeToFirstEvent;
    RunRole role{RunRole::Current};
};
// The target has accepted the attempt's connection, so that it gets the request now.
struct AttemptReached
{
    RunRole role{RunRole::Current};
};
// The attempt was certainly not executed: either no byte was sent, or the target reported so.
struct AttemptNotExecuted
{
    TargetFault fault{TargetFault::Unreachable};
    // The request reached a target, which refused it. It counts as a request there, so sending it again needs
    // a retry from the budget.
    bool wasRefused{false};
    // The target no longer has the copy that the attempt was to resume from.
    bool isCopyMissing{false};
    RunRole role{RunRole::Current};
};
// The head of the stream was received.
struct StreamOpened
{
    RunRole role{RunRole::Current};
};
struct EventsReceived
{
    EventNumber last;
    RunRole role{RunRole::Current};
};
// The stream ended normally.
struct StreamCompleted
{
    RunRole role{RunRole::Current};
};
// A complete plain response was received, or a complete error response to a stream request.
struct ResponseReceived
{
    int status{200};
    RunRole role{RunRole::Current};
};
// The target of the running attempt may be lost: it is silent, or accepts no connections. It may also go on.
struct TargetSuspected
{
    TargetFault fault{TargetFault::Unresponsive};
    RunRole role{RunRole::Current};
};
// A probe found that the target of the running attempt accepts connections.
struct TargetReachable
{
    RunRole role{RunRole::Current};
};
// Another target or a usable copy is available for the attempt that FindReplacement asked for.
struct ReplacementFound
{
};
struct NoReplacement
{
};
// The attempt may have been executed, and no (further) response will arrive.
struct AttemptLost
{
    TargetFault fault{TargetFault::ConnectionLost};
    RunRole role{RunRole::Current};
};
struct CallerDisconnected
{
};
// The process is shutting down; a running attempt is cancelled.
struct ShutdownRequested
{
};
// The time of the last `SetTimer` was reached.
struct Tick
{
};

} // namespace ForwardingEvents

using ForwardingEvent = std::variant<
    ForwardingEvents::NoTarget, ForwardingEvents::NoTimeLeft, ForwardingEvents::AttemptBarred,
    ForwardingEvents::RunBarred, ForwardingEvents::AttemptDelayed, ForwardingEvents::AttemptSent,
    ForwardingEvents::AttemptReached, ForwardingEvents::AttemptNotExecuted, ForwardingEvents::StreamOpened,
    ForwardingEvents::EventsReceived, ForwardingEvents::StreamCompleted, ForwardingEvents::ResponseReceived,
    ForwardingEvents::TargetSuspected, ForwardingEvents::TargetReachable, ForwardingEvents::ReplacementFound,
    ForwardingEvents::NoReplacement, ForwardingEvents::AttemptLost, ForwardingEvents::CallerDisconnected,
    ForwardingEvents::ShutdownRequested, ForwardingEvents::Tick>;

// Why the router itself ends a request with an error.
enum class RefusalReason {
    NoTarget,
    TargetsBackingOff,
    TargetsLimited,
    TargetsFull,
    NoTimeLeft,
    AttemptsExhausted,
    RetryBudgetExhausted,
    TimedOut,
    ResponseLost,
    // The response of the target that executed the request would say that it was not executed.
    MisleadingResponse,
    PromptBarred,
    Stopping,
};

[[nodiscard]] std::string_view refusalReasonName(RefusalReason);

namespace ForwardingActions {

struct StartAttempt
{
    // Numbered from one.
    int number{1};
    // Resume from the copy of the previous attempt's KV cache.
    bool fromCopy{false};
    // The target continues after this event.
    std::optional<EventNumber> lastEvent;
    // Time available to the target.
    absl::Duration timeLeft;
    // For a replacement, the host has already found a target.
    RunRole role{RunRole::Current};
};
// Asks the host whether the attempt could be started elsewhere. The current run goes on meanwhile. The
// host answers with ReplacementFound or NoReplacement before it reports anything else.
struct FindReplacement
{
    // Number of the attempt to be started.
    int number{1};
    bool fromCopy{false};
    // Otherwise, only a target that resumes from a copy is a replacement: the others have to process the
    // prompt again, which outlasts the overlap.
    bool mayRecompute{true};
    absl::Duration timeLeft;
};
// The current run's target is suspected, so new requests should avoid it.
struct ReportSuspicion
{
    TargetFault fault{TargetFault::Unresponsive};
};
// Closes the connection of the run's attempt.
struct CancelAttempt
{
    // Set if the attempt is cancelled because of a target fault.
    std::optional<TargetFault> fault;
    RunRole role{RunRole::Current};
};
// The replacement becomes the current run; the current one has ended.
struct AdoptReplacement
{
};
// Forwards the head of the current run's stream to the caller.
struct StartResponse
{
};
struct CompleteStream
{
};
// Forwards the latest complete response of a target to the caller.
struct SendResponse
{
};
// Responds with an error generated by the router. `isNotExecuted` guarantees that the request was not
// executed and never will be.
struct Refuse
{
    int status{503};
    bool isNotExecuted{false};
    RefusalReason reason{RefusalReason::NoTarget};
    std::optional<absl::Duration> retryAfter;
    // The request would be refused again before this time has passed.
    absl::Duration earliestRetry;
};
// Closes the caller's connection before the response is complete.
struct AbortResponse
{
    RefusalReason reason{RefusalReason::ResponseLost};
};
struct SetTimer
{
    absl::Time at;
};
// Asks the host to check whether the target still accepts connections. The host reports TargetSuspected if
// it does not.
struct ProbeTarget
{
    RunRole role{RunRole::Current};
};

} // namespace ForwardingActions

using ForwardingAction = std::variant<
    ForwardingActions::StartAttempt, ForwardingActions::FindReplacement, ForwardingActions::ReportSuspicion,
    ForwardingActions::CancelAttempt, ForwardingActions::AdoptReplacement, ForwardingActions::StartResponse,
    ForwardingActions::CompleteStream, ForwardingActions::SendResponse, ForwardingActions::Refuse,
    ForwardingActions::AbortResponse, ForwardingActions::SetTimer, ForwardingActions::ProbeTarget>;
using ForwardingActionList = std::vector<ForwardingAction>;

// Decides whether a request may be retried, based on all requests of its service.
class RetryGate
{
public:
    virtual ~RetryGate() = default;
    // Takes one retry from the budget. Returns false if the budget is exhausted.
    [[nodiscard]] virtual bool tryAcquireRetry(absl::Time now) = 0;
};

// When all open requests are refused at once, each caller retries only once or twice. A caller with a long
// timeout that retries too early uses up its retries before a target is available again.
//
// A caller is asked to wait at least its timeout divided by this, before jitter shortens the delay.
inline constexpr int minRetryAfterDivisor = 12;
// Callers honor a Retry-After only up to a fraction of their remaining time. The divisor is a little larger
// than that limit requires, since part of the time has already passed.
inline constexpr double maxRetryAfterDivisor = 3.3;
inline constexpr absl::Duration minRetryAfter = absl::Milliseconds(50);
// Random fraction by which Retry-After is shortened, so that callers refused together do not retry at the
// same time.
inline constexpr double retryJitter = 0.4;

// Returns the delay after which a refused caller should retry. `outage` is how long the cause of the refusal
// has lasted.
[[nodiscard]] absl::Duration retryAfter(absl::Duration callerTimeout, absl::Duration outage);

class ForwardedRequest
{
public:
    // A stream stalls if its next event takes longer than this fraction of the maximum event gap. Events
    // arrive every 30 to 200 ms, and resuming from a copy takes about 200 ms, which must fit into the gap of
    // 700 ms.
    static constexpr double stallFractionOfEventGap = 0.5;
    // The stall limit grows by this factor each time a suspected run goes on. Otherwise a target that pauses
    // again and again would use up the attempts.
    static constexpr double stallLimitGrowth = 2;
    // Delay before a target that has not sent a first event is probed, and interval of further probes. A
    // prompt of mean size takes about a second of prefill.
    static constexpr absl::Duration firstProbeDelay = absl::Milliseconds(700);
    static constexpr absl::Duration probeInterval = absl::Milliseconds(400);
    // A stream without a first event is retried on another target after this multiple of the expected time,
    // but not before its latency objective. This detects targets that accept requests and never respond,
    // which a probe does not find. Prompts that other routers send at the same moment can double the expected
    // time.
    static constexpr double firstEventTimeoutFactor = 3;
    // Two runs of a stream must not be at work side by side for this long.
    static constexpr absl::Duration forbiddenRunOverlap = absl::Milliseconds(400);
    // The difference is for the close of a connection to reach its target, and for a busy event loop.
    static constexpr absl::Duration maxRunOverlap = absl::Milliseconds(250);
    // Sound targets may be silent for a second or two and go on. A run that has been silent for longer than
    // this, and than the maximum event gap, is overdue.
    static constexpr absl::Duration longestSoundSilence = absl::Milliseconds(2200);
    // A run without events is overdue, too, when its target has accepted no connections for this long, but
    // not in the first time after its start.
    static constexpr absl::Duration longestUnreachableTime = absl::Milliseconds(600);
    static constexpr absl::Duration shortestUnreachableRun = absl::Milliseconds(1500);
    // Interval at which a replacement is looked for again while there is none. The running attempt may still
    // go on by itself. Long enough that a target notices the end of its run before the next one starts.
    static constexpr absl::Duration replacementInterval = absl::Milliseconds(200);
    // An idempotent plain request is retried after this multiple of its latency objective.
    static constexpr double plainRequestTimeoutFactor = 3;

    ForwardedRequest(const ForwardingParameters &, RetryGate &, absl::Time now);

    // Returns the first actions.
    [[nodiscard]] ForwardingActionList begin(absl::Time now);
    [[nodiscard]] ForwardingActionList handle(const ForwardingEvent &, absl::Time now);

    [[nodiscard]] bool isFinished() const { return m_state == State::Finished; }
    [[nodiscard]] bool hasResponseStarted() const { return m_hasResponseStarted; }
    [[nodiscard]] std::optional<EventNumber> lastEvent() const { return m_lastEvent; }
    [[nodiscard]] absl::Time deadline() const;

private:
    // Waiting: no attempt runs; the next one may wait for a permit.
    enum class State { Waiting, Attempting, Finished };

    void on(const ForwardingEvents::NoTarget &, absl::Time now);
    void on(const ForwardingEvents::NoTimeLeft &, absl::Time now);
    void on(const ForwardingEvents::AttemptBarred &, absl::Time now);
    void on(const ForwardingEvents::RunBarred &, absl::Time now);
    void on(const ForwardingEvents::AttemptDelayed &, absl::Time now);
    void on(const ForwardingEvents::AttemptSent &, absl::Time now);
    void on(const ForwardingEvents::AttemptReached &, absl::Time now);
    void on(const ForwardingEvents::AttemptNotExecuted &, absl::Time now);
    void on(const ForwardingEvents::StreamOpened &, absl::Time now);
    void on(const ForwardingEvents::EventsReceived &, absl::Time now);
    void on(const ForwardingEvents::StreamCompleted &, absl::Time now);
    void on(const ForwardingEvents::ResponseReceived &, absl::Time now);
    void on(const ForwardingEvents::TargetSuspected &, absl::Time now);
    void on(const ForwardingEvents::TargetReachable &, absl::Time now);
    void on(const ForwardingEvents::ReplacementFound &, absl::Time now);
    void on(const ForwardingEvents::NoReplacement &, absl::Time now);
    void on(const ForwardingEvents::AttemptLost &, absl::Time now);
    void on(const ForwardingEvents::CallerDisconnected &, absl::Time now);
    void on(const ForwardingEvents::ShutdownRequested &, absl::Time now);
    void on(const ForwardingEvents::Tick &, absl::Time now);

    // Progress of one attempt on its target.
    struct Run
    {
        absl::Time startedAt;
        // The target has accepted the connection. Before that, it can't be at work.
        bool isReached{false};
        // The run has sent an event.
        bool hasEvents{false};
        // Equals `startedAt` before the first event.
        absl::Time lastEventAt;
        absl::Time nextProbeAt;
        // The run is suspected if no event arrives before this time.
        absl::Time firstEventDeadline{absl::InfiniteFuture()};
        // Before the first event: since when its target has accepted no connections.
        std::optional<absl::Time> unreachableSince;
    };

    void startAttempt(absl::Time now, bool fromCopy);
    void startReplacement(absl::Time now);
    // Starts no run if too little time is left for it.
    [[nodiscard]] bool tryStartRun(RunRole, absl::Time now, bool fromCopy);
    // The current run has ended, or has been given up for its replacement.
    void adoptReplacement(absl::Time now);
    void cancelReplacement(std::optional<TargetFault> = std::nullopt);
    // This run has made progress; the other one, if any, is cancelled.
    void keepOnly(RunRole, absl::Time now);
    void cancelRuns();
    // The host has not sent the replacement to any target.
    void replacementNotStarted(absl::Time now);
    // A full target rejected the replacement. Others may be full, too, and each of them costs a retry, which
    // runs that are really lost need; the search goes on after replacementInterval.
    void replacementRejected(absl::Time now);
    // The replacement has ended without progress. Another one is looked for.
    void replacementEnded(absl::Time now);
    // The same for one that may have been executed: its end may not have reached all of its target yet.
    void replacementLost(absl::Time now);
    // Looks for another target while the suspected run goes on. False if none can be started now.
    [[nodiscard]] bool trySeekReplacement(TargetFault, absl::Time now);
    [[nodiscard]] bool mayAttemptAgain() const;
    // The overlap of the two runs has lasted for `maxRunOverlap`. Exactly one of them goes on.
    void endOverlap(absl::Time now);
    // The replacement, which may have been executed, has ended and the current run goes on.
    void delayNextReplacement(absl::Time now);
    // When the current run has been silent for too long, or has taken twice the time that it was given for
    // its first event. From then on it is given up for a replacement that has reached its target.
    [[nodiscard]] absl::Time overdueAt() const;
    // Until then, only a replacement that resumes from a copy can take over within the overlap.
    [[nodiscard]] absl::Time earliestRecomputation() const;
    // Before this time, no replacement is looked for.
    [[nodiscard]] absl::Time earliestReplacement() const;
    // A retry can resume from the copy of the current run's KV cache.
    [[nodiscard]] bool canUseCopy() const { return m_hasCopy && m_current.hasEvents; }
    // Retries the request if it is retryable and attempts and budget allow it, and fails it otherwise.
    void retryOrFail(RefusalReason, absl::Time now, bool fromCopy);
    // `backoff` is the time until a target accepts the request again.
    void fail(RefusalReason, absl::Duration backoff = absl::ZeroDuration());
    void sendResponse();
    void finish();
    void setTimer(absl::Time now);
    // The run that is suspected next: the replacement, if there is one.
    [[nodiscard]] const Run &latestRun() const { return m_replacement ? *m_replacement : m_current; }
    [[nodiscard]] absl::Time stallDeadline() const;

    ForwardingParameters m_parameters;
    RetryGate &m_retryGate;
    absl::Time m_arrivedAt;
    State m_state{State::Waiting};
    // Number of attempts that may have been executed, including the running ones.
    int m_executedAttempts{0};
    // Counts all attempts, including those that were not executed.
    int m_lastAttemptNumber{0};
    // An attempt may have been executed, so the request can no longer be reported as not executed.
    bool m_mayHaveExecuted{false};
    bool m_hasResponseStarted{false};
    // A copy of the current run's KV cache may exist.
    bool m_hasCopy{false};
    bool m_hasErrorResponse{false};
    std::optional<EventNumber> m_lastEvent;
    Run m_current;
    std::optional<Run> m_replacement;
    // When the overlap with the latest replacement ends, or ended.
    absl::Time m_overlapDeadline{absl::InfiniteFuture()};
    // Why a replacement is looked for.
    TargetFault m_suspicion{TargetFault::Unresponsive};
    absl::Time m_nextReplacementAt{absl::InfinitePast()};
    double m_stallLimitFactor{1};
    // A retry was taken from the budget for a replacement that reached no target.
    bool m_hasUnusedRetry{false};
    ForwardingActionList m_actions;
};

} // namespace Wisteria
