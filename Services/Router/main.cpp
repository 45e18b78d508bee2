// wisteria-router: reads its settings, serves until a planned stop has finished, and ends.

#include <LibPlatform/ProgramOptions.h>
#include <Router/CallerServer.h>

#include <glog/logging.h>

namespace Wisteria::detail {

constexpr absl::Duration drainCheckInterval = absl::Milliseconds(100);
// Beyond a preset's longest drain limit and the hand-over after it, nothing is left that is worth waiting
// for.
constexpr absl::Duration longestDrain = absl::Minutes(70);

void waitUntilDrained(const RouterProcess &process)
{
    auto limit = monotonicNow() + longestDrain;
    while (!process.isDrained() && monotonicNow() < limit)
        absl::SleepFor(drainCheckInterval);
}

int serve(const RouterSettings &settings, const std::string &)
{
    auto process = RouterProcess::create(settings);
    if (!process) {
        LOG(ERROR) << errorName(process.error().code) << ": " << process.error().detail;
        return exitCannotServe;
    }
    auto server = CallerServer::create(settings, **process);
    if (!server) {
        LOG(ERROR) << errorName(server.error().code) << ": " << server.error().detail;
        return exitCannotServe;
    }
    LOG(INFO) << "router " << settings.id << " serves callers on " << settings.callerListen
              << " and peers on " << settings.peerListen;
    waitForStop();
    (*process)->startDrain();
    waitUntilDrained(**process);
    LOG(INFO) << "router " << settings.id << " stops after its drain";
    return exitOk;
}

} // namespace Wisteria::detail

int main(int argc, char **argv)
{
    using namespace Wisteria;
    return runDaemon<RouterSettings>(
        {"wisteria-router", "Serves generations and calls to callers and routes them to targets."},
        routerSettingsFromToml, detail::serve, argc, argv);
}
