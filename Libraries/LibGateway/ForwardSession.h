// The host of one ForwardedRequest: performs its actions on the caller's connection and on targets.

#pragma once

#include <LibForwarding/ForwardedRequest.h>
#include <LibForwarding/KvCopyManager.h>
#include <LibForwarding/RouteTable.h>
#include <LibGateway/GatewayContext.h>
#include <LibGateway/TargetAttempt.h>
#include <LibNet/HttpServer.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace Wisteria {

// Callers that are refused together come back spread over the last part of the time.
inline constexpr double retryJitter = 0.4;

// Sets the field that tells a refused caller when to come back.
void setRetryAfter(HttpResponse &, absl::Duration after, RandomSource &);

// A request with what the configuration says of it.
struct RoutedRequest
{
    HttpRequest message;
    CallerRequest request;
    // Holds the route and the workspace.
    std::shared_ptr<const RouteTable> table;
    const RouteSpec *route{nullptr};
    const WorkspaceKeys *workspace{nullptr};
    const ForwardedService *service{nullptr};
};

class ForwardSession final : public AttemptListener, public std::enable_shared_from_this<ForwardSession>
{
public:
    ForwardSession(GatewayContext &, std::shared_ptr<HttpServerConnection>, RoutedRequest, RetryGate &,
                   absl::Time now);
    ~ForwardSession() override;

    void start();
    // Ends what still runs because the process stops.
    void stopNow();
    // Another router or request found the target at fault.
    void targetFailed(const TargetId &, TargetFault);
    [[nodiscard]] bool isFinished() const { return m_forwardedRequest.isFinished(); }

    void attemptNotRun(TargetFault, bool wasRefused) override;
    void streamOpened(const HttpResponseHead &) override;
    void eventsReceived(const std::vector<RawEvent> &) override;
    void streamEnded() override;
    void responseReceived(HttpResponse) override;
    void attemptLost(TargetFault) override;

private:
    void handle(const ForwardingEvent &);
    void perform(const ForwardingActionList &);
    void perform(const ForwardingActions::StartAttempt &);
    void perform(const ForwardingActions::CancelAttempt &);
    void perform(const ForwardingActions::StartResponse &);
    void perform(const ForwardingActions::CompleteStream &);
    void perform(const ForwardingActions::SendResponse &);
    void perform(const ForwardingActions::Refuse &);
    void perform(const ForwardingActions::AbortResponse &);
    void perform(const ForwardingActions::SetTimer &);
    void perform(const ForwardingActions::ProbeTarget &);

    [[nodiscard]] TargetRequirements requirements() const;
    // False when a prompt would be read for a caller who will have left by then.
    [[nodiscard]] bool canFinishInTime(const ForwardingActions::StartAttempt &);
    // The copy from which the next attempt can go on.
    [[nodiscard]] std::optional<CopySource> findUsableCopy() const;
    void sendTo(const ForwardingTarget &, const ForwardingActions::StartAttempt &,
                const std::optional<CopySource> &);
    void handleCopyEvent(const KvCopyEvent &);
    void perform(const KvCopyActions::CreateCopy &);
    void perform(const KvCopyActions::DeleteCopy &);
    void perform(const KvCopyActions::SetTimer &);
    void reserveCopyLoad(const std::optional<TargetId> &holder);
    // Adds the request's load to its targets, or takes it back.
    void reserveLoad(const TargetId &, bool fromCopy);
    void markPromptProcessed();
    void releaseLoad();
    void noteFault(TargetFault);
    void finish(std::string_view outcome, int status);
    void log(std::string_view event, nlohmann::json fields) const;

    GatewayContext &m_gatewayContext;
    std::shared_ptr<HttpServerConnection> m_caller;
    RoutedRequest m_routed;
    ForwardedRequest m_forwardedRequest;
    boost::asio::steady_timer m_timer;
    absl::Time m_arrivedAt;
    std::shared_ptr<TargetAttempt> m_attempt;
    // Target of the running attempt; empty between attempts.
    std::optional<TargetId> m_target;
    // Its address, which names the copies that it made.
    std::string m_targetAddress;
    TargetLoad m_load;
    KvCopyManager m_copies;
    boost::asio::steady_timer m_copyTimer;
    // Target whose load counts the copy.
    std::optional<TargetId> m_copyHolder;
    TargetLoad m_copyLoad;
    bool m_isFromCopy{false};
    std::vector<TargetId> m_triedTargets;
    // Head of the first stream, or the last complete answer.
    HttpResponse m_response;
    bool m_hasStreamHead{false};
    bool m_isOutcomeLogged{false};
    std::optional<absl::Time> m_interruptedAt;
    // Of the last event that the caller was sent; unset before the first one.
    std::optional<absl::Time> m_lastEventAt;
    absl::Duration m_longestGap;
};

} // namespace Wisteria
