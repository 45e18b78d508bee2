// Budgets, buffer and non-blocking writes.

#include <LibGateway/StructuredLog.h>

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace Wisteria {

void StructuredLog::write(std::string_view kind, nlohmann::json fields, absl::Time now)
{
    auto &budget = m_budgets[kind];
    const auto second = absl::ToUnixSeconds(now);
    if (budget.second != second) {
        budget.second = second;
        budget.lines = 0;
    }
    if (++budget.lines > linesPerKind) {
        ++budget.skipped;
        ++m_dropped;
        return;
    }
    if (const auto skipped = std::exchange(budget.skipped, 0); skipped > 0)
        fields["left_out"] = skipped;
    fields["event"] = kind;
    fields["process"] = m_process;
    fields["t"] = absl::ToDoubleSeconds(now - absl::UnixEpoch());
    auto line = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (m_buf.size() + line.size() >= maxBufferedBytes) {
        ++m_dropped;
        ++budget.skipped;
        return;
    }
    m_buf += line;
    m_buf += '\n';
}

void StructuredLog::flush()
{
    std::size_t done = 0;
    while (done < m_buf.size()) {
        pollfd ready{.fd = m_fd, .events = POLLOUT, .revents = 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            break;
        // A pipe that polls as writable takes this much without blocking.
        const auto n =
            ::write(m_fd, m_buf.data() + done, std::min<std::size_t>(m_buf.size() - done, PIPE_BUF));
        if (n <= 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    m_buf.erase(0, done);
}

} // namespace Wisteria
