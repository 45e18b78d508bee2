// UDP socket and report timer.

#include <LibGateway/PeerLink.h>

#include <LibNet/HttpClient.h>
#include <LibPlatform/MonotonicClock.h>

#include <glog/logging.h>

namespace Wisteria {

PeerLink::PeerLink(boost::asio::io_context &context, PeerLinkDelegate &delegate)
    : m_socket(context), m_timer(context), m_delegate(delegate)
{
}

ErrorOr<std::unique_ptr<PeerLink>> PeerLink::create(boost::asio::io_context &context,
                                                    std::string_view address, PeerLinkDelegate &delegate)
{
    const auto endpoint = TRY(parseEndpoint(address));
    std::unique_ptr<PeerLink> link(new PeerLink(context, delegate));
    boost::system::error_code ec;
    link->m_socket.open(boost::asio::ip::udp::v4(), ec);
    if (!ec)
        link->m_socket.bind({endpoint.address(), endpoint.port()}, ec);
    if (!ec)
        link->m_socket.non_blocking(true, ec);
    if (ec)
        return makeError(ErrorCode::InvalidSettings, std::string(address) + ": " + ec.message());
    return link;
}

void PeerLink::start()
{
    receive();
    sendReport();
}

void PeerLink::startTimer(absl::Duration delay)
{
    m_timer.expires_after(absl::ToChronoNanoseconds(delay));
    m_timer.async_wait([this](const auto &ec) {
        if (!ec)
            sendReport();
    });
}

void PeerLink::scheduleReport()
{
    if (std::exchange(m_isReportScheduled, true))
        return;
    startTimer(std::max(m_sentAt + minReportInterval - monotonicNow(), absl::ZeroDuration()));
}

void PeerLink::sendReport()
{
    const auto now = monotonicNow();
    m_isReportScheduled = false;
    m_sentAt = now;
    ++m_reportRounds;
    const auto bytes = encodePeerReport(m_delegate.makeReport());
    for (const auto &it : m_delegate.peers()) {
        const bool isSilent = now - it.lastReportAt > RouterRegistry::livenessTimeout;
        if (isSilent && m_reportRounds % silentPeerReportStride != 0)
            continue;
        const auto endpoint = parseEndpoint(it.peerAddress);
        if (!endpoint)
            continue;
        boost::system::error_code ec;
        // NOTE: A send error is treated like a lost datagram; the next report replaces it.
        m_socket.send_to(boost::asio::buffer(bytes), {endpoint->address(), endpoint->port()}, 0, ec);
    }
    startTimer(maxReportInterval);
}

void PeerLink::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_receiveBuffer), m_senderEndpoint, [this](const auto &ec, std::size_t n) {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (!ec) {
                if (auto report = decodePeerReport({m_receiveBuffer.data(), n})) {
                    m_delegate.handleReport(*report);
                } else {
                    LOG_EVERY_N(WARNING, 1000) << "ignoring malformed peer report: " << report.error().detail;
                }
            }
            receive();
        });
}

} // namespace Wisteria
