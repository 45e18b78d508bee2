// Fake of an engine, served on loopback in the test's event loop.

#pragma once

#include "FakeHttp.h"
#include "FakeRunRecords.h"

#include <LibNet/HttpServer.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Wisteria {

// Begin of a request to copy or to stop a run.
inline constexpr const char *fakeMoveRequest = "POST /-/kv-move ";

// State that all engines of a test share: their settings, KV cache copies and counts of runs.
struct FakeEngineState
{
    int eventsPerStream{20};
    std::chrono::milliseconds eventInterval{10};
    // Bytes that are added to each plain answer.
    std::size_t answerPadding{0};
    // Keys are "ADDRESS/REQUEST_ID" or "ADDRESS/HANDLE", with the address of the engine that holds the copy.
    std::set<std::string> copies;
    std::map<std::string, int> runsByRequest;
    std::map<std::string, int> recomputedRuns;
    // Workspace that each request was run for.
    std::map<std::string, std::string> workspaceByRequest;
    int lastHandle{0};
    // Streams that each engine runs at once; it rejects further ones as not executed. Zero for no limit.
    std::size_t slotsPerEngine{0};
    int rejectionsByFullEngines{0};
    // Runs that engines accepted, also those that resume from a copy.
    std::map<std::string, int> acceptedByRequest;
    // Work on streams.
    FakeRunRecords runs;
    // Requests to stop a run that reached an engine, and those that found it running.
    int stopRequests{0};
    int stoppedRuns{0};
    // An engine ends as soon as it begins to write an answer to a prompt with this part; empty for none.
    std::string crashingPart;
    // Time before the head of a stream.
    std::chrono::milliseconds prefillTime{0};
    // Time from the head of a stream to its first event.
    std::chrono::milliseconds firstEventDelay{0};
    // Requests with the crashing part that reached an engine, and ends of engines.
    int crashingRequests{0};
    int ends{0};
    // Called for each request whose Expect-Instance header matches the engine.
    std::function<void(const std::string &engine)> onRequest;
    // Called when a request with the crashing part reaches an engine.
    std::function<void(const std::string &request)> onCrashingRequest;
    // Called when an engine has ended.
    std::function<void(class FakeEngine &)> onEnd;
    // Called for each answer that is a failure or late by the engine's faults.
    std::function<void(const class FakeEngine &)> onBadAnswer;

    // The body of a complete stream.
    [[nodiscard]] std::string completeStream() const;
};

enum class FakeEngineMode {
    Healthy,
    // Aborts connections in the middle of responses.
    Crashing,
    // Stops sending data but keeps connections open.
    Stalled,
    // Rejects requests with 503 and the Not-Executed header.
    Overloaded,
    // Runs requests and answers them with 500.
    Failing,
    // Aborts connections after the head of a stream.
    LosingStreams,
};

// Faults of the software that an engine runs. They concern requests whose path has the prefix.
struct FakeEngineFaults
{
    std::string pathPrefix{"/"};
    // Each request of this number is answered with 500; zero for none.
    int failEvery{0};
    // Each request is handled later by this much.
    std::chrono::milliseconds delay{0};
};

class FakeEngine final : private HttpRequestHandler
{
public:
    FakeEngine(boost::asio::io_context &, FakeEngineState &, std::string id, std::string service,
               std::string zone);

