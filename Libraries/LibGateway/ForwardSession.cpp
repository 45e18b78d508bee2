// Executes the actions that ForwardedRequest decides on.

#include <LibGateway/ForwardSession.h>

#include <LibCore/Views.h>
#include <LibForwarding/DeadlineAdmission.h>
#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/post.hpp>

#include <absl/strings/str_cat.h>

namespace Wisteria {

namespace detail {

// FIXME: Unused. Meant as the time without an event after which a stream counts as lost when another request
// reports its target as silent; idle engines send an event every 30 to 70 ms.
constexpr absl::Duration suspectStreamSilence = absl::Milliseconds(150);
// A single connect timeout may be caused by a lost packet; the target is suspected after this many in a row.
constexpr int maxProbeAttempts = 2;
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
      m_timer(gatewayContext.context), m_arrivedAt(now), m_copyTimer(gatewayContext.context)
{
}

ForwardSession::~ForwardSession()
{
    if (m_attempt)
        m_attempt->cancel();
    releaseLoad();
}

void ForwardSession::start()
{
    m_caller->setCallerLeftHandler([self = shared_from_this()] {
        self->handle(ForwardingEvents::CallerDisconnected{});
        self->finish("caller_left", 0);
    });
    perform(m_forwardedRequest.begin(m_arrivedAt));
}

void ForwardSession::stopNow()
{
    handle(ForwardingEvents::ShutdownRequested{});
}

void ForwardSession::targetFailed(const TargetId &id, TargetFault fault)
{
    if (fault != TargetFault::ConnectionLost)
        handleCopyEvent(KvCopyEvents::TargetLost{id});
    if (m_target != id || !m_attempt)
        return;
    if (fault == TargetFault::Gone) {
        // The generation ended with the target's process, even if no connection reset was received.
        m_attempt->cancel();
        attemptLost(fault);
        return;
    }
    if (!isRetryable(m_routed.route->kind))
        return;
    const auto probe = [self = shared_from_this(), attempt = m_attempt.get()] {
        if (self->m_attempt.get() == attempt)
            self->perform(ForwardingActions::ProbeTarget{});
    };
    boost::asio::post(m_gatewayContext.context, probe);
}

void ForwardSession::handle(const ForwardingEvent &event)
{
    perform(m_forwardedRequest.handle(event, monotonicNow()));
}

void ForwardSession::perform(const ForwardingActionList &actions)
{
    for (const auto &it : actions)
        std::visit([this](const auto &action) { perform(action); }, it);
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
    return requirements;
}

void ForwardSession::perform(const ForwardingActions::StartAttempt &action)
{
    const auto source = action.fromCopy ? findUsableCopy() : std::nullopt;
    const auto holder = m_copies.copy();
    releaseLoad();
    if (const auto barTime =
            m_gatewayContext.promptGuard.admit(m_routed.request.sharedParts, monotonicNow())) {
        handle(ForwardingEvents::AttemptBarred{*barTime});
        return;
    }
    if (!source && !action.isReplacement && !canFinishInTime(action.number, action.timeLeft)) {
        handle(ForwardingEvents::NoTimeLeft{});
        return;
    }
    const auto target = source ? std::optional(holder->holder)
                               : m_gatewayContext.targets.choose(requirements(), monotonicNow());
    const auto *record = target ? m_gatewayContext.targets.find(*target) : nullptr;
    if (!record) {
        const auto now = monotonicNow();
        const auto end = m_gatewayContext.targets.earliestBackoffEnd(m_routed.service->name, now);
        handle(ForwardingEvents::NoTarget{.backoff = end ? std::optional(*end - now) : std::nullopt});
        return;
    }
    m_triedTargets.push_back(*target);
    sendTo(*record, action, source);
}

void ForwardSession::perform(const ForwardingActions::FindReplacement &action)
{
    const auto now = monotonicNow();
    const bool isBarred = m_gatewayContext.promptGuard.barOf(m_routed.request.sharedParts, now).has_value();
    bool isFound = !isBarred && action.fromCopy && findUsableCopy();
    if (!isBarred && !isFound && canFinishInTime(action.number, action.timeLeft)) {
        const auto target = m_gatewayContext.targets.choose(requirements(), now);
        isFound = target && m_gatewayContext.targets.isHealthy(*target, now);
    }
    if (isFound) {
        handle(ForwardingEvents::ReplacementFound{});
        return;
    }
    m_gatewayContext.metrics.increment("replacements_missing_total", "");
    // The search is repeated while the target is silent.
    if (std::exchange(m_unreplacedAttempt, action.number) != action.number)
        log("no_replacement", {{"number", action.number}, {"target", m_target ? m_target->value() : ""}});
    handle(ForwardingEvents::NoReplacement{});
}

bool ForwardSession::canFinishInTime(int attemptNumber, absl::Duration timeLeft)
{
    // A stream that is resumed may be shorter than the caller's estimate, so it is never refused here.
    if (!m_routed.service->isModelService || m_forwardedRequest.lastEvent())
        return true;
    const auto backlog = m_gatewayContext.targets.backlog(requirements(), monotonicNow());
    // Without a healthy target, the pool chooses a suspect one or none.
    if (backlog == absl::InfiniteDuration())
        return true;
    const auto &size = m_routed.request.size;
    const auto prefillTime = performance().prefillTime(size.promptTokens);
    const auto decodeTime = performance().decodeTime(size.expectedOutputTokens);
    const bool canFinishInTime = DeadlineAdmission::canFinishInTime(
        {.backlog = backlog, .prefillTime = prefillTime, .decodeTime = decodeTime, .timeLeft = timeLeft});
    if (!canFinishInTime) {
        log("no_time_left",
            {{"number", attemptNumber},
             {"prompt_tokens", size.promptTokens},
             {"expected_tokens", size.expectedOutputTokens},
             {"backlog_ms", absl::ToInt64Milliseconds(backlog)},
             {"prefill_ms", absl::ToInt64Milliseconds(prefillTime)},
             {"decode_ms", absl::ToInt64Milliseconds(decodeTime)},
             {"time_left_ms", absl::ToInt64Milliseconds(timeLeft)}});
    }
    return canFinishInTime;
}

void ForwardSession::sendTo(const ForwardingTarget &record, const ForwardingActions::StartAttempt &action,
                            const std::optional<CopySource> &source)
{
    const auto now = monotonicNow();
    const auto load = m_gatewayContext.targets.loadOf(record.id, now);
    const auto wait = m_gatewayContext.targets.expectedWait(record.id, requirements(), now);
    handle(
        ForwardingEvents::AttemptSent{wait + performance().prefillTime(m_routed.request.size.promptTokens)});
    m_attemptSentAt = now;
    m_firstEventAt.reset();
    m_eventCount = 0;
    m_nextSurvivalAt = absl::InfiniteFuture();
    m_wasTargetIdle = load.pendingPrefillTokens == 0;
    m_target = record.id;
    m_targetAddress = record.address;
    m_targetProcess = record.process();
    m_isFromCopy = source.has_value();
    reserveLoad(record.id, m_isFromCopy);
    handleCopyEvent(KvCopyEvents::AttemptStarted{m_copyHolder});
    AttemptParameters parameters;
    parameters.target = record.id;
    parameters.timeLeft = action.timeLeft;
    if (m_routed.workspace)
        parameters.workspace = m_routed.workspace->name;
    parameters.lastEvent = action.lastEvent;
    parameters.resumeFrom = source;
    parameters.priority = m_routed.route->priority;
    if (m_copyHolder) {
        if (const auto *holder = m_gatewayContext.targets.find(*m_copyHolder))
            parameters.copyHolder = holder->address;
    }
    HttpFields fields = m_routed.message.base();
    removeConnectionFields(fields);
    m_gatewayContext.dialect.writeTargetFields(fields, m_routed.request, parameters);
    const auto method = m_routed.message.method_string();
    const auto target = m_routed.message.target();
    m_attempt = std::make_shared<TargetAttempt>(m_gatewayContext.dialect, m_routed.request.id, *this);
    m_attempt->setLastEvent(action.lastEvent);
    log("attempt",
        {{"number", action.number},
         {"target", record.id.value()},
         {"domain", record.domain.value()},
         {"from_copy", m_isFromCopy},
         {"copy_handle", source ? source->handle : ""},
         {"copy_holder", m_copyHolder ? m_copyHolder->value() : ""},
         {"last_event", action.lastEvent ? action.lastEvent->value() : 0},
         {"load_requests", load.requests},
         {"load_unread", load.pendingPrefillTokens},
         {"load_memory", load.memoryTokens},
         {"time_left_ms", absl::ToInt64Milliseconds(action.timeLeft)}});
    auto connection = m_gatewayContext.connections.take(record, now);
    if (!connection) {
        boost::asio::post(m_gatewayContext.context, [self = shared_from_this(), attempt = m_attempt.get()] {
            if (self->m_attempt.get() == attempt)
                self->attemptNotRun(TargetFault::Unreachable, false);
        });
        return;
    }
    m_attempt->start(std::move(connection),
                     serializeRequest({method.data(), method.size()}, {target.data(), target.size()}, fields,
                                      m_routed.message.body()),
                     TargetConnections::connectTimeout);
}

void ForwardSession::reserveLoad(const TargetId &target, bool fromCopy)
{
    const auto &size = m_routed.request.size;
    m_load = {.requests = 1,
              .pendingPrefillTokens = fromCopy
                  ? static_cast<std::int64_t>(detail::prefillFractionFromCopy
                                              * static_cast<double>(size.promptTokens))
                  : size.promptTokens,
              .memoryTokens = size.memoryTokens()};
    m_gatewayContext.targets.addLoad(target, m_load);
    if (m_routed.route->kind == RouteKind::ResumableStream && m_routed.service->engine.supportsCopies)
        reserveCopyLoad(m_gatewayContext.targets.chooseCopyHolder(requirements(), target, monotonicNow()));
    m_gatewayContext.loadChanged();
}

ServicePerformance &ForwardSession::performance() const
{
    return m_gatewayContext.targets.performance(m_routed.service->name);
}

void ForwardSession::recordFirstEvent(absl::Time now)
{
    m_firstEventAt = now;
    m_nextSurvivalAt = now + PromptQuarantine::survivalTime;
    const bool isFirstAttempt = m_triedTargets.size() == 1 && !m_routed.request.lastEvent;
    if (!isFirstAttempt)
        return;
    performance().recordPrompt(m_routed.request.size.promptTokens);
    if (m_wasTargetIdle)
        performance().recordPrefill(m_routed.request.size.promptTokens, now - m_attemptSentAt);
}

void ForwardSession::recordCompletedStream(absl::Time now)
{
    const bool isFirstAttempt = m_triedTargets.size() == 1 && !m_routed.request.lastEvent;
    if (!isFirstAttempt || !m_firstEventAt)
        return;
    performance().recordGeneration({.expectedOutputTokens = m_routed.request.size.expectedOutputTokens,
                                    .events = m_eventCount,
                                    .total = now - m_attemptSentAt,
                                    .decoding = now - *m_firstEventAt});
}

void ForwardSession::markPromptProcessed()
{
    if (m_load.pendingPrefillTokens == 0 || !m_target)
        return;
    m_gatewayContext.targets.subtractLoad(
        *m_target, {.pendingPrefillTokens = std::exchange(m_load.pendingPrefillTokens, 0)});
    m_gatewayContext.loadChanged();
}

void ForwardSession::noteSurvival(absl::Time now)
{
    m_nextSurvivalAt = now + detail::survivalReportInterval;
    m_gatewayContext.promptGuard.runSurvived(m_routed.request.sharedParts, now);
}

void ForwardSession::noteLostRun()
{
    const auto now = monotonicNow();
    if (m_target && (!m_firstEventAt || now - *m_firstEventAt < PromptQuarantine::survivalTime))
        m_gatewayContext.promptGuard.runLost(m_targetProcess, m_routed.request.sharedParts, now);
}

void ForwardSession::promptsBarred()
{
    const auto barTime = m_gatewayContext.promptGuard.barOf(m_routed.request.sharedParts, monotonicNow());
    if (barTime && m_attempt && m_target && !m_firstEventAt)
        handle(ForwardingEvents::RunBarred{*barTime});
}

void ForwardSession::releaseLoad()
{
    if (!m_target)
        return;
    m_gatewayContext.targets.subtractLoad(*m_target, std::exchange(m_load, {}));
    reserveCopyLoad(std::nullopt);
    m_target.reset();
    m_gatewayContext.loadChanged();
}

void ForwardSession::noteFault(TargetFault fault)
{
    if (!m_target)
        return;
    const auto target = *m_target;
    m_gatewayContext.targets.recordFault(target, fault, monotonicNow());
    m_gatewayContext.metrics.increment("target_faults_total",
                                       absl::StrCat("fault=\"", abslView(targetFaultName(fault)), "\""));
    log("target_fault", {{"target", target.value()}, {"fault", targetFaultName(fault)}});
    if (!m_interruptedAt)
        m_interruptedAt = monotonicNow();
    m_gatewayContext.targetFailed(target, fault);
}

void ForwardSession::headReceived(const HttpResponseHead &head)
{
    m_gatewayContext.notices->record(m_targetProcess, head, monotonicNow());
}

void ForwardSession::attemptNotRun(TargetFault fault, bool wasRefused)
{
    const bool isFull = wasRefused && fault != TargetFault::Gone;
    const bool isCopyMissing = m_isFromCopy && isFull;
    // Another process answered at the address.
    if (fault == TargetFault::Gone)
        m_gatewayContext.promptGuard.targetEnded(m_targetProcess.id, monotonicNow());
    if (!isFull)
        noteFault(fault);
    else
        log("target_full", {{"target", m_target ? m_target->value() : ""}, {"copy_missing", isCopyMissing}});
    if (isCopyMissing && m_target) {
        // A rejected resume is taken to mean that the target no longer has the copy. The target is healthy,
        // so it may process the prompt from the start.
        std::erase(m_triedTargets, *m_target);
    }
    handle(ForwardingEvents::AttemptNotExecuted{
        .fault = fault, .wasRefused = wasRefused, .isCopyMissing = isCopyMissing});
}

void ForwardSession::streamOpened(const HttpResponseHead &head)
{
    if (!m_forwardedRequest.hasResponseStarted()) {
        m_streamHead = head;
        removeConnectionFields(m_streamHead.fields);
    }
    handle(ForwardingEvents::StreamOpened{});
}

void ForwardSession::eventsReceived(const std::vector<RawEvent> &events)
{
    markPromptProcessed();
    if (m_target)
        m_gatewayContext.targets.recordSuccess(*m_target);
    if (m_interruptedAt && m_forwardedRequest.hasResponseStarted()) {
        m_gatewayContext.metrics.observe("resume_seconds", "", monotonicNow() - *m_interruptedAt);
        log("resumed",
            {{"target", m_target ? m_target->value() : ""},
             {"from_copy", m_isFromCopy},
             {"after_ms", absl::ToInt64Milliseconds(monotonicNow() - *m_interruptedAt)}});
    }
    m_interruptedAt.reset();
    const auto now = monotonicNow();
    if (!m_firstEventAt)
        recordFirstEvent(now);
    m_eventCount += static_cast<std::int64_t>(events.size());
    if (now >= m_nextSurvivalAt)
        noteSurvival(now);
    if (m_lastEventAt)
        m_longestGap = std::max(m_longestGap, now - *m_lastEventAt);
    m_lastEventAt = now;
    handle(ForwardingEvents::EventsReceived{*events.back().number});
    handleCopyEvent(KvCopyEvents::FirstEventReceived{});
    std::string bytes;
    for (const auto &it : events)
        bytes += it.bytes;
    m_caller->writeStream(bytes);
}

void ForwardSession::streamEnded(AnswerEnd end)
{
    if (end == AnswerEnd::Framed)
        completeStream();
    else
        completeStreamIfTargetRuns();
}

void ForwardSession::completeStreamIfTargetRuns()
{
    const ForwardingTarget record{.id = m_targetProcess.id, .address = m_targetProcess.address};
    m_gatewayContext.connections.probe(
        record,
        [weak = weak_from_this(), attempt = std::weak_ptr<TargetAttempt>(m_attempt)](ProbeResult result) {
            const auto session = weak.lock();
            const auto ended = attempt.lock();
            if (!session || !ended || session->m_attempt != ended || session->isFinished())
                return;
            if (result == ProbeResult::Refused)
                session->attemptLost(TargetFault::ConnectionLost);
            else
                session->completeStream();
        });
}

void ForwardSession::completeStream()
{
    recordCompletedStream(monotonicNow());
    if (m_firstEventAt)
        noteSurvival(monotonicNow());
    handle(ForwardingEvents::StreamCompleted{});
}

void ForwardSession::responseReceived(HttpResponse response)
{
    if (m_target) {
        if (response.head.status < detail::firstServerError) {
            m_gatewayContext.targets.recordSuccess(*m_target);
            if (!isStream(m_routed.route->kind))
                performance().recordPlainResponse(monotonicNow() - m_attemptSentAt);
        } else {
            m_gatewayContext.targets.recordFault(*m_target, TargetFault::InvalidResponse, monotonicNow());
        }
    }
    const int status = response.head.status;
    if (!m_forwardedRequest.hasResponseStarted()) {
        m_response = std::move(response);
        removeConnectionFields(m_response.head.fields);
    }
    handle(ForwardingEvents::ResponseReceived{status});
}

void ForwardSession::attemptLost(TargetFault fault)
{
    // Tells a request that its target ended on from one that merely ran there.
    log("attempt_lost",
        {{"target", m_target ? m_target->value() : ""},
         {"fault", targetFaultName(fault)},
         {"events", m_eventCount},
         {"writing_ms", m_firstEventAt ? absl::ToInt64Milliseconds(monotonicNow() - *m_firstEventAt) : 0},
         {"parts", partNames(m_routed.request.sharedParts)}});
    noteLostRun();
    if (fault == TargetFault::Gone)
        m_gatewayContext.promptGuard.targetEnded(m_targetProcess.id, monotonicNow());
    noteFault(fault);
    handle(ForwardingEvents::AttemptLost{fault});
}

void ForwardSession::perform(const ForwardingActions::CancelAttempt &action)
{
    if (m_attempt)
        m_attempt->cancel();
    noteLostRun();
    if (action.fault)
        noteFault(*action.fault);
}

void ForwardSession::perform(const ForwardingActions::StartResponse &)
{
    m_gatewayContext.metrics.observe("first_event_seconds", "", monotonicNow() - m_arrivedAt);
    log("answering",
        {{"target", m_target ? m_target->value() : ""},
         {"after_ms", absl::ToInt64Milliseconds(monotonicNow() - m_arrivedAt)},
         {"parts", partNames(m_routed.request.sharedParts)}});
    m_caller->openStream(m_streamHead);
}

void ForwardSession::perform(const ForwardingActions::CompleteStream &)
{
    m_caller->endStream();
    finish("complete", m_streamHead.status);
}

void ForwardSession::perform(const ForwardingActions::SendResponse &)
{
    m_caller->respond(m_response);
    finish("complete", m_response.head.status);
}

void ForwardSession::perform(const ForwardingActions::Refuse &action)
{
    auto response = makeResponse(action.status, "text/plain", "");
    if (action.retryAfter)
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

void ForwardSession::perform(const ForwardingActions::ProbeTarget &)
{
    if (!m_target || !m_attempt)
        return;
    const auto *record = m_gatewayContext.targets.find(*m_target);
    if (!record)
        return;
    const auto probe = std::make_shared<std::function<void(int)>>();
    *probe = [weak = weak_from_this(), attempt = std::weak_ptr<TargetAttempt>(m_attempt), record = *record,
              self = std::weak_ptr<std::function<void(int)>>(probe)](int number) {
        const auto session = weak.lock();
        const auto retry = self.lock();
        if (!session || !retry)
            return;
        session->m_gatewayContext.connections.probe(
            record, [session, attempt, retry, number](ProbeResult result) {
                const auto running = attempt.lock();
                if (result == ProbeResult::Connected || !running || session->m_attempt != running)
                    return;
                if (result == ProbeResult::TimedOut && number < detail::maxProbeAttempts) {
                    (*retry)(number + 1);
                    return;
                }
                session->handle(ForwardingEvents::TargetSuspected{
                    result == ProbeResult::Refused ? TargetFault::Refused : TargetFault::Unresponsive});
            });
    };
    (*probe)(1);
}

void ForwardSession::finish(std::string_view outcome, int status)
{
    if (std::exchange(m_isOutcomeLogged, true))
        return;
    m_timer.cancel();
    m_copyTimer.cancel();
    handleCopyEvent(KvCopyEvents::AttemptEnded{});
    releaseLoad();
    m_attempt.reset();
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
