// Executes the actions that ForwardedRequest decides on.

#include <LibGateway/ForwardSession.h>

#include <LibCore/Views.h>
#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/post.hpp>

#include <absl/strings/str_cat.h>

namespace Wisteria {

namespace detail {

// FIXME: Unused. Meant as the time without an event after which a stream counts as lost when another request
// reports its target as silent; idle engines send an event every 30 to 70 ms.
constexpr absl::Duration suspectStreamSilence = absl::Milliseconds(150);
// Fraction of the prompt that a target still processes when it resumes from a copy.
constexpr double prefillFractionFromCopy = 0.1;
constexpr int firstServerError = 500;
constexpr absl::Duration survivalReportInterval = absl::Milliseconds(500);

std::string_view routeKindName(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Idempotent:
        return "idempotent";
    case RouteKind::AtMostOnce:
        return "once";
    case RouteKind::ResumableStream:
        return "resumable_stream";
    case RouteKind::AtMostOnceStream:
        return "single_run_stream";
    }
    return "unknown";
}

ForwardingParameters makeForwardingParameters(const RoutedRequest &routed)
{
    ForwardingParameters forwardingParameters;
    forwardingParameters.kind = routed.route->kind;
    forwardingParameters.maxAttempts = routed.route->maxAttempts;
    forwardingParameters.routeTimeout = routed.route->timeout;
    forwardingParameters.callerTimeout = routed.request.callerTimeout.value_or(routed.route->timeout);
    forwardingParameters.latencyObjective = routed.route->latencyObjective;
    forwardingParameters.maxEventGap = routed.route->maxEventGap;
    forwardingParameters.size = routed.request.size;
    forwardingParameters.lastEvent = routed.request.lastEvent;
    forwardingParameters.usesCopies =
        forwardingParameters.kind == RouteKind::ResumableStream && routed.service->engine.supportsCopies;
    return forwardingParameters;
}

} // namespace detail

void setRetryAfter(HttpResponse &response, absl::Duration after, RandomSource &random,
                   absl::Duration earliest)
{
    auto shortest = after * (1 - retryJitter);
    if (earliest <= after)
        shortest = std::max(shortest, earliest);
    const auto delay = after - (after - shortest) * random.fraction();
    response.head.fields.set("Retry-After", absl::StrCat(absl::ToDoubleSeconds(delay)));
}

ForwardSession::ForwardSession(GatewayContext &gatewayContext, std::shared_ptr<HttpServerConnection> caller,
                               RoutedRequest routed, RetryGate &gate, absl::Time now)
    : m_gatewayContext(gatewayContext), m_caller(std::move(caller)), m_routed(std::move(routed)),
      m_forwardedRequest(detail::makeForwardingParameters(m_routed), gate, now),
      m_timer(gatewayContext.context), m_arrivedAt(now), m_copyTimer(gatewayContext.context),
      m_runStopper(longestHold(*m_routed.route)), m_stopTimer(gatewayContext.context)
{
}

ForwardSession::~ForwardSession() = default;

void ForwardSession::start()
{
    m_caller->setCallerLeftHandler([self = shared_from_this()] {
        self->handle(ForwardingEvents::CallerDisconnected{});
        self->finish("caller_left", 0);
    });
    m_gatewayContext.admissions[m_routed.service->name].demand.record(
        rank(), m_routed.request.size.promptTokens, m_arrivedAt);
    perform(m_forwardedRequest.begin(m_arrivedAt));
}

void ForwardSession::stopNow()
{
    handle(ForwardingEvents::ShutdownRequested{});
}

