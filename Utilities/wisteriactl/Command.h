// A subcommand of wisteriactl. Each one registers itself; main() looks it up by its words.

#pragma once

#include <Common/CommandLine.h>

#include <functional>
#include <map>
#include <string>

namespace Wisteria {

class AdminClient;

// Another operator's change won.
inline constexpr int exitConflict = 4;

struct CommandContext
{
    AdminClient &client;
    const cxxopts::ParseResult &arguments;
};

struct Command
{
    // For example "preset use".
    std::string words;
    // Positional arguments, all required, for example {"name"}.
    std::vector<std::string> positionals;
    std::string help;
    // Adds the command's own options. May be empty.
    std::function<void(cxxopts::Options &)> addOptions;
    std::function<ErrorOr<void>(const CommandContext &)> run;
};

// Commands by their words.
[[nodiscard]] std::map<std::string, Command> &commandRegistry();

// A static object of this type registers its commands.
struct RegisterCommands
{
    RegisterCommands(std::initializer_list<Command> commands);
};

// An option's text, empty when it is not given.
[[nodiscard]] std::string textOption(const CommandContext &context, const std::string &name);

} // namespace Wisteria
