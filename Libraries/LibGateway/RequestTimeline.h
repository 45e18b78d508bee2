// Puts together what the logs of several gateways say of one request: its decisions in order, what the
// processes believed meanwhile of the targets that it met, and its cause of failure.

#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

class RequestTimeline
{
public:
    // What a process said of its store and its targets this long before the request, in seconds, is told too.
    // Source: the longest time for which a target stays under suspicion, and the grace for lapsed entries.
    static constexpr double contextWindowSeconds = 3;

    explicit RequestTimeline(std::string requestId) : m_requestId(std::move(requestId)) { }

    // The lines of one process must come in their order; text before the JSON object is passed over. What is
    // no line of a gateway's log is left out and counted.
    void addLine(std::string_view);
    [[nodiscard]] bool isEmpty() const { return m_requestLines.empty(); }
    [[nodiscard]] std::size_t skippedLines() const { return m_skippedLines; }
    // One line for each decision, and the cause at the end.
    [[nodiscard]] std::string render() const;

private:
    struct Line
    {
        std::string process;
        // Seconds; since 1970 where the process's `started` line was read, since its machine's boot
        // otherwise.
        double at{0};
        nlohmann::json fields;
    };

    [[nodiscard]] std::vector<Line> relevantLines() const;

    std::string m_requestId;
    std::vector<Line> m_requestLines;
    // Of all processes: stores, targets, starts and stops.
    std::vector<Line> m_contextLines;
    // Seconds since 1970 at the boot of each process's machine.
    std::map<std::string, double> m_bootTimes;
    std::size_t m_skippedLines{0};
};

} // namespace Wisteria
