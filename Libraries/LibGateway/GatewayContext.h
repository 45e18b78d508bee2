// Dependencies and callbacks that a gateway shares with its sessions.

#pragma once

#include <LibCore/Random.h>
#include <LibForwarding/ServiceAdmission.h>
#include <LibForwarding/TargetPool.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/LimitGuard.h>
#include <LibGateway/PromptGuard.h>
#include <LibGateway/RolloutGuard.h>
#include <LibGateway/StructuredLog.h>
#include <LibGateway/TargetConnections.h>
#include <LibGateway/TargetNoticeRecorder.h>

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
    ServiceAdmissions &admissions;
    TargetConnections &connections;
    PromptGuard &promptGuard;
    LimitGuard &limits;
    // Null without settings for rollouts.
    std::shared_ptr<RolloutGuard> rollouts;
    StructuredLog &log;
    GatewayMetrics &metrics;
    // Answers to control requests may arrive after the gateway has been destroyed, so their handlers hold a
    // weak pointer. Never null.
    std::shared_ptr<TargetNoticeRecorder> notices;
    // Called when a request finds a target to be faulty, so that other requests on it check it too.
    std::function<void(const TargetProcess &, TargetFault)> targetFailed;
    // Called when this router's own load on targets changed.
    std::function<void()> loadChanged;
    // Called once when a session has sent its final response.
    std::function<void(const std::shared_ptr<ForwardSession> &)> sessionEnded;
};

} // namespace Wisteria
