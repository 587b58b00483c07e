#pragma once

/// @file
/// Exit codes of cicadalb, the host process.

enum ExitCode : int {
    Succeeded = 0,
    /// A port could not be opened.
    StartFailed = 1,
    SettingsInvalid = 2,
    /// The grace period of a shutdown ended with requests in flight.
    GracePeriodExceeded = 3,
};
