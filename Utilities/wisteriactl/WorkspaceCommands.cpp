// wisteriactl workspace: who calls, with which share and limit.

#include <wisteriactl/AdminClient.h>
#include <wisteriactl/Spec.h>
#include <wisteriactl/Table.h>

#include <absl/strings/str_cat.h>

namespace Wisteria::detail {

const std::vector<SpecFlag> workspaceFlags{
    {"weight", FlagKind::Number, "/weight", "relative share of busy engines"},
    {"max-generations", FlagKind::Number, "/max_generations", "generations that run at once"}};

ErrorOr<void> putWorkspace(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    WorkspaceName name(textOption(context, "name"));
    auto current = currentOrNew(configuration.workspaces, name, &WorkspaceSpec::name);
    auto spec = TRY(readSpec(context, workspaceFlags, current));
    return context.client.apply(PutWorkspace{spec, TRY(expectedVersion(context, current.stamp))});
}

ErrorOr<void> showWorkspace(const CommandContext &context)
{
    return showItem(TRY(context.client.configuration()).workspaces,
                    WorkspaceName(textOption(context, "name")));
}

ErrorOr<void> listWorkspaces(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    Table table({"WORKSPACE", "WEIGHT", "MAX GENERATIONS", "CHANGED IN", "BY"});
    for (const auto &[name, it] : configuration.workspaces)
        table.addRow({name.value(), absl::StrCat(it.weight), absl::StrCat(it.maxGenerations),
                      absl::StrCat(it.stamp.changedIn.value()), it.stamp.operatorName});
    table.print(std::cout);
    return {};
}

const RegisterCommands registerWorkspaceCommands{
    {"workspace put",
     {"name"},
     "create or change a workspace",
     [](auto &options) { addSpecOptions(options, workspaceFlags); },
     putWorkspace},
    {"workspace show", {"name"}, "print a workspace as JSON", {}, showWorkspace},
    {"workspace list", {}, "list the workspaces", {}, listWorkspaces}};

} // namespace Wisteria::detail
