// Hosts one router in a unit test, with a small configuration and a clock that the test advances.

#pragma once

#include <LibRouting/Router.h>

#include <algorithm>
#include <memory>
#include <optional>

namespace Wisteria {

class FakeRouterHost
{
public:
    // Creates a router with service "digest", workspace "kochi" and the given preset, but no targets.
    explicit FakeRouterHost(PresetSpec preset = {});

    RoutingActions feed(const RoutingEvent &);
    // Advances the clock and feeds a Tick at each wake-up that the router requests.
    RoutingActions advance(absl::Duration);

    // Adds or updates a target of service "digest".
    void setTarget(const std::string &id, std::uint32_t slots = 4, TargetPhase phase = TargetPhase::Live);
    // Feeds `configuration` under the next version.
    RoutingActions applyConfiguration();
    RoutingActions open(const std::string &id, Urgency urgency = Urgency::Patient);
    // Opens a request that continues an earlier answer at the point.
    RoutingActions reopen(const std::string &id, const ResumePoint &point);
    // Feeds `count` tokens of the attempt, starting at offset `from`, one every 20 ms.
    RoutingActions feedTokens(AttemptId, std::uint64_t from, std::uint64_t count = 1);

    FleetConfiguration configuration;
    absl::Time now{absl::FromUnixSeconds(1000)};

private:
    SeededRandom m_random{1};
    std::unique_ptr<Router> m_router;

public:
    [[nodiscard]] Router &router() { return *m_router; }
};

// Returns the actions of one type, in order.
template <typename T>
std::vector<T> actionsOfType(const RoutingActions &actions)
{
    std::vector<T> out;
    for (const auto &it : actions) {
        if (const T *found = std::get_if<T>(&it))
            out.push_back(*found);
    }
    return out;
}

} // namespace Wisteria
