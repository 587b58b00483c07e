#pragma once

#include <boost/asio/awaitable.hpp>

/// @file
/// The coroutine type that all asynchronous interfaces return.

namespace cicadalb {

template <typename T>
using Task = boost::asio::awaitable<T>;

} // namespace cicadalb
