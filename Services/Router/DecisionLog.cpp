// Formats decisions as key=value lines and hands them to glog.

#include <Router/DecisionLog.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <glog/logging.h>

namespace Wisteria {

namespace detail {

constexpr std::size_t logRingCapacity = 8192;
constexpr absl::Duration logPollInterval = absl::Milliseconds(200);

std::string joinTargets(const std::vector<TargetId> &targets)
{
    return absl::StrJoin(targets, ",", [](std::string *out, const TargetId &it) { out->append(it.value()); });
}

} // namespace detail

DecisionLog::DecisionLog() : m_lines(detail::logRingCapacity), m_thread([this] { run(); }) { }

DecisionLog::~DecisionLog()
{
    m_lines.close();
    m_thread.join();
}

void DecisionLog::record(const RecordDecision &decision)
{
    recordLine(absl::StrCat(
        "decision=", std::string(decisionName(decision.kind)), " request=", decision.generation.value(),
        " chosen=", decision.chosen.value().empty() ? "-" : decision.chosen.value(),
        " alternatives=", detail::joinTargets(decision.alternatives), " reason=\"", decision.reason, "\""));
}

void DecisionLog::recordCall(std::string_view key, std::string_view decision, std::string_view reason)
{
    recordLine(absl::StrCat("decision=call_", std::string(decision), " request=", std::string(key),
                            " reason=\"", std::string(reason), "\""));
}

void DecisionLog::recordLine(std::string line)
{
    auto skipped = m_skipped.exchange(0);
    if (skipped > 0)
        line = absl::StrCat(line, " skipped_lines_before=", skipped);
    if (!m_lines.tryPush(std::move(line)))
        m_skipped += skipped + 1;
}

void DecisionLog::run()
{
    while (!m_lines.isClosed() || m_lines.size() > 0) {
        if (auto line = m_lines.pop(detail::logPollInterval))
            LOG(INFO) << *line;
    }
}

} // namespace Wisteria
