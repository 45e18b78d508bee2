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
struct ForwardingTerms
{
    RouteKind kind{RouteKind::Once};
    int maxAttempts{1};
    // Counted from the arrival.
    absl::Duration routeTimeout;
    absl::Duration patience;
    absl::Duration latencyObjective;
    absl::Duration longestGap;
    GenerationSize size;
    std::optional<EventNumber> lastEvent;
    // Copies of the running generation's memory can be kept at a second target.
    bool usesCopies{false};
};

namespace Events {

// The host asked for a target and there is none.
struct NoTarget
{
};
// No target could end the request in time; nothing was sent.
struct NoTimeLeft
{
};
// The attempt was sent to a target that should send its first event after this.
struct AttemptPlaced
{
    absl::Duration expectedFirstEvent;
};
// Nothing of the attempt can have run: no byte was sent, or the target said so.
struct AttemptNotRun
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
struct EventsArrived
{
    EventNumber last;
};
// The stream ended as complete.
struct StreamEnded
{
};
// A complete plain answer, or a complete failure of a stream.
struct AnswerArrived
{
    int status{200};
};
// The attempt may have run and there will be no (further) answer.
struct AttemptLost
{
    TargetFault fault{TargetFault::ConnectionLost};
};
struct CallerLeft
{
};
// The process ends soon: what still runs is broken off.
struct StopNow
{
};
// The time of the last `SetTimer` has come.
struct Tick
{
};

} // namespace Events

using ForwardingEvent =
    std::variant<Events::NoTarget, Events::NoTimeLeft, Events::AttemptPlaced, Events::AttemptNotRun,
                 Events::StreamOpened, Events::EventsArrived, Events::StreamEnded, Events::AnswerArrived,
                 Events::AttemptLost, Events::CallerLeft, Events::StopNow, Events::Tick>;

// The final word of the router itself.
enum class RefusalReason {
    NoTarget,
    TargetsFull,
    NoTimeLeft,
    AttemptsUsedUp,
    RetryBudgetUsedUp,
    TimedOut,
    AnswerLost,
    Stopping,
};

[[nodiscard]] std::string_view refusalReasonName(RefusalReason);

namespace Actions {

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
struct OpenAnswer
{
};
struct CompleteStream
{
};
// Passes the collected answer of the target on.
struct DeliverAnswer
{
};
// Answers with an error of the router's own. `isNotRun` is a promise that the request has not run and never
// will.
struct Refuse
{
    int status{503};
    bool isNotRun{false};
    RefusalReason reason{RefusalReason::NoTarget};
    std::optional<absl::Duration> retryAfter;
};
// Closes the caller's connection in the middle of an answer.
struct BreakOff
{
    RefusalReason reason{RefusalReason::AnswerLost};
};
struct SetTimer
{
    absl::Time at;
};
// Asks the host whether the target still accepts connections; it reports AttemptLost if not.
struct ProbeTarget
{
};

} // namespace Actions

using ForwardingAction = std::variant<Actions::StartAttempt, Actions::CancelAttempt, Actions::OpenAnswer,
                                      Actions::CompleteStream, Actions::DeliverAnswer, Actions::Refuse,
                                      Actions::BreakOff, Actions::SetTimer, Actions::ProbeTarget>;
using ForwardingActions = std::vector<ForwardingAction>;

// Decides whether a request may be sent once more, over all requests of its service.
class RepeatGate
{
public:
    virtual ~RepeatGate() = default;
    // Takes one repeat out of the budget; false when it does not allow one.
    [[nodiscard]] virtual bool tryTakeRepeat(absl::Time now) = 0;
};

// Load pattern: all that was open is turned away at once, and each caller comes back just once or twice. A
// patient caller that comes back too early uses up its retries before there is anything to serve it.
//
// The fraction of a caller's patience after which it comes back at the least.
inline constexpr int retryPatienceShare = 12;
// Callers follow a Retry-After up to this fraction of the time that they have left (the users' pages); a
// little less, since time has passed.
inline constexpr double longestRetryPatienceShare = 3.3;
inline constexpr absl::Duration shortestRetryAfter = absl::Milliseconds(50);

