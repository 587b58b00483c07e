#pragma once

#include <string>

/// @file
/// Runs cicadalb as a host of a site (option --site).

/// @brief Runs a host of a site until SIGTERM or SIGINT. On SIGHUP or a change of the settings file, reads the settings again.
/// @param isCheckOnly only check the settings file @return the exit code
int runSiteHost(const std::string& settingsFile, bool isCheckOnly);
