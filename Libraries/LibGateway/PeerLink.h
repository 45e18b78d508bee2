// Exchanges reports and messages about limited targets with the other routers over UDP.

#pragma once

#include <LibForwarding/LimitMessages.h>
#include <LibForwarding/PeerReport.h>
#include <LibForwarding/RolloutMessages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>

namespace Wisteria {

// Whom a report is sent to.
enum class ReportAudience {
    // The routers of the own group.
    Group,
    // Also one router of every other group.
    GroupAndOthers,
    // All known routers.
    Everyone,
};

enum class ReportUrgency {
    // Loads have changed.
    Load,
    // Something has changed that other routers must act on: faults, phases, positions of views.
    Urgent,
};

struct ReportDestination
{
    // "IP:port".
    std::string address;
    // Routers of other groups get brief reports.
    bool isInOwnGroup{true};
    // Time of the last report from that router.
    absl::Time lastReportAt;
};

// Provides this router's report and handles the reports of the others.
class PeerLinkDelegate
{
public:
    virtual ~PeerLinkDelegate() = default;
    [[nodiscard]] virtual PeerReport makeReport() = 0;
    virtual void handleReport(const PeerReport &) = 0;
    [[nodiscard]] virtual std::vector<ReportDestination> reportDestinations(ReportAudience) = 0;
    // A message that follows the report; empty for none.
    [[nodiscard]] virtual std::string takeLimitNews() = 0;
    virtual void handleLimitMessage(const LimitMessage &) = 0;
    virtual void handleRolloutMessage(const RolloutMessage &) = 0;
    // Minimum interval between reports that only contain changed loads.
    [[nodiscard]] virtual absl::Duration loadReportInterval(absl::Duration minInterval) const = 0;
};

class PeerLink
{
public:
    // Reports are sent at least this often, because a lost router must disappear from the entry points within
    // about two seconds, the time for which callers cache them.
    static constexpr absl::Duration maxReportInterval = absl::Milliseconds(500);
    // Reports are sent at most this often: a small fraction of the time that a prompt takes.
    static constexpr absl::Duration minReportInterval = absl::Milliseconds(60);
    // Silent routers are sent only every n-th report.
    static constexpr std::uint64_t silentPeerReportStride = 2;

    // Errors: InvalidSettings when the address cannot be bound.
    [[nodiscard]] static ErrorOr<std::unique_ptr<PeerLink>>
    create(boost::asio::io_context &, std::string_view address, PeerLinkDelegate &);

    void start();
    // Schedules a report because its content changed.
    void scheduleReport(ReportUrgency);
    // Sends a report at once and restarts the report timer.
    void sendReport(ReportAudience);
    void send(const std::string &bytes, const std::string &address);
    // Bytes of all messages sent so far.
    [[nodiscard]] std::uint64_t sentBytes() const { return m_sentBytes; }

private:
    PeerLink(boost::asio::io_context &, PeerLinkDelegate &);

    void receive();
    void startTimer(absl::Time dueAt);
    void handleMessage(std::string_view bytes);

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    PeerLinkDelegate &m_delegate;
    std::array<char, 16384> m_receiveBuffer;
    boost::asio::ip::udp::endpoint m_senderEndpoint;
    absl::Time m_sentAt{absl::InfinitePast()};
    // Time of the last report to routers of other groups.
    absl::Time m_sentToOthersAt{absl::InfinitePast()};
    absl::Time m_dueAt{absl::InfiniteFuture()};
    std::uint64_t m_reportRounds{0};
    std::uint64_t m_sentBytes{0};
};

} // namespace Wisteria
