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
[[nodiscard]] std::string freeAddress();

enum class FakeStoreMode {
    Sound,
    // Answers every call with 503; nothing is done.
    Busy,
    // Does what it is asked and answers nothing.
    Mute,
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
    void dropHistory();
    [[nodiscard]] int calls() const { return m_calls; }

private:
    struct Waiting
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
    bool answerWatch(const Waiting &);
    void write(const std::shared_ptr<HttpServerConnection> &, const HttpRequest &, const std::string &kind);
    void respond(const std::shared_ptr<HttpServerConnection> &, int status, const nlohmann::json &body);
    void changed(const std::string &kind, nlohmann::json object, bool isRemoved);

    boost::asio::io_context &m_context;
    std::string m_address;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision{10};
    std::uint64_t m_historyFrom{0};
    std::vector<Waiting> m_waiting;
    FakeStoreMode m_mode{FakeStoreMode::Sound};
    int m_calls{0};
    std::unique_ptr<HttpServer> m_server;
};

// What the engines of a test share: copies of runs, and what ran how often.
struct FakeFleet
{
    // Of each stream.
    int events{20};
    std::chrono::milliseconds eventInterval{10};
    // Engine address and request id of each copy.
    std::set<std::string> copies;
    std::map<std::string, int> runs;
    std::map<std::string, int> readAnew;
    // Workspaces that ran each request.
    std::map<std::string, std::string> workspaces;
    int handles{0};
    // Called for each request that names the engine that it reaches.
    std::function<void(const std::string &engine)> arrived;

    // The answer of a whole stream.
    [[nodiscard]] std::string wholeStream() const;
};

enum class FakeEngineMode {
    Sound,
    // Ends connections in the middle of answers.
    Dying,
    // Sends nothing more.
    Silent,
    // Refuses with the word that the request was not run.
    Full,
};

class FakeEngine final : private HttpRequestHandler
{
public:
    FakeEngine(boost::asio::io_context &, FakeFleet &, std::string id, std::string service, std::string zone);

    [[nodiscard]] nlohmann::json entry(const std::string &state = "ready") const;
    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] const std::string &service() const { return m_service; }
    [[nodiscard]] const std::string &zone() const { return m_zone; }
    [[nodiscard]] const std::string &address() const { return m_address; }
    // Callers reach the engine at this address, through a proxy.
    void setPublishedAddress(const std::string &address) { m_publishedAddress = address; }
    // All that runs ends without an answer, copies are lost, and the engine goes on under another id.
    void restart(const std::string &id);
    void setMode(FakeEngineMode mode) { m_mode = mode; }
    [[nodiscard]] int arrivals() const { return m_arrivals; }

private:
    void handleRequest(const std::shared_ptr<HttpServerConnection> &, HttpRequest) override;
    void streamFrom(const std::shared_ptr<HttpServerConnection> &, int event);
    // Copies a run's memory to another engine, by a name of its own.
    void copyRun(const std::shared_ptr<HttpServerConnection> &, const std::string &body);

    boost::asio::io_context &m_context;
    FakeFleet &m_fleet;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_address;
    std::string m_publishedAddress;
    // Starts of the engine; what an earlier one began ends without an answer.
    int m_lives{0};
    std::set<std::string> m_running;
    FakeEngineMode m_mode{FakeEngineMode::Sound};
    int m_arrivals{0};
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Wisteria
