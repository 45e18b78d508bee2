// Exchanges reports with the other routers over UDP.

#pragma once

#include <LibForwarding/PeerReport.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>

namespace Wisteria {

// Provides this router's report and handles the reports of the others.
class PeerLinkDelegate
{
public:
    virtual ~PeerLinkDelegate() = default;
    [[nodiscard]] virtual PeerReport makeReport() = 0;
    virtual void handleReport(const PeerReport &) = 0;
    [[nodiscard]] virtual std::vector<RouterRegistry::Member> peers() const = 0;
};

class PeerLink
{
public:
    // Reports are sent at least this often, because a lost router must disappear from the entry points within
    // about two seconds, the time for which callers cache them.
    static constexpr absl::Duration maxReportInterval = absl::Milliseconds(500);
    // After changes, reports are sent at most this often: a small fraction of the mean prefill time,
    // which is about a second.
    static constexpr absl::Duration minReportInterval = absl::Milliseconds(60);
    // Silent routers are sent only every n-th report.
    static constexpr std::uint64_t silentPeerReportStride = 2;

    // Errors: InvalidSettings when the address cannot be bound.
    [[nodiscard]] static ErrorOr<std::unique_ptr<PeerLink>>
    create(boost::asio::io_context &, std::string_view address, PeerLinkDelegate &);

    void start();
    // Schedules a report because its content changed.
    void scheduleReport();
    // Sends a report at once and restarts the report timer.
    void sendReport();

private:
    PeerLink(boost::asio::io_context &, PeerLinkDelegate &);

    void receive();
    void startTimer(absl::Duration);

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    PeerLinkDelegate &m_delegate;
    std::array<char, 16384> m_receiveBuffer;
    boost::asio::ip::udp::endpoint m_senderEndpoint;
    absl::Time m_sentAt{absl::InfinitePast()};
    std::uint64_t m_reportRounds{0};
    bool m_isReportScheduled{false};
};

} // namespace Wisteria
