// An address of the form "IP:port".

#pragma once

#include <LibCore/Error.h>

#include <string>
#include <string_view>

namespace Wisteria {

class Address
{
public:
    // Takes "192.0.2.1:80" and "[2001:db8::1]:80". Names are refused: processes talk by IP number.
    // Errors: InvalidSettings.
    [[nodiscard]] static ErrorOr<Address> parse(std::string_view text);

    [[nodiscard]] const std::string &host() const { return m_host; }
    [[nodiscard]] int port() const { return m_port; }

private:
    Address(std::string host, int port) : m_host(std::move(host)), m_port(port) { }

    std::string m_host;
    // Invariant: in [0, 65535]; zero lets the system choose when listening.
    int m_port;
};

} // namespace Wisteria
