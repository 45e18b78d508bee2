// The transport over cpp-httplib, and the clock of the machine.

#pragma once

#include <LibCaller/Transport.h>

namespace Wisteria {

class HttpTransport final : public Transport
{
public:
    explicit HttpTransport(absl::Duration connectTimeout) : m_connectTimeout(connectTimeout) { }

    [[nodiscard]] tl::expected<HttpAnswer, TransportError>
    send(const std::string &address, const HttpRequest &request, BodyReceiver *receiver) override;

private:
    const absl::Duration m_connectTimeout;
};

// Monotonic, so that a corrected wall clock ends no request early.
class MachineClock final : public CallerClock
{
public:
    [[nodiscard]] absl::Time now() override;
    void sleepFor(absl::Duration duration) override;
};

} // namespace Wisteria
