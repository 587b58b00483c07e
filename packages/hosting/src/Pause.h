#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Task.h"

#include <boost/asio/any_io_executor.hpp>

/// @file
/// Timed suspension of coroutines.

namespace cicadalb {

/// @brief Suspends the current coroutine for a duration of the steady clock. The executor must outlive the wait.
Task<void> pause(const boost::asio::any_io_executor&, Duration);

} // namespace cicadalb
