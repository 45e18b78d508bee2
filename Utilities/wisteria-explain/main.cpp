// wisteria-explain: prints the timeline of one request, or of one rollout, from the logs of gateways.

#include <LibGateway/RequestTimeline.h>
#include <LibGateway/RolloutTimeline.h>

#include <cxxopts.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace Wisteria::detail {

constexpr int exitUsageError = 1;
constexpr int exitNotFound = 2;

template <typename Timeline>
void readLines(std::istream &in, Timeline &timeline)
{
    std::string line;
    while (std::getline(in, line))
        timeline.addLine(line);
}

// Reads the log files, or the standard input if there are none. False if one can't be read.
template <typename Timeline>
bool readLogs(const std::vector<std::string> &paths, Timeline &timeline)
{
    if (paths.empty())
        readLines(std::cin, timeline);
    for (const auto &path : paths) {
        std::ifstream in(path);
        if (!in) {
            std::cerr << "wisteria-explain: cannot read " << path << "\n";
            return false;
        }
        readLines(in, timeline);
    }
    return true;
}

int explainRollout(const std::string &name, const std::vector<std::string> &paths)
{
    RolloutTimeline timeline(name);
    if (!readLogs(paths, timeline))
        return exitUsageError;
    std::cout << timeline.render();
    return timeline.isEmpty() ? exitNotFound : EXIT_SUCCESS;
}

int explain(int argc, char **argv)
{
    cxxopts::Options options(
        "wisteria-explain",
        "Prints the timeline of one request from the logs of gateways, and the cause of its outcome.\n"
        "Lines marked with ~ are process and target events from the same period.");
    auto add = options.add_options();
    add("request", "request ID", cxxopts::value<std::string>());
    add("rollout", "the argument is the name of a rollout's order, not a request ID");
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
    const auto subject = arguments["request"].as<std::string>();
    const auto paths = arguments.count("log") != 0 ? arguments["log"].as<std::vector<std::string>>()
                                                   : std::vector<std::string>();
    if (arguments.count("rollout") != 0)
        return explainRollout(subject, paths);
    RequestTimeline timeline(subject);
    if (!readLogs(paths, timeline))
        return exitUsageError;
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
