// Paths and addresses of the roles.

#include <LibGateway/ListenerRoles.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr std::string_view metricsPath = "/metrics";

std::optional<LocalRequest> parseLocalRequest(const Dialect &dialect, std::string_view target)
{
    if (dialect.isReadinessCheck(target))
        return ReadinessCheck{};
    if (auto query = dialect.readEntryPointQuery(target))
        return std::move(*query);
    if (auto request = ViewRelay::readRequest(target))
        return std::move(*request);
    if (target == metricsPath)
        return MetricsQuery{};
    return std::nullopt;
}

} // namespace detail

std::vector<ListenerPlan> planListeners(const GatewaySettings &settings)
{
    std::vector<ListenerPlan> out;
    const auto add = [&out](const std::string &address, ListenerRole role) {
        if (address.empty())
            return;
        auto it = std::find_if(out.begin(), out.end(),
                               [&address](const ListenerPlan &plan) { return plan.address == address; });
        if (it == out.end())
            it = out.insert(it, {address, {}});
        it->roles.add(role);
    };
    add(settings.callerListen, ListenerRole::Callers);
    add(settings.entryPointListen, ListenerRole::EntryPoints);
    add(settings.readinessListen, ListenerRole::Readiness);
    add(settings.peerListen, ListenerRole::Peers);
    add(settings.metricsListen, ListenerRole::Metrics);
    return out;
}

std::optional<LocalRequest> readLocalRequest(const ListenerRoles &roles, const Dialect &dialect,
                                             std::string_view requestTarget)
{
    auto request = detail::parseLocalRequest(dialect, requestTarget);
    if (!request || !roles.has(std::visit([](const auto &it) { return detail::roleFor(it); }, *request)))
        return std::nullopt;
    return request;
}

} // namespace Wisteria
