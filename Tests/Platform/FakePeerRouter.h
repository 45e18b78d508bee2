// A router that tells a gateway of loads on targets, so that a test can decide which target is chosen.

#pragma once

#include <LibForwarding/PeerReport.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <string>

namespace Wisteria {

class FakePeerRouter
{
public:
    FakePeerRouter(boost::asio::io_context &, const std::string &id);

    // Sends one report to the gateway's peer address. The gateway answers the first report of a router.
    void report(const std::string &address, const TargetLoads &);
    [[nodiscard]] bool isAnswered() const { return m_isAnswered; }

private:
    boost::asio::ip::udp::socket m_socket;
    std::string m_id;
    std::array<char, 16384> m_buf;
    bool m_isAnswered{false};
};

} // namespace Wisteria
