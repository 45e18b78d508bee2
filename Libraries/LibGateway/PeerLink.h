// Datagrams between the routers: sends this router's report to all others and takes theirs.

#pragma once

#include <LibForwarding/PeerReport.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>

namespace Wisteria {

// Supplies this router's report and takes the others'.
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
    // Reports go out at least this often. Source: a lost router must leave the entry points within about two
    // seconds, the time for which callers keep them.
    static constexpr absl::Duration maxReportInterval = absl::Milliseconds(500);
    // And at most this often when something changed. Source: a tenth of the time that a mean prompt is read
    // in.
    static constexpr absl::Duration minReportInterval = absl::Milliseconds(60);
    // Routers that were not heard of get every n-th regular report.
    static constexpr std::uint64_t silentPeerReportStride = 2;

    // Errors: InvalidSettings when the address cannot be bound.
    [[nodiscard]] static ErrorOr<std::unique_ptr<PeerLink>>
    create(boost::asio::io_context &, std::string_view address, PeerLinkDelegate &);

    void start();
    // Something in the report changed.
    void scheduleReport();
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
