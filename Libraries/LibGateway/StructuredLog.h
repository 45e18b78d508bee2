// Decision log of a gateway: one JSON object a line on standard output. Bounded and never blocking: each kind
// of line has a budget a second, and what a slow reader does not take is dropped and counted.

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
    // Lines of one kind a second; the next second's first line of the kind says how many were left out.
    // Source: at 200 B a line, ten kinds stay under 200 KB a second.
    static constexpr std::uint32_t maxLinesPerEventPerSecond = 100;
    // Lines waiting for the reader.
    static constexpr std::size_t maxBufferedBytes = std::size_t{256} * 1024;

    // Writes to the descriptor, which stays the caller's.
    StructuredLog(int fd, std::string process) : m_fd(fd), m_process(std::move(process)) { }

    // `fields` is a JSON object; `kind` must outlive the log.
    void write(std::string_view event, nlohmann::json fields, absl::Time now);
    // Hands to the reader what it takes at once.
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