    [[nodiscard]] nlohmann::json storeRecord(const std::string &state = "ready") const;
    [[nodiscard]] const std::string &id() const { return m_id; }
    // Another process answers at the address from now on. Streams of the one before stay open.
    void setId(std::string id) { m_id = std::move(id); }
    [[nodiscard]] const std::string &service() const { return m_service; }
    [[nodiscard]] const std::string &zone() const { return m_zone; }
    [[nodiscard]] const std::string &address() const { return m_address; }
    // Sets the address in the store record, for example that of a proxy.
    void setPublishedAddress(const std::string &address) { m_publishedAddress = address; }
    // Aborts all streams, drops the copies held here and continues with the new id.
    void restart(const std::string &id);
    // Ends the process: aborts all streams and refuses connections.
    void end();
    // Listens again after end(), under the new id.
    void startAgain(const std::string &id);
    [[nodiscard]] bool isRunning() const { return m_server != nullptr; }
    void setMode(FakeEngineMode mode) { m_mode = mode; }
    // Version in the store record; empty for none.
    void setVersion(std::string version) { m_version = std::move(version); }
    [[nodiscard]] const std::string &version() const { return m_version; }
    void setFaults(FakeEngineFaults faults) { m_faults = std::move(faults); }
    // The engine is silent for this long and then goes on: it handles no request and sends no event. Its
    // connections stay open and new ones are accepted.
    void pauseFor(std::chrono::milliseconds);
    // Its streams are silent for this long and then go on. It answers other requests meanwhile.
    void stallStreamsFor(std::chrono::milliseconds);
    // While set, the engine goes on with streams whose connection has closed. It drops them afterwards.
    void setIgnoresCloses(bool);
    // Closes the connections of its streams, also of those that wait, and works on if it ignores closes.
    void loseStreams();
    // Streams that arrive within this time wait until its end. Until then they are no runs.
    void queueStreamsFor(std::chrono::milliseconds);
    // Copies of a run take so long. Meanwhile, further requests to copy or to stop the run get 409.
    void setCopyTime(std::chrono::milliseconds time) { m_copyTime = time; }
    [[nodiscard]] std::size_t runsBeingCopied() const { return m_copying.size(); }
    // Sends an event on each of its streams that can't follow the ones before.
    void sendWrongEvents();
    // Streams that begin within this time have their head and their first event later by so much.
    struct StartDelays
    {
        std::chrono::milliseconds head{0};
        std::chrono::milliseconds firstEvent{0};
    };
    void delayStartsFor(std::chrono::milliseconds, StartDelays);
    // While set, all answers carry Server-Leaving. The engine goes on serving.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    // Rejections in mode Overloaded carry this as Retry-After.
    void setRetryAfter(std::optional<std::chrono::milliseconds> after) { m_retryAfter = after; }
    // All answers carry this value as Server-Limit; empty for none.
    void setLimit(std::string value) { m_limit = std::move(value); }
    [[nodiscard]] bool isLimited() const { return !m_limit.empty(); }
    // The most requests of any kind that arrived within a period of this length, since the given time.
    [[nodiscard]] int mostRequestsWithin(std::chrono::milliseconds,
                                         std::chrono::steady_clock::time_point since) const;
    // Requests of any kind that arrived in between.
    [[nodiscard]] int requestsBetween(std::chrono::steady_clock::time_point from,
                                      std::chrono::steady_clock::time_point to) const;
    // When the engine last rejected a request with Retry-After.
    [[nodiscard]] std::chrono::steady_clock::time_point askedForPauseAt() const { return m_askedForPauseAt; }
    // Counts all requests, also those that the engine rejects and control requests.
    [[nodiscard]] int requestCount() const { return m_requestCount; }

private:
    void handleRequest(const std::shared_ptr<HttpServerConnection> &, HttpRequest) override;
    void runRequest(const std::shared_ptr<HttpServerConnection> &, const HttpRequest &);
    // Runs the function now, or at the end of the engine's pause.
    void runAfterPause(std::function<void()> function) { runAfter(m_pausedUntil, std::move(function)); }
    // The time may be extended meanwhile.
    void runAfter(const std::chrono::steady_clock::time_point &, std::function<void()>);
    void respond(const std::shared_ptr<HttpServerConnection> &, HttpResponse);
    [[nodiscard]] bool hasFreeSlot();
    // Sets the header fields that all answers of the engine have.
    void setCommonFields(HttpResponseHead &) const;
    [[nodiscard]] bool isCrashingRequest(const HttpRequest &) const;
    // Counts the request if it is one of those that may fail.
    [[nodiscard]] bool isFailingRequest(const std::string &target);
    // Sends the head of the stream after the prefill time, then its events.
    void startStream(const std::shared_ptr<HttpServerConnection> &, const HttpResponseHead &,
                     const HttpRequest &);
    void sendFirstEvent(const std::shared_ptr<HttpServerConnection> &, int event);
    void sendEventsFrom(const std::shared_ptr<HttpServerConnection> &, int event);
    void sendEvent(const std::shared_ptr<HttpServerConnection> &, int event);
    // Handles /-/kv-move: records a copy of a running request's KV cache under a new handle. With `last`, the
    // run stops first and its stream closes without its end.
    void copyRun(const std::shared_ptr<HttpServerConnection> &, const std::string &body);
    void answerCopy(const std::shared_ptr<HttpServerConnection> &);
    // Handles /-/report: the streams that run, and how many wait.
    void report(const std::shared_ptr<HttpServerConnection> &);
    // Starts a stream that has waited, unless the engine has dropped it with its connection.
    void startQueuedStream(const std::shared_ptr<HttpServerConnection> &, const HttpResponseHead &,
                           const HttpRequest &);
    // Opens the span of the stream, which ends at the latest when the engine drops the request.
    void beginRun(const std::shared_ptr<HttpServerConnection> &, const std::string &requestId);
    void endRun(const HttpServerConnection *);
    void callerLeft(const HttpServerConnection *);
    [[nodiscard]] StartDelays startDelays() const;
    void abortStream(const std::shared_ptr<HttpServerConnection> &);

    boost::asio::io_context &m_context;
    FakeEngineState &m_engineState;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_address;
    std::string m_publishedAddress;
    // Streams begun before the latest restart are aborted.
    int m_restarts{0};
    struct Stream
    {
        std::string request;
        std::weak_ptr<HttpServerConnection> connection;
        std::size_t span;
        bool hasCallerLeft{false};
    };
    // Streams that the engine works on.
    std::map<const HttpServerConnection *, Stream> m_running;
    // Connections of streams that wait, by request.
    std::map<std::string, std::shared_ptr<HttpServerConnection>> m_queued;
    std::chrono::steady_clock::time_point m_queuesUntil;
    // Requests whose run is being copied.
    std::set<std::string> m_copying;
    std::chrono::milliseconds m_copyTime{0};
    std::chrono::steady_clock::time_point m_askedForPauseAt;
    // Connections of streams; those that have ended or closed hold no slot.
    std::vector<std::weak_ptr<HttpServerConnection>> m_streams;
    FakeEngineMode m_mode{FakeEngineMode::Healthy};
    std::string m_version;
    FakeEngineFaults m_faults;
    int m_faultyRequests{0};
    bool m_isLeaving{false};
    bool m_ignoresCloses{false};
    std::optional<std::chrono::milliseconds> m_retryAfter;
    std::string m_limit;
    int m_requestCount{0};
    // Arrivals of all requests, in order.
    std::vector<std::chrono::steady_clock::time_point> m_arrivals;
    std::chrono::steady_clock::time_point m_pausedUntil;
    std::chrono::steady_clock::time_point m_streamsStalledUntil;
    StartDelays m_startDelays;
    std::chrono::steady_clock::time_point m_startsDelayedUntil;
    // Expires with the engine; its connections may be closed later.
    std::shared_ptr<bool> m_lifetime{std::make_shared<bool>(true)};
    // Keeps the port of an engine that has ended: bound, so that no other socket gets it, but not listening.
    std::optional<boost::asio::ip::tcp::socket> m_portReservation;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Wisteria
