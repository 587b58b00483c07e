#pragma once

#include "CommandOutcome.h"

#include "cicadalb/config/Tables.h"

#include <string>

/// @file
/// Explains which route, pool and targets serve a request or a trainer's steps.

namespace cicadalb {

/// @brief A request, or the steps of a trainer if @ref trainer is set.
struct ExplainQuery {
    std::string method = "GET";
    std::string path;
    std::string caller;
    std::string trainer;
};

/// @brief Finds route, pool and candidate targets by the rules that the hosts use, and gives the reason for each.
CommandOutcome explain(const Tables&, const ExplainQuery&);

} // namespace cicadalb
