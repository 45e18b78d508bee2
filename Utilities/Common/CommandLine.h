// What the command lines share: subcommands over cxxopts, settings files and a guard for exceptions.

#pragma once

#include <LibConfig/Settings.h>
#include <LibPlatform/ProgramOptions.h>

#include <cxxopts.hpp>

#include <cstdio>
#include <string>
#include <vector>

namespace Wisteria {

// Exit codes besides exitOk and exitUsage. docs/OPERATIONS.md lists them.
// The system refused, with no effect.
inline constexpr int exitRefused = 2;
// It may have taken effect.
inline constexpr int exitUnknown = 3;

struct CommandWords
{
    // The words before the first option, for example {"preset", "use", "peak"}.
    std::vector<std::string> words;
    // All other arguments.
    std::vector<std::string> rest;
};

// Splits the leading words from the options. Only --config FILE may come before the words.
[[nodiscard]] inline CommandWords splitCommand(int argc, char **argv, std::size_t maxWords)
{
    CommandWords out;
    bool isWord = true;
    for (int i = 1; i < argc; ++i) {
        std::string argument = argv[i];
        if (out.words.empty() && argument == "--config" && i + 1 < argc) {
            out.rest.push_back(argument);
            out.rest.emplace_back(argv[++i]);
            continue;
        }
        isWord = isWord && !argument.starts_with("-") && out.words.size() < maxWords;
        (isWord ? out.words : out.rest).push_back(std::move(argument));
    }
    return out;
}

// cxxopts takes C arrays.
[[nodiscard]] inline cxxopts::ParseResult parseArguments(cxxopts::Options &options,
                                                         const std::string &program,
                                                         const std::vector<std::string> &arguments)
{
    std::vector<const char *> argv{program.c_str()};
    for (const auto &it : arguments)
        argv.push_back(it.c_str());
    return options.parse(static_cast<int>(argv.size()), argv.data());
}

// Adds what every subcommand takes.
inline void addCommonOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("config", "settings file (TOML)", cxxopts::value<std::string>());
    add("check-config", "check the settings and end");
    add("entry-point", "IP:port of a router, in place of the settings' list; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("timeout", "seconds to wait, in place of the settings' value", cxxopts::value<double>());
    add("version", "print the version");
    add("help", "print this text");
}

// Reads the settings that the options name and puts the options' own values over them.
// Errors: InvalidSettings, InvalidRequest.
template <typename Settings>
[[nodiscard]] ErrorOr<Settings> loadSettings(const cxxopts::ParseResult &arguments,
                                             ErrorOr<Settings> (*parse)(std::string_view,
                                                                        const std::string &))
{
    constexpr double maxTimeoutSeconds = 86'400;
    Settings settings;
    if (arguments.count("config")) {
        auto file = arguments["config"].as<std::string>();
        auto text = TRY(readTextFile(file));
        settings = TRY(parse(text, file));
    }
    if (arguments.count("entry-point"))
        settings.entryPoints = arguments["entry-point"].as<std::vector<std::string>>();
    if (settings.entryPoints.empty())
        return makeError(ErrorCode::InvalidSettings, "give --config FILE or --entry-point IP:port");
    if (arguments.count("timeout")) {
        auto seconds = arguments["timeout"].as<double>();
        if (!(seconds > 0) || seconds > maxTimeoutSeconds)
            return makeError(ErrorCode::InvalidRequest, "--timeout must be above 0 and at most 86400");
        settings.timeout = absl::Seconds(seconds);
    }
    return settings;
}

[[nodiscard]] inline std::string describe(const Error &error)
{
    std::string out(errorName(error.code));
    if (!error.detail.empty())
        out += ": " + error.detail;
    if (error.retryAfter)
        out += " (come back in " + absl::FormatDuration(*error.retryAfter) + ")";
    return out;
}

// Runs a program's body and turns an exception of a library into an exit code.
inline int runGuarded(int (*run)(int, char **), int argc, char **argv) noexcept
{
    try {
        return run(argc, argv);
    } catch (const std::exception &e) {
        std::fprintf(stderr, "%s\n", e.what());
        return exitUsage;
    }
}

} // namespace Wisteria