void ForwardSession::targetFailed(const TargetProcess &process, TargetFault fault)
{
    if (fault != TargetFault::ConnectionLost)
        handleCopyEvent(KvCopyEvents::TargetLost{process.id});
    if (fault == TargetFault::Refused || fault == TargetFault::Gone)
        handleStopEvent(RunStopEvents::TargetUnreachable{process});
    const auto role =
        m_replacement && m_replacement->target() == process.id ? RunRole::Replacement : RunRole::Current;
    const auto *run = runOf(role).get();
    if (!run || run->hasEnded() || run->target() != process.id || run->process().isLaterThan(process))
        return;
    if (fault == TargetFault::Gone) {
        // The generation ended with the target's process, even if no connection reset was received.
        runLost(role, fault);
        return;
    }
    if (!isRetryable(m_routed.route->kind))
        return;
    const auto probe = [self = shared_from_this(), attempt = std::weak_ptr(run->attempt())] {
        if (const auto running = attempt.lock(); running && !self->isFinished())
            self->perform(ForwardingActions::ProbeTarget{self->roleOf(*running)});
    };
    boost::asio::post(m_gatewayContext.context, probe);
}

RunRole ForwardSession::roleOf(const TargetAttempt &attempt) const
{
    return m_replacement && m_replacement->attempt().get() == &attempt ? RunRole::Replacement
                                                                       : RunRole::Current;
}

void ForwardSession::handle(const ForwardingEvent &event)
{
    perform(m_forwardedRequest.handle(event, monotonicNow()));
}

void ForwardSession::perform(const ForwardingActionList &actions)
{
    for (const auto &it : actions) {
        // Writing to the caller may show that it has left, which ends the request.
        if (m_isOutcomeLogged)
            return;
        std::visit([this](const auto &action) { perform(action); }, it);
    }
}

TargetRequirements ForwardSession::requirements() const
{
    TargetRequirements requirements;
    requirements.service = m_routed.service->name;
    requirements.isModelService = m_routed.service->isModelService;
    requirements.engine = m_routed.service->engine;
    requirements.size = m_routed.request.size;
    requirements.exclude = m_triedTargets;
    requirements.runsAtMostOnce = !isRetryable(m_routed.route->kind);
    requirements.versions = m_versions;
    if (isStream(m_routed.route->kind))
        requirements.maxEventGap = m_routed.route->maxEventGap;
    return requirements;
}

void ForwardSession::perform(const ForwardingActions::StartAttempt &action)
{
    if (tryHold(action))
        return;
    // A replacement was found with versions that have been chosen already.
    if (action.role == RunRole::Current)
        chooseVersions();
    const auto source = action.fromCopy ? findUsableCopy() : std::nullopt;
    const auto copy = m_copies.copy();
    runOf(action.role).reset();
    if (!m_hasSurvived) {
        if (const auto barTime =
                m_gatewayContext.promptGuard.admit(m_routed.request.sharedParts, monotonicNow())) {
            handle(ForwardingEvents::AttemptBarred{*barTime, action.role});
            return;
        }
    }
    if (!source && action.role == RunRole::Current && !canFinishInTime(action.number, action.timeLeft)) {
        handle(ForwardingEvents::NoTimeLeft{action.role});
        return;
    }
    const auto *holder = source ? m_gatewayContext.targets.find(copy->holder) : nullptr;
    if (holder)
        sendToTarget(*holder, action, source);
    else
        sendToAnyTarget(action);
}

void ForwardSession::sendToAnyTarget(const ForwardingActions::StartAttempt &action)
{
    const auto now = monotonicNow();
    const auto target = chooseTarget(action.role, now);
    if (const auto *record = target ? m_gatewayContext.targets.find(*target) : nullptr) {
        sendToTarget(*record, action, std::nullopt);
        return;
    }
    if (action.role == RunRole::Current && tryWaitForPermit(action))
        return;
    const auto available =
        m_gatewayContext.targets.earliestAvailability(m_routed.service->name, now, m_versions);
    handle(
        ForwardingEvents::NoTarget{.backoff = available ? std::optional(available->at - now) : std::nullopt,
                                   .isLimited = available && available->isLimited,
                                   .role = action.role});
}

