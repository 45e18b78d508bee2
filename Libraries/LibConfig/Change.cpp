// Applies one operator's change to a configuration. Pure functions: the object API's conditional update
// makes the result take effect.

#include <LibConfig/Change.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

using Outcome = ErrorOr<void>;

Outcome checkExpected(const std::string &item, const ItemStamp &stamp, ConfigVersion expected)
{
    if (stamp.changedIn == expected)
        return {};
    return makeError(ErrorCode::Conflict, toJson(ChangeConflict{item, stamp}));
}

// Puts a named item after comparing the version that its operator saw last.
template <typename Map, typename Spec>
Outcome putItem(Map &map, const typename Map::key_type &key, const std::string &item, const Spec &spec,
                ConfigVersion expected, const ItemStamp &stamp)
{
    auto it = map.find(key);
    TRY_VOID(checkExpected(item, it == map.end() ? ItemStamp{} : it->second.stamp, expected));
    auto &entry = map[key];
    entry = spec;
    entry.stamp = stamp;
    return {};
}

Outcome apply(FleetConfiguration &next, const PutService &edit, const ItemStamp &stamp)
{
    const auto &name = edit.spec.name;
    return putItem(next.services, name, "service/" + name.value(), edit.spec, edit.expected, stamp);
}

Outcome apply(FleetConfiguration &next, const PutWorkspace &edit, const ItemStamp &stamp)
{
    const auto &name = edit.spec.name;
    return putItem(next.workspaces, name, "workspace/" + name.value(), edit.spec, edit.expected, stamp);
}

Outcome apply(FleetConfiguration &next, const PutPreset &edit, const ItemStamp &stamp)
{
    const auto &name = edit.spec.name;
    return putItem(next.presets, name, "preset/" + name.value(), edit.spec, edit.expected, stamp);
}

Outcome apply(FleetConfiguration &next, const PutTarget &edit, const ItemStamp &stamp)
{
    if (!next.services.contains(edit.spec.service))
        return makeError(ErrorCode::UnknownObject, "service/" + edit.spec.service.value());
    const auto &id = edit.spec.id;
    return putItem(next.targets, id, "target/" + id.value(), edit.spec, edit.expected, stamp);
}

Outcome apply(FleetConfiguration &next, const PutInForce &edit, const ItemStamp &stamp)
{
    if (!next.presets.contains(edit.preset))
        return makeError(ErrorCode::UnknownObject, "preset/" + edit.preset.value());
    TRY_VOID(checkExpected("preset_in_force", next.presetInForceStamp, edit.expected));
    next.presetInForce = edit.preset;
    next.presetInForceStamp = stamp;
    return {};
}

Outcome apply(FleetConfiguration &next, const RemoveTarget &edit, const ItemStamp &)
{
    auto it = next.targets.find(edit.target);
    if (it == next.targets.end())
        return makeError(ErrorCode::UnknownObject, "target/" + edit.target.value());
    TRY_VOID(checkExpected("target/" + edit.target.value(), it->second.stamp, edit.expected));
    next.targets.erase(it);
    return {};
}

auto findCounted(std::vector<CountedRouter> &list, const RouterId &id)
{
    return std::find_if(list.begin(), list.end(), [&](const auto &it) { return it.id == id; });
}

Outcome apply(FleetConfiguration &next, const PutCountedRouter &edit, const ItemStamp &)
{
    auto it = findCounted(next.countedRouters, edit.router.id);
    if (it != next.countedRouters.end()) {
        // The same router under a new address: the list of those who count stays the same.
        *it = edit.router;
        return {};
    }
    next.countedBefore = next.countedRouters;
    next.countedRouters.push_back(edit.router);
    return {};
}

Outcome apply(FleetConfiguration &next, const RemoveCountedRouter &edit, const ItemStamp &)
{
    auto it = findCounted(next.countedRouters, edit.router);
    if (it == next.countedRouters.end())
        return makeError(ErrorCode::UnknownObject, "counted_router/" + edit.router.value());
    next.countedBefore = next.countedRouters;
    next.countedRouters.erase(it);
    return {};
}

void remember(FleetConfiguration &next, const std::string &changeId)
{
    next.recentChanges.push_back({changeId, next.version});
    if (next.recentChanges.size() > maxRecentChanges)
        next.recentChanges.erase(next.recentChanges.begin());
}

} // namespace detail

ErrorOr<FleetConfiguration> applyChange(const FleetConfiguration &configuration,
                                        const ConfigurationChange &change)
{
    if (change.changeId.empty())
        return makeError(ErrorCode::InvalidRequest, "change_id must not be empty");
    if (configuration.versionOfChange(change.changeId))
        return configuration;
    FleetConfiguration next = configuration;
    next.version = ConfigVersion(configuration.version.value() + 1);
    const ItemStamp stamp{next.version, change.changeId, change.operatorName};
    TRY_VOID(std::visit([&](const auto &edit) { return detail::apply(next, edit, stamp); }, change.edit));
    detail::remember(next, change.changeId);
    return next;
}

bool changesCountedList(const Edit &edit)
{
    return std::holds_alternative<PutCountedRouter>(edit)
        || std::holds_alternative<RemoveCountedRouter>(edit);
}

} // namespace Wisteria
