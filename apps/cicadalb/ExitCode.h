#pragma once

/// @file
/// Exit codes of the host process.

enum ExitCode : int {
    Succeeded = 0,
    StartFailed = 1,
    SettingsInvalid = 2,
    RequestsCutOff = 3,
};
