#pragma once

#include <string>

/// @file
/// The host process on the users' platform.

/// @brief Runs a site's host until it is asked to stop. SIGHUP and a changed settings file reload it. @return the exit code
int runSiteHost(const std::string& settingsFile, bool isCheckOnly);
