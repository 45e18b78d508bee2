// The registry of subcommands.

#include <wisteriactl/Command.h>

namespace Wisteria {

std::map<std::string, Command> &commandRegistry()
{
    static std::map<std::string, Command> commands;
    return commands;
}

RegisterCommands::RegisterCommands(std::initializer_list<Command> commands)
{
    for (const auto &it : commands)
        commandRegistry().emplace(it.words, it);
}

std::string textOption(const CommandContext &context, const std::string &name)
{
    return context.arguments.count(name) ? context.arguments[name].as<std::string>() : std::string();
}

} // namespace Wisteria
