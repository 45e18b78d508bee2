// wisteriactl status: the fleet as one router sees it, or as each router sees itself.

#include <wisteriactl/AdminClient.h>
#include <wisteriactl/Command.h>
#include <wisteriactl/Table.h>

namespace Wisteria::detail {

// A JSON field as a cell, "-" when it is absent.
std::string cell(const nlohmann::json &json, const char *field)
{
    auto it = json.find(field);
    if (it == json.end() || it->is_null())
        return "-";
    if (it->is_boolean())
        return it->get<bool>() ? "yes" : "no";
    return it->is_string() ? it->get<std::string>() : it->dump();
}

void printRows(const nlohmann::json &rows, const std::vector<const char *> &fields,
               std::vector<std::string> header)
{
    Table table(std::move(header));
    for (const auto &row : rows) {
        std::vector<std::string> cells;
        cells.reserve(fields.size());
        for (const auto *field : fields)
            cells.push_back(cell(row, field));
        table.addRow(std::move(cells));
    }
    table.print(std::cout);
}

// Adds to each router what it says of itself, or the error's type.
void askEachRouter(AdminClient &client, nlohmann::json &routers)
{
    for (auto &it : routers) {
        auto own = client.statusAt(it.value("address", ""));
        if (!own) {
            it["answer"] = std::string(errorName(own.error().code));
            continue;
        }
        it["answer"] = "ok";
        for (const auto *field : {"config_version", "preset_in_force", "fresh", "generations"})
            it[field] = own->value(field, nlohmann::json());
    }
}

ErrorOr<void> showStatus(const CommandContext &context)
{
    auto status = TRY(context.client.status());
    auto routers = status.value("routers", nlohmann::json::array());
    bool isEach = context.arguments.count("each") > 0;
    if (isEach)
        askEachRouter(context.client, routers);
    status["routers"] = routers;
    if (context.arguments.count("json")) {
        std::cout << status.dump(2) << "\n";
        return {};
    }
    std::cout << "as seen by " << cell(status, "router") << ": version " << cell(status, "config_version")
              << ", preset " << cell(status, "preset_in_force") << ", fresh " << cell(status, "fresh")
              << ", generations " << cell(status, "generations") << "\n\n";
    if (isEach)
        printRows(routers,
                  {"id", "phase", "address", "domain", "load_per_mille", "answer", "config_version",
                   "preset_in_force", "fresh", "generations"},
                  {"ROUTER", "PHASE", "ADDRESS", "DOMAIN", "LOAD/1000", "ANSWER", "VERSION", "PRESET",
                   "FRESH", "GENERATIONS"});
    else
        printRows(routers, {"id", "phase", "address", "domain", "load_per_mille"},
                  {"ROUTER", "PHASE", "ADDRESS", "DOMAIN", "LOAD/1000"});
    std::cout << "\n";
    printRows(status.value("targets", nlohmann::json::array()),
              {"id", "phase", "service", "address", "domain", "slots"},
              {"TARGET", "PHASE", "SERVICE", "ADDRESS", "DOMAIN", "SLOTS"});
    return {};
}

void addStatusOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("json", "print JSON");
    add("each", "ask each router for its own version, preset and freshness");
}

const RegisterCommands registerStatusCommand{
    {"status", {}, "show routers and targets", addStatusOptions, showStatus}};

} // namespace Wisteria::detail
