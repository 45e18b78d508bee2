// Schedules the stop requests of abandoned runs.

#include <LibForwarding/RunStopper.h>

#include <algorithm>
#include <utility>

namespace Wisteria {

std::string_view stopResultName(StopResult result)
{
    switch (result) {
    case StopResult::Stopped:
        return "stopped";
    case StopResult::NotRunning:
        return "ended";
    case StopResult::Busy:
        return "busy";
    case StopResult::AnswerLost:
        return "lost";
    case StopResult::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

RunStopActionList RunStopper::handle(const RunStopEvent &event, absl::Time now)
{
    std::visit([this, now](const auto &it) { on(it, now); }, event);
    setTimer();
    return std::exchange(m_actions, {});
}

bool RunStopper::holdsNextAttempt(absl::Time now) const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [now](const auto &it) { return now < it.holdUntil; });
}

bool RunStopper::isStopping(const TargetId &target) const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [&](const auto &it) { return it.process.id == target; });
}

std::vector<TargetProcess> RunStopper::unsettledRuns() const
{
    std::vector<TargetProcess> out;
    for (const auto &it : m_runs)
        out.push_back(it.process);
    return out;
}

RunStopper::AbandonedRun *RunStopper::find(const TargetProcess &process)
{
    const auto it =
        std::find_if(m_runs.begin(), m_runs.end(), [&](const auto &run) { return run.process == process; });
    return it == m_runs.end() ? nullptr : &*it;
}

void RunStopper::on(const RunStopEvents::RunAbandoned &event, absl::Time now)
{
    // A target has one run of the request at a time.
    std::erase_if(m_runs, [&](const auto &it) { return it.process == event.process; });
    AbandonedRun run{.process = event.process,
                     .hasStarted = event.hasStarted,
                     .abandonedAt = now,
                     .dueAt = now + stopDelay};
    if (event.obstacle != StopObstacle::None)
        run.holdUntil = now + m_longestHold;
    if (event.obstacle == StopObstacle::CopyInProgress)
        run.dueAt = absl::InfiniteFuture();
    m_runs.push_back(std::move(run));
}

void RunStopper::on(const RunStopEvents::CopyEnded &event, absl::Time now)
{
    if (auto *run = find(event.process); run && run->requests == 0)
        run->dueAt = now;
}

void RunStopper::on(const RunStopEvents::Asked &event, absl::Time now)
{
    auto *run = find(event.process);
    if (!run)
        return;
    run->requests += run->nextStep == Step::Stop ? 1 : 0;
    run->holdUntil = std::min(run->holdUntil, now + settleTime);
}

void RunStopper::on(const RunStopEvents::Delayed &event, absl::Time)
{
    if (auto *run = find(event.process))
        run->dueAt = event.until;
}

absl::Duration RunStopper::retryDelay(const AbandonedRun &run)
{
    const auto doubled = [&](absl::Duration shortest) { return shortest * (1 << std::min(run.repeats, 8)); };
    switch (run.lastResult) {
    case StopResult::Busy:
        return std::min(doubled(shortestRetry), longestBusyRetry);
    case StopResult::AnswerLost:
        return std::min(doubled(shortestRetry), longestLostRetry);
    case StopResult::Unreachable:
        return std::min(doubled(shortestUnreachableRetry), longestUnreachableRetry);
    case StopResult::Stopped:
    case StopResult::NotRunning:
        break;
    }
    return absl::ZeroDuration();
}

void RunStopper::on(const RunStopEvents::StopAnswered &event, absl::Time now)
{
    auto *run = find(event.process);
    if (!run)
        return;
    const bool isQueued = event.result == StopResult::NotRunning && !run->hasStarted;
    if (event.result == StopResult::Stopped || (event.result == StopResult::NotRunning && !isQueued)) {
        settle(event.process, event.result, now);
        return;
    }
    run->repeats = event.result == run->lastResult && run->requests > 1 ? run->repeats + 1 : 0;
    run->lastResult = event.result;
    run->dueAt = now + (isQueued ? std::max(queuedRunInterval, event.limitInterval) : retryDelay(*run));
    // Without a run there is no work, and a target that can't be reached can't be waited for.
    if (isQueued || event.result == StopResult::Unreachable)
        run->holdUntil = absl::InfinitePast();
    // The target has answered that it works on, so that the hold goes on.
    else if (run->holdUntil > absl::InfinitePast() && event.result == StopResult::Busy)
        run->holdUntil = run->abandonedAt + m_longestHold;
    run->nextStep = isQueued && run->repeats % requestsPerReport == 0 ? Step::Report : Step::Stop;
}

void RunStopper::on(const RunStopEvents::ReportAnswered &event, absl::Time now)
{
    auto *run = find(event.process);
    if (!run)
        return;
    if (event.presence == QueuePresence::Absent) {
        settle(event.process, StopResult::NotRunning, now);
        return;
    }
    run->nextStep = Step::Stop;
    run->dueAt = now;
}

void RunStopper::on(const RunStopEvents::TargetUnreachable &event, absl::Time)
{
    if (auto *run = find(event.process))
        run->holdUntil = absl::InfinitePast();
}

void RunStopper::on(const RunStopEvents::RunOver &event, absl::Time now)
{
    settle(event.process, StopResult::NotRunning, now);
}

void RunStopper::settle(const TargetProcess &process, StopResult result, absl::Time now)
{
    const auto it =
        std::find_if(m_runs.begin(), m_runs.end(), [&](const auto &run) { return run.process == process; });
    if (it == m_runs.end())
        return;
    m_actions.emplace_back(RunStopActions::RunSettled{
        .process = process, .result = result, .requests = it->requests, .after = now - it->abandonedAt});
    m_runs.erase(it);
}

void RunStopper::on(const RunStopEvents::Tick &, absl::Time now)
{
    for (auto &it : m_runs) {
        if (now < it.dueAt)
            continue;
        it.dueAt = absl::InfiniteFuture();
        if (it.nextStep == Step::Stop)
            m_actions.emplace_back(RunStopActions::AskToStop{.process = it.process,
                                                             .number = it.requests + 1,
                                                             .isUrgent = it.hasStarted || it.requests == 0});
        else
            m_actions.emplace_back(RunStopActions::AskForReport{it.process});
    }
    // A hold that has ended needs no timer any more.
    for (auto &it : m_runs) {
        if (now >= it.holdUntil)
            it.holdUntil = absl::InfinitePast();
    }
}

void RunStopper::setTimer()
{
    auto at = absl::InfiniteFuture();
    for (const auto &it : m_runs) {
        at = std::min(at, it.dueAt);
        if (it.holdUntil > absl::InfinitePast())
            at = std::min(at, it.holdUntil);
    }
    // The host may report events while it performs the other actions, which set the timer anew.
    if (at < absl::InfiniteFuture())
        m_actions.insert(m_actions.begin(), RunStopActions::SetTimer{at});
}

} // namespace Wisteria
