// Interface of the routing logic of one router: admission, target selection, resume after failures, drain.

#pragma once

#include <LibCore/Random.h>
#include <LibRouting/Events.h>

#include <memory>

namespace Wisteria {

// A single-threaded state machine. All events of a router go through one instance.
class Router
{
public:
    // Attempt ids start at one in each Router instance. The random source must outlive the router.
    [[nodiscard]] static std::unique_ptr<Router> create(RandomSource &random);
    virtual ~Router() = default;

    // Processes one event at the given monotonic time, which must not decrease. Unknown ids are ignored,
    // because late and reordered events are normal.
    [[nodiscard]] virtual RoutingActions handle(const RoutingEvent &event, absl::Time now) = 0;
    // Time at which the next Tick is due, or absl::InfiniteFuture() if none is.
    [[nodiscard]] virtual absl::Time nextWakeUp() const = 0;

    // Number of generations running or queued at this router by workspace, for gossip.
    [[nodiscard]] virtual std::map<WorkspaceName, std::uint32_t> demand() const = 0;
    // Whether the router is draining and has no generations left.
    [[nodiscard]] virtual bool isIdle() const = 0;
};

} // namespace Wisteria
