#pragma once

#include "CommandOutcome.h"

#include "cicadalb/config/Tables.h"

#include <string>

/// @file
/// Why a request or a trainer's step goes where it goes.

namespace cicadalb {

/// @brief A request or, if a trainer is named, its steps.
struct ExplainQuery {
    std::string method = "GET";
    std::string path;
    std::string caller;
    std::string trainer;
};

/// @brief Route, pool and candidates by the same rules as the hosts, with the reason for each.
CommandOutcome explain(const Tables&, const ExplainQuery&);

} // namespace cicadalb
