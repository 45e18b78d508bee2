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

// Keeps SIGTERM, SIGINT and SIGHUP pending for the whole process until it can act on them; ignores SIGPIPE.
// Threads inherit this, so it comes before all else.
void holdSignals();
// Delivers to the calling thread what is pending and what comes later. The handlers must be set.
void releaseSignals();
// Waits for SIGTERM or SIGINT, also one held since the start. SIGHUP is logged and passed over.
void waitForStop();

// The whole of a daemon's main(): options, settings, log, then `serve`.
template <typename Settings>
int runDaemon(const ProgramName &name, ErrorOr<Settings> (*parse)(std::string_view, const std::string &),
              int (*serve)(const Settings &, const std::string &file), int argc, char **argv)
{
    holdSignals();
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
