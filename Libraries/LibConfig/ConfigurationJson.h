// nlohmann::json conversions of the configuration's parts, found by argument-dependent lookup.

#pragma once

#include <LibConfig/FleetConfiguration.h>

#include <nlohmann/json.hpp>

namespace Wisteria {

template <typename Tag, typename Rep>
void to_json(nlohmann::json &json, const StrongId<Tag, Rep> &id)
{
    json = id.value();
}

template <typename Tag, typename Rep>
void from_json(const nlohmann::json &json, StrongId<Tag, Rep> &id)
{
    id = StrongId<Tag, Rep>(json.get<Rep>());
}

void to_json(nlohmann::json &, const ItemStamp &);
void from_json(const nlohmann::json &, ItemStamp &);
void to_json(nlohmann::json &, const ServiceSpec &);
void from_json(const nlohmann::json &, ServiceSpec &);
void to_json(nlohmann::json &, const WorkspaceSpec &);
void from_json(const nlohmann::json &, WorkspaceSpec &);
void to_json(nlohmann::json &, const ResumeSpec &);
void from_json(const nlohmann::json &, ResumeSpec &);
void to_json(nlohmann::json &, const PresetSpec &);
void from_json(const nlohmann::json &, PresetSpec &);
void to_json(nlohmann::json &, const TargetSpec &);
void from_json(const nlohmann::json &, TargetSpec &);
void to_json(nlohmann::json &, const CountedRouter &);
void from_json(const nlohmann::json &, CountedRouter &);
void to_json(nlohmann::json &, const AppliedChange &);
void from_json(const nlohmann::json &, AppliedChange &);
void to_json(nlohmann::json &, const FleetConfiguration &);
void from_json(const nlohmann::json &, FleetConfiguration &);

} // namespace Wisteria
