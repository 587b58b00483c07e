#pragma once

#include "cicadalb/base/Task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

/// @file
/// Starts tasks in tests and keeps their results.

namespace cicadalb {

/// @brief The result of a started task, empty until it ends.
template <typename T>
using Pending = std::shared_ptr<std::optional<T>>;

/// @brief Starts @p task on @p executor; run the executor to let it go on.
template <typename T>
Pending<T> startTask(const boost::asio::any_io_executor& executor, Task<T> task)
{
    auto pending = std::make_shared<std::optional<T>>();
    const auto keep = [](Task<T> inner, Pending<T> result) -> Task<void> {
        T value = co_await std::move(inner);
        result->emplace(std::move(value));
    };
    boost::asio::co_spawn(executor, keep(std::move(task), pending), boost::asio::detached);
    return pending;
}

} // namespace cicadalb
