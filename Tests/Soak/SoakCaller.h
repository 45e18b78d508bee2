// Callers of the soak: they ask routers which addresses to use, keep the answer, connect there, and keep
// using open connections until the process behind them is gone.

#pragma once

#include "SoakWorld.h"

#include <LibNet/HttpClient.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Wisteria {

class SoakCaller
{
public:
    SoakCaller(boost::asio::io_context &, SoakWorld &);

    // Sends calls of drawn kinds until the time has passed.
    void run(absl::Duration length);
    // Calls to each router that all must be served.
    void callEachRouter(const std::function<void(const SoakCall &)> &ended);
    [[nodiscard]] int open() const { return m_open; }
    // Longest pauses within streams that went on after one, in milliseconds.
    [[nodiscard]] const std::vector<std::int64_t> &pausesMs() const { return m_pausesMs; }
    [[nodiscard]] const std::map<int, int> &statuses() const { return m_statuses; }

private:
    using Ended = std::function<void(const SoakCall &)>;

    void callNext(absl::Time until);
    void refreshEntryPoints();
    void call(SoakRouter &, SoakCallKind, const std::string &key, Ended);
    // The parts of a stream's prompt. Some have the part that ends engines.
    [[nodiscard]] std::string drawPrompt(const SoakCall &);
    // Null when callers know of none.
    [[nodiscard]] SoakRouter *drawRouter();
    [[nodiscard]] SoakRouter *drawEntryPoint();
    [[nodiscard]] HttpPool &poolOf(const std::string &address);

    boost::asio::io_context &m_context;
    SoakWorld &m_world;
    // Addresses that the last answer held, of the routers themselves.
    std::vector<std::string> m_entryPoints;
    absl::Time m_entryPointsAt{absl::InfinitePast()};
    bool m_isAsking{false};
    std::map<std::string, std::shared_ptr<HttpPool>> m_pools;
    int m_calls{0};
    int m_open{0};
    // False once all calls must be served.
    bool m_mayCrashEngines{true};
    std::vector<std::int64_t> m_pausesMs;
    std::map<int, int> m_statuses;
};

} // namespace Wisteria
