// Lookups in hash tables that are built once per configuration version.

#include <LibForwarding/RouteTable.h>

#include <LibCore/Views.h>

#include <absl/strings/ascii.h>

namespace Wisteria {

namespace detail {

// Returns the host in lower case and without the port (RFC 9110, section 4.2.3).
std::string normalizedHost(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    return absl::AsciiStrToLower(hasPort ? std::string(host.substr(0, colon)) : std::string(host));
}

} // namespace detail

std::shared_ptr<const RouteTable> RouteTable::create(TrafficConfiguration configuration)
{
    return std::shared_ptr<const RouteTable>(new RouteTable(std::move(configuration)));
}

RouteTable::RouteTable(TrafficConfiguration configuration) : m_configuration(std::move(configuration))
{
    for (std::size_t i = 0; i < m_configuration.routes.size(); ++i) {
        const auto &route = m_configuration.routes[i];
        m_routes[detail::normalizedHost(route.host)].emplace(route.pathPrefix, i);
    }
    for (std::size_t i = 0; i < m_configuration.workspaces.size(); ++i) {
        for (const auto &key : m_configuration.workspaces[i].apiKeys)
            m_workspacesByKey.emplace(key, i);
    }
    for (std::size_t i = 0; i < m_configuration.services.size(); ++i)
        m_services.emplace(m_configuration.services[i].name.value(), i);
}

const RouteSpec *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routes.find(detail::normalizedHost(host));
    if (routes == m_routes.end())
        return nullptr;
    // All prefixes end with a slash, so only the slashes of the path are candidates.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        if (auto it = routes->second.find(abslView(path.substr(0, slash + 1))); it != routes->second.end())
            return &m_configuration.routes[it->second];
        if (slash == 0)
            break;
    }
    return nullptr;
}

const WorkspaceKeys *RouteTable::findWorkspace(std::string_view apiKey) const
{
    const auto it = m_workspacesByKey.find(abslView(apiKey));
    return it == m_workspacesByKey.end() ? nullptr : &m_configuration.workspaces[it->second];
}

const ForwardedService *RouteTable::findService(const ServiceName &name) const
{
    const auto it = m_services.find(name.value());
    return it == m_services.end() ? nullptr : &m_configuration.services[it->second];
}

const ServiceName &RouteTable::chooseService(const RouteSpec &route, double draw)
{
    double total = 0;
    for (const auto &it : route.shares)
        total += it.weight;
    double remaining = draw * total;
    for (const auto &it : route.shares) {
        remaining -= it.weight;
        if (remaining < 0)
            return it.service;
    }
    return route.shares.back().service;
}

} // namespace Wisteria
