// wisteria-gateway: loads its settings and serves until a graceful shutdown has finished.

#include <LibGateway/Gateway.h>
#include <LibPlatform/ProgramOptions.h>

#include <ObjectDecoder.h>
#include <PlatformDialect.h>
#include <StoreClient.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <glog/logging.h>

namespace Wisteria::detail {

// Interval at which the settings file is checked for changes; well below the time within which a change must
// take effect.
constexpr std::chrono::milliseconds settingsCheckInterval{1000};

// Reloads the settings on SIGHUP and whenever the file's content changes.
class SettingsReloader
{
public:
    SettingsReloader(boost::asio::io_context &context, Gateway &gateway, std::string file)
        : m_signals(context, SIGHUP), m_timer(context), m_gateway(gateway), m_file(std::move(file)),
          m_lastText(readTextFile(m_file).value_or(""))
    {
        waitForSignal();
        waitForChange();
    }

private:
    void waitForSignal()
    {
        m_signals.async_wait([this](const auto &ec, int) {
            if (ec)
                return;
            reload();
            waitForSignal();
        });
    }

    void waitForChange()
    {
        m_timer.expires_after(settingsCheckInterval);
        m_timer.async_wait([this](const auto &ec) {
            if (ec)
                return;
            if (const auto text = readTextFile(m_file); text && *text != m_lastText)
                reload();
            waitForChange();
        });
    }

    void reload()
    {
        const auto text = readTextFile(m_file);
        const auto settings = text ? gatewaySettingsFromToml(*text, m_file)
                                   : ErrorOr<GatewaySettings>(tl::unexpected(text.error()));
        m_lastText = text.value_or(m_lastText);
        if (settings)
            m_gateway.reload(*settings);
        else
            m_gateway.reloadFailed(settings.error());
    }

    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    Gateway &m_gateway;
    std::string m_file;
    // Content of the file at the last reload.
    std::string m_lastText;
};

// Runs the handlers until there are none left. An exception that left one would end all requests of the
// process.
void runHandlers(boost::asio::io_context &context)
{
    for (bool isRunning = true; isRunning;) {
        try {
            context.run();
            isRunning = false;
        } catch (const std::exception &error) {
            LOG(ERROR) << "a handler failed: " << error.what();
        }
    }
}

int serve(const GatewaySettings &settings, const std::string &file)
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
    const SettingsReloader reloader(context, **gateway, file);
    boost::asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    stopSignals.async_wait([&](const auto &ec, int) {
        if (!ec)
            (*gateway)->startShutdown();
    });
    releaseSignals();
    runHandlers(context);
    return exitOk;
}

} // namespace Wisteria::detail

int main(int argc, char **argv)
{
    using namespace Wisteria;
    return runDaemon<GatewaySettings>(
        {"wisteria-gateway",
         "Forwards callers' requests to targets and resumes streams when a target is lost."},
        gatewaySettingsFromToml, detail::serve, argc, argv);
}
