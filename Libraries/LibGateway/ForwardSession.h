// Executes the actions of one ForwardedRequest on the caller's connection and on the targets.

#pragma once

#include <LibForwarding/ForwardedRequest.h>
#include <LibForwarding/KvCopyManager.h>
#include <LibForwarding/PromptWaste.h>
#include <LibForwarding/RouteTable.h>
#include <LibForwarding/RunStopper.h>
#include <LibGateway/GatewayContext.h>
#include <LibGateway/TargetAttempt.h>
#include <LibGateway/TargetRun.h>
#include <LibNet/HttpServer.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

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
    void targetFailed(const TargetProcess &, TargetFault);
    // Requests with some prompts have become barred. A run that has written nothing yet is cancelled if this
    // is one of them.
    void promptsBarred();
    [[nodiscard]] bool isFinished() const { return m_forwardedRequest.isFinished(); }
    // A run of the request has been sent to the process and has not ended.
    [[nodiscard]] bool isRunningAt(const TargetProcess &) const;

    void attemptReached(const TargetAttempt &) override;
    void headReceived(const TargetAttempt &, const HttpResponseHead &) override;
    void attemptNotRun(const TargetAttempt &, TargetFault, bool wasRefused) override;
    void streamOpened(const TargetAttempt &, const HttpResponseHead &) override;
    void eventsReceived(const TargetAttempt &, const std::vector<RawEvent> &) override;
    void streamEnded(const TargetAttempt &, AnswerEnd) override;
    void responseReceived(const TargetAttempt &, HttpResponse, AnswerEnd) override;
    void attemptLost(const TargetAttempt &, TargetFault) override;

