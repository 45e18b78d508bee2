// The routing decisions of one router: admission, choice of targets, resume after losses, drain.

#pragma once

#include <LibCore/Random.h>
#include <LibRouting/Events.h>

#include <memory>

namespace Wisteria {

// A single-threaded state machine. All events of one router go through one instance.
class Router
{
public:
    // The incarnation's numbers of attempts start at one. The random source must outlive the router.
    [[nodiscard]] static std::unique_ptr<Router> create(RandomSource &random);
    virtual ~Router() = default;

    // Takes one event at the given monotonic time, which never goes back. Unknown ids are ignored: late and
    // crossed events are normal.
    [[nodiscard]] virtual RoutingActions handle(const RoutingEvent &event, absl::Time now) = 0;
    // When the next Tick is due; absl::InfiniteFuture() when none is.
    [[nodiscard]] virtual absl::Time nextWakeUp() const = 0;

    // Generations that run or wait here, by workspace, for the gossip.
    [[nodiscard]] virtual std::map<WorkspaceName, std::uint32_t> demand() const = 0;
    // True when a drain has left nothing to finish.
    [[nodiscard]] virtual bool isIdle() const = 0;
};

} // namespace Wisteria
