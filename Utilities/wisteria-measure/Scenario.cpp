// Scenario files, fault plans and policies by name.

#include "Scenario.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <exception>
#include <toml.hpp>

namespace Wisteria::Measure {

namespace detail {

const std::array plans{
    FaultPlan{"none"},
    // No patient work but a trace of it, against which urgent work is compared.
    FaultPlan{"idle", Fault::None, 0, 0.01},
    FaultPlan{"deaths-1", Fault::Deaths, 1},
    FaultPlan{"deaths-5", Fault::Deaths, 5},
    FaultPlan{"deaths-20", Fault::Deaths, 20},
    FaultPlan{"pauses", Fault::Pauses, 20},
    FaultPlan{"domain", Fault::DomainLost},
    FaultPlan{"routers", Fault::RouterDeaths, 20},
    FaultPlan{"load-120", Fault::None, 0, 1.2},
    FaultPlan{"load-120-deaths-20", Fault::Deaths, 20, 1.2},
};

absl::Duration milliseconds(const toml::value &table, const char *key)
{
    return absl::Milliseconds(toml::find<std::int64_t>(table, key));
}

EngineLot readLot(const toml::value &table)
{
    return EngineLot{toml::find<std::string>(table, "service"), toml::find<std::uint32_t>(table, "count"),
                     toml::find<std::uint32_t>(table, "slots"), toml::find<double>(table, "speed")};
}

WorkClass readClass(const toml::value &table)
{
    WorkClass work;
    work.service = toml::find<std::string>(table, "service");
    work.urgency = toml::find<bool>(table, "urgent") ? Urgency::Urgent : Urgency::Patient;
    work.load = toml::find<double>(table, "load");
    work.promptTokens = toml::find<std::uint32_t>(table, "prompt_tokens");
    work.headTokens = toml::find<std::uint32_t>(table, "head_tokens");
    work.answerTokens = toml::find<std::uint32_t>(table, "answer_tokens");
    work.deadline = milliseconds(table, "deadline_ms");
    return work;
}

Scenario read(const toml::value &table)
{
    Scenario out;
    out.name = toml::find<std::string>(table, "name");
    out.routers = toml::find<std::uint32_t>(table, "routers");
    out.domains = toml::find<std::uint32_t>(table, "domains");
    out.workspaces = toml::find<std::uint32_t>(table, "workspaces");
    out.headsPerWorkspace = toml::find<std::uint32_t>(table, "heads_per_workspace");
    out.clientLatency = milliseconds(table, "client_latency_ms");
    out.domainLatency = milliseconds(table, "domain_latency_ms");
    out.length = milliseconds(table, "length_ms");
    out.urgentReserve = toml::find<double>(table, "urgent_reserve");
    for (const auto &it : toml::find<std::vector<toml::value>>(table, "engines"))
        out.lots.push_back(readLot(it));
    for (const auto &it : toml::find<std::vector<toml::value>>(table, "work"))
        out.classes.push_back(readClass(it));
    return out;
}

} // namespace detail

ErrorOr<Scenario> readScenario(const std::string &path)
{
    // NOTE: toml11 reports errors by exceptions, which end here.
    try {
        return detail::read(toml::parse(path));
    } catch (const std::exception &ec) {
        return makeError(ErrorCode::InvalidSettings, absl::StrCat(path, ": ", ec.what()));
    }
}

ErrorOr<FaultPlan> faultPlan(const std::string &name)
{
    auto it = std::ranges::find(detail::plans, name, &FaultPlan::name);
    if (it == detail::plans.end())
        return makeError(ErrorCode::InvalidSettings, "unknown fault " + name);
    return *it;
}

std::vector<std::string> faultNames()
{
    std::vector<std::string> out;
    out.reserve(detail::plans.size());
    for (const auto &it : detail::plans)
        out.push_back(it.name);
    return out;
}

ErrorOr<Policy> parsePolicy(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '/');
    Policy policy;
    const bool hasThrift = parts.size() == 3;
    if (parts.size() != 2 && !hasThrift)
        return makeError(ErrorCode::InvalidSettings, "a policy is SELECTION/RESUME[/THRIFT]");
    policy.selection = parts[0];
    policy.resume = parts[1];
    if (hasThrift && !absl::SimpleAtod(parts[2], &policy.thrift))
        return makeError(ErrorCode::InvalidSettings, "thrift is a number: " + parts[2]);
    return policy;
}

FleetConfiguration configurationFor(const Scenario &scenario, const Policy &policy)
{
    FleetConfiguration out;
    out.version = ConfigVersion(1);
    for (const auto &it : scenario.classes) {
        ServiceSpec service{
            .name = ServiceName(it.service), .model = ModelName("model"), .modelVersion = "1"};
        out.services.emplace(service.name, service);
    }
    for (std::uint32_t n = 0; n < scenario.workspaces; ++n) {
        constexpr std::uint32_t ampleGenerations = 100000;
        WorkspaceSpec workspace{.name = WorkspaceName(absl::StrCat("w", n)),
                                .maxGenerations = ampleGenerations};
        out.workspaces.emplace(workspace.name, workspace);
    }
    PresetSpec preset{.name = PresetName("measured"), .selection = policy.selection};
    preset.urgentReserve = scenario.urgentReserve;
    preset.resume = ResumeSpec{policy.resume, policy.thrift};
    out.presetInForce = preset.name;
    out.presets.emplace(preset.name, preset);
    return out;
}

} // namespace Wisteria::Measure
