// Rate limits, buffering and non-blocking writes.

#include <LibGateway/StructuredLog.h>

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace Wisteria {

void StructuredLog::write(std::string_view event, nlohmann::json fields, absl::Time now)
{
    auto &window = m_rateWindows[event];
    const auto second = absl::ToUnixSeconds(now);
    if (window.second != second) {
        window.second = second;
        window.lines = 0;
    }
    if (++window.lines > maxLinesPerEventPerSecond) {
        ++window.suppressed;
        ++m_droppedLines;
        return;
    }
    if (const auto suppressed = std::exchange(window.suppressed, 0); suppressed > 0)
        fields["left_out"] = suppressed;
    fields["event"] = event;
    fields["process"] = m_process;
    fields["t"] = absl::ToDoubleSeconds(now - absl::UnixEpoch());
    auto line = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (m_buf.size() + line.size() >= maxBufferedBytes) {
        ++m_droppedLines;
        ++window.suppressed;
        return;
    }
    m_buf += line;
    m_buf += '\n';
}

void StructuredLog::flush()
{
    std::size_t written = 0;
    while (written < m_buf.size()) {
        pollfd ready{.fd = m_fd, .events = POLLOUT, .revents = 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            break;
        // A pipe that is reported as writable accepts PIPE_BUF bytes without blocking.
        const auto n =
            ::write(m_fd, m_buf.data() + written, std::min<std::size_t>(m_buf.size() - written, PIPE_BUF));
        if (n <= 0)
            break;
        written += static_cast<std::size_t>(n);
    }
    m_buf.erase(0, written);
}

} // namespace Wisteria
