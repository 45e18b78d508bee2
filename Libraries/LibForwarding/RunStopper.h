// Decides when the targets of a request's abandoned runs are asked to stop them, and for how long the next
// attempt waits for that.
//
// The end of a connection doesn't end the work behind it. A target is asked again until its run is known to
// be over: it may not be able to stop the run yet, its answer may be lost, or it may not have begun with the
// request. If a target can't be asked in time, the next attempt waits, since two targets must not work on
// one stream side by side. It doesn't wait for longer than the caller would.
//
// A state machine without I/O. Invariants: the time passed in never goes back; each abandoned run is settled
// once at most.

#pragma once

#include <LibForwarding/TargetNotices.h>

#include <absl/time/time.h>

#include <string_view>
#include <variant>
#include <vector>

namespace Wisteria {

// What became of a request to stop a run.
enum class StopResult {
    // The target was still at work on the run.
    Stopped,
    // The target has no such run. A request that waits in its queue is none yet.
    NotRunning,
    // The target can't stop the run now.
    Busy,
    // The target may have stopped the run.
    AnswerLost,
    // The request has not reached the target.
    Unreachable,
};

[[nodiscard]] std::string_view stopResultName(StopResult);

// Why a target can't be asked to stop a run at once.
enum class StopObstacle {
    None,
    // It copies the run's KV cache for this router. CopyEnded follows.
    CopyInProgress,
    // It takes no request, or none without a permit.
    TakesNoRequest,
};

// What a target's own report says of a request.
enum class QueuePresence {
    // It neither runs nor waits there.
    Absent,
    MayBePresent,
};

namespace RunStopEvents {

struct RunAbandoned
{
    TargetProcess process;
    // The run has sent an event. Before that, the request may wait in the target's queue.
    bool hasStarted{false};
    StopObstacle obstacle{StopObstacle::None};
};
// The target copies the KV cache of an abandoned run no longer, so that it can stop it.
struct CopyEnded
{
    TargetProcess process;
};
// The request that AskToStop or AskForReport told to send was sent.
struct Asked
{
    TargetProcess process;
};
// It was not sent, since the target may not be asked before that time.
struct Delayed
{
    TargetProcess process;
    absl::Time until;
};
struct StopAnswered
{
    TargetProcess process;
    StopResult result{StopResult::NotRunning};
    // Time between two requests that a limit of the target leaves. Zero without one.
    absl::Duration limitInterval;
};
struct ReportAnswered
{
    TargetProcess process;
    QueuePresence presence{QueuePresence::MayBePresent};
};
// The target accepts no connections, so that the next attempt doesn't wait for it.
struct TargetUnreachable
{
    TargetProcess process;
};
// The run can't be at work any more, or the request runs there again.
struct RunOver
{
    TargetProcess process;
};
// The time of the last SetTimer was reached.
struct Tick
{
};

} // namespace RunStopEvents

using RunStopEvent =
    std::variant<RunStopEvents::RunAbandoned, RunStopEvents::CopyEnded, RunStopEvents::Asked,
                 RunStopEvents::Delayed, RunStopEvents::StopAnswered, RunStopEvents::ReportAnswered,
                 RunStopEvents::TargetUnreachable, RunStopEvents::RunOver, RunStopEvents::Tick>;

namespace RunStopActions {

// Asks the target to stop the run. The host answers with Asked and then StopAnswered, or with Delayed or
// RunOver.
struct AskToStop
{
    TargetProcess process;
    // Numbered from one.
    int number{1};
    // The run is at work as far as is known. Otherwise, it may not have begun.
    bool isUrgent{true};
};
// Asks the target which requests it has. The host answers with Asked and then ReportAnswered, or with Delayed
// or RunOver.
struct AskForReport
{
    TargetProcess process;
};
// The run is over.
struct RunSettled
{
    TargetProcess process;
    StopResult result{StopResult::NotRunning};
    // Stop requests that were sent.
    int requests{0};
    // Since the run was abandoned.
    absl::Duration after;
};
struct SetTimer
{
    absl::Time at;
};

} // namespace RunStopActions

using RunStopAction = std::variant<RunStopActions::AskToStop, RunStopActions::AskForReport,
                                   RunStopActions::RunSettled, RunStopActions::SetTimer>;
using RunStopActionList = std::vector<RunStopAction>;

class RunStopper
{
public:
    // Most targets drop a run when its connection closes. They get this long to notice, since stopping a run
    // costs more than finding none.
    static constexpr absl::Duration stopDelay = absl::Milliseconds(50);
    // Delay after the first request that did not stop the run. It doubles with each further one.
    static constexpr absl::Duration shortestRetry = absl::Milliseconds(50);
    // A target that can't stop the run now will be able to at any moment, and two runs side by side must end
    // in time.
    static constexpr absl::Duration longestBusyRetry = absl::Milliseconds(250);
    // The run of a target that lost its answers has been stopped, as a rule.
    static constexpr absl::Duration longestLostRetry = absl::Seconds(1);
    // As a rule, the process of a target that accepts no connections has ended.
    static constexpr absl::Duration shortestUnreachableRetry = absl::Seconds(1);
    static constexpr absl::Duration longestUnreachableRetry = absl::Seconds(2);
    // A request in the target's queue may begin to run at any moment.
    static constexpr absl::Duration queuedRunInterval = absl::Milliseconds(300);
    // The target is asked for its report after one of so many requests that found no run.
    static constexpr int requestsPerReport = 4;
    // A target that has not answered by then has stopped the run, and copies its KV cache.
    static constexpr absl::Duration settleTime = absl::Milliseconds(150);

