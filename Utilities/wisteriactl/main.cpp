// wisteriactl: the operators' command line.

#include <wisteriactl/AdminClient.h>
#include <wisteriactl/Command.h>

#include <csignal>

namespace Wisteria::detail {

constexpr std::size_t maxWords = 2;

void printUsage(std::ostream &out)
{
    out << "usage: wisteriactl [--config FILE] COMMAND [OPTIONS]\n";
    for (const auto &[words, command] : commandRegistry()) {
        auto line = words;
        for (const auto &it : command.positionals)
            line += " " + it;
        constexpr std::size_t column = 28;
        line.resize(std::max(column, line.size() + 1), ' ');
        out << "  " << line << command.help << "\n";
    }
    out << "wisteriactl COMMAND --help lists the options of a command.\n"
           "  --config FILE, --check-config, --version, --help\n\n"
           "exit codes: 0 done, 1 command line or settings are wrong, 2 refused (no effect),\n"
           "            3 outcome unknown (repeat with the printed --change-id), 4 another change won\n";
}

// Takes the longest known command off the front of the words; what remains are positional arguments.
const Command *findCommand(CommandWords &words)
{
    auto two = words.words.size() > 1 ? words.words[0] + " " + words.words[1] : std::string();
    auto it = commandRegistry().find(two);
    if (it != commandRegistry().end())
        return &it->second;
    it = words.words.empty() ? commandRegistry().end() : commandRegistry().find(words.words[0]);
    if (it == commandRegistry().end())
        return nullptr;
    // The second word is a positional argument.
    if (words.words.size() > 1)
        words.rest.insert(words.rest.begin(), words.words[1]);
    return &it->second;
}

cxxopts::Options makeOptions(const Command &command)
{
    cxxopts::Options options("wisteriactl " + command.words, command.help);
    addCommonOptions(options);
    auto add = options.add_options();
    add("operator", "name recorded with the change, in place of the settings' one",
        cxxopts::value<std::string>());
    add("change-id", "repeat a change whose outcome is unknown", cxxopts::value<std::string>());
    if (command.addOptions)
        command.addOptions(options);
    std::string help;
    for (const auto &it : command.positionals) {
        add(it, "", cxxopts::value<std::string>());
        help += (help.empty() ? "" : " ") + it;
    }
    options.parse_positional(command.positionals);
    options.positional_help(help);
    return options;
}

ErrorOr<OperatorSettings> operatorSettings(const cxxopts::ParseResult &arguments)
{
    auto settings = TRY(loadSettings<OperatorSettings>(arguments, operatorSettingsFromToml));
    if (arguments.count("operator"))
        settings.operatorName = arguments["operator"].as<std::string>();
    if (settings.operatorName.empty())
        return makeError(ErrorCode::InvalidSettings,
                         "give the operator's name in the settings or --operator");
    return settings;
}

// Says what became of the command and returns the exit code.
int report(const AdminClient &client, const ErrorOr<void> &result)
{
    if (result)
        return exitOk;
    const auto &error = result.error();
    const auto &failure = client.failure();
    if (failure && failure->conflict) {
        const auto &winner = failure->conflict->winner;
        std::cerr << "wisteriactl: conflict: " << failure->conflict->item << " was changed by "
                  << winner.operatorName << " in version " << winner.changedIn << " (change "
                  << winner.changeId << ")\n";
        return exitConflict;
    }
    std::cerr << "wisteriactl: " << describe(error) << "\n";
    if (error.code == ErrorCode::Conflict)
        return exitConflict;
    if (failure && error.code == ErrorCode::StoreOutcomeUnknown) {
        std::cerr << "wisteriactl: the change may take effect; repeat the command with --change-id "
                  << client.changeId() << "\n";
        return exitUnknown;
    }
    if (error.code == ErrorCode::InvalidRequest || error.code == ErrorCode::InvalidSettings)
        return exitUsage;
    return exitRefused;
}

int runCommand(const Command &command, const std::vector<std::string> &rest)
{
    auto options = makeOptions(command);
    auto arguments = parseArguments(options, "wisteriactl", rest);
    if (arguments.count("help")) {
        std::cout << options.help();
        return exitOk;
    }
    for (const auto &it : command.positionals) {
        if (!arguments.count(it)) {
            std::cerr << "wisteriactl: " << command.words << " needs " << it << "\n";
            return exitUsage;
        }
    }
    auto settings = operatorSettings(arguments);
    if (!settings) {
        std::cerr << "wisteriactl: " << describe(settings.error()) << "\n";
        return exitUsage;
    }
    auto changeId = arguments.count("change-id") ? arguments["change-id"].as<std::string>() : "";
    AdminClient client(*settings, changeId);
    return report(client, command.run({client, arguments}));
}

// Without a command: --help, --version and --check-config.
int runBare(const std::vector<std::string> &rest)
{
    cxxopts::Options options("wisteriactl");
    addCommonOptions(options);
    auto arguments = parseArguments(options, "wisteriactl", rest);
    if (arguments.count("version")) {
        std::cout << "wisteriactl " << WISTERIA_VERSION << "\n";
        return exitOk;
    }
    if (arguments.count("check-config")) {
        auto settings = loadSettings<OperatorSettings>(arguments, operatorSettingsFromToml);
        (settings ? std::cout : std::cerr)
            << (settings ? "settings are valid" : describe(settings.error())) << "\n";
        return settings ? exitOk : exitUsage;
    }
    printUsage(arguments.count("help") ? std::cout : std::cerr);
    return arguments.count("help") ? exitOk : exitUsage;
}

int run(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto words = splitCommand(argc, argv, maxWords);
    if (words.words.empty())
        return runBare(words.rest);
    if (const auto *command = findCommand(words))
        return runCommand(*command, words.rest);
    std::cerr << "wisteriactl: unknown command\n";
    printUsage(std::cerr);
    return exitUsage;
}

} // namespace Wisteria::detail

int main(int argc, char **argv)
{
    return Wisteria::runGuarded(Wisteria::detail::run, argc, argv);
}
