// An operator's change of the fleet's configuration, and the typed conflict when two operators race.

#pragma once

#include <LibConfig/FleetConfiguration.h>

#include <variant>
#include <vector>

namespace Wisteria {

// Each edit names the version in which the operator saw the item last; zero means that it did not exist.
struct PutService
{
    ServiceSpec spec;
    ConfigVersion expected;
};

struct PutWorkspace
{
    WorkspaceSpec spec;
    ConfigVersion expected;
};

struct PutPreset
{
    PresetSpec spec;
    ConfigVersion expected;
};

struct PutTarget
{
    TargetSpec spec;
    ConfigVersion expected;
};

struct PutInForce
{
    PresetName preset;
    ConfigVersion expected;
};

struct RemoveTarget
{
    TargetId target;
    ConfigVersion expected;
};

// Adds or replaces one counted router. One list change at a time keeps majorities of adjacent lists
// overlapping.
struct PutCountedRouter
{
    CountedRouter router;
};

struct RemoveCountedRouter
{
    RouterId router;
};

using Edit = std::variant<PutService, PutWorkspace, PutPreset, PutTarget, PutInForce, RemoveTarget,
                          PutCountedRouter, RemoveCountedRouter>;

struct ConfigurationChange
{
    // Unique for each change. A retry with the same id is recognised and applied once.
    std::string changeId;
    std::string operatorName;
    Edit edit;
};

// Whose change won a race.
struct ChangeConflict
{
    // For example "preset/peak" or "preset_in_force".
    std::string item;
    ItemStamp winner;
};

// The configuration after the change, with its version raised by one and the item stamped. When the change id
// was applied already, the configuration comes back as it is. Errors: Conflict (detail is the JSON form of
// ChangeConflict), UnknownObject, InvalidRequest.
[[nodiscard]] ErrorOr<FleetConfiguration> applyChange(const FleetConfiguration &,
                                                      const ConfigurationChange &);

// Whether the edit changes the list of counted routers, whose changes must be acknowledged one by one.
[[nodiscard]] bool changesCountedList(const Edit &);

// JSON forms on the operators' interface. Reading fails with ErrorCode::InvalidRequest.
[[nodiscard]] std::string toJson(const ConfigurationChange &);
[[nodiscard]] ErrorOr<ConfigurationChange> configurationChangeFromJson(std::string_view);
[[nodiscard]] std::string toJson(const ChangeConflict &);
[[nodiscard]] ErrorOr<ChangeConflict> changeConflictFromJson(std::string_view);

} // namespace Wisteria
