// Settings of a gateway process, read from TOML.

#pragma once

#include <LibConfig/Settings.h>
#include <LibForwarding/ServiceRetryBudget.h>

#include <string>

namespace Wisteria {

struct GatewaySettings
{
    RouterId id;
    FailureDomain domain;
    // Addresses on which callers send requests, ask for entry points, and the platform checks readiness.
    std::string callerListen;
    std::string entryPointListen;
    std::string readinessListen;
    // Counters for operators; empty for none.
    std::string metricsListen;
    // Datagrams and calls between routers, on the same port number.
    std::string peerListen;
    std::string store;
    absl::Duration storeCallTimeout{absl::Seconds(1)};
    // Longest time for which callers keep an answer with entry points.
    absl::Duration entryPointLifetime{absl::Seconds(2)};
    // Time from the request to stop to the kill.
    absl::Duration stopGrace{absl::Seconds(8)};
    RetryLimits retryLimits;
    LogSettings log;
    // Routers of one failure domain that watch the store; the others follow these.
    std::uint32_t watchersPerDomain{2};
};

// Errors: InvalidSettings, with file, line and key.
[[nodiscard]] ErrorOr<GatewaySettings> gatewaySettingsFromToml(std::string_view text,
                                                               const std::string &file);

} // namespace Wisteria
