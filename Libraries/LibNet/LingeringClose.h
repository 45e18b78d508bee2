// Closes a connection without destroying the answer that is on its way to the peer.

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <absl/time/time.h>

#include <cstddef>
#include <memory>

namespace Wisteria {

// How long, and for how many bytes, a closing connection reads what its peer still sends.
struct LingerLimits
{
    absl::Duration timeout{absl::Seconds(1)};
    std::size_t maxBytes{std::size_t{8} << 20U};
};

// Ends the sending side, then discards what arrives until the peer closes or a limit is reached. Closing at
// once would reset the connection if bytes are unread, and a reset discards what the peer has not read yet.
// `token` is kept until the socket is closed.
void closeLingering(boost::asio::ip::tcp::socket, const LingerLimits & = {},
                    std::shared_ptr<void> token = nullptr);

} // namespace Wisteria
