// wisteria-call: asks for generations and calls plain services from a command line. A thin shell on
// LibCaller.

#include <Common/CommandLine.h>
#include <wisteria-call/Commands.h>

#include <csignal>

namespace Wisteria {

namespace detail {

constexpr const char *usage = R"(usage: wisteria-call COMMAND [OPTIONS]
  complete [PROMPT]   ask for a generation and print the answer
  call                call an operation of a plain service
wisteria-call COMMAND --help lists the options of a command.
  --config FILE       settings file (TOML)
  --check-config      check the settings and end
  --version           print the version
  --help              print this text

exit codes: 0 done, 1 command line or settings are wrong, 2 refused (nothing ran),
            3 outcome unknown (ask again with the printed key), 4 the answer broke off
)";

// Without a command: --help, --version and --check-config.
int runBare(const std::vector<std::string> &rest)
{
    cxxopts::Options options("wisteria-call");
    addCommonOptions(options);
    auto arguments = parseArguments(options, "wisteria-call", rest);
    if (arguments.count("version")) {
        std::cout << "wisteria-call " << WISTERIA_VERSION << "\n";
        return exitOk;
    }
    if (arguments.count("check-config")) {
        auto settings = loadSettings<CallerSettings>(arguments, callerSettingsFromToml);
        if (!settings) {
            std::cerr << describe(settings.error()) << "\n";
            return exitUsage;
        }
        std::cout << "settings are valid\n";
        return exitOk;
    }
    (arguments.count("help") ? std::cout : std::cerr) << usage;
    return arguments.count("help") ? exitOk : exitUsage;
}

int run(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto [words, rest] = splitCommand(argc, argv, 1);
    if (words.empty())
        return runBare(rest);
    if (words[0] == "complete")
        return runComplete(rest);
    if (words[0] == "call")
        return runCall(rest);
    std::cerr << "unknown command " << words[0] << "\n" << usage;
    return exitUsage;
}

} // namespace detail

CallerOptions callerOptions(const CallerSettings &settings)
{
    CallerOptions options;
    options.seeds = settings.entryPoints;
    options.domain = settings.domain;
    return options;
}

} // namespace Wisteria

int main(int argc, char **argv)
{
    return Wisteria::runGuarded(Wisteria::detail::run, argc, argv);
}
