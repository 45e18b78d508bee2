// Runs, copies and failures of the fake engine.

#include "FakeEngine.h"

#include <LibCore/Verify.h>
#include <LibCore/Views.h>
#include <LibNet/HttpClient.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

std::string eventText(int n)
{
    return absl::StrCat("id: ", n, "\ndata: token-", n, "\n\n");
}

} // namespace detail

FakeEngine::FakeEngine(boost::asio::io_context &context, FakeEngineState &engineState, std::string id,
                       std::string service, std::string zone)
    : m_context(context), m_engineState(engineState), m_id(std::move(id)), m_service(std::move(service)),
      m_zone(std::move(zone)), m_address(unusedLoopbackAddress()), m_publishedAddress(m_address)
{
    auto server = HttpServer::create(context, *Address::parse(m_address), *this, {});
    VERIFY(server.has_value());
    m_server = std::move(*server);
}

nlohmann::json FakeEngine::storeRecord(const std::string &state) const
{
    return {{"service", m_service}, {"address", m_publishedAddress},
            {"zone", m_zone},       {"slots", 8},
            {"state", state},       {"born", m_restarts + 1},
            {"version", m_version}, {"coldRemainingMs", 0},
            {"sequence", 1}};
}

bool FakeEngine::isFailingRequest(const std::string &target)
{
    if (m_mode == FakeEngineMode::Failing)
        return true;
    const bool isBad = m_faults.failEvery > 0 && absl::StartsWith(target, m_faults.pathPrefix)
        && ++m_faultyRequests % m_faults.failEvery == 0;
    if (isBad && m_engineState.onBadAnswer)
        m_engineState.onBadAnswer(*this);
    return isBad;
}

std::string FakeEngineState::completeStream() const
{
    std::string out;
    for (int n = 1; n <= eventsPerStream; ++n)
        out += detail::eventText(n);
    return out;
}

void FakeEngine::end()
{
    restart(m_id);
    m_server.reset();
    const auto endpoint = *parseEndpoint(m_address);
    m_portReservation.emplace(m_context, endpoint.protocol());
    m_portReservation->set_option(boost::asio::socket_base::reuse_address(true));
    m_portReservation->bind(endpoint);
    ++m_engineState.ends;
    if (m_engineState.onEnd)
        m_engineState.onEnd(*this);
}

void FakeEngine::startAgain(const std::string &id)
{
    m_id = id;
    auto server = HttpServer::create(m_context, *Address::parse(m_address), *this, {});
    VERIFY(server.has_value());
    m_server = std::move(*server);
    m_portReservation.reset();
}

void FakeEngine::restart(const std::string &id)
{
    m_id = id;
    ++m_restarts;
    while (!m_running.empty())
        endRun(m_running.begin()->first);
    std::erase_if(m_engineState.copies,
                  [this](const std::string &it) { return absl::StartsWith(it, m_publishedAddress + "/"); });
}

void FakeEngine::copyRun(const std::shared_ptr<HttpServerConnection> &connection, const std::string &body)
{
    const auto json = nlohmann::json::parse(body);
    const bool isStop = json.value("last", false);
    const auto stream = std::find_if(m_running.begin(), m_running.end(), [&](const auto &it) {
        return it.second.request == json["id"].template get<std::string>();
    });
    m_engineState.stopRequests += isStop ? 1 : 0;
    if (stream == m_running.end()) {
        respond(connection, makeResponse(404, "application/json", "{}"));
        return;
    }
    const auto request = stream->second.request;
    if (m_copying.contains(request)) {
        respond(connection, makeResponse(409, "application/json", "{}"));
        return;
    }
    if (!isStop && m_copyTime > std::chrono::milliseconds::zero()) {
        m_copying.insert(request);
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_copyTime);
        timer->async_wait(
            [this, timer, connection, request, lifetime = std::weak_ptr(m_lifetime)](const auto &) {
                if (lifetime.expired())
                    return;
                m_copying.erase(request);
                answerCopy(connection);
            });
        return;
    }
    if (isStop) {
        ++m_engineState.stoppedRuns;
        const auto stopped = stream->second.connection.lock();
        endRun(stream->first);
        if (stopped)
            stopped->abort();
    }
    answerCopy(connection);
}

void FakeEngine::answerCopy(const std::shared_ptr<HttpServerConnection> &connection)
{
    const auto handle = absl::StrCat("h", ++m_engineState.lastHandle);
    m_engineState.copies.insert(m_publishedAddress + "/" + handle);
    respond(connection,
            makeResponse(200, "application/json", nlohmann::json{{"handle", handle}, {"created", 1}}.dump()));
}

