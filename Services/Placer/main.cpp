// wisteria-placer: reads its settings and gives orders to engines while it holds the lease.

#include <LibConfig/Settings.h>
#include <LibPlatform/Logging.h>
#include <LibPlatform/ProgramOptions.h>
#include <Placer/PlacerProcess.h>

#include <glog/logging.h>

namespace Wisteria::detail {

int serve(const PlacerSettings &settings, const std::string &)
{
    auto process = PlacerProcess::create(settings);
    if (!process) {
        LOG(ERROR) << errorName(process.error().code) << ": " << process.error().detail;
        return exitCannotServe;
    }
    LOG(INFO) << "placer " << settings.id << " runs";
    waitForStop();
    return exitOk;
}

} // namespace Wisteria::detail

int main(int argc, char **argv)
{
    using namespace Wisteria;
    return runDaemon<PlacerSettings>(
        {"wisteria-placer", "Gives engines their orders: models, versions, adapters, roles."},
        placerSettingsFromToml, detail::serve, argc, argv);
}
