// Options that every TCP connection of a router gets.

#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <absl/time/time.h>

namespace Wisteria {

struct SocketLimits
{
    // Sent bytes that stay unacknowledged for this long end the connection (TCP_USER_TIMEOUT). Source: peers
    // that lose power or are cut off send no reset.
    absl::Duration unacknowledged{absl::Seconds(3)};
    // An idle connection is probed after this long, and ends after three probes without an answer. The kernel
    // counts whole seconds.
    absl::Duration keepAliveInterval{absl::Seconds(1)};
};

// Failures are logged: the connection works without the options, only losses are noticed later.
void applySocketOptions(boost::asio::ip::tcp::socket &, const SocketLimits &);

} // namespace Wisteria
