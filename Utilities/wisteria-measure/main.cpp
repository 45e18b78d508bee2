// wisteria-measure: the policy tables from the virtual clock, and the slopes behind docs/CAPACITY.md.

#include "Fleet.h"
#include "Slopes.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <iostream>
#include <sstream>
#include <thread>

namespace Wisteria::Measure {

struct CommandLine
{
    Scenario scenario;
    std::vector<Policy> policies;
    std::vector<FaultPlan> faults;
    std::uint64_t seeds{1};
    unsigned jobs{1};
    bool asJson{false};
    bool withTrace{false};
};

namespace detail {

struct Table
{
    std::vector<RunResult> runs;
    std::vector<Figure> figures;
    std::string trace;
};

// Runs the seeds from 1 on a few threads. Runs share nothing, so the order of their execution does not show.
std::vector<RunResult> runSeeds(const CommandLine &line, const Policy &policy, const FaultPlan &fault,
                                std::vector<std::ostringstream> &traces)
{
    std::vector<RunResult> out(line.seeds);
    std::atomic<std::uint64_t> nextSeed{0};
    auto work = [&] {
        for (std::uint64_t n = nextSeed++; n < line.seeds; n = nextSeed++) {
            std::ostream *trace = line.withTrace ? &traces[n] : nullptr;
            out[n] = Fleet(line.scenario, RunOptions{policy, fault, n + 1, trace}).run();
        }
    };
    std::vector<std::jthread> threads;
    for (unsigned n = 0; n < line.jobs; ++n)
        threads.emplace_back(work);
    threads.clear();
    return out;
}

// The failure-free runs of one policy, by the load of patient work.
using References = std::map<std::optional<double>, std::vector<RunResult>>;

Table measure(const CommandLine &line, const Policy &policy, const FaultPlan &fault, References &references)
{
    Table out;
    std::vector<std::ostringstream> traces(line.seeds);
    out.runs = runSeeds(line, policy, fault, traces);
    if (!references.contains(fault.patientLoad)) {
        const FaultPlan failureFree{"none", Fault::None, 0, fault.patientLoad};
        std::vector<std::ostringstream> unused(line.seeds);
        references[fault.patientLoad] =
            fault.fault == Fault::None ? out.runs : runSeeds(line, policy, failureFree, unused);
    }
    out.figures = summarise(out.runs, references.at(fault.patientLoad));
    for (const auto &it : traces)
        out.trace += it.str();
    return out;
}

void printTable(const std::string &title, const Table &table)
{
    std::cout << title << "\n";
    std::cout << absl::StreamFormat("  %-28s %10s %10s %10s\n", "", "median", "least", "most");
    for (const auto &it : table.figures)
        std::cout << absl::StreamFormat("  %-28s %10.3f %10.3f %10.3f %s\n", it.name, it.median, it.least,
                                        it.most, it.unit);
    std::map<std::string, std::uint64_t> refusals;
    for (const auto &run : table.runs) {
        for (const auto &[name, n] : run.refusals)
            refusals[name] += n;
    }
    for (const auto &[name, n] : refusals)
        std::cout << "  refused as " << name << " over all seeds: " << n << "\n";
}

void printJson(const std::string &title, const Table &table)
{
    nlohmann::ordered_json out;
    out["run"] = title;
    for (const auto &it : table.figures)
        out["figures"].push_back({{"name", it.name},
                                  {"unit", it.unit},
                                  {"median", it.median},
                                  {"least", it.least},
                                  {"most", it.most}});
    std::cout << out.dump() << "\n";
}

bool isTruthful(const Table &table)
{
    for (const auto &it : table.runs) {
        if (it.wrongTokens > 0 || it.unanswered > 0)
            return false;
    }
    return true;
}

} // namespace detail

ErrorOr<CommandLine> readCommandLine(const cxxopts::ParseResult &options)
{
    CommandLine out;
    out.scenario = TRY(readScenario(options["scenario"].as<std::string>()));
    for (const auto &it : options["policy"].as<std::vector<std::string>>())
        out.policies.push_back(TRY(parsePolicy(it)));
    for (const auto &it : options["fault"].as<std::vector<std::string>>())
        out.faults.push_back(TRY(faultPlan(it)));
    out.seeds = options["seeds"].as<std::uint64_t>();
    out.jobs = options["jobs"].as<unsigned>();
    out.asJson = options.count("json") > 0;
    out.withTrace = options.count("trace") > 0;
    return out;
}

// The exit status: 1 when a caller got a wrong answer or none at all.
int run(const CommandLine &line)
{
    int status = 0;
    for (const auto &policy : line.policies) {
        detail::References references;
        for (const auto &fault : line.faults) {
            const std::string title =
                absl::StrCat(line.scenario.name, ", ", fault.name, ", ", policy.selection, "/", policy.resume,
                             "/", policy.thrift, ", ", line.seeds, " seeds");
            const auto table = detail::measure(line, policy, fault, references);
            if (line.asJson)
                detail::printJson(title, table);
            else
                detail::printTable(title, table);
            std::cout << table.trace << std::flush;
            if (!detail::isTruthful(table))
                status = 1;
        }
    }
    return status;
}

int start(int argc, char **argv)
{
    cxxopts::Options options("wisteria-measure", "Measures the routing decisions on a virtual clock.");
    options.add_options()("command", "tables or slopes",
                          cxxopts::value<std::string>()->default_value("tables"))(
        "scenario", "scenario file",
        cxxopts::value<std::string>()->default_value("Utilities/wisteria-measure/scenarios/kalpaka.toml"))(
        "policy", "SELECTION/RESUME[/THRIFT], may be given often",
        cxxopts::value<std::vector<std::string>>()->default_value("affinity/adaptive/0.5"))(
        "fault", absl::StrCat("one of ", absl::StrJoin(faultNames(), ", "), "; may be given often"),
        cxxopts::value<std::vector<std::string>>()->default_value("deaths-20"))(
        "seeds", "runs, with seeds from 1", cxxopts::value<std::uint64_t>()->default_value("10"))(
        "jobs", "runs at once", cxxopts::value<unsigned>()->default_value("3"))(
        "json", "one JSON line a table")("trace", "print the decisions of slow resumes")("help", "this text");
    options.parse_positional({"command"});
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    if (parsed["command"].as<std::string>() == "slopes")
        return printSlopes();
    const auto line = readCommandLine(parsed);
    if (!line) {
        std::cerr << errorName(line.error().code) << ": " << line.error().detail << "\n";
        return 2;
    }
    return run(*line);
}

} // namespace Wisteria::Measure

int main(int argc, char **argv)
{
    // NOTE: cxxopts reports errors by exceptions, which end here.
    try {
        return Wisteria::Measure::start(argc, argv);
    } catch (const std::exception &ec) {
        std::cerr << ec.what() << "\n";
        return 2;
    }
}