void ForwardSession::sendToTarget(const ForwardingTarget &record,
                                  const ForwardingActions::StartAttempt &action,
                                  const std::optional<CopySource> &source)
{
    if (const auto *limit = m_gatewayContext.targets.limitOf(record.id)) {
        sendWithPermit(*limit, action, source, absl::ZeroDuration(), PermitDenial::TryOtherTargets);
        return;
    }
    sendTo(record, action, source);
}

void ForwardSession::perform(const ForwardingActions::FindReplacement &action)
{
    const auto now = monotonicNow();
    chooseVersions();
    // An answer that waits for room would need even more of it beside a replacement's.
    const bool isWaiting = m_run && m_run->attempt() && m_run->attempt()->isWaitingForRoom();
    const bool maySearch = !isWaiting && !barTime(now);
    bool isFound = maySearch && action.fromCopy && findUsableCopy();
    if (maySearch && !isFound && action.mayRecompute && canFinishInTime(action.number, action.timeLeft)) {
        const auto target = chooseTarget(RunRole::Replacement, now);
        isFound = target && m_gatewayContext.targets.isHealthy(*target, now);
    }
    if (isFound && (!m_run || tryReserveStopBeforeReplacement(*m_run))) {
        handle(ForwardingEvents::ReplacementFound{});
        return;
    }
    m_gatewayContext.metrics.increment("replacements_missing_total", "");
    // The search is repeated while the target is silent.
    if (std::exchange(m_unreplacedAttempt, action.number) != action.number)
        log("no_replacement", {{"number", action.number}, {"target", targetName()}});
    handle(ForwardingEvents::NoReplacement{});
}

void ForwardSession::sendTo(const ForwardingTarget &record, const ForwardingActions::StartAttempt &action,
                            const std::optional<CopySource> &source)
{
    const auto now = monotonicNow();
    m_triedTargets.push_back(record.id);
    const auto load = m_gatewayContext.targets.loadOf(record.id, now);
    const auto *limit = m_gatewayContext.targets.limitOf(record.id);
    const auto wait = m_gatewayContext.targets.expectedWait(record.id, requirements(), now);
    const auto speed = m_gatewayContext.targets.speedOf(record.id);
    const auto prefillTime = speed.timeFor(performance().prefillTime(m_routed.request.size.promptTokens));
    handle(ForwardingEvents::AttemptSent{wait + prefillTime, action.role});
    auto &run = runOf(action.role);
    run = std::make_unique<TargetRun>(
        m_gatewayContext, record,
        TargetRun::Origin{.isFromCopy = source.has_value(),
                          .wasTargetIdle = load.pendingPrefillTokens == 0,
                          .number = action.number,
                          .isAtMostOnce = !isRetryable(m_routed.route->kind),
                          // A version that is slow must not count as expected to be slow.
                          .expectedTime = speed.ratio() * (wait + prefillTime),
                          .expectedWait = wait,
                          .prefillTime = prefillTime},
        now);
    reserveLoad(*run);
    if (m_routed.service->isModelService && action.number > 1 && action.lastEvent && !source)
        countWaste(PromptWaste::ResumedWithoutCopy, m_routed.request.size.promptTokens);
    if (action.role == RunRole::Replacement) {
        m_gatewayContext.metrics.increment("replacements_total", R"(outcome="started")");
        m_overlapBeganAt = now;
    }
    if (action.role == RunRole::Current)
        handleCopyEvent(KvCopyEvents::AttemptStarted{run->copyHolder()});
    AttemptParameters parameters;
    parameters.target = record.id;
    parameters.timeLeft = action.timeLeft;
    if (m_routed.workspace)
        parameters.workspace = m_routed.workspace->name;
    parameters.lastEvent = action.lastEvent;
    parameters.resumeFrom = source;
    m_usedCopyHandle = source ? source->handle : "";
    parameters.priority = rank().value();
    if (run->copyHolder()) {
        if (const auto *holder = m_gatewayContext.targets.find(*run->copyHolder()))
            parameters.copyHolder = holder->address;
    }
    HttpFields fields = m_routed.message.base();
    removeConnectionFields(fields, m_gatewayContext.dialect);
    m_gatewayContext.dialect.writeTargetFields(fields, m_routed.request, parameters);
    const auto method = m_routed.message.method_string();
    const auto target = m_routed.message.target();
    const auto attempt =
        std::make_shared<TargetAttempt>(m_gatewayContext.dialect, m_routed.request.id, *this);
    attempt->setLastEvent(action.lastEvent);
    run->setAttempt(attempt);
    log("attempt",
        {{"number", action.number},
         {"target", record.id.value()},
         {"domain", record.domain.value()},
         {"replaces", action.role == RunRole::Replacement ? targetName() : ""},
         {"from_copy", source.has_value()},
         {"copy_handle", source ? source->handle : ""},
         {"copy_holder", run->copyHolder() ? run->copyHolder()->value() : ""},
         {"last_event", action.lastEvent ? action.lastEvent->value() : 0},
         {"load_requests", load.requests},
         {"load_unread", load.pendingPrefillTokens},
         {"load_memory", load.memoryTokens},
         {"limit_per_second", limit ? limit->rate->requestsPerSecond() : 0},
         {"limit_known_ms", limit ? absl::ToInt64Milliseconds(now - limit->firstNamedAt) : 0},
         {"time_left_ms", absl::ToInt64Milliseconds(action.timeLeft)}});
    auto connection = m_gatewayContext.connections.take(record, now);
    if (!connection) {
        boost::asio::post(m_gatewayContext.context,
                          [self = shared_from_this(), weak = std::weak_ptr(attempt)] {
                              const auto running = weak.lock();
                              if (running && !self->isFinished())
                                  self->attemptNotRun(*running, TargetFault::Unreachable, false);
                          });
        return;
    }
    attempt->start(std::move(connection),
                   serializeRequestHead({method.data(), method.size()}, {target.data(), target.size()},
                                        fields, m_routed.message.body().size()),
                   TargetConnections::connectTimeout,
                   std::shared_ptr<const std::string>(shared_from_this(), &m_routed.message.body()));
}

