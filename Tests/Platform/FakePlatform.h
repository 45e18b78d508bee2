// Fakes of the platform's object store and engines, served on loopback in the test's event loop.

#pragma once

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

// Returns a loopback address on which nothing listens.
[[nodiscard]] std::string unusedLoopbackAddress();

enum class FakeStoreMode {
    Healthy,
    // Responds to every request with 503 and does not process it.
    Unavailable,
    // Processes requests but sends no response.
    Unresponsive,
};

// Serves lists, watches and writes of objects. All kinds share one revision counter.
class FakeStore final : private HttpRequestHandler
{
public:
    explicit FakeStore(boost::asio::io_context &);

    [[nodiscard]] const std::string &address() const { return m_address; }
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    void setMode(FakeStoreMode mode) { m_mode = mode; }
    // Pending watches, and later ones from an earlier revision, get 410.
    void compactHistory();
    // Keeps a copy of all objects for restoreFromCopy().
    void takeCopy();
    // Replaces all objects and the revision by those of the copy, starts the next era and cuts connections
    // with pending watches. Watches from a revision that the copy has not reached get 410.
    void restoreFromCopy();
    // Lists that allow outdated data are answered from the copy.
    void serveStaleListsFromCopy() { m_isCopyListed = true; }
    [[nodiscard]] bool contains(const std::string &kind, const std::string &name) const;
    [[nodiscard]] std::vector<std::string> names(const std::string &kind) const;
    [[nodiscard]] int calls() const { return m_calls; }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    // Number of lists of the kind that allowed outdated data.
    [[nodiscard]] int staleLists(const std::string &kind) const
    {
        const auto it = m_staleLists.find(kind);
        return it == m_staleLists.end() ? 0 : it->second;
    }

private:
    struct PendingWatch
    {
        std::shared_ptr<HttpServerConnection> connection;
        std::string kind;
        std::uint64_t after;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct Change
    {
        std::string kind;
        std::uint64_t revision;
        nlohmann::json event;
    };

    void handleRequest(const std::shared_ptr<HttpServerConnection> &, HttpRequest) override;
    void startWatch(const std::shared_ptr<HttpServerConnection> &, const std::string &kind,
                    const std::string &target);
    // Responds to the watch if there are changes for it. Returns whether it did.
    bool tryCompleteWatch(const PendingWatch &);
    void handleWrite(const std::shared_ptr<HttpServerConnection> &, const HttpRequest &,
                     const std::string &kind);
    void respond(const std::shared_ptr<HttpServerConnection> &, int status, const nlohmann::json &body);
    void recordChange(const std::string &kind, nlohmann::json object, bool isRemoved);

    boost::asio::io_context &m_context;
    std::string m_address;
    using Objects = std::map<std::string, std::map<std::string, nlohmann::json>>;
    struct Copy
    {
        Objects objects;
        std::uint64_t revision{10};
    };

    Objects m_objects;
    Copy m_copy;
    bool m_isCopyListed{false};
    std::vector<Change> m_history;
    std::uint64_t m_revision{10};
    std::uint64_t m_era{1};
    std::uint64_t m_oldestWatchableRevision{0};
    std::vector<PendingWatch> m_pendingWatches;
    FakeStoreMode m_mode{FakeStoreMode::Healthy};
    int m_calls{0};
    std::map<std::string, int> m_staleLists;
    std::unique_ptr<HttpServer> m_server;
};

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
    // An engine ends as soon as it begins to write an answer to a prompt with this part; empty for none.
    std::string crashingPart;
    // Time before the head of a stream.
    std::chrono::milliseconds prefillTime{0};
    // Requests with the crashing part that reached an engine, and ends of engines.
    int crashingRequests{0};
    int ends{0};
    // Called for each request whose Expect-Instance header matches the engine.
    std::function<void(const std::string &engine)> onRequest;
    // Called when a request with the crashing part reaches an engine.
    std::function<void(const std::string &request)> onCrashingRequest;
    // Called when an engine has ended.
    std::function<void(class FakeEngine &)> onEnd;

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

class FakeEngine final : private HttpRequestHandler
{
public:
    FakeEngine(boost::asio::io_context &, FakeEngineState &, std::string id, std::string service,
               std::string zone);

    [[nodiscard]] nlohmann::json storeRecord(const std::string &state = "ready") const;
    [[nodiscard]] const std::string &id() const { return m_id; }
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
    // The engine is silent for this long and then goes on: it handles no request and sends no event. Its
    // connections stay open and new ones are accepted.
    void pauseFor(std::chrono::milliseconds);
    // While set, all answers carry Server-Leaving. The engine goes on serving.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    // Rejections in mode Overloaded carry this as Retry-After.
    void setRetryAfter(std::optional<std::chrono::milliseconds> after) { m_retryAfter = after; }
    // Counts all requests, also those that the engine rejects and control requests.
    [[nodiscard]] int requestCount() const { return m_requestCount; }

private:
    void handleRequest(const std::shared_ptr<HttpServerConnection> &, HttpRequest) override;
    void runRequest(const std::shared_ptr<HttpServerConnection> &, const HttpRequest &);
    // Runs the function now, or at the end of the engine's pause.
    void runAfterPause(std::function<void()>);
    void respond(const std::shared_ptr<HttpServerConnection> &, HttpResponse);
    // Sets the header fields that all answers of the engine have.
    void setCommonFields(HttpResponseHead &) const;
    [[nodiscard]] bool isCrashingRequest(const HttpRequest &) const;
    // Sends the head of the stream after the prefill time, then its events.
    void startStream(const std::shared_ptr<HttpServerConnection> &, const HttpResponseHead &,
                     const HttpRequest &);
    void sendEventsFrom(const std::shared_ptr<HttpServerConnection> &, int event);
    void sendEvent(const std::shared_ptr<HttpServerConnection> &, int event);
    // Handles /-/kv-move: records a copy of a running request's KV cache under a new handle.
    void copyRun(const std::shared_ptr<HttpServerConnection> &, const std::string &body);

    boost::asio::io_context &m_context;
    FakeEngineState &m_engineState;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_address;
    std::string m_publishedAddress;
    // Streams begun before the latest restart are aborted.
    int m_restarts{0};
    std::set<std::string> m_running;
    FakeEngineMode m_mode{FakeEngineMode::Healthy};
    bool m_isLeaving{false};
    std::optional<std::chrono::milliseconds> m_retryAfter;
    int m_requestCount{0};
    std::chrono::steady_clock::time_point m_pausedUntil;
    // Keeps the port of an engine that has ended: bound, so that no other socket gets it, but not listening.
    std::optional<boost::asio::ip::tcp::socket> m_portReservation;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Wisteria
