// Looks up the route, workspace and service of a request in one version of the configuration.

#pragma once

#include <LibForwarding/TrafficConfiguration.h>

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string_view>

namespace Wisteria {

class RouteTable
{
public:
    [[nodiscard]] static std::shared_ptr<const RouteTable> create(TrafficConfiguration);

    // Returns the host's route with the longest matching path prefix, or null if none matches.
    [[nodiscard]] const RouteSpec *findRoute(std::string_view host, std::string_view path) const;
    // Returns null for an unknown key.
    [[nodiscard]] const WorkspaceKeys *findWorkspace(std::string_view apiKey) const;
    [[nodiscard]] const ForwardedService *findService(const ServiceName &) const;
    // Selects one of the route's services by weight. `draw` is uniform in [0, 1).
    [[nodiscard]] static const ServiceName &chooseService(const RouteSpec &, double draw);

    [[nodiscard]] const TrafficConfiguration &configuration() const { return m_configuration; }
    [[nodiscard]] ConfigVersion version() const { return m_configuration.version; }
    [[nodiscard]] bool requiresApiKey() const { return m_configuration.hasWorkspaces; }

private:
    explicit RouteTable(TrafficConfiguration);

    TrafficConfiguration m_configuration;
    // Invariant: the values are indexes into the configuration's vectors.
    absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, std::size_t>> m_routes;
    absl::flat_hash_map<std::string, std::size_t> m_workspacesByKey;
    absl::flat_hash_map<std::string, std::size_t> m_services;
};

} // namespace Wisteria
