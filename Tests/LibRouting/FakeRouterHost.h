// A host for focused tests: a router with a small configuration, a virtual clock, and the actions seen so
// far.

#pragma once

#include <LibRouting/Router.h>

#include <algorithm>
#include <memory>
#include <optional>

namespace Wisteria {

class FakeRouterHost
{
public:
    // A fresh router with service "digest", workspace "kochi" and one preset.
    explicit FakeRouterHost(PresetSpec preset = {});

    RoutingActions feed(const RoutingEvent &);
    // Moves the clock on, with a Tick at each wake-up that the router asks for.
    RoutingActions advance(absl::Duration);

    void setTarget(const std::string &id, std::uint32_t slots = 4, TargetPhase phase = TargetPhase::Live);
    // Feeds the present configuration under the next version.
    RoutingActions applyConfiguration();
    RoutingActions open(const std::string &id, Urgency urgency = Urgency::Patient);
    RoutingActions reopen(const std::string &id, const ResumePoint &point);
    // The attempt brings `count` tokens from the offset on.
    RoutingActions feedTokens(AttemptId, std::uint64_t from, std::uint64_t count = 1);

    FleetConfiguration configuration;
    absl::Time now{absl::FromUnixSeconds(1000)};

private:
    SeededRandom m_random{1};
    std::unique_ptr<Router> m_router;

public:
    [[nodiscard]] Router &router() { return *m_router; }
};

// The actions of one type.
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