void ForwardSession::reserveLoad(TargetRun &run)
{
    const auto &size = m_routed.request.size;
    run.reserve({.requests = 1,
                 .pendingPrefillTokens = run.origin().isFromCopy
                     ? static_cast<std::int64_t>(detail::prefillFractionFromCopy
                                                 * static_cast<double>(size.promptTokens))
                     : size.promptTokens,
                 .memoryTokens = size.memoryTokens()});
    if (m_routed.route->kind != RouteKind::ResumableStream || !m_routed.service->engine.supportsCopies)
        return;
    run.reserveCopy(m_gatewayContext.targets.chooseCopyHolder(copyRequirements(run.target()), run.target(),
                                                              monotonicNow()),
                    size.memoryTokens());
    m_gatewayContext.loadChanged();
}

void ForwardSession::noteSurvival(absl::Time now)
{
    m_nextSurvivalAt = now + detail::survivalReportInterval;
    m_hasSurvived = true;
    m_gatewayContext.promptGuard.runSurvived(m_routed.request.sharedParts, now);
}

std::optional<absl::Duration> ForwardSession::barTime(absl::Time now) const
{
    if (m_hasSurvived)
        return std::nullopt;
    return m_gatewayContext.promptGuard.barOf(m_routed.request.sharedParts, now);
}

void ForwardSession::promptsBarred()
{
    const auto time = barTime(monotonicNow());
    if (!time)
        return;
    for (const auto role : {RunRole::Replacement, RunRole::Current}) {
        if (const auto *run = runOf(role).get(); run && !run->firstEventAt())
            handle(ForwardingEvents::RunBarred{*time, role});
    }
}

void ForwardSession::attemptReached(const TargetAttempt &attempt)
{
    handle(ForwardingEvents::AttemptReached{roleOf(attempt)});
}

