// Keys and valid ranges of a gateway's settings file.

#include <LibConfig/SettingsReader.h>
#include <LibGateway/GatewaySettings.h>

namespace Wisteria {

namespace detail {

ErrorOr<RetryLimits> readRetryLimits(SettingsReader reader)
{
    RetryLimits limits;
    reader.number("ratio", 0, 10, limits.ratio);
    reader.number("slack", 0, 1e6, limits.minRetriesPerWindow);
    reader.seconds("window_s", 0.1, 3600, limits.window);
    TRY_VOID(reader.finish());
    return limits;
}

ErrorOr<void> readListen(SettingsReader reader, GatewaySettings &settings)
{
    reader.address("callers", Presence::Required, settings.callerListen);
    reader.address("entry_points", Presence::Required, settings.entryPointListen);
    reader.address("readiness", Presence::Required, settings.readinessListen);
    reader.address("metrics", Presence::Optional, settings.metricsListen);
    reader.address("peers", Presence::Required, settings.peerListen);
    return reader.finish();
}

ErrorOr<void> readStore(SettingsReader reader, GatewaySettings &settings)
{
    reader.address("address", Presence::Required, settings.store);
    reader.milliseconds("call_timeout_ms", absl::Milliseconds(50), absl::Seconds(60),
                        settings.storeCallTimeout);
    reader.milliseconds("change_deadline_ms", absl::Milliseconds(100), absl::Seconds(60),
                        settings.changeDeadline);
    reader.count("watchers_per_domain", 1, 1000, settings.watchersPerDomain);
    return reader.finish();
}

ErrorOr<void> readPeers(SettingsReader reader, GatewaySettings &settings)
{
    reader.count("max_single_group", 1, 100000, settings.maxSingleGroup);
    reader.count("max_group_size", 2, 100000, settings.maxGroupSize);
    return reader.finish();
}

ErrorOr<RolloutLimits> readRollouts(SettingsReader reader)
{
    RolloutLimits limits;
    reader.number("max_share", 0, 1, limits.maxShare);
    reader.number("slack", 0, 1e6, limits.slack);
    reader.milliseconds("stop_deadline_ms", absl::Milliseconds(100), absl::Seconds(3600),
                        limits.stopDeadline);
    TRY_VOID(reader.finish());
    return limits;
}

ErrorOr<void> readMemory(SettingsReader reader, GatewaySettings &settings)
{
    reader.number("limit_mb", 1, 1e7, settings.memoryLimitMb);
    reader.count("descriptors", 1, 100'000'000, settings.descriptors);
    return reader.finish();
}

} // namespace detail

ErrorOr<GatewaySettings> gatewaySettingsFromToml(std::string_view text, const std::string &file)
{
    using detail::Presence;
    auto root = TRY(detail::SettingsReader::parse(text, file));
    GatewaySettings settings;
    root.name("id", Presence::Required, settings.id);
    root.name("domain", Presence::Required, settings.domain);
    root.seconds("entry_point_lifetime_s", 0.1, 3600, settings.entryPointLifetime);
    root.seconds("stop_grace_s", 0, 3600, settings.stopGrace);
    const auto listen = root.section("listen");
    const auto store = root.section("store");
    const auto retryLimits = root.section("repeats");
    const auto peers = root.section("peers");
    const bool hasRollouts = root.has("rollouts");
    const auto rollouts = root.section("rollouts");
    const auto memory = root.section("memory");
    TRY_VOID(root.finish());
    TRY_VOID(detail::readListen(listen, settings));
    TRY_VOID(detail::readStore(store, settings));
    TRY_VOID(detail::readPeers(peers, settings));
    TRY_VOID(detail::readMemory(memory, settings));
    settings.retryLimits = TRY(detail::readRetryLimits(retryLimits));
    if (hasRollouts)
        settings.rollouts = TRY(detail::readRollouts(rollouts));
    return settings;
}

} // namespace Wisteria
