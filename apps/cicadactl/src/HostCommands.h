#pragma once

#include "CommandOutcome.h"

#include "cicadalb/base/Task.h"

#include <boost/asio/any_io_executor.hpp>

#include <string>
#include <vector>

/// @file
/// The commands that query host processes for their state.

namespace cicadalb {

struct HostOptions {
    /// Admin addresses of the hosts, each as "IP:PORT".
    std::vector<std::string> adminAddresses;
    /// File with the secret that hosts and operators share; it authenticates the queries. Empty: they need no proof.
    std::string secretFile;
};

/// @brief State dumps by admin address, and the errors of the hosts that returned none.
struct HostStates {
    nlohmann::json states = nlohmann::json::object();
    Errors errors;
};

/// @brief Fetches the state dumps of hosts.
Task<HostStates> fetchStates(boost::asio::any_io_executor, HostOptions);

/// @brief Fetches the state dump of each host. A host that does not answer is listed as an error, and the exit code is not Success.
Task<CommandOutcome> stateCommand(boost::asio::any_io_executor, HostOptions);

/// @brief Lists the trainers' steps that each host coordinates. Errors: as stateCommand().
Task<CommandOutcome> stepsCommand(boost::asio::any_io_executor, HostOptions);

} // namespace cicadalb
