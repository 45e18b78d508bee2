// Selects, orders and explains the log lines of a rollout.

#include <LibGateway/RolloutTimeline.h>

#include <LibCore/JsonText.h>
#include <LibCore/Views.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// Fields of other types are shown as JSON.
std::string shownField(const nlohmann::json &fields, const char *key)
{
    const auto it = fields.find(key);
    if (it == fields.end())
        return "";
    return it->is_string() ? it->get<std::string>() : it->dump();
}

} // namespace detail

void RolloutTimeline::addLine(std::string_view text)
{
    const auto begin = text.find('{');
    if (begin == std::string_view::npos)
        return;
    const auto json = parseUntrustedJson(text.substr(begin));
    if (!json || !json->is_object() || !json->contains("t") || !json->at("t").is_number()
        || !json->contains("event") || !json->at("event").is_string() || !json->contains("process")
        || !json->at("process").is_string())
        return;
    GatewayLogLine line{.process = json->at("process").get<std::string>(),
                        .at = json->at("t").get<double>(),
                        .fields = *json};
    const auto event = json->at("event").get<std::string>();
    if (event == "started" && json->contains("unix_s") && json->at("unix_s").is_number())
        m_bootTimes[line.process] = json->at("unix_s").get<double>() - line.at;
    if (!absl::StartsWith(event, "rollout_") || detail::shownField(*json, "rollout") != m_name)
        return;
    if (const auto it = m_bootTimes.find(line.process); it != m_bootTimes.end())
        line.at += it->second;
    m_lines.push_back(std::move(line));
}

std::string RolloutTimeline::render() const
{
    if (m_lines.empty())
        return absl::StrCat("no log lines of rollout ", m_name, "\n");
    auto lines = m_lines;
    std::stable_sort(lines.begin(), lines.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    std::string out;
    std::string verdicts;
    for (const auto &it : lines) {
        const auto show = [&](const char *key) { return detail::shownField(it.fields, key); };
        absl::StrAppendFormat(&out, "%+9.3f s  %s %s target=%s phase=%s answers=%s bad_answers=%s %s\n",
                              it.at - lines.front().at, it.process, show("event"), show("target"),
                              show("phase"), show("answers"), show("bad_answers"), show("reason"));
        if (show("event") == "rollout_verdict")
            absl::StrAppend(&verdicts, "verdict on ", show("target"), ": ", show("phase"), ", since ",
                            show("reason"), " (", show("bad_answers"), " bad answers of ", show("answers"),
                            ")\n");
        else if (show("event") == "rollout_rejected")
            absl::StrAppend(&verdicts, "order for ", show("target"), " not followed: ", show("reason"), "\n");
    }
    absl::StrAppend(&out, verdicts.empty() ? "no verdict in these logs\n" : verdicts);
    return out;
}

} // namespace Wisteria
