// What a connection of a server holds, and how it is shed for lack of memory or descriptors.

#include <LibNet/HttpServer.h>

#include <LibPlatform/MonotonicClock.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr int statusUnavailable = 503;
// Successive rejections are spread over this many times of return.
constexpr std::uint64_t retryTimes = 8;

absl::Duration nextShedRetry()
{
    static std::uint64_t rejections = 0;
    const auto step = (HttpServerConnection::maxShedRetry - HttpServerConnection::minShedRetry)
        / static_cast<double>(retryTimes);
    return HttpServerConnection::minShedRetry + static_cast<double>(++rejections % retryTimes) * step;
}

} // namespace detail

void HttpServerConnection::updateReservation()
{
    if (m_isClosed) {
        // What is being written is freed with the connection.
        m_reservation.resize(m_sending.capacity());
        return;
    }
    m_reservation.resize(connectionBytes + m_unparsed.capacity() + m_unsent.capacity() + m_sending.capacity()
                         + m_requestBytes + m_fieldBytes
                         + (m_parser ? m_parser->get().body().capacity() : 0));
}

MemoryHolding HttpServerConnection::holding(absl::Time now)
{
    MemoryHolding out{.bytes = m_reservation.bytes(), .progressAt = m_receivedAt};
    const bool isAnswerPending = unsentBytes() > 0 && (!m_hasOpenRequest || m_isAnswering);
    if (isAnswerPending) {
        out.use = MemoryUse::PendingAnswer;
        out.progressAt = answerTakenAt(now);
    } else if (m_hasOpenRequest) {
        out.use = MemoryUse::OpenRequest;
    } else if (m_hasBytes || !m_unparsed.empty()) {
        out.use = MemoryUse::IncompleteRequest;
    }
    return out;
}

absl::Time HttpServerConnection::answerTakenAt(absl::Time now)
{
    // The socket becomes writable only when a good part of its buffer is free, long after a slow reader has
    // begun to read.
    int queued = 0;
    if (ioctl(m_socket.native_handle(), SIOCOUTQ, &queued) == 0 && queued != m_queuedBytes) {
        m_queuedBytes = queued;
        m_queueChangedAt = now;
    }
    return std::max(m_lastSentAt, m_queueChangedAt);
}

bool HttpServerConnection::claimRoom()
{
    updateReservation();
    auto &account = MemoryAccount::ofThread();
    if (account.hasRoomFor(m_reservation.bytes()))
        return true;
    const auto self = shared_from_this();
    account.makeRoomFor(*this, monotonicNow());
    return !m_isClosed && !m_isRequestUnfinished;
}

void HttpServerConnection::shed(ShedReason reason)
{
    if (m_isClosed || (m_isRequestUnfinished && reason != ShedReason::UnreadAnswer))
        return;
    const auto self = shared_from_this();
    if (m_server)
        m_server->m_handler.connectionShed(reason);
    if (!m_server || reason == ShedReason::UnreadAnswer) {
        closeAndReport(ClosureReason::AnswerUnread);
        return;
    }
    if (!m_hasBytes && m_unparsed.empty()) {
        close(ClosureReason::Shed);
        return;
    }
    refuse(detail::statusUnavailable, detail::nextShedRetry());
}

bool HttpServerConnection::hasRoomForBacklog()
{
    auto &account = MemoryAccount::ofThread();
    if (account.hasRoomFor(m_reservation.bytes()))
        return true;
    account.makeRoomForAnswers(monotonicNow());
    return account.hasRoomFor(m_reservation.bytes());
}

bool HttpServerConnection::mustWaitForReader() const
{
    return unsentBytes() > MemoryAccount::smallBytes
        && !MemoryAccount::ofThread().hasRoomFor(m_reservation.bytes());
}

std::size_t HttpServerConnection::maxAheadNow() const
{
    const bool isAhead = m_hasOpenRequest || m_isWaitingForReader;
    const bool hasRoom = MemoryAccount::ofThread().hasRoomFor(MemoryAccount::smallBytes + 1);
    return isAhead && !hasRoom ? 0 : maxBytesAhead;
}

void HttpServerConnection::updateWait()
{
    if (!m_server || m_isClosed)
        return;
    auto wait = Wait::Nothing;
    if (!m_hasOpenRequest && unsentBytes() == 0)
        wait = m_hasBytes || !m_unparsed.empty() ? Wait::RestOfRequest : Wait::NextRequest;
    auto &to = m_server->waiting(wait);
    to.splice(to.end(), m_server->waiting(m_wait), m_waitPosition);
    m_wait = wait;
}

bool HttpServer::claimDescriptor()
{
    const auto used = m_connections.size() + lingeringCount();
    if (used < m_maxConnections)
        return true;
    // Idle connections on which a request has arrived that has not been read are passed over, but not all of
    // them are looked at.
    constexpr int maxPassedOver = 8;
    auto &idle = waiting(HttpServerConnection::Wait::NextRequest);
    for (int n = 0; n < maxPassedOver && !idle.empty() && idle.front()->hasUnreadBytes(); ++n)
        idle.front()->updateWait();
    auto &receiving = waiting(HttpServerConnection::Wait::RestOfRequest);
    if (!idle.empty() && !idle.front()->hasUnreadBytes()) {
        idle.front()->shared_from_this()->shed(ShedReason::Descriptors);
        return true;
    }
    if (!receiving.empty()) {
        receiving.front()->shared_from_this()->shed(ShedReason::Descriptors);
        // A rejected request keeps its descriptor until its answer has been sent.
        return used < m_maxConnections + m_maxConnections / 8;
    }
    m_handler.connectionShed(ShedReason::Descriptors);
    return false;
}

} // namespace Wisteria
