#include "SiteCommand.h"

#include "ExitCode.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/hosting/SiteHost.h"
#include "cicadalb/platform/PlatformProtocol.h"
#include "cicadalb/platform/PlatformStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <filesystem>
#include <functional>
#include <iostream>

namespace {

/// Interval at which the settings file is checked for changes; it may change without a SIGHUP.
constexpr std::chrono::seconds settingsPollInterval { 1 };

std::filesystem::file_time_type modificationTime(const std::string& file)
{
    std::error_code error;
    return std::filesystem::last_write_time(file, error);
}

/// Waits for signals and for changes of the settings file; reloads the settings when needed.
class SignalLoop {
public:
    SignalLoop(cicadalb::SiteHost& host, std::string settingsFile)
        : m_host(host)
        , m_settingsFile(std::move(settingsFile))
        , m_modifiedAt(modificationTime(m_settingsFile))
    {
    }

    /// Blocks until SIGTERM or SIGINT.
    void run()
    {
        awaitSignal();
        scheduleSettingsPoll();
        m_context.run();
    }

private:
    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code&, int signal) {
            if (signal != SIGHUP)
                return m_context.stop();
            reload();
            awaitSignal();
        });
    }

    void scheduleSettingsPoll()
    {
        m_pollTimer.expires_after(settingsPollInterval);
        m_pollTimer.async_wait([this](const boost::system::error_code&) {
            if (modificationTime(m_settingsFile) != m_modifiedAt)
                reload();
            scheduleSettingsPoll();
        });
    }

    void reload()
    {
        m_modifiedAt = modificationTime(m_settingsFile);
        const auto settings = cicadalb::loadSiteSettings(m_settingsFile);
        if (settings)
            return m_host.reload(settings.value());
        for (const auto& error : settings.error())
            cicadalb::logEvent(cicadalb::Event::ConfigurationRefused, { { "file", m_settingsFile }, { "cause", cicadalb::describe(error) } });
    }

    cicadalb::SiteHost& m_host;
    std::string m_settingsFile;
    std::filesystem::file_time_type m_modifiedAt;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals { m_context, SIGTERM, SIGINT, SIGHUP };
    boost::asio::steady_timer m_pollTimer { m_context };
};

int runHost(const cicadalb::SiteSettings& settings, const std::string& settingsFile)
{
    cicadalb::SiteHost host(settings, std::make_unique<cicadalb::platform::PlatformProtocol>(),
        [](auto executor, const auto& endpoint) { return std::make_unique<cicadalb::platform::PlatformStore>(std::move(executor), endpoint); });
    SignalLoop signals(host, settingsFile);
    const auto started = host.start();
    if (!started) {
        std::cerr << cicadalb::describe(started.error()) << '\n';
        return StartFailed;
    }
    signals.run();
    return host.shutDown() ? Succeeded : GracePeriodExceeded;
}

} // namespace

int runSiteHost(const std::string& settingsFile, bool isCheckOnly)
{
    const auto settings = cicadalb::loadSiteSettings(settingsFile);
    if (!settings) {
        for (const auto& error : settings.error())
            std::cerr << cicadalb::describe(error) << '\n';
        return SettingsInvalid;
    }
    if (isCheckOnly) {
        std::cout << settingsFile << ": valid\n";
        return Succeeded;
    }
    cicadalb::configureLogging(settings.value().log.format, settings.value().log.level, cicadalb::LogDestination::StandardOutput);
    const int exitCode = runHost(settings.value(), settingsFile);
    cicadalb::shutDownLogging();
    return exitCode;
}
