// A router that tells a gateway of loads on targets, so that a test can decide which target is chosen, of
// targets that ended on prompts, or of processes that no longer exist.

#pragma once

#include <LibForwarding/PeerReport.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace Wisteria {

class FakePeerRouter
{
public:
    FakePeerRouter(boost::asio::io_context &, const std::string &id);

    // Sends one report to the gateway's peer address. The gateway answers the first report of a router.
    void report(const std::string &address, const TargetLoads &);
    void report(const std::string &address, const PromptEvidence &);
    // Reports that the process no longer exists.
    void reportGone(const std::string &address, const TargetProcess &);
    [[nodiscard]] bool isAnswered() const { return m_isAnswered; }

private:
    // Adds what all reports have in common.
    void send(const std::string &address, PeerReport);

    boost::asio::ip::udp::socket m_socket;
    std::string m_id;
    std::uint64_t m_sequence{0};
    std::array<char, 16384> m_buf;
    bool m_isAnswered{false};
};

} // namespace Wisteria
