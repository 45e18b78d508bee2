// JSON form of the configuration. A field that is absent keeps its default; a wrong one is an error.

#include <LibConfig/ConfigurationJson.h>

#include <cmath>

namespace Wisteria {

using nlohmann::json;

namespace detail {

[[noreturn]] void rejectField(const char *field, const char *reason)
{
    throw json::other_error::create(501, std::string(field) + ": " + reason, nullptr);
}

template <typename T>
void read(const json &object, const char *field, T &out)
{
    if (!object.is_object())
        rejectField(field, "the enclosing value is not an object");
    if (auto it = object.find(field); it != object.end())
        it->get_to(out);
}

void readNumber(const json &object, const char *field, double least, double most, double &out)
{
    read(object, field, out);
    if (!std::isfinite(out) || out < least || out > most)
        rejectField(field, "out of range");
}

void readCount(const json &object, const char *field, std::uint32_t most, std::uint32_t &out)
{
    std::int64_t n = out;
    if (auto it = object.find(field); it != object.end()) {
        if (!it->is_number_integer())
            rejectField(field, "not a whole number");
        n = it->get<std::int64_t>();
    }
    if (n < 0 || n > most)
        rejectField(field, "out of range");
    out = static_cast<std::uint32_t>(n);
}

template <typename Id>
void readName(const json &object, const char *field, Id &out)
{
    read(object, field, out);
    if (out.value().empty())
        rejectField(field, "must not be empty");
}

// Reads a list of named items into a map by name.
template <typename Map, typename Name>
void readItems(const json &object, const char *field, Map &out, Name nameOf)
{
    std::vector<typename Map::mapped_type> items;
    read(object, field, items);
    for (auto &it : items)
        out.emplace(nameOf(it), it);
}

template <typename Map>
json itemsOf(const Map &map)
{
    json items = json::array();
    for (const auto &[name, item] : map)
        items.push_back(item);
    return items;
}

} // namespace detail

NLOHMANN_JSON_SERIALIZE_ENUM(ServiceKind,
                             {{ServiceKind::Generation, "generation"}, {ServiceKind::Plain, "plain"}})
NLOHMANN_JSON_SERIALIZE_ENUM(OrderChecking,
                             {{OrderChecking::Unchecked, "unchecked"},
                              {OrderChecking::ChecksFencing, "checks_fencing"}})

void to_json(json &out, const ItemStamp &stamp)
{
    out = {{"changed_in", stamp.changedIn}, {"change_id", stamp.changeId}, {"operator", stamp.operatorName}};
}

void from_json(const json &in, ItemStamp &stamp)
{
    detail::read(in, "changed_in", stamp.changedIn);
    detail::read(in, "change_id", stamp.changeId);
    detail::read(in, "operator", stamp.operatorName);
}

void to_json(json &out, const ServiceSpec &spec)
{
    out = {{"name", spec.name},
           {"kind", spec.kind},
           {"model", spec.model},
           {"model_version", spec.modelVersion},
           {"idempotent_operations", spec.idempotentOperations},
           {"stamp", spec.stamp}};
}

void from_json(const json &in, ServiceSpec &spec)
{
    detail::readName(in, "name", spec.name);
    detail::read(in, "kind", spec.kind);
    detail::read(in, "model", spec.model);
    detail::read(in, "model_version", spec.modelVersion);
    detail::read(in, "idempotent_operations", spec.idempotentOperations);
    detail::read(in, "stamp", spec.stamp);
}

void to_json(json &out, const WorkspaceSpec &spec)
{
    out = {{"name", spec.name},
           {"weight", spec.weight},
           {"max_generations", spec.maxGenerations},
           {"stamp", spec.stamp}};
}

void from_json(const json &in, WorkspaceSpec &spec)
{
    detail::readName(in, "name", spec.name);
    detail::readNumber(in, "weight", 0.001, 1000, spec.weight);
    detail::readCount(in, "max_generations", 1000000, spec.maxGenerations);
    detail::read(in, "stamp", spec.stamp);
}

void to_json(json &out, const ResumeSpec &spec)
{
    out = {{"policy", spec.policy}, {"thrift", spec.thrift}};
}

void from_json(const json &in, ResumeSpec &spec)
{
    detail::read(in, "policy", spec.policy);
    detail::readNumber(in, "thrift", 0, 1, spec.thrift);
}

void to_json(json &out, const PresetSpec &spec)
{
    json byService = json::object();
    for (const auto &[service, resume] : spec.resumeByService)
        byService[service.value()] = resume;
    out = {{"name", spec.name},
           {"selection", spec.selection},
           {"urgent_reserve", spec.urgentReserve},
           {"retry_budget", spec.retryBudget},
           {"max_waiting", spec.maxWaiting},
           {"drain_limit_s", absl::ToDoubleSeconds(spec.drainLimit)},
           {"resume", spec.resume},
           {"resume_by_service", byService},
           {"stamp", spec.stamp}};
}

void from_json(const json &in, PresetSpec &spec)
{
    constexpr double maxDrainSeconds = 3600;
    detail::readName(in, "name", spec.name);
    detail::read(in, "selection", spec.selection);
    detail::readNumber(in, "urgent_reserve", 0, 0.9, spec.urgentReserve);
    detail::readNumber(in, "retry_budget", 0, 10, spec.retryBudget);
    detail::readCount(in, "max_waiting", 1000000, spec.maxWaiting);
    double drainSeconds = absl::ToDoubleSeconds(spec.drainLimit);
    detail::readNumber(in, "drain_limit_s", 0, maxDrainSeconds, drainSeconds);
    spec.drainLimit = absl::Seconds(drainSeconds);
    detail::read(in, "resume", spec.resume);
    json byService = json::object();
    detail::read(in, "resume_by_service", byService);
    for (const auto &[name, resume] : byService.items())
        spec.resumeByService[ServiceName(name)] = resume.get<ResumeSpec>();
    detail::read(in, "stamp", spec.stamp);
}

void to_json(json &out, const TargetSpec &spec)
{
    out = {{"id", spec.id},
           {"service", spec.service},
           {"address", spec.address},
           {"domain", spec.domain},
           {"slots", spec.slots},
           {"order_checking", spec.orderChecking},
           {"retiring", spec.retiring},
           {"stamp", spec.stamp}};
}

void from_json(const json &in, TargetSpec &spec)
{
    detail::readName(in, "id", spec.id);
    detail::readName(in, "service", spec.service);
    detail::read(in, "address", spec.address);
    detail::read(in, "domain", spec.domain);
    detail::readCount(in, "slots", 100000, spec.slots);
    detail::read(in, "order_checking", spec.orderChecking);
    detail::read(in, "retiring", spec.retiring);
    detail::read(in, "stamp", spec.stamp);
}

void to_json(json &out, const CountedRouter &router)
{
    out = {{"id", router.id}, {"peer_address", router.peerAddress}, {"domain", router.domain}};
}

void from_json(const json &in, CountedRouter &router)
{
    detail::readName(in, "id", router.id);
    detail::read(in, "peer_address", router.peerAddress);
    detail::read(in, "domain", router.domain);
}

void to_json(json &out, const AppliedChange &change)
{
    out = {{"change_id", change.changeId}, {"version", change.version}};
}

void from_json(const json &in, AppliedChange &change)
{
    detail::read(in, "change_id", change.changeId);
    detail::read(in, "version", change.version);
}

void to_json(json &out, const FleetConfiguration &configuration)
{
    out = {{"version", configuration.version},
           {"preset_in_force", configuration.presetInForce},
           {"preset_in_force_stamp", configuration.presetInForceStamp},
           {"services", detail::itemsOf(configuration.services)},
           {"workspaces", detail::itemsOf(configuration.workspaces)},
           {"presets", detail::itemsOf(configuration.presets)},
           {"targets", detail::itemsOf(configuration.targets)},
           {"counted_routers", configuration.countedRouters},
           {"counted_before", configuration.countedBefore},
           {"recent_changes", configuration.recentChanges}};
}

void from_json(const json &in, FleetConfiguration &configuration)
{
    auto name = [](const auto &spec) { return spec.name; };
    detail::read(in, "version", configuration.version);
    detail::read(in, "preset_in_force", configuration.presetInForce);
    detail::read(in, "preset_in_force_stamp", configuration.presetInForceStamp);
    detail::readItems(in, "services", configuration.services, name);
    detail::readItems(in, "workspaces", configuration.workspaces, name);
    detail::readItems(in, "presets", configuration.presets, name);
    detail::readItems(in, "targets", configuration.targets, [](const auto &spec) { return spec.id; });
    detail::read(in, "counted_routers", configuration.countedRouters);
    detail::read(in, "counted_before", configuration.countedBefore);
    detail::read(in, "recent_changes", configuration.recentChanges);
    if (!configuration.presetInForce.value().empty()
        && !configuration.presets.contains(configuration.presetInForce))
        detail::rejectField("preset_in_force", "names no preset");
}

const PresetSpec &FleetConfiguration::preset() const
{
    static const PresetSpec fallback{.name = PresetName("default")};
    auto it = presets.find(presetInForce);
    return it == presets.end() ? fallback : it->second;
}

std::optional<ConfigVersion> FleetConfiguration::versionOfChange(std::string_view changeId) const
{
    for (const auto &it : recentChanges) {
        if (it.changeId == changeId)
            return it.version;
    }
    return std::nullopt;
}

std::string toJson(const FleetConfiguration &configuration)
{
    return json(configuration).dump();
}

ErrorOr<FleetConfiguration> fleetConfigurationFromJson(std::string_view text)
{
    try {
        return json::parse(text).get<FleetConfiguration>();
    } catch (const json::exception &error) {
        return makeError(ErrorCode::InvalidRequest, error.what());
    }
}

} // namespace Wisteria
