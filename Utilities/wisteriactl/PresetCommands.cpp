// wisteriactl preset: policies for ordinary days, peaks and maintenance, exactly one in force.

#include <wisteriactl/AdminClient.h>
#include <wisteriactl/Spec.h>
#include <wisteriactl/Table.h>

#include <absl/strings/str_cat.h>

namespace Wisteria::detail {

const std::vector<SpecFlag> presetFlags{
    {"selection", FlagKind::Text, "/selection", "target selection plug-in"},
    {"urgent-reserve", FlagKind::Number, "/urgent_reserve", "share of slots for urgent work only"},
    {"retry-budget", FlagKind::Number, "/retry_budget", "retries for each first attempt"},
    {"max-waiting", FlagKind::Number, "/max_waiting", "patient requests that may wait at a router"},
    {"drain-limit", FlagKind::Seconds, "/drain_limit_s", "how long a planned stop lets work run"},
    {"resume-policy", FlagKind::Text, "/resume/policy", "resume policy plug-in"},
    {"thrift", FlagKind::Number, "/resume/thrift", "0: least resume latency, 1: least extra engine work"}};

ErrorOr<void> putPreset(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    PresetName name(textOption(context, "name"));
    auto current = currentOrNew(configuration.presets, name, &PresetSpec::name);
    auto spec = TRY(readSpec(context, presetFlags, current));
    return context.client.apply(PutPreset{spec, TRY(expectedVersion(context, current.stamp))});
}

ErrorOr<void> showPreset(const CommandContext &context)
{
    return showItem(TRY(context.client.configuration()).presets, PresetName(textOption(context, "name")));
}

ErrorOr<void> listPresets(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    Table table(
        {"PRESET", "IN FORCE", "SELECTION", "URGENT RESERVE", "RESUME", "THRIFT", "CHANGED IN", "BY"});
    for (const auto &[name, it] : configuration.presets)
        table.addRow({name.value(), name == configuration.presetInForce ? std::string("yes") : std::string(),
                      it.selection, absl::StrCat(it.urgentReserve), it.resume.policy,
                      absl::StrCat(it.resume.thrift), absl::StrCat(it.stamp.changedIn.value()),
                      it.stamp.operatorName});
    table.print(std::cout);
    return {};
}

ErrorOr<nlohmann::json> presetJson(const FleetConfiguration &configuration, const std::string &name)
{
    auto it = configuration.presets.find(PresetName(name));
    if (it == configuration.presets.end())
        return makeError(ErrorCode::UnknownObject, name);
    auto json = nlohmann::json(it->second);
    json.erase("stamp");
    json.erase("name");
    return json.flatten();
}

ErrorOr<void> diffPresets(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    auto first = textOption(context, "first");
    auto second = textOption(context, "second");
    auto a = TRY(presetJson(configuration, first));
    auto b = TRY(presetJson(configuration, second));
    Table table({"FIELD", first, second});
    auto cell = [](const nlohmann::json &json, const std::string &key) {
        return json.contains(key) ? json[key].dump() : std::string("-");
    };
    auto keys = a;
    keys.update(b);
    for (const auto &[key, value] : keys.items()) {
        if (cell(a, key) != cell(b, key))
            table.addRow({key.substr(1), cell(a, key), cell(b, key)});
    }
    table.print(std::cout);
    return {};
}

ErrorOr<void> usePreset(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    PresetName name(textOption(context, "name"));
    return context.client.apply(
        PutInForce{name, TRY(expectedVersion(context, configuration.presetInForceStamp))});
}

const RegisterCommands registerPresetCommands{
    {"preset put",
     {"name"},
     "create or change a preset",
     [](auto &options) { addSpecOptions(options, presetFlags); },
     putPreset},
    {"preset show", {"name"}, "print a preset as JSON", {}, showPreset},
    {"preset list", {}, "list the presets", {}, listPresets},
    {"preset diff", {"first", "second"}, "show the fields in which two presets differ", {}, diffPresets},
    {"preset use", {"name"}, "put a preset in force", addExpectedOption, usePreset}};

} // namespace Wisteria::detail
