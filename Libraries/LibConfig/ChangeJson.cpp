// JSON forms of changes and conflicts on the operators' interface.

#include <LibConfig/Change.h>
#include <LibConfig/ConfigurationJson.h>

namespace Wisteria {

using nlohmann::json;

namespace detail {

// The longest change id and operator name that are accepted, in bytes.
constexpr std::size_t maxNameBytes = 200;

json editJson(const PutService &edit)
{
    return {{"kind", "put_service"}, {"spec", edit.spec}, {"expected", edit.expected}};
}

json editJson(const PutWorkspace &edit)
{
    return {{"kind", "put_workspace"}, {"spec", edit.spec}, {"expected", edit.expected}};
}

json editJson(const PutPreset &edit)
{
    return {{"kind", "put_preset"}, {"spec", edit.spec}, {"expected", edit.expected}};
}

json editJson(const PutTarget &edit)
{
    return {{"kind", "put_target"}, {"spec", edit.spec}, {"expected", edit.expected}};
}

json editJson(const PutInForce &edit)
{
    return {{"kind", "put_in_force"}, {"preset", edit.preset}, {"expected", edit.expected}};
}

json editJson(const RemoveTarget &edit)
{
    return {{"kind", "remove_target"}, {"target", edit.target}, {"expected", edit.expected}};
}

json editJson(const PutCountedRouter &edit)
{
    return {{"kind", "put_counted_router"}, {"router", edit.router}};
}

json editJson(const RemoveCountedRouter &edit)
{
    return {{"kind", "remove_counted_router"}, {"router", edit.router}};
}

ConfigVersion readExpected(const json &in)
{
    auto it = in.find("expected");
    if (it == in.end())
        return {};
    if (!it->is_number_unsigned())
        throw json::other_error::create(501, "expected: not a version", nullptr);
    return it->get<ConfigVersion>();
}

template <typename T>
T readPart(const json &in, const char *field)
{
    return in.at(field).get<T>();
}

Edit readEdit(const json &in)
{
    const auto kind = in.at("kind").get<std::string>();
    if (kind == "put_service")
        return PutService{readPart<ServiceSpec>(in, "spec"), readExpected(in)};
    if (kind == "put_workspace")
        return PutWorkspace{readPart<WorkspaceSpec>(in, "spec"), readExpected(in)};
    if (kind == "put_preset")
        return PutPreset{readPart<PresetSpec>(in, "spec"), readExpected(in)};
    if (kind == "put_target")
        return PutTarget{readPart<TargetSpec>(in, "spec"), readExpected(in)};
    if (kind == "put_in_force")
        return PutInForce{readPart<PresetName>(in, "preset"), readExpected(in)};
    if (kind == "remove_target")
        return RemoveTarget{readPart<TargetId>(in, "target"), readExpected(in)};
    if (kind == "put_counted_router")
        return PutCountedRouter{readPart<CountedRouter>(in, "router")};
    if (kind == "remove_counted_router")
        return RemoveCountedRouter{readPart<RouterId>(in, "router")};
    throw json::other_error::create(501, "edit.kind: unknown", nullptr);
}

std::string readShortName(const json &in, const char *field)
{
    auto name = in.at(field).get<std::string>();
    if (name.empty() || name.size() > maxNameBytes)
        throw json::other_error::create(501, std::string(field) + ": must have 1 to 200 bytes", nullptr);
    return name;
}

} // namespace detail

std::string toJson(const ConfigurationChange &change)
{
    const auto edit = std::visit([](const auto &it) { return detail::editJson(it); }, change.edit);
    return json{{"change_id", change.changeId}, {"operator", change.operatorName}, {"edit", edit}}.dump();
}

ErrorOr<ConfigurationChange> configurationChangeFromJson(std::string_view text)
{
    try {
        const auto in = json::parse(text);
        return ConfigurationChange{detail::readShortName(in, "change_id"),
                                   detail::readShortName(in, "operator"), detail::readEdit(in.at("edit"))};
    } catch (const json::exception &error) {
        return makeError(ErrorCode::InvalidRequest, error.what());
    }
}

std::string toJson(const ChangeConflict &conflict)
{
    return json{{"item", conflict.item}, {"winner", conflict.winner}}.dump();
}

ErrorOr<ChangeConflict> changeConflictFromJson(std::string_view text)
{
    try {
        const auto in = json::parse(text);
        return ChangeConflict{in.at("item").get<std::string>(), in.at("winner").get<ItemStamp>()};
    } catch (const json::exception &error) {
        return makeError(ErrorCode::InvalidRequest, error.what());
    }
}

} // namespace Wisteria
