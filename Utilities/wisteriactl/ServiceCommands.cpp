// wisteriactl service: what callers may ask for.

#include <wisteriactl/AdminClient.h>
#include <wisteriactl/Spec.h>
#include <wisteriactl/Table.h>

#include <absl/strings/str_join.h>

namespace Wisteria::detail {

const std::vector<SpecFlag> serviceFlags{
    {"kind", FlagKind::Text, "/kind", "generation or plain"},
    {"model", FlagKind::Text, "/model", "model of a generation service"},
    {"model-version", FlagKind::Text, "/model_version", "its version"},
    {"idempotent", FlagKind::TextList, "/idempotent_operations", "operation that may run more than once"}};

ErrorOr<void> putService(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    ServiceName name(textOption(context, "name"));
    auto current = currentOrNew(configuration.services, name, &ServiceSpec::name);
    auto spec = TRY(readSpec(context, serviceFlags, current));
    return context.client.apply(PutService{spec, TRY(expectedVersion(context, current.stamp))});
}

ErrorOr<void> showService(const CommandContext &context)
{
    return showItem(TRY(context.client.configuration()).services, ServiceName(textOption(context, "name")));
}

ErrorOr<void> listServices(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    Table table({"SERVICE", "KIND", "MODEL", "VERSION", "IDEMPOTENT", "CHANGED IN", "BY"});
    for (const auto &[name, it] : configuration.services)
        table.addRow({name.value(), it.kind == ServiceKind::Plain ? "plain" : "generation", it.model.value(),
                      it.modelVersion, absl::StrJoin(it.idempotentOperations, ","),
                      std::to_string(it.stamp.changedIn.value()), it.stamp.operatorName});
    table.print(std::cout);
    return {};
}

const RegisterCommands registerServiceCommands{
    {"service put",
     {"name"},
     "create or change a service",
     [](auto &options) { addSpecOptions(options, serviceFlags); },
     putService},
    {"service show", {"name"}, "print a service as JSON", {}, showService},
    {"service list", {}, "list the services", {}, listServices}};

} // namespace Wisteria::detail