private:
    void handle(const ForwardingEvent &);
    void perform(const ForwardingActionList &);
    void perform(const ForwardingActions::StartAttempt &);
    void perform(const ForwardingActions::FindReplacement &);
    void perform(const ForwardingActions::ReportSuspicion &);
    void perform(const ForwardingActions::CancelAttempt &);
    void perform(const ForwardingActions::AdoptReplacement &);
    void perform(const ForwardingActions::StartResponse &);
    void perform(const ForwardingActions::CompleteStream &);
    void perform(const ForwardingActions::SendResponse &);
    void perform(const ForwardingActions::Refuse &);
    void perform(const ForwardingActions::AbortResponse &);
    void perform(const ForwardingActions::SetTimer &);
    void perform(const ForwardingActions::ProbeTarget &);

    [[nodiscard]] std::unique_ptr<TargetRun> &runOf(RunRole role)
    {
        return role == RunRole::Replacement ? m_replacement : m_run;
    }
    // The run with this attempt. Attempts of other runs have been cancelled and report nothing.
    [[nodiscard]] RunRole roleOf(const TargetAttempt &) const;
    // Target of the current run, for the log; empty if there is none.
    [[nodiscard]] std::string targetName() const { return m_run ? m_run->target().value() : ""; }
    [[nodiscard]] TargetRequirements requirements() const;
    // For the holder of a copy of a run on the target.
    [[nodiscard]] TargetRequirements copyRequirements(const TargetId &) const;
    // Chooses which versions the next attempt may use.
    void chooseVersions();
    // Lets the attempt use targets of the old version, if it was to use the new one. False if it may not.
    bool fallBackToBaseline();
    // Whether the run may resume at the target rather than at one of another version.
    [[nodiscard]] bool mayResumeAt(const ForwardingTarget &) const;
    [[nodiscard]] RequestRank rank() const { return RequestRank::of(*m_routed.route, m_routed.workspace); }
    // Share of the targets' capacity that more urgent requests of the service take.
    [[nodiscard]] double moreUrgentShare(const ExpectedStart &, absl::Time now) const;
    // When the caller should return after a refusal for lack of time or room; empty for other refusals.
    [[nodiscard]] std::optional<PlannedReturn> planReturn(RefusalReason, absl::Time now) const;
    // Chooses the target of the attempt and sends it there, or reports that there is none.
    void sendToAnyTarget(const ForwardingActions::StartAttempt &);
    void sendToTarget(const ForwardingTarget &, const ForwardingActions::StartAttempt &,
                      const std::optional<CopySource> &);
    // What follows if the permit is denied.
    enum class PermitDenial { TryOtherTargets, Refuse };
    // Sends the attempt to the limited target when a permit is granted.
    void sendWithPermit(const TargetLimit &, const ForwardingActions::StartAttempt &,
                        const std::optional<CopySource> &, absl::Duration maxWait, PermitDenial);
    // The attempt waits for a limited target if a permit is expected in time. False if none is.
    [[nodiscard]] bool tryWaitForPermit(const ForwardingActions::StartAttempt &);
    void permitGranted(const TargetProcess &, const ForwardingActions::StartAttempt &,
                       const std::optional<CopySource> &);
    void permitDenied(const TargetProcess &, const ForwardingActions::StartAttempt &, absl::Duration delay,
                      PermitDenial);
    // How long this request may wait for a permit.
    [[nodiscard]] absl::Duration permitPatience(absl::Time now) const;
    [[nodiscard]] std::optional<TargetId> chooseTarget(RunRole, absl::Time now);
    // With the versions that were chosen.
    [[nodiscard]] std::optional<TargetId> chooseAllowedTarget(RunRole, absl::Time now) const;
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
    // off or limits its requests is sent none, which counts as not connected.
    void sendControlRequest(const ForwardingTarget &, const ControlRequest &, HttpCallHandler);
    // The same without a check whether the target takes requests.
    void sendPermittedControlRequest(const ForwardingTarget &, const ControlRequest &, HttpCallHandler);
    // Adds the request's load to the run's target and, if the route uses copies, to a copy holder.
    void reserveLoad(TargetRun &);
    void completeStream(RunRole);
    void completeResponse(RunRole, HttpResponse);
    // An answer that ended with its connection, which the end of the target's process looks like, too.
    struct UnframedAnswer
    {
        std::weak_ptr<TargetAttempt> attempt;
        TargetProcess process;
        // Completes the run with the answer.
        std::function<void(ForwardSession &, RunRole)> complete;
        int checks{0};
    };
    // Completes the answer if the process that sent it still runs, and else counts the attempt as lost.
    void completeIfTargetRuns(const TargetAttempt &, std::function<void(ForwardSession &, RunRole)> complete);
    void verify(const std::shared_ptr<UnframedAnswer> &);
    // A target that may not be asked, or has no status, is only connected to.
    void verifyByConnecting(const std::shared_ptr<UnframedAnswer> &);
    void answerVerified(const UnframedAnswer &, TargetIdentity);
    void runLost(RunRole, TargetFault);
    // Asks the target of a run that was given up to stop it, until it is known to be over, since targets may
    // notice late, or not at all, that a connection has closed. Ends with the request: nothing goes on
    // elsewhere then.
    void stopAbandonedRun(const TargetRun &);
    void handleStopEvent(const RunStopEvent &);
    void perform(const RunStopActions::AskToStop &);
    void perform(const RunStopActions::AskForReport &);
    void perform(const RunStopActions::RunSettled &);
    void perform(const RunStopActions::SetTimer &);
    // The run's target can be asked to stop it if the request goes on elsewhere.
    [[nodiscard]] bool canStopRuns() const;
    // Why the target can't be asked to stop a run when this is due. Takes one of its few urgent requests for
    // that if it backs off.
    [[nodiscard]] StopObstacle reserveStop(const TargetProcess &);
    // Reserves what a stop of the suspected run needs, for the case that it is given up for a replacement.
    // False if the replacement has to wait for that. A run that has been silent for too long needs none.
    [[nodiscard]] bool tryReserveStopBeforeReplacement(const TargetRun &);
    // The same at the given time for a target that backs off. True if it does not.
    [[nodiscard]] bool tryReserveUrgentRequest(const TargetProcess &, absl::Time at);
    [[nodiscard]] bool hasReservedPermit(const TargetProcess &) const;
    // The suspected run goes on.
    void releaseReservedPermit();
    // Uses the reservation of a stop at the process if it still holds.
    struct ReservedStop;
    [[nodiscard]] std::optional<ReservedStop> takeReservedStop(const TargetProcess &);
    // Sends the request as soon as the target takes one, or reports when that is. `isUrgent` requests may be
    // sent to a target that backs off.
    void askWhenAllowed(const TargetProcess &, bool isUrgent, std::function<void(ForwardSession &)> send);
    // The same without a check of the target's limit. Returns whether it was sent.
    bool askUnlessBackingOff(const TargetProcess &, bool isUrgent,
                             const std::function<void(ForwardSession &)> &send);
    void delayStop(const TargetProcess &, absl::Time until, std::string_view reason);
    void askToStop(const TargetProcess &, int number);
    void askForReport(const TargetProcess &);
    void stopAnswered(const TargetProcess &, int number, const HttpCallResult &, absl::Time askedAt);
    // Time between two requests for a run that may not exist, which leaves most of the target's limit to
    // others. Zero without a limit.
    [[nodiscard]] absl::Duration limitInterval(const TargetId &) const;
    // Address of another target, which requests to stop a run name. Empty if there is none.
    [[nodiscard]] std::string addressBeside(const TargetProcess &);
    // Keeps the attempt until abandoned runs are stopped. False if it may start now.
    [[nodiscard]] bool tryHold(const ForwardingActions::StartAttempt &);
    // Sends the attempt that was held if it need not wait any longer.
    void sendHeldAttempt();
    // The request has ended, and nothing goes on elsewhere.
    void endStops();
    // For how long an attempt may be held.
    [[nodiscard]] static absl::Duration longestHold(const RouteSpec &);
    // Whether the target may be sent a control request now. Takes a permit if it limits its requests.
    [[nodiscard]] bool maySendControlRequest(const TargetId &);
    // Records the end of a run and, if another run of the request was at work beside it, of their overlap.
    void noteRunEnd(RunRole, std::string_view reason);
    // Records that the run has ended before its target had written for long.
    void noteLostRun(const TargetRun &);
    // Records that the current run's target writes on the prompt and lives on.
    void noteSurvival(absl::Time now);
    // How long requests with this prompt are barred; empty if this one may run.
    [[nodiscard]] std::optional<absl::Duration> barTime(absl::Time now) const;
    [[nodiscard]] ServicePerformance &performance() const;
    void recordFirstEvent(const TargetRun &, absl::Time now);
    // Counts the prompt tokens of a run that has ended if they were processed for nothing.
    void countWaste(const TargetRun &, RunRole, std::string_view reason, absl::Time now);
    void countWaste(PromptWaste, std::int64_t promptTokens);
    // The request's rank and the reason, as labels of a metric.
    void countRefusal(RefusalReason);
    // The stream goes on after an interruption.
    void recordResumption(const TargetRun &, absl::Time now);
    void recordCompletedStream(const TargetRun &, absl::Time now);
    void noteFault(const TargetRun &, TargetFault);
    // Samples of answers, by which versions are compared. Streams have one of the first event, and one of the
    // rate of the others.
    enum class SampledPart { Answer, StreamRate };
    void sampleAnswer(const TargetRun &, SampledPart, AnswerSample);
    void sampleResponse(const TargetRun &, int status, absl::Time now);
    void sampleFirstEvent(const TargetRun &, absl::Time now);
    void sampleRate(const TargetRun &, absl::Time now);
    void sampleLoss(const TargetRun &, TargetFault);
    // A run that was cancelled without an answer was at least that slow.
    void sampleCancelledRun(const TargetRun &, RunRole, absl::Time now);
    void finish(std::string_view outcome, int status);
    void log(std::string_view event, nlohmann::json fields) const;

    GatewayContext &m_gatewayContext;
    std::shared_ptr<HttpServerConnection> m_caller;
    RoutedRequest m_routed;
    ForwardedRequest m_forwardedRequest;
    boost::asio::steady_timer m_timer;
    absl::Time m_arrivedAt;
    // Null before the first attempt. A run that has ended stays until the next one starts.
    std::unique_ptr<TargetRun> m_run;
    // Runs beside `m_run`, which is suspected.
    std::unique_ptr<TargetRun> m_replacement;
    // Since when `m_run` and `m_replacement` have both been at work.
    std::optional<absl::Time> m_overlapBeganAt;
    // Set while the attempt waits for a permit.
    std::unique_ptr<PermitTicket> m_permit;
    absl::Time m_nextSurvivalAt{absl::InfiniteFuture()};
    // A target has written on this prompt and lived on, so the prompt doesn't end its targets.
    bool m_hasSurvived{false};
    KvCopyManager m_copies;
    boost::asio::steady_timer m_copyTimer;
    // The last attempt for which no replacement was found.
    int m_unreplacedAttempt{0};
    std::vector<TargetId> m_triedTargets;
    // Versions that the attempt may use which is sent next.
    VersionRule m_versions;
    RunStopper m_runStopper;
    boost::asio::steady_timer m_stopTimer;
    // Processes that copy the KV cache of a run for this request.
    std::vector<TargetProcess> m_copyingProcesses;
    // What has been taken for a stop that may follow.
    struct ReservedStop
    {
        TargetProcess process;
        // An urgent request in the backoff that ends then. The past if the target did not back off.
        absl::Time backoffEnd{absl::InfinitePast()};
        bool hasPermit{false};
    };
    // Invariant: holds each process once at most.
    std::vector<ReservedStop> m_reservedStops;
    // Requests about abandoned runs that wait for a permit.
    struct StopPermit
    {
        TargetProcess process;
        std::unique_ptr<PermitTicket> ticket;
    };
    std::vector<StopPermit> m_stopPermits;
    // Waits until abandoned runs are stopped.
    std::optional<ForwardingActions::StartAttempt> m_heldAttempt;
    absl::Time m_heldSince;
    // Handle of the latest copy that an attempt goes on from.
    std::string m_usedCopyHandle;
    // The latest complete response of a target.
    HttpResponse m_response;
    bool m_isOutcomeLogged{false};
    std::optional<absl::Time> m_interruptedAt;
    // Time of the last event sent to the caller; unset before the first one.
    std::optional<absl::Time> m_lastEventAt;
    absl::Duration m_longestGap;
};

} // namespace Wisteria
