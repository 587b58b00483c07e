#include "cicadalb/base/Event.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
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

    /// Capacity of the queue of lines to be written.
    constexpr int maximumQueuedLines = 4096;

    /// Read by every logEvent(); set only by configureLogging(), at process start.
    std::atomic<LogFormat> logFormat { LogFormat::Text };
    log4cxx::AsyncAppenderPtr asyncAppender;

    log4cxx::LayoutPtr layout(LogFormat format)
    {
        // A JSON line contains its own time and level.
        if (format == LogFormat::Json)
            return std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
        return std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %-5p %m%n"));
    }

    std::string_view name(Level level)
    {
        constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
        return names[static_cast<std::size_t>(level)];
    }

    double unixSeconds()
    {
        return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::string jsonLine(const EventDescription& entry, const std::vector<Field>& fields)
    {
        nlohmann::ordered_json line { { "time", unixSeconds() }, { "level", name(entry.level) }, { "number", static_cast<int>(entry.event) }, { "event", entry.name } };
        for (const auto& field : fields)
            line[std::string(field.name)] = field.value;
        return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    std::string textLine(const EventDescription& entry, const std::vector<Field>& fields)
    {
        std::string line = "E" + std::to_string(static_cast<int>(entry.event)) + " ";
        line += entry.name;
        for (const auto& field : fields) {
            line += ' ';
            line += field.name;
            line += "=" + field.value;
        }
        return line;
    }

    const EventDescription& description(Event event)
    {
        const auto& catalogue = eventCatalogue();
        return *std::find_if(catalogue.begin(), catalogue.end(), [event](const auto& entry) { return entry.event == event; });
    }

} // namespace

const std::vector<EventDescription>& eventCatalogue()
{
    static const std::vector<EventDescription> catalogue {
        { Event::ConfigurationAccepted, "configuration-accepted", Level::Info },
        { Event::ConfigurationRefused, "configuration-refused", Level::Warning },
        { Event::ConfigurationContradicted, "configuration-contradicted", Level::Error },
        { Event::SiteConfigurationInForce, "site-configuration-in-force", Level::Info },
        { Event::RecordIgnored, "record-ignored", Level::Warning },
        { Event::PlatformUnavailable, "platform-unavailable", Level::Warning },
        { Event::PlatformAvailable, "platform-available", Level::Info },
        { Event::LeaseLost, "lease-lost", Level::Warning },
        { Event::WatchLost, "watch-lost", Level::Warning },
        { Event::WatchRestored, "watch-restored", Level::Info },
        { Event::MirrorFollowed, "mirror-followed", Level::Info },
        { Event::MirrorLost, "mirror-lost", Level::Warning },
        { Event::RecordsOutdated, "records-outdated", Level::Warning },
        { Event::RecordsCurrent, "records-current", Level::Info },
        { Event::LeaseVacant, "lease-vacant", Level::Info },
        { Event::LeaseRequested, "lease-requested", Level::Info },
        { Event::LeaseRefused, "lease-refused", Level::Info },
        { Event::HostJoined, "host-joined", Level::Info },
        { Event::HostSuspected, "host-suspected", Level::Warning },
        { Event::HostLeft, "host-left", Level::Info },
        { Event::RequestRefused, "request-refused", Level::Debug },
        { Event::RequestOutcomeUnknown, "request-outcome-unknown", Level::Warning },
        { Event::RequestRetried, "request-retried", Level::Debug },
        { Event::AttemptEnded, "attempt-ended", Level::Info },
        { Event::RequestAnswered, "request-answered", Level::Info },
        { Event::TargetsChanged, "targets-changed", Level::Info },
        { Event::TargetLeaving, "target-leaving", Level::Info },
        { Event::TargetLimitStated, "target-limit-stated", Level::Info },
        { Event::TargetLimitLifted, "target-limit-lifted", Level::Info },
        { Event::PermitsAvailable, "permits-available", Level::Info },
        { Event::PermitsUnavailable, "permits-unavailable", Level::Warning },
        { Event::TargetCrashed, "target-crashed", Level::Warning },
        { Event::RequestBlocked, "request-blocked", Level::Warning },
        { Event::SuspicionWithdrawn, "suspicion-withdrawn", Level::Info },
        { Event::TargetsUnreachable, "targets-unreachable", Level::Warning },
        { Event::TargetsReachable, "targets-reachable", Level::Info },
        { Event::RequestRelayed, "request-relayed", Level::Info },
        { Event::StreamNotRecorded, "stream-not-recorded", Level::Warning },
        { Event::DefaultReleaseChanged, "default-release-changed", Level::Info },
        { Event::KeyRefused, "key-refused", Level::Info },
        { Event::SubmissionOfOtherOrganisation, "submission-of-other-organisation", Level::Warning },
        { Event::UsageReported, "usage-reported", Level::Info },
        { Event::UsageReportedLate, "usage-reported-late", Level::Warning },
        { Event::UsageNotReported, "usage-not-reported", Level::Warning },
        { Event::CapacityOrdered, "capacity-ordered", Level::Info },
        { Event::EnginesUnavailable, "engines-unavailable", Level::Warning },
        { Event::EngineNeedChanged, "engine-need-changed", Level::Info },
        { Event::PlacementPaused, "placement-paused", Level::Warning },
        { Event::PlacementResumed, "placement-resumed", Level::Info },
        { Event::StepSubmitted, "step-submitted", Level::Info },
        { Event::StepFinished, "step-finished", Level::Info },
        { Event::WeightSwapFailed, "weight-swap-failed", Level::Warning },
        { Event::WeightsInForce, "weights-in-force", Level::Info },
        { Event::SubmissionAccepted, "submission-accepted", Level::Info },
        { Event::SubmissionRefused, "submission-refused", Level::Warning },
        { Event::SubmissionOpened, "submission-opened", Level::Info },
        { Event::SubmissionClosed, "submission-closed", Level::Info },
        { Event::SampleRunEnded, "sample-run-ended", Level::Info },
        { Event::SampleSettled, "sample-settled", Level::Info },
        { Event::ResultsAppended, "results-appended", Level::Info },
        { Event::CoordinationBegun, "coordination-begun", Level::Info },
        { Event::CoordinationEnded, "coordination-ended", Level::Warning },
        { Event::WeightOrderGiven, "weight-order-given", Level::Info },
        { Event::RewardCallEnded, "reward-call-ended", Level::Info },
        { Event::VersionNamed, "version-named", Level::Info },
        { Event::ResultsServed, "results-served", Level::Debug },
        { Event::EngineAssigned, "engine-assigned", Level::Info },
        { Event::RetirementBegun, "retirement-begun", Level::Info },
        { Event::RetirementDelayed, "retirement-delayed", Level::Warning },
        { Event::RetirementDone, "retirement-done", Level::Info },
        { Event::CoordinationOffered, "coordination-offered", Level::Info },
        { Event::ProcessStarted, "process-started", Level::Info },
        { Event::ProcessStopping, "process-stopping", Level::Info },
        { Event::ProcessStopped, "process-stopped", Level::Info },
        { Event::PeerLinkOpened, "peer-link-opened", Level::Info },
        { Event::PeerLinkLost, "peer-link-lost", Level::Warning },
        { Event::RequestMalformed, "request-malformed", Level::Debug },
        { Event::SettingsReloaded, "settings-reloaded", Level::Info },
        { Event::MessageRefused, "message-refused", Level::Info },
    };
    return catalogue;
}

void configureLogging(LogFormat format, Level minimum, LogDestination destination)
{
    logFormat = format;
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    const auto* stream = destination == LogDestination::StandardOutput ? LOG4CXX_STR("System.out") : LOG4CXX_STR("System.err");
    shutDownLogging();
    asyncAppender = std::make_shared<log4cxx::AsyncAppender>();
    asyncAppender->setBufferSize(maximumQueuedLines);
    asyncAppender->setBlocking(false);
    asyncAppender->addAppender(std::make_shared<log4cxx::ConsoleAppender>(layout(format), stream));
    root->addAppender(asyncAppender);
    setLogLevel(minimum);
}

void setLogLevel(Level minimum)
{
    log4cxx::Logger::getRootLogger()->setLevel(log4cxxLevel(minimum));
}

void shutDownLogging()
{
    if (!asyncAppender)
        return;
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
    asyncAppender->close();
    asyncAppender.reset();
}

void logEvent(Event event, const std::vector<Field>& fields)
{
    const auto& entry = description(event);
    static const auto logger = log4cxx::Logger::getLogger("cicadalb");
    const auto level = log4cxxLevel(entry.level);
    if (!logger->isEnabledFor(level))
        return;
    logger->forcedLog(level, logFormat == LogFormat::Json ? jsonLine(entry, fields) : textLine(entry, fields), LOG4CXX_LOCATION);
}

} // namespace cicadalb