void FakeEngine::report(const std::shared_ptr<HttpServerConnection> &connection)
{
    nlohmann::json runs = nlohmann::json::array();
    for (const auto &[key, stream] : m_running)
        runs.push_back({stream.request, 1000, 1, 5});
    const nlohmann::json out = {
        {"waiting", m_queued.size()}, {"running", m_running.size()}, {"runs", std::move(runs)}};
    respond(connection, makeResponse(200, "application/json", out.dump()));
}

void FakeEngine::queueStreamsFor(std::chrono::milliseconds duration)
{
    m_queuesUntil = std::chrono::steady_clock::now() + duration;
}

void FakeEngine::startQueuedStream(const std::shared_ptr<HttpServerConnection> &connection,
                                   const HttpResponseHead &head, const HttpRequest &request)
{
    const std::string requestId(fieldValue(request, "Request-Id"));
    // The engine has dropped it.
    if (m_queued.erase(requestId) == 0)
        return;
    beginRun(connection, requestId);
    startStream(connection, head, request);
}

void FakeEngine::beginRun(const std::shared_ptr<HttpServerConnection> &connection,
                          const std::string &requestId)
{
    // An earlier connection may have had the same address.
    endRun(connection.get());
    m_running[connection.get()] = {requestId, connection, m_engineState.runs.begin(requestId, m_id)};
    connection->setCallerLeftHandler([this, lifetime = std::weak_ptr(m_lifetime), stream = connection.get()] {
        if (!lifetime.expired())
            callerLeft(stream);
    });
}

void FakeEngine::endRun(const HttpServerConnection *connection)
{
    const auto it = m_running.find(connection);
    if (it == m_running.end())
        return;
    m_engineState.runs.end(it->second.span);
    m_running.erase(it);
}

void FakeEngine::callerLeft(const HttpServerConnection *connection)
{
    if (const auto it = m_running.find(connection); it != m_running.end() && m_ignoresCloses)
        it->second.hasCallerLeft = true;
    else
        endRun(connection);
}

void FakeEngine::setIgnoresCloses(bool ignoresCloses)
{
    m_ignoresCloses = ignoresCloses;
    std::vector<const HttpServerConnection *> left;
    for (const auto &[connection, stream] : m_running) {
        if (!ignoresCloses && stream.hasCallerLeft)
            left.push_back(connection);
    }
    for (const auto *it : left)
        endRun(it);
}

void FakeEngine::loseStreams()
{
    const auto running = m_running;
    for (const auto &[key, stream] : running) {
        const auto connection = stream.connection.lock();
        if (connection)
            connection->abort();
        if (!m_ignoresCloses)
            endRun(key);
    }
    const auto queued = m_queued;
    if (!m_ignoresCloses)
        m_queued.clear();
    for (const auto &[request, connection] : queued)
        connection->abort();
}

void FakeEngine::sendWrongEvents()
{
    const auto running = m_running;
    for (const auto &[key, stream] : running) {
        if (const auto connection = stream.connection.lock())
            connection->writeStream(detail::eventText(m_engineState.eventsPerStream + 1));
    }
}

FakeEngine::StartDelays FakeEngine::startDelays() const
{
    auto out = std::chrono::steady_clock::now() < m_startsDelayedUntil ? m_startDelays : StartDelays{};
    out.head += m_engineState.prefillTime;
    out.firstEvent += m_engineState.firstEventDelay;
    return out;
}

void FakeEngine::delayStartsFor(std::chrono::milliseconds duration, StartDelays delays)
{
    m_startDelays = delays;
    m_startsDelayedUntil = std::chrono::steady_clock::now() + duration;
}

void FakeEngine::abortStream(const std::shared_ptr<HttpServerConnection> &connection)
{
    endRun(connection.get());
    connection->abort();
}

void FakeEngine::setCommonFields(HttpResponseHead &head) const
{
    if (m_isLeaving)
        head.fields.set("Server-Leaving", "1");
    if (!m_limit.empty())
        head.fields.set("Server-Limit", m_limit);
}

void FakeEngine::respond(const std::shared_ptr<HttpServerConnection> &connection, HttpResponse response)
{
    setCommonFields(response.head);
    connection->respond(response);
}

void FakeEngine::pauseFor(std::chrono::milliseconds duration)
{
    m_pausedUntil = std::chrono::steady_clock::now() + duration;
}

