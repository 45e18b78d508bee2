// Reconstructs the timeline of one request from the logs of several gateways: the events of the request in
// order, process and target events from the same period, the request's runs and their overlaps, and the cause
// of its outcome.

#pragma once

#include <LibGateway/RunTimeline.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

class RequestTimeline
{
public:
    // Process and target events this long before the request, in seconds, are included. This covers the
    // longest time that a target stays suspect and the grace period for expired records.
    static constexpr double contextWindowSeconds = 3;

    explicit RequestTimeline(std::string requestId) : m_requestId(std::move(requestId)) { }

    // Lines of one process must be added in order. Text before the JSON object is ignored; lines that are not
    // gateway log lines are skipped and counted.
    void addLine(std::string_view);
    [[nodiscard]] bool isEmpty() const { return m_requestLines.empty(); }
    [[nodiscard]] std::size_t skippedLines() const { return m_skippedLines; }
    // One line per event, then the runs, and the cause at the end.
    [[nodiscard]] std::string render() const;

private:
    using Line = GatewayLogLine;

    [[nodiscard]] std::vector<Line> relevantLines() const;

    std::string m_requestId;
    std::vector<Line> m_requestLines;
    // Store, target and lifecycle events of all processes.
    std::vector<Line> m_contextLines;
    // Boot time of each process's machine, in seconds since the Unix epoch.
    std::map<std::string, double> m_bootTimes;
    std::size_t m_skippedLines{0};
};

} // namespace Wisteria
