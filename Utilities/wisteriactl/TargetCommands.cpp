// wisteriactl target: VMs that serve engines or plain services.

#include <wisteriactl/AdminClient.h>
#include <wisteriactl/Spec.h>
#include <wisteriactl/Table.h>

#include <absl/strings/str_cat.h>

namespace Wisteria::detail {

const std::vector<SpecFlag> targetFlags{
    {"service", FlagKind::Text, "/service", "service that it serves"},
    {"address", FlagKind::Text, "/address", "IP:port of its HTTP interface"},
    {"domain", FlagKind::Text, "/domain", "failure domain"},
    {"slots", FlagKind::Number, "/slots", "streams or calls at once"},
    {"order-checking", FlagKind::Text, "/order_checking", "checks_fencing or unchecked"}};

ErrorOr<TargetSpec> findTarget(const FleetConfiguration &configuration, const std::string &id)
{
    auto it = configuration.targets.find(TargetId(id));
    if (it == configuration.targets.end())
        return makeError(ErrorCode::UnknownObject, absl::StrCat("target/", id));
    return it->second;
}

ErrorOr<void> addTarget(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    TargetId id(textOption(context, "id"));
    auto current = currentOrNew(configuration.targets, id, &TargetSpec::id);
    // Adding a target that was retired brings it back.
    current.retiring = false;
    auto spec = TRY(readSpec(context, targetFlags, current));
    return context.client.apply(PutTarget{spec, TRY(expectedVersion(context, current.stamp))});
}

ErrorOr<void> retireTarget(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    auto spec = TRY(findTarget(configuration, textOption(context, "id")));
    auto expected = TRY(expectedVersion(context, spec.stamp));
    spec.retiring = true;
    return context.client.apply(PutTarget{spec, expected});
}

ErrorOr<void> removeTarget(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    auto spec = TRY(findTarget(configuration, textOption(context, "id")));
    return context.client.apply(RemoveTarget{spec.id, TRY(expectedVersion(context, spec.stamp))});
}

ErrorOr<void> showTarget(const CommandContext &context)
{
    return showItem(TRY(context.client.configuration()).targets, TargetId(textOption(context, "id")));
}

ErrorOr<void> listTargets(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    Table table({"TARGET", "SERVICE", "ADDRESS", "DOMAIN", "SLOTS", "RETIRING", "CHANGED IN", "BY"});
    for (const auto &[id, it] : configuration.targets)
        table.addRow({id.value(), it.service.value(), it.address, it.domain.value(), absl::StrCat(it.slots),
                      it.retiring ? std::string("yes") : std::string(),
                      absl::StrCat(it.stamp.changedIn.value()), it.stamp.operatorName});
    table.print(std::cout);
    return {};
}

const RegisterCommands registerTargetCommands{
    {"target add",
     {"id"},
     "add or change a target",
     [](auto &options) { addSpecOptions(options, targetFlags); },
     addTarget},
    {"target retire", {"id"}, "give a target no new work", addExpectedOption, retireTarget},
    {"target remove", {"id"}, "forget a target", addExpectedOption, removeTarget},
    {"target show", {"id"}, "print a target as JSON", {}, showTarget},
    {"target list", {}, "list the targets", {}, listTargets}};

} // namespace Wisteria::detail
