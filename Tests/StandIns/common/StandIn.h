// What the stand-ins share: the command line, the server loop, JSON answers and cut connections.

#pragma once

#include <LibCore/Address.h>

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <cxxopts.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <netinet/in.h>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>

namespace Wisteria::StandIns {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusNotModified = 304;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusPreconditionFailed = 412;
constexpr int statusPayloadTooLarge = 413;
constexpr int statusUnavailable = 503;

// cpp-httplib holds one of these for each open connection.
constexpr std::size_t serverThreads = 512;
constexpr std::size_t maxRequestsPerConnection = 1'000'000;
constexpr std::size_t maxPayloadBytes = std::size_t{8} * 1024 * 1024;

inline void answer(httplib::Response &response, int status, const Json &body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

inline void answerError(httplib::Response &response, int status, const std::string &message)
{
    answer(response, status, {{"error", {{"message", message}}}});
}

// The body as a JSON object. Answers 400 itself and returns nothing when it is none.
inline std::optional<Json> readObject(const httplib::Request &request, httplib::Response &response)
{
    auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
        answerError(response, statusBadRequest, "the body is no JSON object");
        return std::nullopt;
    }
    return json;
}

// Closes the connection of a request without an answer. cpp-httplib hands out no socket, so it is found by
// its peer's port.
inline void closeConnection(const httplib::Request &request)
{
    constexpr int maxDescriptors = 4096;
    for (int fd = 0; fd < maxDescriptors; ++fd) {
        sockaddr_in peer{};
        socklen_t peerSize = sizeof(peer);
        sockaddr_in local{};
        socklen_t localSize = sizeof(local);
        if (getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &peerSize) != 0
            || getsockname(fd, reinterpret_cast<sockaddr *>(&local), &localSize) != 0)
            continue;
        if (ntohs(peer.sin_port) == request.remote_port && ntohs(local.sin_port) == request.local_port)
            shutdown(fd, SHUT_RDWR);
    }
}

// Parses the command line. Exits on --help and on mistakes.
inline cxxopts::ParseResult parseArguments(cxxopts::Options &options, int argc, char **argv)
{
    options.add_options()("listen", "IP:PORT; port 0 lets the system choose",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("help", "print this help");
    try {
        auto result = options.parse(argc, argv);
        if (!result.count("help"))
            return result;
        std::cout << options.help();
    } catch (const std::exception &e) {
        std::cerr << e.what() << "\n";
        std::exit(2);
    }
    std::exit(0);
}

inline absl::Duration milliseconds(const cxxopts::ParseResult &arguments, const std::string &name)
{
    return absl::Milliseconds(arguments[name].as<double>());
}

// Serves until the process ends. Returns the exit code.
inline int serve(httplib::Server &server, const cxxopts::ParseResult &arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto address = Address::parse(arguments["listen"].as<std::string>());
    if (!address) {
        std::cerr << address.error().detail << "\n";
        return 2;
    }
    server.new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(maxRequestsPerConnection);
    server.set_payload_max_length(maxPayloadBytes);
    // NOTE: cpp-httplib's default is SO_REUSEPORT, by which two stand-ins could share one port unnoticed.
    server.set_socket_options([](auto fd) {
        int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    int port = address->port();
    if (port == 0)
        port = server.bind_to_any_port(address->host());
    else if (!server.bind_to_port(address->host(), port))
        port = -1;
    if (port < 0) {
        std::cerr << "cannot listen on " << arguments["listen"].as<std::string>() << "\n";
        return 1;
    }
    std::cout << "listening " << address->host() << ":" << port << std::endl;
    return server.listen_after_bind() ? 0 : 1;
}

// Runs the program and turns an exception of a library into an exit code.
inline int runGuarded(int (*run)(int, char **), int argc, char **argv) noexcept
{
    try {
        return run(argc, argv);
    } catch (const std::exception &e) {
        std::fputs(e.what(), stderr);
        return 1;
    }
}

} // namespace Wisteria::StandIns
