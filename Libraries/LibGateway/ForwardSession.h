// Executes the actions of one ForwardedRequest on the caller's connection and on the targets.

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

// Sets the Retry-After field, shortened by a random jitter, but not to less than `earliest`. An earliest time
// that callers would not wait for is disregarded.
void setRetryAfter(HttpResponse &, absl::Duration after, RandomSource &,
                   absl::Duration earliest = absl::ZeroDuration());

// A caller's request together with its route, workspace and service.
struct RoutedRequest
{
    HttpRequest message;
    CallerRequest request;
    // Owns the route, the workspace and the service below.
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
    // Ends the request because the process is stopping.
    void stopNow();
    // Another router or request reported the target as failed.
    void targetFailed(const TargetId &, TargetFault);
    // Requests with some prompts have become barred. A run that has written nothing yet is cancelled if this
    // is one of them.
    void promptsBarred();
    [[nodiscard]] bool isFinished() const { return m_forwardedRequest.isFinished(); }

    void headReceived(const HttpResponseHead &) override;
    void attemptNotRun(TargetFault, bool wasRefused) override;
    void streamOpened(const HttpResponseHead &) override;
    void eventsReceived(const std::vector<RawEvent> &) override;
    void streamEnded(AnswerEnd) override;
    void responseReceived(HttpResponse) override;
    void attemptLost(TargetFault) override;

private:
    void handle(const ForwardingEvent &);
    void perform(const ForwardingActionList &);
    void perform(const ForwardingActions::StartAttempt &);
    void perform(const ForwardingActions::FindReplacement &);
    void perform(const ForwardingActions::CancelAttempt &);
    void perform(const ForwardingActions::StartResponse &);
    void perform(const ForwardingActions::CompleteStream &);
    void perform(const ForwardingActions::SendResponse &);
    void perform(const ForwardingActions::Refuse &);
    void perform(const ForwardingActions::AbortResponse &);
    void perform(const ForwardingActions::SetTimer &);
    void perform(const ForwardingActions::ProbeTarget &);

    [[nodiscard]] TargetRequirements requirements() const;
    // False when the generation cannot finish before the caller's deadline, so that its prompt need not be
    // processed.
    [[nodiscard]] bool canFinishInTime(int attemptNumber, absl::Duration timeLeft);
    // Returns the copy from which the next attempt can resume, if its holder is healthy.
    [[nodiscard]] std::optional<CopySource> findUsableCopy() const;
    void sendTo(const ForwardingTarget &, const ForwardingActions::StartAttempt &,
                const std::optional<CopySource> &);
    void handleCopyEvent(const KvCopyEvent &);
    void perform(const KvCopyActions::CreateCopy &);
    void perform(const KvCopyActions::DeleteCopy &);
    void perform(const KvCopyActions::SetTimer &);
    // Sends a control request and records what the target says of itself in the answer. A target that backs
    // off is sent none, which counts as not connected.
    void sendControlRequest(const ForwardingTarget &, const ControlRequest &, HttpCallHandler);
    void reserveCopyLoad(const std::optional<TargetId> &holder);
    // Adds the request's load to the target and, if the route uses copies, to a copy holder.
    void reserveLoad(const TargetId &, bool fromCopy);
    void completeStream();
    // Completes the stream, unless its target's process has ended.
    void completeStreamIfTargetRuns();
    void markPromptProcessed();
    // Records that the running attempt has ended before its target had written for long.
    void noteLostRun();
    // Records that the running attempt's target writes on the prompt and lives on.
    void noteSurvival(absl::Time now);
    [[nodiscard]] ServicePerformance &performance() const;
    void recordFirstEvent(absl::Time now);
    void recordCompletedStream(absl::Time now);
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
    // Address of that target, which identifies the copies that it created.
    std::string m_targetAddress;
    // Process that the running attempt was sent to.
    TargetProcess m_targetProcess;
    // The target had no unprocessed prompt of another request when the attempt was sent.
    bool m_wasTargetIdle{false};
    absl::Time m_attemptSentAt;
    // Of the running attempt; unset before its first event.
    std::optional<absl::Time> m_firstEventAt;
    std::int64_t m_eventCount{0};
    absl::Time m_nextSurvivalAt;
    TargetLoad m_load;
    KvCopyManager m_copies;
    boost::asio::steady_timer m_copyTimer;
    // Target whose load includes the copy.
    std::optional<TargetId> m_copyHolder;
    TargetLoad m_copyLoad;
    bool m_isFromCopy{false};
    // The last attempt for which no replacement was found.
    int m_unreplacedAttempt{0};
    std::vector<TargetId> m_triedTargets;
    // Of the running attempt's stream; until the response starts, that of the latest attempt with a stream.
    HttpResponseHead m_streamHead;
    // The latest complete response of a target.
    HttpResponse m_response;
    bool m_isOutcomeLogged{false};
    std::optional<absl::Time> m_interruptedAt;
    // Time of the last event sent to the caller; unset before the first one.
    std::optional<absl::Time> m_lastEventAt;
    absl::Duration m_longestGap;
};

} // namespace Wisteria