    // The next attempt waits for `longestHold` at most, from the time at which a run was abandoned.
    explicit RunStopper(absl::Duration longestHold) : m_longestHold(longestHold) { }

    [[nodiscard]] RunStopActionList handle(const RunStopEvent &, absl::Time now);
    // The next attempt must not start yet.
    [[nodiscard]] bool holdsNextAttempt(absl::Time now) const;
    // The target has a run that is not settled. A stop request may reach it late, so that the request can't
    // run there again.
    [[nodiscard]] bool isStopping(const TargetId &) const;
    [[nodiscard]] std::vector<TargetProcess> unsettledRuns() const;

private:
    enum class Step { Stop, Report };
    struct AbandonedRun
    {
        TargetProcess process;
        bool hasStarted{false};
        absl::Time abandonedAt;
        Step nextStep{Step::Stop};
        // Infinite while the host works on the step, or while the target copies the run's KV cache.
        absl::Time dueAt;
        // The next attempt waits until then.
        absl::Time holdUntil{absl::InfinitePast()};
        int requests{0};
        // Requests in a row with the same kind of result.
        int repeats{0};
        StopResult lastResult{StopResult::NotRunning};
    };

    void on(const RunStopEvents::RunAbandoned &, absl::Time now);
    void on(const RunStopEvents::CopyEnded &, absl::Time now);
    void on(const RunStopEvents::Asked &, absl::Time now);
    void on(const RunStopEvents::Delayed &, absl::Time now);
    void on(const RunStopEvents::StopAnswered &, absl::Time now);
    void on(const RunStopEvents::ReportAnswered &, absl::Time now);
    void on(const RunStopEvents::TargetUnreachable &, absl::Time now);
    void on(const RunStopEvents::RunOver &, absl::Time now);
    void on(const RunStopEvents::Tick &, absl::Time now);

    [[nodiscard]] AbandonedRun *find(const TargetProcess &);
    [[nodiscard]] static absl::Duration retryDelay(const AbandonedRun &);
    void settle(const TargetProcess &, StopResult, absl::Time now);
    void setTimer();

    absl::Duration m_longestHold;
    std::vector<AbandonedRun> m_runs;
    RunStopActionList m_actions;
};

} // namespace Wisteria
