// wisteria-gateway: reads its settings, serves until a planned stop has finished, and ends.

#include <LibGateway/Gateway.h>
#include <LibPlatform/ProgramOptions.h>

#include <ObjectDecoder.h>
#include <PlatformDialect.h>
#include <StoreClient.h>

#include <boost/asio/signal_set.hpp>

#include <glog/logging.h>

namespace Wisteria::detail {

int serve(const GatewaySettings &settings)
{
    boost::asio::io_context context(1);
    auto store = Platform::StoreClient::create(context, settings.store, settings.storeCallTimeout);
    if (!store) {
        LOG(ERROR) << errorName(store.error().code) << ": " << store.error().detail;
        return exitUsage;
    }
    const Platform::PlatformDialect dialect;
    const Platform::ObjectDecoder decoder;
    auto gateway =
        Gateway::create(context, settings, {.dialect = dialect, .decoder = decoder, .store = **store});
    if (!gateway) {
        LOG(ERROR) << errorName(gateway.error().code) << ": " << gateway.error().detail;
        return exitCannotServe;
    }
    boost::asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    stopSignals.async_wait([&](const auto &ec, int) {
        if (!ec)
            (*gateway)->startStop();
    });
    context.run();
    return exitOk;
}

} // namespace Wisteria::detail

int main(int argc, char **argv)
{
    using namespace Wisteria;
    std::signal(SIGPIPE, SIG_IGN);
    return runDaemon<GatewaySettings>(
        {"wisteria-gateway", "Forwards callers' requests to targets, and continues streams whose target is lost."},
        gatewaySettingsFromToml, detail::serve, argc, argv);
}
