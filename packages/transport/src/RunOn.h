#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Task.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

/// @file
/// Running a coroutine on another event loop.

namespace cicadalb {

namespace detail {

    /// Wraps the result, because co_spawn needs a default-constructible type, which Result is not.
    template <typename T>
    Task<std::optional<T>> toOptional(Task<T> task)
    {
        co_return co_await std::move(task);
    }

} // namespace detail

/// @brief Runs @p task on @p executor and resumes the caller with its result on the caller's own executor.
template <typename T>
Task<T> runOn(boost::asio::any_io_executor executor, Task<T> task)
{
    auto result = co_await boost::asio::co_spawn(executor, detail::toOptional(std::move(task)), boost::asio::use_awaitable);
    co_return std::move(*result);
}

} // namespace cicadalb
