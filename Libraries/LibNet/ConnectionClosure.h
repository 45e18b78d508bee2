// Why a server closed a connection, and what was outstanding on it.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Wisteria {

enum class ClosureReason {
    // The peer closed or reset the connection.
    PeerClosed,
    WriteFailed,
    // The peer does not read its answer.
    AnswerUnread,
    IdleTimeout,
    // The connection had no request when the server began to close.
    ServerClosing,
    // After an answer that announced it.
    AnswerSent,
    // The server broke an answer off.
    AnswerAborted,
    // An idle connection gave its descriptor to another one.
    Shed,
};

// Returns the value of the log's and the metric's `reason`.
[[nodiscard]] constexpr std::string_view closureReasonName(ClosureReason reason)
{
    switch (reason) {
    case ClosureReason::PeerClosed:
        return "peer_closed";
    case ClosureReason::WriteFailed:
        return "write_failed";
    case ClosureReason::AnswerUnread:
        return "answer_unread";
    case ClosureReason::IdleTimeout:
        return "idle_timeout";
    case ClosureReason::ServerClosing:
        return "server_closing";
    case ClosureReason::AnswerSent:
        return "answer_sent";
    case ClosureReason::AnswerAborted:
        return "answer_aborted";
    case ClosureReason::Shed:
        return "shed";
    }
    return "unknown";
}

struct ConnectionClosure
{
    ClosureReason reason{ClosureReason::PeerClosed};
    // "IP:port" of the peer; empty if the socket no longer knows it.
    std::string peer;
    bool hasOpenRequest{false};
    // Bytes of a request that was not handled.
    std::size_t unparsedBytes{0};
    // Bytes that arrived and were not read.
    std::size_t unreadBytes{0};
    // Bytes of answers that the kernel has not taken.
    std::size_t unsentBytes{0};

    // Something was lost, or the peer left in the middle of a request.
    [[nodiscard]] bool hasOutstandingWork() const
    {
        return hasOpenRequest || unparsedBytes > 0 || unreadBytes > 0 || unsentBytes > 0;
    }
};

} // namespace Wisteria
