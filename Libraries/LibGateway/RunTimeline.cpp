// Matches log lines with runs, and renders runs and overlaps.

#include <LibGateway/RunTimeline.h>

#include <LibCore/Views.h>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>
#include <set>

namespace Wisteria {

namespace detail {

absl::Time timeOf(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

// Logs may have been edited or cut, so fields can be missing or have other types.
std::string textField(const nlohmann::json &fields, const char *key)
{
    const auto it = fields.find(key);
    return it != fields.end() && it->is_string() ? it->get<std::string>() : "";
}

std::optional<std::int64_t> numberField(const nlohmann::json &fields, const char *key)
{
    const auto it = fields.find(key);
    return it != fields.end() && it->is_number_integer() ? std::optional(it->get<std::int64_t>())
                                                         : std::nullopt;
}

std::optional<absl::Time> timeAfter(absl::Time begin, const nlohmann::json &fields, const char *key)
{
    const auto ms = numberField(fields, key);
    return ms ? std::optional(begin + absl::Milliseconds(*ms)) : std::nullopt;
}

std::string offset(absl::Time time, absl::Time begin)
{
    return absl::StrFormat("%+.3f s", absl::ToDoubleSeconds(time - begin));
}

} // namespace detail

void RunTimeline::addLine(const GatewayLogLine &line)
{
    static const absl::flat_hash_map<std::string, void (RunTimeline::*)(const GatewayLogLine &)> handlers = {
        {"attempt", &RunTimeline::addAttempt},
        {"run_ended", &RunTimeline::addRunEnd},
        {"attempt_lost", &RunTimeline::addLostAttempt},
        {"replacement_adopted", &RunTimeline::addAdoption},
        {"replacement_cancelled", &RunTimeline::addCancellation},
        {"answering", &RunTimeline::addFirstEvent},
        {"resumed", &RunTimeline::addFirstEvent},
        {"abandoned_run", &RunTimeline::addAbandonedRun},
        {"finished", &RunTimeline::addRequestEnd},
    };
    if (const auto it = handlers.find(detail::textField(line.fields, "event")); it != handlers.end())
        (this->*it->second)(line);
}

std::size_t RunTimeline::openSession(const std::string &process)
{
    const auto it = std::find_if(m_sessions.rbegin(), m_sessions.rend(),
                                 [&](const Session &session) { return session.process == process; });
    if (it != m_sessions.rend() && !it->isFinished)
        return static_cast<std::size_t>(m_sessions.rend() - it) - 1;
    m_sessions.push_back({.process = process});
    return m_sessions.size() - 1;
}

std::size_t RunTimeline::sessionOfAttempt(const std::string &process, int number)
{
    const auto session = openSession(process);
    // Attempts are numbered from 1 on for each request.
    const bool isNext = std::none_of(m_runs.begin(), m_runs.end(), [&](const Run &run) {
        return run.session == session && run.number >= number;
    });
    if (isNext)
        return session;
    m_sessions.push_back({.process = process});
    return m_sessions.size() - 1;
}

RunTimeline::Run *RunTimeline::findRun(const GatewayLogLine &line, const std::string &target)
{
    const auto it = std::find_if(m_runs.rbegin(), m_runs.rend(), [&](const Run &run) {
        return processOf(run) == line.process && run.target == target;
    });
    return it == m_runs.rend() ? nullptr : &*it;
}

void RunTimeline::endRun(Run *run, const GatewayLogLine &line, EndKnowledge knowledge,
                         std::string_view reason)
{
    if (!run || run->endKnowledge != EndKnowledge::Missing)
        return;
    run->endKnowledge = knowledge;
    run->endedAt = detail::timeOf(line.at);
    run->endReason = reason;
}

void RunTimeline::addAttempt(const GatewayLogLine &line)
{
    const auto number = static_cast<int>(detail::numberField(line.fields, "number").value_or(0));
    Run next{.session = sessionOfAttempt(line.process, number),
             .number = number,
             .target = detail::textField(line.fields, "target"),
             .replaces = detail::textField(line.fields, "replaces"),
             .isFromCopy = line.fields.value("from_copy", nlohmann::json()) == true,
             .isWallClock = line.isWallClock,
             .sentAt = detail::timeOf(line.at)};
    for (auto &it : m_runs) {
        // A router starts a run beside the current one only, and ends a replacement before the next one.
        if (it.session == next.session && (next.replaces.empty() || !it.replaces.empty()))
            endRun(&it, line, EndKnowledge::Latest, "");
    }
    m_runs.push_back(std::move(next));
}

void RunTimeline::addRunEnd(const GatewayLogLine &line)
{
    const auto number = static_cast<int>(detail::numberField(line.fields, "number").value_or(0));
    const auto target = detail::textField(line.fields, "target");
    const auto lasted = absl::Milliseconds(detail::numberField(line.fields, "lasted_ms").value_or(0));
    auto it = std::find_if(m_runs.rbegin(), m_runs.rend(), [&](const Run &run) {
        return processOf(run) == line.process && run.number == number && run.target == target;
    });
    if (it == m_runs.rend() || it->isEndLogged) {
        m_runs.push_back({.session = openSession(line.process),
                          .number = number,
                          .target = target,
                          .isWallClock = line.isWallClock,
                          .isAttemptLogged = false,
                          .sentAt = detail::timeOf(line.at) - lasted});
        it = m_runs.rbegin();
    }
    it->endKnowledge = EndKnowledge::Exact;
    it->endedAt = detail::timeOf(line.at);
    it->endReason = detail::textField(line.fields, "reason");
    it->isEndLogged = true;
    it->events = detail::numberField(line.fields, "events");
    it->acceptedAt = detail::timeAfter(it->sentAt, line.fields, "accepted_after_ms");
    it->firstEventAt = detail::timeAfter(it->sentAt, line.fields, "first_event_after_ms");
}

void RunTimeline::addLostAttempt(const GatewayLogLine &line)
{
    auto *run = findRun(line, detail::textField(line.fields, "target"));
    endRun(run, line, EndKnowledge::Exact, "lost");
    if (run)
        run->events = detail::numberField(line.fields, "events");
}

void RunTimeline::addAdoption(const GatewayLogLine &line)
{
    if (auto *run = findRun(line, detail::textField(line.fields, "target"))) {
        endRun(findRun(line, run->replaces), line, EndKnowledge::Exact, "cancelled");
        run->replaces.clear();
    }
}

void RunTimeline::addCancellation(const GatewayLogLine &line)
{
    endRun(findRun(line, detail::textField(line.fields, "target")), line, EndKnowledge::Exact, "cancelled");
}

void RunTimeline::addFirstEvent(const GatewayLogLine &line)
{
    auto *run = findRun(line, detail::textField(line.fields, "target"));
    if (run && !run->firstEventAt)
        run->firstEventAt = detail::timeOf(line.at);
}

void RunTimeline::addAbandonedRun(const GatewayLogLine &line)
{
    const auto target = detail::textField(line.fields, "target");
    const auto it = std::find_if(m_runs.rbegin(), m_runs.rend(), [&](const Run &run) {
        return processOf(run) == line.process && run.target == target
            && run.endKnowledge != EndKnowledge::Missing;
    });
    if (it == m_runs.rend())
        return;
    it->stopOutcome = detail::textField(line.fields, "outcome");
    if (it->stopOutcome == "stopped")
        it->stoppedAt = detail::timeOf(line.at);
}

absl::Time RunTimeline::endOfWork(const Run &run)
{
    if (run.stoppedAt)
        return *run.stoppedAt;
    return run.endKnowledge == EndKnowledge::Missing ? absl::InfiniteFuture() : run.endedAt;
}

void RunTimeline::addRequestEnd(const GatewayLogLine &line)
{
    const auto session = std::find_if(m_sessions.rbegin(), m_sessions.rend(), [&](const Session &it) {
        return it.process == line.process && !it.isFinished;
    });
    if (session == m_sessions.rend())
        return;
    session->isFinished = true;
    std::vector<Run *> open;
    for (auto &it : m_runs) {
        if (&m_sessions[it.session] == &*session && it.endKnowledge == EndKnowledge::Missing)
            open.push_back(&it);
    }
    // The only run of a completed request has no line of its own. Of several runs, lines are missing.
    const bool isExact = open.size() == 1;
    for (auto *it : open)
        endRun(it, line, isExact ? EndKnowledge::Exact : EndKnowledge::Latest,
               isExact ? detail::textField(line.fields, "outcome") : "");
}

bool RunTimeline::areComparable(const Run &a, const Run &b) const
{
    return processOf(a) == processOf(b) || (a.isWallClock && b.isWallClock);
}

std::string RunTimeline::renderRun(const Run &run, absl::Time begin) const
{
    auto out =
        absl::StrCat("  ", processOf(run), " run ", run.number, " at ", run.target,
                     run.isFromCopy ? " from a copy" : "", ": sent ", detail::offset(run.sentAt, begin));
    if (run.acceptedAt)
        absl::StrAppend(&out, ", accepted ", detail::offset(*run.acceptedAt, begin));
    if (run.firstEventAt)
        absl::StrAppend(&out, ", first event ", detail::offset(*run.firstEventAt, begin));
    if (run.events)
        absl::StrAppend(&out, ", ", *run.events, " events");
    switch (run.endKnowledge) {
    case EndKnowledge::Missing:
        absl::StrAppend(&out, ", its end isn't in the log");
        break;
    case EndKnowledge::Latest:
        absl::StrAppend(&out, ", ended before ", detail::offset(run.endedAt, begin), " (no line says when)");
        break;
    case EndKnowledge::Exact:
        absl::StrAppend(&out, ", ended ", detail::offset(run.endedAt, begin), " (", run.endReason, ")");
        break;
    }
    if (!run.stopOutcome.empty())
        absl::StrAppend(&out, ", told to stop: ", run.stopOutcome);
    if (run.stoppedAt)
        absl::StrAppend(&out, " ", detail::offset(*run.stoppedAt, begin));
    if (!run.isAttemptLogged)
        absl::StrAppend(&out, "; its attempt isn't in the log");
    return out + "\n";
}

std::string RunTimeline::renderOverlap(const Run &a, const Run &b, absl::Time begin)
{
    const auto beganAt = std::max(a.sentAt, b.sentAt);
    const auto overlap = std::min(endOfWork(a), endOfWork(b)) - beganAt;
    if (overlap <= absl::ZeroDuration())
        return "";
    auto out = absl::StrCat("  ", a.target, " and ", b.target, " overlapped for ");
    if (overlap == absl::InfiniteDuration())
        return absl::StrCat(out, "an unknown time from ", detail::offset(beganAt, begin), "\n");
    const bool isExact = a.endKnowledge == EndKnowledge::Exact && b.endKnowledge == EndKnowledge::Exact;
    absl::StrAppendFormat(&out, "%s%.0f ms from %s", isExact ? "" : "at most ",
                          absl::ToDoubleMilliseconds(overlap), detail::offset(beganAt, begin));
    if (overlap >= ForwardedRequest::forbiddenRunOverlap)
        absl::StrAppend(&out, isExact ? ": too long" : ": may be too long", " for a stream (",
                        absl::ToInt64Milliseconds(ForwardedRequest::forbiddenRunOverlap), " ms)");
    return out + "\n";
}

std::string RunTimeline::renderOverlaps(absl::Time begin) const
{
    std::string out;
    for (auto it = m_runs.begin(); it != m_runs.end(); ++it) {
        for (auto other = std::next(it); other != m_runs.end(); ++other) {
            if (areComparable(*it, *other))
                absl::StrAppend(&out, renderOverlap(*it, *other, begin));
        }
    }
    return out;
}

std::string RunTimeline::renderNotes() const
{
    std::map<std::string, int> sessions;
    std::set<std::string> withoutWallClock;
    for (const auto &it : m_sessions)
        ++sessions[it.process];
    for (const auto &it : m_runs) {
        if (!it.isWallClock)
            withoutWallClock.insert(processOf(it));
    }
    std::string out;
    for (const auto &[process, n] : sessions) {
        if (n > 1)
            absl::StrAppend(&out, "note: ", process, " took a request with this id ", n, " times\n");
    }
    if (sessions.size() < 2)
        return out;
    const auto names = absl::StrJoin(
        sessions, ", ", [](std::string *names, const auto &it) { absl::StrAppend(names, it.first); });
    absl::StrAppend(&out, "note: several routers sent runs of this id (", names,
                    "): its caller repeated it, or two routers resumed one request\n");
    if (!withoutWallClock.empty())
        absl::StrAppend(&out,
                        "note: the times of different routers can't be compared, since the logs have no "
                        "`started` line of ",
                        absl::StrJoin(withoutWallClock, ", "), "\n");
    return out;
}

std::string RunTimeline::render(double begin) const
{
    if (m_runs.empty())
        return "";
    const auto beginTime = detail::timeOf(begin);
    std::string out = "runs:\n";
    for (const auto &it : m_runs)
        absl::StrAppend(&out, renderRun(it, beginTime));
    absl::StrAppend(&out, renderOverlaps(beginTime), renderNotes());
    return out;
}

} // namespace Wisteria