void ForwardSession::headReceived(const TargetAttempt &attempt, const HttpResponseHead &head)
{
    const auto &run = *runOf(roleOf(attempt));
    m_gatewayContext.notices->record(run.process(), head, run.sentAt(), monotonicNow());
}

void ForwardSession::streamOpened(const TargetAttempt &attempt, const HttpResponseHead &head)
{
    const auto role = roleOf(attempt);
    runOf(role)->setStreamHead(head, monotonicNow());
    handle(ForwardingEvents::StreamOpened{role});
}

void ForwardSession::eventsReceived(const TargetAttempt &attempt, const std::vector<RawEvent> &events)
{
    const auto now = monotonicNow();
    const auto role = roleOf(attempt);
    auto &run = *runOf(role);
    m_gatewayContext.targets.recordSuccess(run.target());
    if (run.recordEvents(events.size(), now))
        recordFirstEvent(run, now);
    if (const auto written = run.takeDecodingWindow(TargetSpeeds::decodingWindow, now)) {
        m_gatewayContext.targets.speeds().recordDecoding(run.process(), m_routed.service->name,
                                                         written->events, written->duration, now);
    }
    if (now >= m_nextSurvivalAt)
        noteSurvival(now);
    if (m_lastEventAt)
        m_longestGap = std::max(m_longestGap, now - *m_lastEventAt);
    m_lastEventAt = now;
    if (m_interruptedAt && m_forwardedRequest.hasResponseStarted())
        recordResumption(run, now);
    m_interruptedAt.reset();
    handle(ForwardingEvents::EventsReceived{*events.back().number, role});
    handleCopyEvent(KvCopyEvents::FirstEventReceived{});
    std::string bytes;
    for (const auto &it : events)
        bytes += it.bytes;
    m_caller->writeStream(bytes);
}

void ForwardSession::streamEnded(const TargetAttempt &attempt, AnswerEnd end)
{
    if (end == AnswerEnd::Framed)
        completeStream(roleOf(attempt));
    else
        completeIfTargetRuns(attempt, [](ForwardSession &self, RunRole role) { self.completeStream(role); });
}

void ForwardSession::completeStream(RunRole role)
{
    const auto &run = *runOf(role);
    recordCompletedStream(run, monotonicNow());
    if (run.firstEventAt())
        noteSurvival(monotonicNow());
    handle(ForwardingEvents::StreamCompleted{role});
}

void ForwardSession::responseReceived(const TargetAttempt &attempt, HttpResponse response, AnswerEnd end)
{
    if (end == AnswerEnd::Framed) {
        completeResponse(roleOf(attempt), std::move(response));
        return;
    }
    completeIfTargetRuns(attempt, [response = std::move(response)](ForwardSession &self, RunRole role) {
        self.completeResponse(role, response);
    });
}

void ForwardSession::completeResponse(RunRole role, HttpResponse response)
{
    const auto &run = *runOf(role);
    sampleResponse(run, response.head.status, monotonicNow());
    if (response.head.status < detail::firstServerError) {
        m_gatewayContext.targets.recordSuccess(run.target());
        if (!isStream(m_routed.route->kind)) {
            const auto now = monotonicNow();
            performance().recordPlainResponse(now - run.sentAt());
            m_gatewayContext.targets.speeds().recordPlainResponse(run.process(), m_routed.service->name,
                                                                  now - run.sentAt(), now);
        }
    } else {
        m_gatewayContext.targets.recordFault(run.process(), TargetFault::InvalidResponse, monotonicNow());
    }
    const int status = response.head.status;
    m_response = std::move(response);
    removeConnectionFields(m_response.head.fields, m_gatewayContext.dialect);
    // A plain answer can't continue a stream that has started.
    if (status >= detail::firstServerError || m_forwardedRequest.hasResponseStarted()) {
        noteRunEnd(role, "failed");
        if (role == RunRole::Replacement)
            m_replacement.reset();
    }
    handle(ForwardingEvents::ResponseReceived{status, role});
}

