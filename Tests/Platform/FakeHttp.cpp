// Addresses and numbers.

#include "FakeHttp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <unistd.h>

namespace Wisteria {

std::string unusedLoopbackAddress()
{
    // Each process has an address of its own, since a client of another test at 127.0.0.1 may take the port
    // before it is listened on.
    constexpr std::uint32_t loopbackNetwork = 0x7f000000;
    constexpr std::uint32_t processBits = 0x3fffff;
    const auto process = static_cast<std::uint32_t>(getpid()) & processBits;
    const boost::asio::ip::address_v4 address(loopbackNetwork | (process << 2U) | 2U);
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {address, 0});
    return absl::StrCat(address.to_string(), ":", acceptor.local_endpoint().port());
}

std::uint64_t detail::parseNumber(const std::string &text)
{
    std::uint64_t n = 0;
    return absl::SimpleAtoi(text, &n) ? n : 0;
}

} // namespace Wisteria
