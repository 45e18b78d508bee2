// What travels on the ring between the router's threads and its decision thread.

#pragma once

#include <LibConfig/ConfigurationKeeper.h>
#include <LibCore/Error.h>
#include <LibLedger/Events.h>
#include <LibMembership/Events.h>
#include <LibRouting/Events.h>

#include <functional>
#include <variant>

namespace Wisteria {

// Work that must run on the decision thread, for example a question about its state.
using Task = std::function<void()>;

using HostEvent = std::variant<RoutingEvent, LedgerEvent, MembershipEvent, KeeperEvent, Task>;

class EventSink
{
public:
    virtual ~EventSink() = default;

    // Waits for room: back pressure on engines and the platform. Returns false when the process is ending.
    virtual bool post(HostEvent event) = 0;
    // For callers, who must not wait: fails with ErrorCode::RingFull at once.
    [[nodiscard]] virtual ErrorOr<void> tryPost(HostEvent event) = 0;
};

} // namespace Wisteria
