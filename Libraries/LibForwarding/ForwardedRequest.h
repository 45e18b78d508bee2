// Decides on one forwarded request from its arrival to its final answer: when it is sent to which target,
// sent again, continued elsewhere, answered, refused or broken off.
//
// A state machine without I/O. The host reports what happens and performs the actions in order. Time never
// goes back. The target is chosen by the host's TargetPool at each `StartAttempt`; when none is left, the
// host reports `NoTarget`.

#pragma once

#include <LibForwarding/Request.h>
#include <LibForwarding/TargetPool.h>

#include <absl/time/time.h>

#include <optional>
#include <variant>
#include <vector>

namespace Wisteria {

// What decides on the request, fixed at its arrival.
struct ForwardingParameters
{
    RouteKind kind{RouteKind::AtMostOnce};
    int maxAttempts{1};
    // Counted from the arrival.
    absl::Duration routeTimeout;
    absl::Duration callerTimeout;
    absl::Duration latencyObjective;
    absl::Duration maxEventGap;
    GenerationSize size;
    std::optional<EventNumber> lastEvent;
    // Copies of the running generation's memory can be kept at a second target.
    bool usesCopies{false};
};

namespace ForwardingEvents {

// The host asked for a target and there is none.
struct NoTarget
{
};
// No target could end the request in time; nothing was sent.
struct NoTimeLeft
{
};
// The attempt was sent to a target that should send its first event after this.
struct AttemptSent
{
    absl::Duration expectedTimeToFirstEvent;
};
// Nothing of the attempt can have run: no byte was sent, or the target said so.
struct AttemptNotExecuted
{
    TargetFault fault{TargetFault::Unreachable};
    // The request reached a target that refused it, so that it counts as an arrival there.
    bool wasRefused{false};
    // The copy that the attempt was to continue from is gone.
    bool isCopyMissing{false};
};
// The stream has begun: its head is here.
struct StreamOpened
{
};
struct EventsReceived
{
    EventNumber last;
};
// The stream ended as complete.
struct StreamCompleted
{
};
// A complete plain answer, or a complete failure of a stream.
struct ResponseReceived
{
    int status{200};
};
// The attempt may have run and there will be no (further) answer.
struct AttemptLost
{
    TargetFault fault{TargetFault::ConnectionLost};
};
struct CallerDisconnected
{
};
// The process ends soon: what still runs is broken off.
struct ShutdownRequested
{
};
// The time of the last `SetTimer` has come.
struct Tick
{
};

} // namespace ForwardingEvents

using ForwardingEvent = std::variant<
    ForwardingEvents::NoTarget, ForwardingEvents::NoTimeLeft, ForwardingEvents::AttemptSent,
    ForwardingEvents::AttemptNotExecuted, ForwardingEvents::StreamOpened, ForwardingEvents::EventsReceived,
    ForwardingEvents::StreamCompleted, ForwardingEvents::ResponseReceived, ForwardingEvents::AttemptLost,
    ForwardingEvents::CallerDisconnected, ForwardingEvents::ShutdownRequested, ForwardingEvents::Tick>;

// The final word of the router itself.
enum class RefusalReason {
    NoTarget,
    TargetsFull,
    NoTimeLeft,
    AttemptsExhausted,
    RetryBudgetExhausted,
    TimedOut,
    ResponseLost,
    Stopping,
};

[[nodiscard]] std::string_view refusalReasonName(RefusalReason);

namespace ForwardingActions {

struct StartAttempt
{
    // Counts from one.
    int number{1};
    // Continue from the copy at the holder of the last attempt's copy.
    bool fromCopy{false};
    // The target continues after this event.
    std::optional<EventNumber> lastEvent;
    // What the target may spend.
    absl::Duration timeLeft;
};
// Closes the connection of the running attempt.
struct CancelAttempt
{
    // Set when the target is at fault.
    std::optional<TargetFault> fault;
};
// Passes the head of the stream on to the caller.
struct StartResponse
{
};
struct CompleteStream
{
};
// Passes the collected answer of the target on.
struct SendResponse
{
};
// Answers with an error of the router's own. `isNotExecuted` is a promise that the request has not run and
// never will.
struct Refuse
{
    int status{503};
    bool isNotExecuted{false};
    RefusalReason reason{RefusalReason::NoTarget};
    std::optional<absl::Duration> retryAfter;
};
// Closes the caller's connection in the middle of an answer.
struct AbortResponse
{
    RefusalReason reason{RefusalReason::ResponseLost};
};
struct SetTimer
{
    absl::Time at;
};
// Asks the host whether the target still accepts connections; it reports AttemptLost if not.
struct ProbeTarget
{
};

} // namespace ForwardingActions

using ForwardingAction =
    std::variant<ForwardingActions::StartAttempt, ForwardingActions::CancelAttempt,
                 ForwardingActions::StartResponse, ForwardingActions::CompleteStream,
                 ForwardingActions::SendResponse, ForwardingActions::Refuse, ForwardingActions::AbortResponse,
                 ForwardingActions::SetTimer, ForwardingActions::ProbeTarget>;
using ForwardingActionList = std::vector<ForwardingAction>;

// Decides whether a request may be sent once more, over all requests of its service.
class RetryGate
{
public:
    virtual ~RetryGate() = default;
    // Takes one repeat out of the budget; false when it does not allow one.
    [[nodiscard]] virtual bool tryAcquireRetry(absl::Time now) = 0;
};

// Load pattern: all that was open is turned away at once, and each caller comes back just once or twice. A
// patient caller that comes back too early uses up its retries before there is anything to serve it.
//
// The fraction of a caller's patience after which it comes back at the least.
inline constexpr int minRetryAfterDivisor = 12;
// Callers follow a Retry-After up to this fraction of the time that they have left (the users' pages); a
// little less, since time has passed.
inline constexpr double maxRetryAfterDivisor = 3.3;
inline constexpr absl::Duration minRetryAfter = absl::Milliseconds(50);

// When a refused caller should come back. `outage` is how long the cause has lasted already.
[[nodiscard]] absl::Duration retryAfter(absl::Duration callerTimeout, absl::Duration outage);

class ForwardedRequest
{
public:
    // An event of a stream that is later than this counts as lost, unless the route allows less. Source:
    // events come each 30 to 200 ms, and a copy needs about 200 ms to go on within the longest gap of 700 ms.
    static constexpr double stallFractionOfEventGap = 0.5;
    // After this long without a first event, the target is probed, and again at this interval. Source: a
    // prompt of mean size is read in about a second.
    static constexpr absl::Duration firstProbeDelay = absl::Milliseconds(700);
    static constexpr absl::Duration probeInterval = absl::Milliseconds(400);
    // A stream without a first event after this multiple of what was expected, and after the objective, goes
    // to another target. Load pattern: targets that accept requests and answer nothing; a probe cannot tell
    // them. Source: prompts that other routers sent at the same moment double the wait at times.
    static constexpr double firstEventTimeoutFactor = 3;
    // An idempotent plain request is sent again after this multiple of its objective.
    static constexpr double plainRequestTimeoutFactor = 3;

