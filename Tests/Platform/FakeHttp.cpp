// Addresses and numbers.

#include "FakeHttp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace Wisteria {

std::string unusedLoopbackAddress()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    return absl::StrCat("127.0.0.1:", acceptor.local_endpoint().port());
}

std::uint64_t detail::parseNumber(const std::string &text)
{
    std::uint64_t n = 0;
    return absl::SimpleAtoi(text, &n) ? n : 0;
}

} // namespace Wisteria
