// The HTTP server for callers and operators.

#pragma once

#include <Router/AdminHandler.h>
#include <Router/CallHandler.h>
#include <Router/CompletionHandler.h>

#include <memory>
#include <thread>

namespace Wisteria {

class CallerServer
{
public:
    // Listens on the callers' address and serves on its own threads, one a connection.
    // Errors: InvalidSettings, ConnectionFailed.
    [[nodiscard]] static ErrorOr<std::unique_ptr<CallerServer>> create(const RouterSettings &settings,
                                                                       RouterProcess &process);
    ~CallerServer();

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

private:
    CallerServer(const RouterSettings &settings, RouterProcess &process);
    void setRoutes();
    void answerEntryPoints(const httplib::Request &request, httplib::Response &response);
    void answerHealth(httplib::Response &response);

    RouterProcess &m_process;
    CompletionHandler m_completions;
    CallHandler m_calls;
    AdminHandler m_admin;
    httplib::Server m_server;
    std::thread m_thread;
};

} // namespace Wisteria
