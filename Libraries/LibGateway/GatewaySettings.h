// Settings of a gateway process, read from TOML.

#pragma once

#include <LibConfig/Settings.h>
#include <LibForwarding/RolloutCoordinator.h>
#include <LibForwarding/ServiceRetryBudget.h>

#include <optional>
#include <string>

namespace Wisteria {

struct GatewaySettings
{
    RouterId id;
    FailureDomain domain;
    // Listen addresses for callers' requests, entry point queries and the platform's readiness checks. Each
    // serves only what it is for; addresses that are equal serve the sum (ListenerRoles).
    std::string callerListen;
    std::string entryPointListen;
    std::string readinessListen;
    // Listen address for metrics; empty for none.
    std::string metricsListen;
    // Listen address for UDP reports and HTTP requests of other routers, on the same port number.
    std::string peerListen;
    std::string store;
    absl::Duration storeCallTimeout{absl::Seconds(1)};
    // Time within which a change of a target or of the configuration must take effect.
    absl::Duration changeDeadline{absl::Seconds(2)};
    // How long callers may cache an entry point response.
    absl::Duration entryPointLifetime{absl::Seconds(2)};
    // Time between the stop signal and the kill.
    absl::Duration stopGrace{absl::Seconds(8)};
    RetryLimits retryLimits;
    LogSettings log;
    // Number of routers in each failure domain that watch the store; the others get changes from them. In a
    // large fleet, each group has at least one.
    std::uint32_t watchersPerDomain{2};
    // Sizes of the groups of routers that share their loads.
    std::uint32_t maxSingleGroup{100};
    std::uint32_t maxGroupSize{32};
    // Empty if orders of rollouts are ignored.
    std::optional<RolloutLimits> rollouts;
    // Memory of the machine in MB (10^6 bytes) and open files of a process. Zero for no bound
    // (ResourceShares).
    double memoryLimitMb{0};
    std::uint32_t descriptors{0};
};

// Errors: InvalidSettings, with file, line and key.
[[nodiscard]] ErrorOr<GatewaySettings> gatewaySettingsFromToml(std::string_view text,
                                                               const std::string &file);

} // namespace Wisteria
