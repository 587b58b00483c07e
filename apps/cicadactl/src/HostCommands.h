#pragma once

#include "CommandOutcome.h"

#include "cicadalb/base/Task.h"

#include <boost/asio/any_io_executor.hpp>

#include <string>
#include <vector>

/// @file
/// The commands that ask host processes about their state.

namespace cicadalb {

struct HostOptions {
    /// Admin addresses as "IP:PORT".
    std::vector<std::string> hosts;
    /// File of the shared secret that proves the operator.
    std::string secretFile;
};

/// @brief The state dump of each host; a host that does not answer is named, and the exit code says so.
Task<CommandOutcome> stateCommand(boost::asio::any_io_executor, HostOptions);

/// @brief The trainers' steps that the hosts coordinate.
Task<CommandOutcome> stepsCommand(boost::asio::any_io_executor, HostOptions);

} // namespace cicadalb
