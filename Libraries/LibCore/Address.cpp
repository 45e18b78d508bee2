// Splits and checks addresses.

#include <LibCore/Address.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <arpa/inet.h>

namespace Wisteria {

namespace detail {

bool isIpNumber(const std::string &host)
{
    in6_addr buf{};
    return inet_pton(AF_INET, host.c_str(), &buf) == 1 || inet_pton(AF_INET6, host.c_str(), &buf) == 1;
}

} // namespace detail

ErrorOr<Address> Address::parse(std::string_view text)
{
    constexpr int maxPort = 65535;
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return makeError(ErrorCode::InvalidSettings,
                         absl::StrCat("address without a port: ", std::string(text)));
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    int port = 0;
    if (!absl::SimpleAtoi(std::string(text.substr(colon + 1)), &port) || port < 0 || port > maxPort)
        return makeError(ErrorCode::InvalidSettings,
                         absl::StrCat("bad port in address: ", std::string(text)));
    if (!detail::isIpNumber(host))
        return makeError(ErrorCode::InvalidSettings, absl::StrCat("not an IP number: ", std::string(text)));
    return Address(std::move(host), port);
}

} // namespace Wisteria
