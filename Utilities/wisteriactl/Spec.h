// Reads an item's specification from flags or from a JSON file, over what is in force now.

#pragma once

#include <LibConfig/ConfigurationJson.h>
#include <wisteriactl/Command.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Wisteria {

enum class FlagKind { Text, Number, Seconds, TextList };

// A command-line flag that sets one field of a specification's JSON form.
struct SpecFlag
{
    std::string name;
    FlagKind kind{FlagKind::Text};
    // JSON pointer of the field.
    std::string field;
    std::string help;
};

// Adds the flags, --from FILE and --expected VERSION.
void addSpecOptions(cxxopts::Options &options, const std::vector<SpecFlag> &flags);

namespace detail {

// The JSON form that --from and the flags ask for. Errors: InvalidRequest, InvalidSettings.
[[nodiscard]] ErrorOr<nlohmann::json>
readSpecJson(const CommandContext &context, const std::vector<SpecFlag> &flags, nlohmann::json current);
// Empty when all of `asked` stands in `read`; otherwise the pointer of the first field that does not, because
// its name is unknown or its value none of those that the field takes.
[[nodiscard]] std::string firstLostField(const nlohmann::json &asked, const nlohmann::json &read);

} // namespace detail

// `current` is the item in force, or a new one with its name set. Errors: InvalidRequest, InvalidSettings.
template <typename Spec>
[[nodiscard]] ErrorOr<Spec> readSpec(const CommandContext &context, const std::vector<SpecFlag> &flags,
                                     const Spec &current)
{
    auto json = TRY(detail::readSpecJson(context, flags, nlohmann::json(current)));
    try {
        auto spec = json.template get<Spec>();
        auto lost = detail::firstLostField(json, nlohmann::json(spec));
        if (!lost.empty())
            return makeError(ErrorCode::InvalidRequest, lost + ": unknown field or value");
        return spec;
    } catch (const nlohmann::json::exception &e) {
        return makeError(ErrorCode::InvalidRequest, e.what());
    }
}

void addExpectedOption(cxxopts::Options &options);
// The version that the change names as seen: --expected, or that of the item in force. Errors:
// InvalidRequest.
[[nodiscard]] ErrorOr<ConfigVersion> expectedVersion(const CommandContext &context, const ItemStamp &stamp);

// The entry of a map, or a new one under that name.
template <typename Spec, typename Map, typename Name>
[[nodiscard]] Spec currentOrNew(const Map &items, const Name &name, Name Spec::*nameField)
{
    auto it = items.find(name);
    if (it != items.end())
        return it->second;
    Spec spec;
    spec.*nameField = name;
    return spec;
}

// Prints an item as JSON, or fails with UnknownObject.
template <typename Map, typename Name>
[[nodiscard]] ErrorOr<void> showItem(const Map &items, const Name &name)
{
    auto it = items.find(name);
    if (it == items.end())
        return makeError(ErrorCode::UnknownObject, name.value());
    std::cout << nlohmann::json(it->second).dump(2) << "\n";
    return {};
}

} // namespace Wisteria
