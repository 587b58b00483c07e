#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @file
/// Numbered log events. docs/EVENTS.md lists them; a test checks that the list matches the code.

namespace cicadalb {

/// @brief Stable event numbers; the hundreds digit stands for the area.
enum class Event : std::uint16_t {
    // 1xx: configuration
    ConfigurationAccepted = 101,
    ConfigurationRefused = 102,
    ConfigurationContradicted = 103,
    SiteConfigurationInForce = 104,
    RecordIgnored = 105,
    // 2xx: platform
    PlatformUnavailable = 201,
    PlatformAvailable = 202,
    LeaseLost = 203,
    WatchLost = 204,
    WatchRestored = 205,
    MirrorFollowed = 206,
    MirrorLost = 207,
    RecordsOutdated = 208,
    RecordsCurrent = 209,
    LeaseVacant = 210,
    LeaseRequested = 211,
    LeaseRefused = 212,
    // 3xx: membership
    HostJoined = 301,
    HostSuspected = 302,
    HostLeft = 303,
    // 4xx: routing
    RequestRefused = 401,
    RequestOutcomeUnknown = 402,
    RequestRetried = 403,
    AttemptEnded = 404,
    RequestAnswered = 405,
    TargetsChanged = 406,
    TargetLeaving = 407,
    TargetLimitStated = 408,
    TargetLimitLifted = 409,
    PermitsAvailable = 410,
    PermitsUnavailable = 411,
    TargetCrashed = 412,
    RequestBlocked = 413,
    SuspicionWithdrawn = 414,
    TargetsUnreachable = 415,
    TargetsReachable = 416,
    RequestRelayed = 417,
    StreamNotRecorded = 418,
    DefaultReleaseChanged = 419,
    // 43x: keys of organisations
    KeyRefused = 430,
    SubmissionOfOtherOrganisation = 431,
    // 44x: usage of organisations
    UsageReported = 440,
    UsageReportedLate = 441,
    UsageNotReported = 442,
    // 45x: capacity
    CapacityOrdered = 450,
    EnginesUnavailable = 451,
    EngineNeedChanged = 452,
    // 46x: load of the coordinator
    PlacementPaused = 460,
    PlacementResumed = 461,
    // 5xx: rollout
    StepSubmitted = 501,
    StepFinished = 502,
    WeightSwapFailed = 504,
    WeightsInForce = 505,
    SubmissionAccepted = 506,
    SubmissionRefused = 507,
    SubmissionOpened = 508,
    SubmissionClosed = 509,
    SampleRunEnded = 510,
    SampleSettled = 511,
    ResultsAppended = 512,
    CoordinationBegun = 513,
    CoordinationEnded = 514,
    WeightOrderGiven = 515,
    RewardCallEnded = 516,
    VersionNamed = 517,
    ResultsServed = 518,
    EngineAssigned = 519,
    RetirementBegun = 520,
    RetirementDelayed = 521,
    RetirementDone = 522,
    CoordinationOffered = 523,
    // 6xx: process and links
    ProcessStarted = 601,
    ProcessStopping = 602,
    ProcessStopped = 603,
    PeerLinkOpened = 604,
    PeerLinkLost = 605,
    RequestMalformed = 606,
    SettingsReloaded = 607,
    MessageRefused = 608,
};

enum class Level : std::uint8_t { Debug,
    Info,
    Warning,
    Error };

/// @brief One entry of the event catalogue.
struct EventDescription {
    Event event;
    std::string_view name;
    Level level;
};

/// @brief All events, in ascending order of their numbers.
const std::vector<EventDescription>& eventCatalogue();

/// @brief A named value in a log line. Must not contain a secret or a token.
struct Field {
    std::string_view name;
    std::string value;
};

/// @brief Format of log lines.
enum class LogFormat : std::uint8_t { Text,
    Json };

enum class LogDestination : std::uint8_t { StandardError,
    StandardOutput };

/// @brief Sets up log4cxx. A separate thread writes the lines from a bounded queue. When the queue is full, further lines are dropped and counted,
/// so that a request never waits for logging.
void configureLogging(LogFormat, Level minimum, LogDestination = LogDestination::StandardError);

/// @brief Sets the lowest level that is logged.
void setLogLevel(Level minimum);

/// @brief Writes the lines that are still queued and stops logging. Call it before the process ends.
void shutDownLogging();

/// @brief Logs one event with its number, name and @p fields. Thread-safe.
void logEvent(Event, const std::vector<Field>& fields = {});

} // namespace cicadalb
