// Stand-ins of the platform on loopback, in the test's own event loop: the object store and engines.

#pragma once

#include <LibNet/HttpServer.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Wisteria {

// An address on loopback that nothing listens on.
[[nodiscard]] std::string unusedLoopbackAddress();

enum class FakeStoreMode {
    Healthy,
    // Answers every call with 503; nothing is done.
    Unavailable,
    // Does what it is asked and answers nothing.
    Unresponsive,
};

// Lists and watches of objects under one revision counter.
class FakeStore final : private HttpRequestHandler
{
public:
    explicit FakeStore(boost::asio::io_context &);

    [[nodiscard]] const std::string &address() const { return m_address; }
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    void setMode(FakeStoreMode mode) { m_mode = mode; }
    // Watches from before now are answered with 410.
    void compactHistory();
    [[nodiscard]] int calls() const { return m_calls; }

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
    // Answers with the changes that the watch waits for; false when there are none.
    bool tryCompleteWatch(const PendingWatch &);
    void handleWrite(const std::shared_ptr<HttpServerConnection> &, const HttpRequest &,
                     const std::string &kind);
    void respond(const std::shared_ptr<HttpServerConnection> &, int status, const nlohmann::json &body);
    void recordChange(const std::string &kind, nlohmann::json object, bool isRemoved);

    boost::asio::io_context &m_context;
    std::string m_address;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision{10};
    std::uint64_t m_oldestWatchableRevision{0};
    std::vector<PendingWatch> m_pendingWatches;
    FakeStoreMode m_mode{FakeStoreMode::Healthy};
    int m_calls{0};
    std::unique_ptr<HttpServer> m_server;
};

// What the engines of a test share: copies of runs, and what ran how often.
struct FakeEngineState
{
    // Of each stream.
    int eventsPerStream{20};
    std::chrono::milliseconds eventInterval{10};
    // Engine address and request id of each copy.
    std::set<std::string> copies;
    std::map<std::string, int> runsByRequest;
    std::map<std::string, int> recomputedRuns;
    // Workspaces that ran each request.
    std::map<std::string, std::string> workspaceByRequest;
    int lastHandle{0};
    // Called for each request that names the engine that it reaches.
    std::function<void(const std::string &engine)> onRequest;

    // The answer of a whole stream.
    [[nodiscard]] std::string completeStream() const;
};

enum class FakeEngineMode {
    Healthy,
    // Ends connections in the middle of answers.
    Crashing,
    // Sends nothing more.
    Stalled,
    // Refuses with the word that the request was not run.
    Overloaded,
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
    // Callers reach the engine at this address, through a proxy.
    void setPublishedAddress(const std::string &address) { m_publishedAddress = address; }
    // All that runs ends without an answer, copies are lost, and the engine goes on under another id.
    void restart(const std::string &id);
    void setMode(FakeEngineMode mode) { m_mode = mode; }
    [[nodiscard]] int requestCount() const { return m_requestCount; }

private:
    void handleRequest(const std::shared_ptr<HttpServerConnection> &, HttpRequest) override;
    void sendEventsFrom(const std::shared_ptr<HttpServerConnection> &, int event);
    // Copies a run's memory to another engine, by a name of its own.
    void copyRun(const std::shared_ptr<HttpServerConnection> &, const std::string &body);

    boost::asio::io_context &m_context;
    FakeEngineState &m_engineState;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_address;
    std::string m_publishedAddress;
    // Starts of the engine; what an earlier one began ends without an answer.
    int m_restarts{0};
    std::set<std::string> m_running;
    FakeEngineMode m_mode{FakeEngineMode::Healthy};
    int m_requestCount{0};
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Wisteria
