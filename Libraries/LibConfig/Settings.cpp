// The keys of each process's settings file, with their ranges.

#include <LibConfig/Settings.h>
#include <LibConfig/SettingsReader.h>

namespace Wisteria {

using detail::AddressList;
using detail::Presence;
using detail::SettingsReader;

namespace detail {

ErrorOr<LogSettings> readLog(SettingsReader reader)
{
    LogSettings log;
    std::size_t level = 0;
    reader.text("directory", log.directory);
    reader.choice("level", {"info", "warning", "error"}, level);
    TRY_VOID(reader.finish());
    log.level = static_cast<LogLevel>(level);
    return log;
}

ErrorOr<PlatformSettings> readPlatform(SettingsReader reader)
{
    PlatformSettings platform;
    reader.address("object_api", Presence::Required, platform.objectApi);
    reader.address("vm_list", Presence::Optional, platform.vmList);
    reader.milliseconds("call_timeout_ms", absl::Milliseconds(10), absl::Seconds(60), platform.callTimeout);
    TRY_VOID(reader.finish());
    return platform;
}

ErrorOr<RouterLimits> readLimits(SettingsReader reader)
{
    RouterLimits limits;
    reader.count("stream_threads", 1, 20000, limits.streamThreads);
    reader.count("call_threads", 1, 10000, limits.callThreads);
    reader.count("max_connections", 1, 100000, limits.maxConnections);
    reader.count("max_body_bytes", 1024, 64U << 20U, limits.maxBodyBytes);
    reader.count("event_ring", 16, 1U << 20U, limits.eventRing);
    reader.count("action_ring", 16, 1U << 20U, limits.actionRing);
    TRY_VOID(reader.finish());
    return limits;
}

ErrorOr<RouterTimeouts> readTimeouts(SettingsReader reader)
{
    constexpr auto least = absl::Milliseconds(10);
    RouterTimeouts timeouts;
    reader.milliseconds("connect_ms", least, absl::Seconds(30), timeouts.connect);
    reader.milliseconds("peer_call_ms", least, absl::Seconds(10), timeouts.peerCall);
    reader.milliseconds("target_idle_ms", least, absl::Hours(1), timeouts.targetIdle);
    reader.milliseconds("caller_idle_ms", least, absl::Hours(1), timeouts.callerIdle);
    TRY_VOID(reader.finish());
    return timeouts;
}

void readAddresses(SettingsReader &reader, RouterSettings &settings)
{
    reader.address("callers", Presence::Required, settings.callerListen);
    reader.address("peers", Presence::Required, settings.peerListen);
    settings.callerAdvertised = settings.callerListen;
    settings.peerAdvertised = settings.peerListen;
    reader.address("callers_advertised", Presence::Optional, settings.callerAdvertised);
    reader.address("peers_advertised", Presence::Optional, settings.peerAdvertised);
}

} // namespace detail

ErrorOr<RouterSettings> routerSettingsFromToml(std::string_view text, const std::string &file)
{
    auto root = TRY(SettingsReader::parse(text, file));
    RouterSettings settings;
    root.name("id", Presence::Required, settings.id);
    root.name("domain", Presence::Required, settings.domain);
    root.addresses("seeds", AddressList::MayBeEmpty, settings.seeds);
    auto listen = root.section("listen");
    const auto platform = root.section("platform");
    const auto limits = root.section("limits");
    const auto timeouts = root.section("timeouts");
    const auto log = root.section("log");
    TRY_VOID(root.finish());
    detail::readAddresses(listen, settings);
    TRY_VOID(listen.finish());
    settings.platform = TRY(detail::readPlatform(platform));
    settings.limits = TRY(detail::readLimits(limits));
    settings.timeouts = TRY(detail::readTimeouts(timeouts));
    settings.log = TRY(detail::readLog(log));
    return settings;
}

ErrorOr<PlacerSettings> placerSettingsFromToml(std::string_view text, const std::string &file)
{
    auto root = TRY(SettingsReader::parse(text, file));
    PlacerSettings settings;
    root.name("id", Presence::Required, settings.id);
    root.name("domain", Presence::Required, settings.domain);
    root.count("downloads_at_once", 1, 1000, settings.downloadsAtOnce);
    const auto platform = root.section("platform");
    const auto log = root.section("log");
    TRY_VOID(root.finish());
    settings.platform = TRY(detail::readPlatform(platform));
    settings.log = TRY(detail::readLog(log));
    return settings;
}

ErrorOr<CallerSettings> callerSettingsFromToml(std::string_view text, const std::string &file)
{
    auto root = TRY(SettingsReader::parse(text, file));
    CallerSettings settings;
    root.addresses("entry_points", AddressList::NotEmpty, settings.entryPoints);
    root.name("domain", Presence::Optional, settings.domain);
    root.name("workspace", Presence::Optional, settings.workspace);
    root.milliseconds("timeout_ms", absl::Milliseconds(1), absl::Hours(24), settings.timeout);
    TRY_VOID(root.finish());
    return settings;
}

ErrorOr<OperatorSettings> operatorSettingsFromToml(std::string_view text, const std::string &file)
{
    auto root = TRY(SettingsReader::parse(text, file));
    OperatorSettings settings;
    root.addresses("entry_points", AddressList::NotEmpty, settings.entryPoints);
    root.name("operator", Presence::Optional, settings.operatorName);
    root.milliseconds("timeout_ms", absl::Milliseconds(100), absl::Minutes(10), settings.timeout);
    TRY_VOID(root.finish());
    return settings;
}

} // namespace Wisteria