// When a refused caller should come back. `outage` is how long the cause has lasted already.
[[nodiscard]] absl::Duration retryAfter(absl::Duration patience, absl::Duration outage);

class ForwardedRequest
{
public:
    // An event of a stream that is later than this counts as lost, unless the route allows less. Source:
    // events come each 30 to 200 ms, and a copy needs about 200 ms to go on within the longest gap of 700 ms.
    static constexpr double stallShareOfGap = 0.5;
    // After this long without a first event, the target is probed, and again at this interval. Source: a
    // prompt of mean size is read in about a second.
    static constexpr absl::Duration firstProbe = absl::Milliseconds(700);
    static constexpr absl::Duration probeInterval = absl::Milliseconds(400);
    // A stream without a first event after this multiple of what was expected, and after the objective, goes
    // to another target. Load pattern: targets that accept requests and answer nothing; a probe cannot tell
    // them. Source: prompts that other routers sent at the same moment double the wait at times.
    static constexpr double firstEventPatience = 3;
    // An idempotent plain request is sent again after this multiple of its objective.
    static constexpr double plainStallOfObjective = 3;

    ForwardedRequest(const ForwardingTerms &, RepeatGate &, absl::Time now);

    // The first actions.
    [[nodiscard]] ForwardingActions begin(absl::Time now);
    [[nodiscard]] ForwardingActions handle(const ForwardingEvent &, absl::Time now);

    [[nodiscard]] bool isFinished() const { return m_state == State::Finished; }
    [[nodiscard]] bool isAnswering() const { return m_isAnswering; }
    [[nodiscard]] std::optional<EventNumber> lastEvent() const { return m_lastEvent; }
    [[nodiscard]] absl::Time answerBy() const;

private:
    enum class State { Waiting, Attempting, Finished };

    void on(const Events::NoTarget &, absl::Time now);
    void on(const Events::NoTimeLeft &, absl::Time now);
    void on(const Events::AttemptPlaced &, absl::Time now);
    void on(const Events::AttemptNotRun &, absl::Time now);
    void on(const Events::StreamOpened &, absl::Time now);
    void on(const Events::EventsArrived &, absl::Time now);
    void on(const Events::StreamEnded &, absl::Time now);
    void on(const Events::AnswerArrived &, absl::Time now);
    void on(const Events::AttemptLost &, absl::Time now);
    void on(const Events::CallerLeft &, absl::Time now);
    void on(const Events::StopNow &, absl::Time now);
    void on(const Events::Tick &, absl::Time now);

    void startAttempt(absl::Time now, bool fromCopy);
    // Sends the request once more if it may be repeated; gives up otherwise.
    void repeatOrGiveUp(RefusalReason, absl::Time now, bool fromCopy);
    void giveUp(RefusalReason);
    void finish();
    void setTimer(absl::Time now);
    [[nodiscard]] absl::Time stallAt() const;

    ForwardingTerms m_terms;
    RepeatGate &m_gate;
    absl::Time m_arrivedAt;
    State m_state{State::Waiting};
    // Attempts that may have run, the running one included.
    int m_runs{0};
    // All attempts, for the numbering.
    int m_attempts{0};
    // Some attempt may have run: "not run" can no longer be said.
    bool m_mayHaveRun{false};
    bool m_isAnswering{false};
    // The running attempt has sent an event.
    bool m_hasEvents{false};
    // A copy of the last attempt's memory may exist.
    bool m_hasCopy{false};
    bool m_holdsFailure{false};
    std::optional<EventNumber> m_lastEvent;
    absl::Time m_attemptStartedAt;
    absl::Time m_lastEventAt;
    absl::Time m_nextProbeAt;
    // Without a first event until then, the running attempt is lost.
    absl::Time m_firstEventBy{absl::InfiniteFuture()};
    ForwardingActions m_out;
};

} // namespace Wisteria