int FakeEngine::mostRequestsWithin(std::chrono::milliseconds period,
                                   std::chrono::steady_clock::time_point since) const
{
    std::ptrdiff_t most = 0;
    auto first = std::lower_bound(m_arrivals.begin(), m_arrivals.end(), since);
    for (auto last = first; last != m_arrivals.end(); ++last) {
        while (*last - *first >= period)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return static_cast<int>(most);
}

int FakeEngine::requestsBetween(std::chrono::steady_clock::time_point from,
                                std::chrono::steady_clock::time_point to) const
{
    return static_cast<int>(std::count_if(m_arrivals.begin(), m_arrivals.end(),
                                          [&](const auto &it) { return it > from && it < to; }));
}

void FakeEngine::stallStreamsFor(std::chrono::milliseconds duration)
{
    m_streamsStalledUntil = std::chrono::steady_clock::now() + duration;
}

void FakeEngine::runAfter(const std::chrono::steady_clock::time_point &until, std::function<void()> function)
{
    if (std::chrono::steady_clock::now() >= until) {
        function();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, until);
    timer->async_wait(
        [this, timer, &until, function = std::move(function)](const auto &) { runAfter(until, function); });
}

void FakeEngine::handleRequest(const std::shared_ptr<HttpServerConnection> &connection, HttpRequest request)
{
    ++m_requestCount;
    m_arrivals.push_back(std::chrono::steady_clock::now());
    const std::string target(request.target().data(), request.target().size());
    auto run = [this, connection, request = std::move(request)] { runRequest(connection, request); };
    if (m_faults.delay == std::chrono::milliseconds::zero()
        || !absl::StartsWith(target, m_faults.pathPrefix)) {
        runAfterPause(run);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_faults.delay);
    timer->async_wait([this, timer, run = std::move(run), lifetime = std::weak_ptr(m_lifetime),
                       restarts = m_restarts](const auto &) {
        // A process that has ended handles nothing.
        if (!lifetime.expired() && restarts == m_restarts)
            runAfterPause(run);
    });
}

void FakeEngine::runRequest(const std::shared_ptr<HttpServerConnection> &connection,
                            const HttpRequest &request)
{
    const std::string target(request.target().data(), request.target().size());
    if (target == "/-/kv-move") {
        copyRun(connection, request.body());
        return;
    }
    if (target == "/health") {
        auto status = makeResponse(200, "text/plain", "");
        status.head.fields.set("Instance-Id", m_id);
        respond(connection, std::move(status));
        return;
    }
    if (target == "/-/report") {
        report(connection);
        return;
    }
    const std::string requestId(fieldValue(request, "Request-Id"));
    auto response = makeResponse(200, "text/plain", "answer of " + requestId);
    response.head.fields.set("Request-Id", requestId);
    if (fieldValue(request, "Expect-Instance") != m_id) {
        response.head.status = 421;
        response.head.fields.set("Instance-Id", m_id);
        respond(connection, std::move(response));
        return;
    }
    if (m_engineState.onRequest)
        m_engineState.onRequest(m_id);
    const std::string from(fieldValue(request, "Kv-From"));
    const bool isCopyMissing = !from.empty() && m_engineState.copies.erase(from) == 0;
    const bool isFull = absl::StartsWith(target, "/stream/") && !hasFreeSlot();
    m_engineState.rejectionsByFullEngines += isFull ? 1 : 0;
    if (m_mode == FakeEngineMode::Overloaded || isCopyMissing || isFull) {
        response.head.status = 503;
        response.head.fields.set("Not-Executed", "1");
        if (m_retryAfter && m_mode == FakeEngineMode::Overloaded) {
            const std::chrono::duration<double> seconds = *m_retryAfter;
            response.head.fields.set("Retry-After", absl::StrCat(seconds.count()));
            m_askedForPauseAt = std::chrono::steady_clock::now();
        }
        respond(connection, std::move(response));
        return;
    }
    response.head.fields.set("Engine-Seal", "seal");
    response.body.append(m_engineState.answerPadding, '.');
    m_engineState.workspaceByRequest[requestId] = fieldValue(request, "Tenant");
    ++m_engineState.acceptedByRequest[requestId];
    if (from.empty()) {
        ++m_engineState.runsByRequest[requestId];
        if (!fieldValue(request, "Last-Event-Id").empty())
            ++m_engineState.recomputedRuns[requestId];
    }
    const std::string holder(fieldValue(request, "Kv-Backup"));
    if (!holder.empty())
        m_engineState.copies.insert(holder + "/" + requestId);
    if (isFailingRequest(target)) {
        response.head.status = 500;
        response.body = "failure of " + requestId;
        respond(connection, std::move(response));
        return;
    }
    if (!absl::StartsWith(target, "/stream/")) {
        if (m_mode == FakeEngineMode::Crashing)
            connection->abort();
        else if (m_mode != FakeEngineMode::Stalled)
            respond(connection, std::move(response));
        return;
    }
    response.head.fields.set("Content-Type", "text/event-stream");
    setCommonFields(response.head);
    m_streams.push_back(connection);
    if (std::chrono::steady_clock::now() < m_queuesUntil) {
        m_queued[requestId] = connection;
        connection->setCallerLeftHandler([this, requestId, lifetime = std::weak_ptr(m_lifetime)] {
            if (!lifetime.expired() && !m_ignoresCloses)
                m_queued.erase(requestId);
        });
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_queuesUntil);
        const auto sharedHead = std::make_shared<const HttpResponseHead>(response.head);
        const auto sharedRequest = std::make_shared<const HttpRequest>(request);
        timer->async_wait([this, timer, connection, sharedHead, sharedRequest,
                           lifetime = std::weak_ptr(m_lifetime), restarts = m_restarts](const auto &) {
            if (!lifetime.expired() && restarts == m_restarts)
                startQueuedStream(connection, *sharedHead, *sharedRequest);
        });
        return;
    }
    beginRun(connection, requestId);
    startStream(connection, response.head, request);
}

