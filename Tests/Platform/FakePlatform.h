// Stand-ins of the platform on loopback, in the test's own event loop: the object store and engines.

#pragma once

#include <LibNet/HttpServer.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Wisteria {

// An address on loopback that nothing listens on.
[[nodiscard]] std::string freeAddress();

// Lists and watches of objects under one revision counter.
class FakeStore final : private HttpRequestHandler
{
public:
    explicit FakeStore(boost::asio::io_context &);

    [[nodiscard]] const std::string &address() const { return m_address; }
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    // Answers every call with the status; zero serves again.
    void failWith(int status) { m_failure = status; }
    // Watches from before now are answered with 410.
    void dropHistory();
    [[nodiscard]] int calls() const { return m_calls; }

private:
    struct Waiting
    {
        std::shared_ptr<HttpServerConnection> connection;
        std::string kind;
        std::uint64_t after;
    };
    struct Change
    {
        std::string kind;
        std::uint64_t revision;
        nlohmann::json event;
    };

    void handleRequest(const std::shared_ptr<HttpServerConnection> &, HttpRequest) override;
    bool answerWatch(const Waiting &);
    void changed(const std::string &kind, nlohmann::json object, bool isRemoved);

    std::string m_address;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision{10};
    std::uint64_t m_historyFrom{0};
    std::vector<Waiting> m_waiting;
    int m_failure{0};
    int m_calls{0};
    std::unique_ptr<HttpServer> m_server;
};

// What the engines of a test share: copies of runs, and what ran how often.
struct FakeFleet
{
    // Engine address and request id of each copy.
    std::set<std::string> copies;
    std::map<std::string, int> runs;
    std::map<std::string, int> readAnew;
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
    static constexpr int events = 20;
    static constexpr std::chrono::milliseconds eventInterval{10};

    FakeEngine(boost::asio::io_context &, FakeFleet &, std::string id, std::string service, std::string zone);

    [[nodiscard]] nlohmann::json entry(const std::string &state = "ready") const;
    [[nodiscard]] const std::string &id() const { return m_id; }
    void setMode(FakeEngineMode mode) { m_mode = mode; }
    // The answer of a whole stream.
    [[nodiscard]] static std::string wholeStream();
    [[nodiscard]] int arrivals() const { return m_arrivals; }

private:
    void handleRequest(const std::shared_ptr<HttpServerConnection> &, HttpRequest) override;
    void streamFrom(const std::shared_ptr<HttpServerConnection> &, int event);

    boost::asio::io_context &m_context;
    FakeFleet &m_fleet;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_address;
    FakeEngineMode m_mode{FakeEngineMode::Sound};
    int m_arrivals{0};
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Wisteria
