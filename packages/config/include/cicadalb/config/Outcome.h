#pragma once

#include "cicadalb/base/Error.h"

#include <vector>

/// @file
/// Result type of checks that report every problem, not only the first.

namespace cicadalb {

using Errors = std::vector<Error>;

/// @brief Either a value or all the errors found.
template <typename T>
using CheckedResult = BOOST_OUTCOME_V2_NAMESPACE::result<T, Errors, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

} // namespace cicadalb
