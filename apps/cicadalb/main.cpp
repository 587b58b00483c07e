#include "ExitCode.h"
#include "SiteCommand.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/config/Settings.h"
#include "cicadalb/transport/HostProcess.h"
#include "cicadalb/transport/ProcessLimits.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

/// @file
/// Entry point of cicadalb, the host process.

namespace {

/// Blocks until SIGTERM or SIGINT.
void waitForStopSignal(boost::asio::io_context& context)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code&, int) {});
    context.run();
}

int runHost(const cicadalb::Settings& settings)
{
    boost::asio::io_context context;
    cicadalb::HostProcess host(settings);
    const auto started = host.start();
    if (!started) {
        std::cerr << cicadalb::describe(started.error()) << '\n';
        return StartFailed;
    }
    const auto ports = host.ports();
    std::cout << "callers " << ports.callers << " admin " << ports.admin << " peers " << ports.peers << " membership " << ports.membership << std::endl;
    waitForStopSignal(context);
    return host.shutDown() ? Succeeded : GracePeriodExceeded;
}

int runWithLogging(const cicadalb::Settings& settings)
{
    cicadalb::configureLogging(settings.log.format, settings.log.level);
    const int exitCode = runHost(settings);
    cicadalb::shutDownLogging();
    return exitCode;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "cicadalb: rollout service between callers, trainers and targets.\n"
                   "Exit codes: 0 graceful stop, 1 a port could not be opened, 2 settings are invalid, 3 the grace period ended with requests in flight." };
    std::string settingsFile;
    bool isCheckOnly = false;
    app.add_option("--settings", settingsFile, "Settings file (TOML)")->required();
    app.add_flag("--check", isCheckOnly, "Check the settings file and exit");
    bool isSite = false;
    app.add_flag("--site", isSite, "Run as a host of a site: the targets register themselves, and submissions are kept in the platform's store");
    CLI11_PARSE(app, argc, argv);
    cicadalb::configureAllocator();
    if (isSite)
        return runSiteHost(settingsFile, isCheckOnly);

    const auto settings = cicadalb::loadSettings(settingsFile);
    if (!settings) {
        for (const auto& error : settings.error())
            std::cerr << cicadalb::describe(error) << '\n';
        return SettingsInvalid;
    }
    if (isCheckOnly) {
        std::cout << settingsFile << ": valid\n";
        return Succeeded;
    }
    return runWithLogging(settings.value());
}
