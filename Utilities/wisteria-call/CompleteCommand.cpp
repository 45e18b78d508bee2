// wisteria-call complete: one generation.

#include <Common/CommandLine.h>
#include <LibCaller/HttpTransport.h>
#include <wisteria-call/Commands.h>
#include <wisteria-call/TokenPrinter.h>

#include <iterator>

namespace Wisteria {

namespace detail {

constexpr absl::Duration connectTimeout = absl::Milliseconds(500);

cxxopts::Options completeOptions()
{
    cxxopts::Options options("wisteria-call complete", "Asks for a generation and prints the answer.");
    addCommonOptions(options);
    auto add = options.add_options();
    auto text = [] { return cxxopts::value<std::string>(); };
    add("prompt", "the prompt; standard input without one", text());
    add("prompt-file", "file that holds the prompt; - for standard input", text());
    add("workspace", "workspace, in place of the settings' one", text());
    add("service", "service to ask", text());
    add("max-tokens", "longest answer", cxxopts::value<std::uint64_t>()->default_value("256"));
    add("urgency", "urgent or patient", text()->default_value("patient"));
    add("temperature", "sampling temperature", cxxopts::value<double>());
    add("seed", "sampling seed", cxxopts::value<std::uint64_t>());
    add("trace", "file for a JSON line for each token; - for standard error", text()->default_value(""));
    options.parse_positional({"prompt"});
    options.positional_help("[PROMPT]");
    return options;
}

ErrorOr<std::string> readPrompt(const cxxopts::ParseResult &arguments)
{
    if (arguments.count("prompt"))
        return arguments["prompt"].as<std::string>();
    auto file = arguments.count("prompt-file") ? arguments["prompt-file"].as<std::string>() : "-";
    if (file != "-")
        return readTextFile(file);
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
}

ErrorOr<CompletionRequest> readCompletionRequest(const cxxopts::ParseResult &arguments,
                                                 const CallerSettings &settings)
{
    CompletionRequest request;
    request.workspace = settings.workspace;
    if (arguments.count("workspace"))
        request.workspace = WorkspaceName(arguments["workspace"].as<std::string>());
    if (request.workspace.value().empty() || !arguments.count("service"))
        return makeError(ErrorCode::InvalidRequest, "--workspace and --service are required");
    request.service = ServiceName(arguments["service"].as<std::string>());
    request.maxTokens = arguments["max-tokens"].as<std::uint64_t>();
    request.timeout = settings.timeout;
    auto urgency = arguments["urgency"].as<std::string>();
    if (urgency != "urgent" && urgency != "patient")
        return makeError(ErrorCode::InvalidRequest, "--urgency must be urgent or patient");
    request.urgency = urgency == "urgent" ? Urgency::Urgent : Urgency::Patient;
    if (arguments.count("temperature"))
        request.temperature = arguments["temperature"].as<double>();
    if (arguments.count("seed"))
        request.seed = arguments["seed"].as<std::uint64_t>();
    request.prompt = TRY(readPrompt(arguments));
    return request;
}

// Runs one generation. Errors before the request is made are InvalidSettings or InvalidRequest.
ErrorOr<int> complete(const cxxopts::ParseResult &arguments)
{
    auto settings = TRY(loadSettings<CallerSettings>(arguments, callerSettingsFromToml));
    auto request = TRY(readCompletionRequest(arguments, settings));
    MachineClock clock;
    HttpTransport transport(connectTimeout);
    SeededRandom random(std::random_device{}());
    auto client = TRY(CallerClient::create(callerOptions(settings), transport, clock, random));
    auto printer = TRY(TokenPrinter::create(arguments["trace"].as<std::string>(), clock));
    auto result = client->complete(request, [&](const Token &token) {
        printer->print(token);
        return StreamControl::Continue;
    });
    printer->finish();
    if (result)
        return exitOk;
    std::cerr << "wisteria-call: " << describe(result.error()) << "\n";
    bool isBroken = printer->tokens() > 0 || result.error().code == ErrorCode::ProtocolViolation;
    return isBroken ? exitInterrupted : exitRefused;
}

} // namespace detail

int runComplete(const std::vector<std::string> &rest)
{
    auto options = detail::completeOptions();
    auto arguments = parseArguments(options, "wisteria-call complete", rest);
    if (arguments.count("help")) {
        std::cout << options.help();
        return exitOk;
    }
    auto result = detail::complete(arguments);
    if (result)
        return *result;
    std::cerr << "wisteria-call: " << describe(result.error()) << "\n";
    return exitUsage;
}

} // namespace Wisteria
