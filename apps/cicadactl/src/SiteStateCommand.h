#pragma once

#include "HostCommands.h"

/// @file
/// The command that shows the state of a site.

namespace cicadalb {

/// @brief Describes a site by the state dumps of its hosts. Fields that a dump lacks, or that have another type than expected, are shown as unknown,
/// since builds of different age run side by side.
CommandOutcome describeSite(const HostStates&);

/// @brief Fetches the state dumps of a site's hosts and describes the site. Errors: as stateCommand().
Task<CommandOutcome> siteStateCommand(boost::asio::any_io_executor, HostOptions);

} // namespace cicadalb