    ForwardedRequest(const ForwardingParameters &, RetryGate &, absl::Time now);

    // The first actions.
    [[nodiscard]] ForwardingActionList begin(absl::Time now);
    [[nodiscard]] ForwardingActionList handle(const ForwardingEvent &, absl::Time now);

    [[nodiscard]] bool isFinished() const { return m_state == State::Finished; }
    [[nodiscard]] bool hasResponseStarted() const { return m_hasResponseStarted; }
    [[nodiscard]] std::optional<EventNumber> lastEvent() const { return m_lastEvent; }
    [[nodiscard]] absl::Time deadline() const;

private:
    enum class State { Waiting, Attempting, Finished };

    void on(const ForwardingEvents::NoTarget &, absl::Time now);
    void on(const ForwardingEvents::NoTimeLeft &, absl::Time now);
    void on(const ForwardingEvents::AttemptSent &, absl::Time now);
    void on(const ForwardingEvents::AttemptNotExecuted &, absl::Time now);
    void on(const ForwardingEvents::StreamOpened &, absl::Time now);
    void on(const ForwardingEvents::EventsReceived &, absl::Time now);
    void on(const ForwardingEvents::StreamCompleted &, absl::Time now);
    void on(const ForwardingEvents::ResponseReceived &, absl::Time now);
    void on(const ForwardingEvents::AttemptLost &, absl::Time now);
    void on(const ForwardingEvents::CallerDisconnected &, absl::Time now);
    void on(const ForwardingEvents::ShutdownRequested &, absl::Time now);
    void on(const ForwardingEvents::Tick &, absl::Time now);

    void startAttempt(absl::Time now, bool fromCopy);
    // Sends the request once more if it may be repeated; gives up otherwise.
    void retryOrFail(RefusalReason, absl::Time now, bool fromCopy);
    void fail(RefusalReason);
    void finish();
    void setTimer(absl::Time now);
    [[nodiscard]] absl::Time stallDeadline() const;

    ForwardingParameters m_parameters;
    RetryGate &m_retryGate;
    absl::Time m_arrivedAt;
    State m_state{State::Waiting};
    // Attempts that may have run, the running one included.
    int m_executedAttempts{0};
    // All attempts, for the numbering.
    int m_lastAttemptNumber{0};
    // Some attempt may have run: "not run" can no longer be said.
    bool m_mayHaveExecuted{false};
    bool m_hasResponseStarted{false};
    // The running attempt has sent an event.
    bool m_hasEvents{false};
    // A copy of the last attempt's memory may exist.
    bool m_hasCopy{false};
    bool m_hasErrorResponse{false};
    std::optional<EventNumber> m_lastEvent;
    absl::Time m_attemptStartedAt;
    absl::Time m_lastEventAt;
    absl::Time m_nextProbeAt;
    // Without a first event until then, the running attempt is lost.
    absl::Time m_firstEventDeadline{absl::InfiniteFuture()};
    ForwardingActionList m_actions;
};

} // namespace Wisteria
