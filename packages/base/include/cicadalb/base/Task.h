#pragma once

#include <boost/asio/awaitable.hpp>

/// @file
/// The coroutine type of all asynchronous interfaces.

namespace cicadalb {

template <typename T>
using Task = boost::asio::awaitable<T>;

} // namespace cicadalb
