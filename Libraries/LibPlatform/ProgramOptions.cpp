// Command line and signals of the daemons.

#include <LibPlatform/ProgramOptions.h>

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <fstream>
#include <sstream>

namespace Wisteria {

std::optional<ProgramRequest> readCommandLine(const ProgramName &name, int argc, char **argv, int &exitCode)
{
    cxxopts::Options options(name.binary, name.purpose);
    // clang-format off
    options.add_options()
        ("config", "settings file (TOML)", cxxopts::value<std::string>())
        ("check-config", "check the settings and end")
        ("version", "print the version")
        ("help", "print this text");
    // clang-format on
    exitCode = exitOk;
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help() << "\nSIGTERM is a planned stop.\n";
            return std::nullopt;
        }
        if (arguments.count("version")) {
            std::cout << name.binary << " " << WISTERIA_VERSION << "\n";
            return std::nullopt;
        }
        if (arguments.count("config") && arguments.unmatched().empty())
            return ProgramRequest{arguments["config"].as<std::string>(), arguments.count("check-config") > 0};
        std::cerr << options.help();
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "\n";
    }
    exitCode = exitUsage;
    return std::nullopt;
}

ErrorOr<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return makeError(ErrorCode::InvalidSettings, "cannot read " + path);
    std::stringstream buf;
    buf << file.rdbuf();
    return buf.str();
}

namespace detail {

sigset_t daemonSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace detail

void holdSignals()
{
    const auto signals = detail::daemonSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void releaseSignals()
{
    const auto signals = detail::daemonSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

void waitForStop()
{
    const auto signals = detail::daemonSignals();
    for (int signal = SIGHUP; signal == SIGHUP;) {
        sigwait(&signals, &signal);
        if (signal == SIGHUP)
            LOG(INFO) << "SIGHUP has no effect: settings are read at the start only";
    }
}

} // namespace Wisteria
