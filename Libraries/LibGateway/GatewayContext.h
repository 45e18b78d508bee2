// What the sessions of a gateway share.

#pragma once

#include <LibCore/Random.h>
#include <LibForwarding/TargetPool.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/StructuredLog.h>
#include <LibGateway/TargetConnections.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace Wisteria {

class ForwardSession;

struct GatewayContext
{
    boost::asio::io_context &context;
    const Dialect &dialect;
    RandomSource &random;
    TargetPool &targets;
    TargetConnections &connections;
    StructuredLog &log;
    GatewayMetrics &metrics;
    // Called when a target was found at fault by a request, so that others on it look as well.
    std::function<void(const TargetId &, TargetFault)> targetFailed;
    // Called when this router's own work at targets changed.
    std::function<void()> loadChanged;
    // Called once when a session has given its final answer.
    std::function<void(const std::shared_ptr<ForwardSession> &)> sessionEnded;
};

} // namespace Wisteria
