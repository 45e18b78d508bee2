// The settings of the processes, read from TOML. docs/examples/ holds a complete file for each process.
//
// Each function takes a file's text and its name for messages; reading the file is the host's part. Errors
// are ErrorCode::InvalidSettings, and their detail names file, line and key.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

enum class LogLevel { Info, Warning, Error };

struct LogSettings
{
    // Empty: standard error.
    std::string directory;
    LogLevel level{LogLevel::Info};
};

// Addresses of the platform's services, each "IP:port".
struct PlatformSettings
{
    std::string objectApi;
    // Empty: there is no VM list.
    std::string vmList;
    // The time limit of one call.
    absl::Duration callTimeout{absl::Seconds(2)};
};

struct RouterLimits
{
    std::uint32_t streamThreads{256};
    std::uint32_t callThreads{32};
    std::uint32_t maxConnections{2000};
    // Largest body of a caller's request.
    std::uint32_t maxBodyBytes{8U << 20U};
    // Entries of the ring into the decision thread, and of each ring out of it.
    std::uint32_t eventRing{8192};
    std::uint32_t actionRing{8192};
};

struct RouterTimeouts
{
    absl::Duration connect{absl::Milliseconds(500)};
    absl::Duration peerCall{absl::Seconds(1)};
    absl::Duration targetIdle{absl::Seconds(30)};
    absl::Duration callerIdle{absl::Seconds(60)};
};

struct RouterSettings
{
    RouterId id;
    FailureDomain domain;
    std::string callerListen;
    std::string peerListen;
    // What others use to reach this router; the listen addresses when not set.
    std::string callerAdvertised;
    std::string peerAdvertised;
    // Peer addresses of routers by which this one finds the others.
    std::vector<std::string> seeds;
    PlatformSettings platform;
    RouterLimits limits;
    RouterTimeouts timeouts;
    LogSettings log;
};

struct PlacerSettings
{
    std::string id;
    FailureDomain domain;
    PlatformSettings platform;
    // Orders over the whole fleet at once that make an engine download weights.
    std::uint32_t downloadsAtOnce{4};
    LogSettings log;
};

// Settings of the callers' library and of wisteria-call.
struct CallerSettings
{
    // Caller addresses of some routers, for the first discovery.
    std::vector<std::string> entryPoints;
    FailureDomain domain;
    WorkspaceName workspace;
    absl::Duration timeout{absl::Minutes(10)};
};

// Settings of wisteriactl.
struct OperatorSettings
{
    std::vector<std::string> entryPoints;
    std::string operatorName;
    absl::Duration timeout{absl::Seconds(15)};
};

[[nodiscard]] ErrorOr<RouterSettings> routerSettingsFromToml(std::string_view text, const std::string &file);
[[nodiscard]] ErrorOr<PlacerSettings> placerSettingsFromToml(std::string_view text, const std::string &file);
[[nodiscard]] ErrorOr<CallerSettings> callerSettingsFromToml(std::string_view text, const std::string &file);
[[nodiscard]] ErrorOr<OperatorSettings> operatorSettingsFromToml(std::string_view text,
                                                                 const std::string &file);

} // namespace Wisteria