void ForwardSession::perform(const ForwardingActions::StartResponse &)
{
    m_gatewayContext.metrics.observe("first_event_seconds", "", monotonicNow() - m_arrivedAt);
    log("answering",
        {{"target", targetName()},
         {"after_ms", absl::ToInt64Milliseconds(monotonicNow() - m_arrivedAt)},
         {"parts", partNames(m_routed.request.sharedParts)}});
    m_caller->openStream(*m_run->streamHead());
}

void ForwardSession::perform(const ForwardingActions::CompleteStream &)
{
    // The caller may turn out to have left, which ends the run.
    const int status = m_run->streamHead()->status;
    m_caller->endStream();
    finish("complete", status);
}

void ForwardSession::perform(const ForwardingActions::SendResponse &)
{
    const int status = m_response.head.status;
    m_caller->respond(std::move(m_response));
    finish("complete", status);
}

void ForwardSession::perform(const ForwardingActions::Refuse &action)
{
    countRefusal(action.reason);
    auto response = makeResponse(action.status, "text/plain", "");
    const auto planned = action.retryAfter ? planReturn(action.reason, monotonicNow()) : std::nullopt;
    if (planned)
        setRetryAfter(response, planned->latest, m_gatewayContext.random, planned->earliest);
    else if (action.retryAfter)
        setRetryAfter(response, *action.retryAfter, m_gatewayContext.random, action.earliestRetry);
    m_caller->respond(response);
    finish(refusalReasonName(action.reason), action.status);
}

void ForwardSession::perform(const ForwardingActions::AbortResponse &action)
{
    m_caller->abort();
    finish(refusalReasonName(action.reason), 0);
}

void ForwardSession::perform(const ForwardingActions::SetTimer &action)
{
    if (m_forwardedRequest.isFinished())
        return;
    m_timer.expires_after(
        absl::ToChronoNanoseconds(std::max(action.at - monotonicNow(), absl::ZeroDuration())));
    m_timer.async_wait([self = shared_from_this()](const auto &ec) {
        if (!ec)
            self->handle(ForwardingEvents::Tick{});
    });
}

void ForwardSession::finish(std::string_view outcome, int status)
{
    if (std::exchange(m_isOutcomeLogged, true))
        return;
    m_timer.cancel();
    m_copyTimer.cancel();
    m_permit.reset();
    endStops();
    handleCopyEvent(KvCopyEvents::AttemptEnded{});
    for (const auto role : {RunRole::Replacement, RunRole::Current})
        noteRunEnd(role, outcome);
    m_replacement.reset();
    m_run.reset();
    m_gatewayContext.metrics.increment("requests_total",
                                       absl::StrCat("kind=\"",
                                                    abslView(detail::routeKindName(m_routed.route->kind)),
                                                    "\",outcome=\"", abslView(outcome), "\""));
    m_gatewayContext.metrics.observe(
        "request_seconds",
        absl::StrCat("kind=\"", abslView(detail::routeKindName(m_routed.route->kind)), "\""),
        monotonicNow() - m_arrivedAt);
    log("finished",
        {{"outcome", outcome},
         {"status", status},
         {"attempts", m_triedTargets.size()},
         {"longest_gap_ms", absl::ToInt64Milliseconds(m_longestGap)},
         {"after_ms", absl::ToInt64Milliseconds(monotonicNow() - m_arrivedAt)}});
    m_gatewayContext.sessionEnded(shared_from_this());
}

void ForwardSession::log(std::string_view event, nlohmann::json fields) const
{
    fields["request"] = m_routed.request.id.value();
    fields["route"] = m_routed.route->name;
    fields["config_version"] = m_routed.table->version().value();
    m_gatewayContext.log.write(event, std::move(fields), monotonicNow());
}

} // namespace Wisteria
