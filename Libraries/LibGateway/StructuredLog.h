// Structured log of a gateway: one JSON object per line. It is bounded and never blocks: each event type is
// rate limited, and lines that a slow reader does not consume in time are dropped and counted.

#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Wisteria {

class StructuredLog
{
public:
    // Limit per event type; the first line of that type in a later second reports how many were suppressed.
    // At 200 bytes per line, ten event types stay below 200 KB/s.
    static constexpr std::uint32_t maxLinesPerEventPerSecond = 100;
    // Size limit of the buffer of unwritten lines.
    static constexpr std::size_t maxBufferedBytes = std::size_t{256} * 1024;

    // Does not take ownership of the file descriptor.
    StructuredLog(int fd, std::string process) : m_fd(fd), m_process(std::move(process)) { }

    // `fields` is a JSON object; `event` must outlive the log.
    void write(std::string_view event, nlohmann::json fields, absl::Time now);
    // Writes as much of the buffer as possible without blocking.
    void flush();
    [[nodiscard]] std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    struct RateWindow
    {
        std::int64_t second{0};
        std::uint32_t lines{0};
        std::uint32_t suppressed{0};
    };

    int m_fd;
    std::string m_process;
    std::string m_buf;
    std::uint64_t m_droppedLines{0};
    absl::flat_hash_map<std::string_view, RateWindow> m_rateWindows;
};

} // namespace Wisteria
