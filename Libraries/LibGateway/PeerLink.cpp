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
    sendReport(ReportAudience::GroupAndOthers);
}

void PeerLink::startTimer(absl::Time dueAt)
{
    m_dueAt = dueAt;
    m_timer.expires_after(absl::ToChronoNanoseconds(std::max(dueAt - monotonicNow(), absl::ZeroDuration())));
    m_timer.async_wait([this](const auto &ec) {
        if (ec)
            return;
        const bool areOthersDue = monotonicNow() - m_sentToOthersAt >= maxReportInterval;
        sendReport(areOthersDue ? ReportAudience::GroupAndOthers : ReportAudience::Group);
    });
}

void PeerLink::scheduleReport(ReportUrgency urgency)
{
    const auto interval = urgency == ReportUrgency::Urgent ? minReportInterval
                                                           : m_delegate.loadReportInterval(minReportInterval);
    if (const auto dueAt = m_sentAt + interval; dueAt < m_dueAt)
        startTimer(dueAt);
}

void PeerLink::sendReport(ReportAudience audience)
{
    const auto now = monotonicNow();
    m_sentAt = now;
    if (audience != ReportAudience::Group)
        m_sentToOthersAt = now;
    ++m_reportRounds;
    const auto report = m_delegate.makeReport();
    const auto full = encodePeerReport(report);
    const auto brief = audience == ReportAudience::Group ? std::string() : encodePeerReport(report.brief());
    const auto limitNews = m_delegate.takeLimitNews();
    for (const auto &it : m_delegate.reportDestinations(audience)) {
        const bool isSilent = now - it.lastReportAt > RouterRegistry::livenessTimeout;
        if (it.isInOwnGroup && isSilent && m_reportRounds % silentPeerReportStride != 0)
            continue;
        send(it.isInOwnGroup ? full : brief, it.address);
        if (!limitNews.empty())
            send(limitNews, it.address);
    }
    startTimer(now + maxReportInterval);
}

void PeerLink::send(const std::string &bytes, const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return;
    boost::system::error_code ec;
    // NOTE: A send error is treated like a lost datagram; the next report replaces it.
    m_socket.send_to(boost::asio::buffer(bytes), {endpoint->address(), endpoint->port()}, 0, ec);
    m_sentBytes += bytes.size();
}

void PeerLink::handleMessage(std::string_view bytes)
{
    // NOTE: Any CBOR map counts as a limit message.
    if (isRolloutMessage(bytes)) {
        if (const auto message = decodeRolloutMessage(bytes)) {
            m_delegate.handleRolloutMessage(*message);
        } else {
            LOG_EVERY_N(WARNING, 1000) << "ignoring malformed rollout message: " << message.error().detail;
        }
        return;
    }
    if (isLimitMessage(bytes)) {
        if (const auto message = decodeLimitMessage(bytes, monotonicNow())) {
            m_delegate.handleLimitMessage(*message);
        } else {
            LOG_EVERY_N(WARNING, 1000) << "ignoring malformed limit message: " << message.error().detail;
        }
        return;
    }
    if (const auto report = decodePeerReport(bytes)) {
        m_delegate.handleReport(*report);
    } else {
        LOG_EVERY_N(WARNING, 1000) << "ignoring malformed peer report: " << report.error().detail;
    }
}

void PeerLink::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_receiveBuffer), m_senderEndpoint,
                                [this](const auto &ec, std::size_t n) {
                                    if (ec == boost::asio::error::operation_aborted)
                                        return;
                                    if (!ec)
                                        handleMessage({m_receiveBuffer.data(), n});
                                    receive();
                                });
}

} // namespace Wisteria
