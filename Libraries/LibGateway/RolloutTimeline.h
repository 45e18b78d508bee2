// Reconstructs one rollout from the logs of several gateways: its steps in order, and why it ended as it did.

#pragma once

#include <LibGateway/RunTimeline.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

class RolloutTimeline
{
public:
    // `name` is that of the order.
    explicit RolloutTimeline(std::string name) : m_name(std::move(name)) { }

    // Lines of one process must be added in order. Lines of other events are ignored.
    void addLine(std::string_view);
    [[nodiscard]] bool isEmpty() const { return m_lines.empty(); }
    // One line per step, and the verdicts at the end.
    [[nodiscard]] std::string render() const;

private:
    std::string m_name;
    std::vector<GatewayLogLine> m_lines;
    // Boot time of each process's machine, in seconds since the Unix epoch.
    std::map<std::string, double> m_bootTimes;
};

} // namespace Wisteria
