// What is measured: the fleet, its work and the policy of one run.

#pragma once

#include <LibConfig/FleetConfiguration.h>
#include <LibCore/Error.h>

#include <optional>
#include <string>
#include <vector>

namespace Wisteria::Measure {

// Engines of one purchase: alike, and of one service.
struct EngineLot
{
    std::string service;
    std::uint32_t count{0};
    std::uint32_t slots{0};
    // Relative to the reference engine.
    double speed{1};
};

struct WorkClass
{
    std::string service;
    Urgency urgency{Urgency::Patient};
    // Share of the service's capacity that this class asks for.
    double load{0};
    std::uint32_t promptTokens{0};
    // Part of the prompt that requests with the same head share.
    std::uint32_t headTokens{0};
    std::uint32_t answerTokens{0};
    absl::Duration deadline;
};

struct Scenario
{
    std::string name;
    std::uint32_t routers{0};
    std::uint32_t domains{0};
    std::uint32_t workspaces{0};
    std::uint32_t headsPerWorkspace{0};
    absl::Duration clientLatency;
    absl::Duration domainLatency;
    absl::Duration length;
    double urgentReserve{0};
    std::vector<EngineLot> lots;
    std::vector<WorkClass> classes;
};

struct Policy
{
    std::string selection{"affinity"};
    std::string resume{"adaptive"};
    double thrift{0.5};
};

enum class Fault { None, Deaths, Pauses, DomainLost, RouterDeaths };

struct FaultPlan
{
    std::string name{"none"};
    Fault fault{Fault::None};
    double perHour{0};
    // Load of patient work in place of the scenario's.
    std::optional<double> patientLoad;
};

[[nodiscard]] ErrorOr<Scenario> readScenario(const std::string &path);
// Errors: InvalidSettings. Names are listed by faultNames().
[[nodiscard]] ErrorOr<FaultPlan> faultPlan(const std::string &name);
[[nodiscard]] std::vector<std::string> faultNames();
// "SELECTION/RESUME" or "SELECTION/RESUME/THRIFT".
[[nodiscard]] ErrorOr<Policy> parsePolicy(const std::string &text);

// The configuration that all routers of a run get.
[[nodiscard]] FleetConfiguration configurationFor(const Scenario &, const Policy &);

} // namespace Wisteria::Measure