bool FakeEngine::hasFreeSlot()
{
    std::erase_if(m_streams, [](const auto &it) {
        const auto stream = it.lock();
        return !stream || !stream->hasOpenRequest();
    });
    return m_engineState.slotsPerEngine == 0 || m_streams.size() < m_engineState.slotsPerEngine;
}

bool FakeEngine::isCrashingRequest(const HttpRequest &request) const
{
    if (m_engineState.crashingPart.empty())
        return false;
    const std::vector<std::string> parts =
        absl::StrSplit(abslView(fieldValue(request, "Prompt-Prefix")), ',');
    return std::any_of(parts.begin(), parts.end(), [this](const std::string &it) {
        return it.substr(0, it.find(':')) == m_engineState.crashingPart;
    });
}

void FakeEngine::startStream(const std::shared_ptr<HttpServerConnection> &connection,
                             const HttpResponseHead &head, const HttpRequest &request)
{
    const auto lastEvent = detail::parseNumber(std::string(fieldValue(request, "Last-Event-Id")));
    const bool isCrashing = isCrashingRequest(request);
    if (isCrashing) {
        ++m_engineState.crashingRequests;
        if (m_engineState.onCrashingRequest)
            m_engineState.onCrashingRequest(std::string(fieldValue(request, "Request-Id")));
    }
    const int event = static_cast<int>(lastEvent) + 1;
    // The server must not end within its own handler.
    const auto prefillTime = startDelays().head;
    if (prefillTime == std::chrono::milliseconds::zero() && !isCrashing) {
        connection->openStream(head);
        sendFirstEvent(connection, event);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, prefillTime);
    const auto sharedHead = std::make_shared<const HttpResponseHead>(head);
    timer->async_wait(
        [this, timer, connection, sharedHead, isCrashing, event, restarts = m_restarts](const auto &) {
            if (restarts != m_restarts) {
                abortStream(connection);
                return;
            }
            connection->openStream(*sharedHead);
            if (!isCrashing) {
                sendFirstEvent(connection, event);
                return;
            }
            abortStream(connection);
            end();
        });
}

void FakeEngine::sendFirstEvent(const std::shared_ptr<HttpServerConnection> &connection, int event)
{
    const auto delay = startDelays().firstEvent;
    if (delay == std::chrono::milliseconds::zero()) {
        sendEventsFrom(connection, event);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([this, timer, connection, event, restarts = m_restarts](const auto &) {
        if (restarts == m_restarts)
            sendEventsFrom(connection, event);
        else
            abortStream(connection);
    });
}

void FakeEngine::sendEventsFrom(const std::shared_ptr<HttpServerConnection> &connection, int event)
{
    const auto send = [this, connection, event, restarts = m_restarts] {
        if (restarts == m_restarts)
            sendEvent(connection, event);
        else
            abortStream(connection);
    };
    runAfterPause([this, send] { runAfter(m_streamsStalledUntil, send); });
}

void FakeEngine::sendEvent(const std::shared_ptr<HttpServerConnection> &connection, int event)
{
    const int events = m_engineState.eventsPerStream;
    // Stopped, or dropped since its connection has closed.
    if (!m_running.contains(connection.get()))
        return;
    if (m_mode == FakeEngineMode::LosingStreams) {
        abortStream(connection);
        return;
    }
    if (event > events) {
        endRun(connection.get());
        connection->endStream();
        return;
    }
    if (event > events / 2 && m_mode == FakeEngineMode::Stalled)
        return;
    const auto text = detail::eventText(event);
    if (event > events / 2 && m_mode == FakeEngineMode::Crashing) {
        // The engine crashes after sending half of an event.
        connection->writeStream(text.substr(0, text.size() / 2));
        abortStream(connection);
        return;
    }
    connection->writeStream(text);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_engineState.eventInterval);
    timer->async_wait([this, timer, connection, event, restarts = m_restarts](const auto &) {
        if (restarts == m_restarts)
            sendEventsFrom(connection, event + 1);
        else
            abortStream(connection);
    });
}

} // namespace Wisteria
