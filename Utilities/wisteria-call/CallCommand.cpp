// wisteria-call call: one operation of a plain service, with its truthful outcome as JSON and exit code.

#include <Common/CommandLine.h>
#include <LibCaller/HttpTransport.h>
#include <wisteria-call/Commands.h>

#include <nlohmann/json.hpp>

namespace Wisteria {

namespace detail {

constexpr absl::Duration connectTimeoutOfCalls = absl::Milliseconds(500);

cxxopts::Options callOptions()
{
    cxxopts::Options options("wisteria-call call", "Calls an operation of a plain service, at most once.");
    addCommonOptions(options);
    auto add = options.add_options();
    auto text = [] { return cxxopts::value<std::string>(); };
    add("workspace", "workspace, in place of the settings' one", text());
    add("service", "service to call", text());
    add("operation", "operation to call", text());
    add("arguments", "its arguments, a JSON object", text()->default_value("{}"));
    add("key", "own idempotency key; without one a ticket is taken", text());
    add("idempotent", "the operation may run more than once, so no key is sent");
    return options;
}

ErrorOr<ServiceCall> readCall(const cxxopts::ParseResult &arguments, const CallerSettings &settings)
{
    ServiceCall call;
    call.workspace = settings.workspace;
    if (arguments.count("workspace"))
        call.workspace = WorkspaceName(arguments["workspace"].as<std::string>());
    if (call.workspace.value().empty() || !arguments.count("service") || !arguments.count("operation"))
        return makeError(ErrorCode::InvalidRequest, "--workspace, --service and --operation are required");
    call.service = ServiceName(arguments["service"].as<std::string>());
    call.operation = arguments["operation"].as<std::string>();
    call.arguments = arguments["arguments"].as<std::string>();
    call.timeout = settings.timeout;
    if (arguments.count("key"))
        call.key = IdempotencyKey(arguments["key"].as<std::string>());
    if (arguments.count("idempotent"))
        call.repetition = Repetition::Idempotent;
    return call;
}

nlohmann::json errorJson(const Error &error)
{
    nlohmann::json json{{"type", std::string(errorName(error.code))}, {"message", error.detail}};
    if (error.retryAfter)
        json["retry_after_ms"] = absl::ToInt64Milliseconds(*error.retryAfter);
    return json;
}

// Prints one JSON line and returns the exit code.
int report(const CallResult &result)
{
    nlohmann::json json;
    int code = exitOk;
    if (const auto *ran = std::get_if<CallRan>(&result)) {
        json = {{"outcome", "ran"},
                {"status", ran->status},
                {"result", nlohmann::json::parse(ran->result, nullptr, false)}};
    } else if (const auto *notRun = std::get_if<CallNotRun>(&result)) {
        json = {{"outcome", "not_run"}, {"error", errorJson(notRun->error)}};
        code = exitRefused;
    } else {
        const auto &unknown = std::get<CallUnknown>(result);
        json = {{"outcome", "unknown"}, {"error", errorJson(unknown.error)}};
        if (unknown.key)
            json["key"] = unknown.key->value();
        code = exitUnknown;
    }
    std::cout << json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
    return code;
}

ErrorOr<int> call(const cxxopts::ParseResult &arguments)
{
    auto settings = TRY(loadSettings<CallerSettings>(arguments, callerSettingsFromToml));
    auto request = TRY(readCall(arguments, settings));
    MachineClock clock;
    HttpTransport transport(connectTimeoutOfCalls);
    SeededRandom random(std::random_device{}());
    auto client = TRY(CallerClient::create(callerOptions(settings), transport, clock, random));
    return report(client->call(request));
}

} // namespace detail

int runCall(const std::vector<std::string> &rest)
{
    auto options = detail::callOptions();
    auto arguments = parseArguments(options, "wisteria-call call", rest);
    if (arguments.count("help")) {
        std::cout << options.help();
        return exitOk;
    }
    auto result = detail::call(arguments);
    if (result)
        return *result;
    std::cerr << "wisteria-call: " << describe(result.error()) << "\n";
    return exitUsage;
}

} // namespace Wisteria
