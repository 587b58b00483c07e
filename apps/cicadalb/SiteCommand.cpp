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

/// How often the settings file is looked at: it may change without a signal.
constexpr std::chrono::seconds settingsInterval { 1 };

std::filesystem::file_time_type changeTime(const std::string& file)
{
    std::error_code error;
    return std::filesystem::last_write_time(file, error);
}

/// Waits for signals and for changes of the settings file.
class SignalLoop {
public:
    SignalLoop(cicadalb::SiteHost& host, std::string settingsFile)
        : m_host(host)
        , m_settingsFile(std::move(settingsFile))
        , m_changedAt(changeTime(m_settingsFile))
    {
    }

    /// Returns once the process is asked to stop.
    void run()
    {
        awaitSignal();
        awaitFileChange();
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

    void awaitFileChange()
    {
        m_timer.expires_after(settingsInterval);
        m_timer.async_wait([this](const boost::system::error_code&) {
            if (changeTime(m_settingsFile) != m_changedAt)
                reload();
            awaitFileChange();
        });
    }

    void reload()
    {
        m_changedAt = changeTime(m_settingsFile);
        const auto settings = cicadalb::loadSiteSettings(m_settingsFile);
        if (settings)
            return m_host.reload(settings.value());
        for (const auto& error : settings.error())
            cicadalb::logEvent(cicadalb::Event::ConfigurationRefused, { { "file", m_settingsFile }, { "cause", cicadalb::describe(error) } });
    }

    cicadalb::SiteHost& m_host;
    std::string m_settingsFile;
    std::filesystem::file_time_type m_changedAt;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals { m_context, SIGTERM, SIGINT, SIGHUP };
    boost::asio::steady_timer m_timer { m_context };
};

int serve(const cicadalb::SiteSettings& settings, const std::string& settingsFile)
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
    return host.shutDown() ? Succeeded : RequestsCutOff;
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
    const int exitCode = serve(settings.value(), settingsFile);
    cicadalb::finishLogging();
    return exitCode;
}
