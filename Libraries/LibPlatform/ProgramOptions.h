// What the daemons share: command line, settings file, signals and exit codes.

#pragma once

#include <LibConfig/Settings.h>
#include <LibCore/Error.h>
#include <LibPlatform/Logging.h>

#include <csignal>
#include <functional>
#include <iostream>
#include <optional>
#include <string>

namespace Wisteria {

inline constexpr int exitOk = 0;
// The command line or the settings are wrong.
inline constexpr int exitUsage = 1;
// The settings are valid, but the process cannot serve, for example because its address is taken.
inline constexpr int exitCannotServe = 2;

struct ProgramName
{
    std::string binary;
    std::string purpose;
};

// What the command line asks a daemon for.
struct ProgramRequest
{
    std::string settingsFile;
    bool checkOnly{false};
};

// Empty when the program has nothing left to do; `exitCode` is set then.
[[nodiscard]] std::optional<ProgramRequest> readCommandLine(const ProgramName &name, int argc, char **argv,
                                                            int &exitCode);

// Errors: InvalidSettings.
[[nodiscard]] ErrorOr<std::string> readTextFile(const std::string &path);

// Blocks SIGTERM and SIGINT in all threads, so that the main thread can wait for them; ignores SIGPIPE.
[[nodiscard]] sigset_t blockStopSignals();
void waitForStop(const sigset_t &signals);

// The whole of a daemon's main(): options, settings, log, then `serve`.
template <typename Settings>
int runDaemon(const ProgramName &name, ErrorOr<Settings> (*parse)(std::string_view, const std::string &),
              int (*serve)(const Settings &, const std::string &file), int argc, char **argv)
{
    int exitCode = exitOk;
    auto request = readCommandLine(name, argc, argv, exitCode);
    if (!request)
        return exitCode;
    auto text = readTextFile(request->settingsFile);
    auto settings =
        text ? parse(*text, request->settingsFile) : ErrorOr<Settings>(tl::unexpected(text.error()));
    if (!settings) {
        std::cerr << settings.error().detail << "\n";
        return exitUsage;
    }
    if (request->checkOnly) {
        std::cout << "settings are valid\n";
        return exitOk;
    }
    startLogging(settings->log, argv[0]);
    return serve(*settings, request->settingsFile);
}

} // namespace Wisteria
