#include "cicadalb/base/Event.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <memory>

namespace cicadalb {

namespace {

    log4cxx::LevelPtr log4cxxLevel(Level level)
    {
        switch (level) {
        case Level::Debug:
            return log4cxx::Level::getDebug();
        case Level::Info:
            return log4cxx::Level::getInfo();
        case Level::Warning:
            return log4cxx::Level::getWarn();
        case Level::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getInfo();
    }

    log4cxx::LayoutPtr layout(LogFormat format)
    {
        if (format == LogFormat::Json)
            return std::make_shared<log4cxx::JSONLayout>();
        return std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %-5p %m%n"));
    }

    const EventDescription& description(Event event)
    {
        const auto& catalogue = eventCatalogue();
        return *std::find_if(catalogue.begin(), catalogue.end(), [event](const auto& row) { return row.event == event; });
    }

} // namespace

const std::vector<EventDescription>& eventCatalogue()
{
    static const std::vector<EventDescription> catalogue {
        { Event::ConfigurationAccepted, "configuration-accepted", Level::Info },
        { Event::ConfigurationRefused, "configuration-refused", Level::Warning },
        { Event::ConfigurationContradicted, "configuration-contradicted", Level::Error },
        { Event::PlatformUnavailable, "platform-unavailable", Level::Warning },
        { Event::PlatformAvailable, "platform-available", Level::Info },
        { Event::LeaseLost, "lease-lost", Level::Warning },
        { Event::HostJoined, "host-joined", Level::Info },
        { Event::HostSuspected, "host-suspected", Level::Warning },
        { Event::HostLeft, "host-left", Level::Info },
        { Event::RequestRefused, "request-refused", Level::Debug },
        { Event::RequestOutcomeUnknown, "request-outcome-unknown", Level::Warning },
        { Event::RequestRetried, "request-retried", Level::Debug },
        { Event::StepSubmitted, "step-submitted", Level::Info },
        { Event::StepFinished, "step-finished", Level::Info },
        { Event::WeightSwapFailed, "weight-swap-failed", Level::Warning },
        { Event::WeightsInForce, "weights-in-force", Level::Info },
        { Event::ProcessStarted, "process-started", Level::Info },
        { Event::ProcessStopping, "process-stopping", Level::Info },
        { Event::ProcessStopped, "process-stopped", Level::Info },
        { Event::PeerLinkOpened, "peer-link-opened", Level::Info },
        { Event::PeerLinkLost, "peer-link-lost", Level::Warning },
        { Event::RequestMalformed, "request-malformed", Level::Debug },
    };
    return catalogue;
}

void configureLogging(LogFormat format, Level minimum)
{
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout(format), LOG4CXX_STR("System.err"));
    root->addAppender(appender);
    root->setLevel(log4cxxLevel(minimum));
}

void logEvent(Event event, const std::vector<Field>& fields)
{
    const auto& row = description(event);
    static const auto logger = log4cxx::Logger::getLogger("cicadalb");
    const auto level = log4cxxLevel(row.level);
    if (!logger->isEnabledFor(level))
        return;
    std::string line = "E" + std::to_string(static_cast<int>(event)) + " ";
    line += row.name;
    for (const auto& field : fields) {
        line += ' ';
        line += field.name;
        line += "=" + field.value;
    }
    logger->forcedLog(level, line, LOG4CXX_LOCATION);
}

} // namespace cicadalb
