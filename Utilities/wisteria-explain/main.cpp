// wisteria-explain: prints the timeline of one request from the logs of gateways.

#include <LibGateway/RequestTimeline.h>

#include <cxxopts.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace Wisteria::detail {

constexpr int exitUsageError = 1;
constexpr int exitNotFound = 2;

void readLines(std::istream &in, RequestTimeline &timeline)
{
    std::string line;
    while (std::getline(in, line))
        timeline.addLine(line);
}

int explain(int argc, char **argv)
{
    cxxopts::Options options(
        "wisteria-explain",
        "Prints the timeline of one request from the logs of gateways, and the cause of its outcome.\n"
        "Lines marked with ~ are process and target events from the same period.");
    auto add = options.add_options();
    add("request", "request ID", cxxopts::value<std::string>());
    add("log", "log files; standard input if none is given", cxxopts::value<std::vector<std::string>>());
    add("version", "print the version");
    add("help", "print this help");
    options.parse_positional({"request", "log"});
    options.positional_help("REQUEST [LOG...]");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("version") != 0) {
        std::cout << "wisteria-explain " << WISTERIA_VERSION << "\n";
        return EXIT_SUCCESS;
    }
    if (arguments.count("help") != 0 || arguments.count("request") == 0) {
        std::cout << options.help();
        return arguments.count("help") != 0 ? EXIT_SUCCESS : exitUsageError;
    }
    RequestTimeline timeline(arguments["request"].as<std::string>());
    if (arguments.count("log") == 0) {
        readLines(std::cin, timeline);
    } else {
        for (const auto &path : arguments["log"].as<std::vector<std::string>>()) {
            std::ifstream in(path);
            if (!in) {
                std::cerr << "wisteria-explain: cannot read " << path << "\n";
                return exitUsageError;
            }
            readLines(in, timeline);
        }
    }
    std::cout << timeline.render();
    if (timeline.skippedLines() > 0)
        std::cerr << "wisteria-explain: " << timeline.skippedLines()
                  << " lines skipped that are not gateway log lines\n";
    return timeline.isEmpty() ? exitNotFound : EXIT_SUCCESS;
}

} // namespace Wisteria::detail

int main(int argc, char **argv)
{
    try {
        return Wisteria::detail::explain(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "wisteria-explain: " << error.what() << "\n";
        return Wisteria::detail::exitUsageError;
    }
}
