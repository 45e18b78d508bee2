// Parses, selects and orders log lines.

#include <LibGateway/RequestTimeline.h>

#include <LibCore/JsonText.h>
#include <LibCore/Views.h>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <set>

namespace Wisteria {

namespace detail {

// Events that concern a whole process, and events that concern one target.
const std::set<std::string> processEvents = {"started",         "stopping",      "stopped",
                                             "reloaded",        "store_lost",    "store_regained",
                                             "store_restored",  "reload_failed", "listening_stopped",
                                             "rollout_started", "rollout_phase", "rollout_verdict"};
const std::set<std::string> targetEvents = {"target",        "target_removed", "target_verified",
                                            "target_fault",  "target_limit",   "target_leaving",
                                            "target_backoff"};

// Explanations of the outcomes for on-call engineers.
std::string_view describeOutcome(const std::string &outcome)
{
    static const absl::flat_hash_map<std::string, std::string_view> descriptions = {
        {"complete", "the complete response was delivered"},
        {"no_target",
         "every known target of the service rejected it or was unreachable, or there was none; it did not "
         "run"},
        {"targets_full",
         "targets rejected it (full or replaced), and the retry budget allowed no further attempt; it did "
         "not run"},
        {"targets_backing_off", "all targets of the service wanted no requests for a while; it did not run"},
        {"targets_limited",
         "the targets that were left limit the requests of all routers, and no permit was expected in time; "
         "it did not run"},
        {"prompt_barred", "requests with such a prompt are barred, since they end their targets"},
        {"no_time_left", "no target could have finished it before the caller's deadline; it did not run"},
        {"attempts_used_up", "it was lost at as many targets as its route allows"},
        {"retry_budget_used_up", "it was lost, and the retry budget of all routers was exhausted"},
        {"timed_out", "no complete response arrived within the route's or the caller's timeout"},
        {"answer_lost", "a target may have run it and its response was lost"},
        {"stopping", "its router was shutting down"},
        {"caller_left", "its caller disconnected first"},
        {"no_configuration",
         "its router had not loaded the configuration and the targets yet; it did not run"},
        {"no_route", "no route of the active configuration matches host and path"},
        {"unknown_key", "no workspace of the active configuration has its API key"},
        {"unknown_service", "its route refers to a service that is not in the configuration; it did not run"},
    };
    const auto it = descriptions.find(outcome);
    return it == descriptions.end() ? "unknown outcome; see the last line" : it->second;
}

std::string describeFields(const nlohmann::json &fields)
{
    static const std::set<std::string> omittedFields = {"event", "process", "request", "t"};
    std::string out;
    for (const auto &[key, value] : fields.items()) {
        if (!omittedFields.contains(key))
            absl::StrAppend(&out, " ", key, "=", value.is_string() ? value.get<std::string>() : value.dump());
    }
    return out;
}

} // namespace detail

void RequestTimeline::addLine(std::string_view text)
{
    const auto begin = text.find('{');
    const auto json = begin == std::string_view::npos
        ? ErrorOr<nlohmann::json>(makeError(ErrorCode::InvalidRequest, "no JSON object"))
        : parseUntrustedJson(text.substr(begin));
    if (!json || !json->is_object() || !json->contains("t") || !json->at("t").is_number()
        || !json->contains("event") || !json->at("event").is_string() || !json->contains("process")
        || !json->at("process").is_string()) {
        ++m_skippedLines;
        return;
    }
    Line line{.process = json->at("process").get<std::string>(),
              .at = json->at("t").get<double>(),
              .fields = *json};
    const auto event = json->at("event").get<std::string>();
    if (event == "started" && json->contains("unix_s") && json->at("unix_s").is_number())
        m_bootTimes[line.process] = json->at("unix_s").get<double>() - line.at;
    if (const auto it = m_bootTimes.find(line.process); it != m_bootTimes.end())
        line.at += it->second;
    line.isWallClock = m_bootTimes.contains(line.process);
    if (json->value("request", nlohmann::json()) == m_requestId)
        m_requestLines.push_back(std::move(line));
    else if (detail::processEvents.contains(event) || detail::targetEvents.contains(event))
        m_contextLines.push_back(std::move(line));
}

std::vector<RequestTimeline::Line> RequestTimeline::relevantLines() const
{
    auto out = m_requestLines;
    std::set<std::string> targets;
    // Time of the first and last line of the request in each process.
    std::map<std::string, std::pair<double, double>> spans;
    for (const auto &it : m_requestLines) {
        if (it.fields.contains("target") && it.fields["target"].is_string())
            targets.insert(it.fields["target"].get<std::string>());
        auto &span = spans.try_emplace(it.process, it.at, it.at).first->second;
        span = {std::min(span.first, it.at), std::max(span.second, it.at)};
    }
    for (const auto &it : m_contextLines) {
        const auto span = spans.find(it.process);
        if (span == spans.end() || it.at < span->second.first - contextWindowSeconds
            || it.at > span->second.second)
            continue;
        const auto target = it.fields.value("target", nlohmann::json());
        if (!target.is_string() || targets.contains(target.get<std::string>()))
            out.push_back(it);
    }
    std::stable_sort(out.begin(), out.end(), [](const Line &a, const Line &b) { return a.at < b.at; });
    return out;
}

std::string RequestTimeline::render() const
{
    if (m_requestLines.empty())
        return absl::StrCat("no log lines for request ", m_requestId, "\n");
    std::string out;
    std::string cause;
    bool wasStoreRestored = false;
    RunTimeline runs;
    const auto lines = relevantLines();
    const double begin =
        std::min_element(m_requestLines.begin(), m_requestLines.end(), [](const auto &a, const auto &b) {
            return a.at < b.at;
        })->at;
    for (const auto &it : lines) {
        const auto event = it.fields["event"].get<std::string>();
        const bool isOfRequest = it.fields.value("request", nlohmann::json()) == m_requestId;
        wasStoreRestored = wasStoreRestored || event == "store_restored";
        absl::StrAppendFormat(&out, "%+9.3f s  %s %s  %s%s\n", it.at - begin, isOfRequest ? " " : "~",
                              it.process, event, detail::describeFields(it.fields));
        if (isOfRequest)
            runs.addLine(it);
        if (!isOfRequest || (event != "finished" && event != "refused"))
            continue;
        const auto outcome = it.fields.value(event == "finished" ? "outcome" : "reason", nlohmann::json());
        const auto name = outcome.is_string() ? outcome.get<std::string>() : std::string("unknown");
        cause = absl::StrCat(name, ": ", abslView(detail::describeOutcome(name)));
    }
    absl::StrAppend(
        &out, runs.render(begin), "cause: ",
        cause.empty() ? "no final word: the process ended first, or the log line was dropped" : cause, "\n");
    if (wasStoreRestored)
        absl::StrAppend(
            &out,
            "note: the store was restored from an older copy shortly before or during the request; "
            "objects written after the copy were missing until they were written again\n");
    return out;
}

} // namespace Wisteria
