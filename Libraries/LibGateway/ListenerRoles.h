// What each listener of a gateway is for. A listener serves the paths of its roles and no others: what is
// meant for other routers and for operators must not be reachable at the callers' address, where such paths
// belong to the routes of the configuration.

#pragma once

#include <LibGateway/Dialect.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/ViewRelay.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Wisteria {

enum class ListenerRole : unsigned { Callers, EntryPoints, Readiness, Peers, Metrics };

// A set of roles. Several roles may share an address; its listener then has the sum of them.
class ListenerRoles
{
public:
    ListenerRoles() = default;
    ListenerRoles(std::initializer_list<ListenerRole> roles)
    {
        for (auto it : roles)
            add(it);
    }

    void add(ListenerRole role) { m_bits |= bit(role); }
    [[nodiscard]] bool has(ListenerRole role) const { return (m_bits & bit(role)) != 0; }

    bool operator==(const ListenerRoles &) const = default;

private:
    static constexpr unsigned bit(ListenerRole role) { return 1U << static_cast<unsigned>(role); }

    unsigned m_bits{0};
};

struct ListenerPlan
{
    std::string address;
    ListenerRoles roles;
};

// One listener for each address of the settings.
[[nodiscard]] std::vector<ListenerPlan> planListeners(const GatewaySettings &);

struct ReadinessCheck
{
};
struct MetricsQuery
{
};

// A request that the gateway answers itself.
using LocalRequest = std::variant<ReadinessCheck, EntryPointQuery, ViewRequest, MetricsQuery>;

namespace detail {

// NOTE: A new kind of request doesn't compile without a role.
constexpr ListenerRole roleFor(const ReadinessCheck &)
{
    return ListenerRole::Readiness;
}
constexpr ListenerRole roleFor(const EntryPointQuery &)
{
    return ListenerRole::EntryPoints;
}
constexpr ListenerRole roleFor(const ViewRequest &)
{
    return ListenerRole::Peers;
}
constexpr ListenerRole roleFor(const MetricsQuery &)
{
    return ListenerRole::Metrics;
}

} // namespace detail

// Reads the request target as one for the gateway itself. Empty if it is none, or not one for these roles.
[[nodiscard]] std::optional<LocalRequest> readLocalRequest(const ListenerRoles &, const Dialect &,
                                                           std::string_view requestTarget);

} // namespace Wisteria
