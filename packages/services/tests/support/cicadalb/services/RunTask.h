#pragma once

#include "cicadalb/base/Task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

/// @file
/// Starts coroutines in tests and stores their results.

namespace cicadalb {

/// @brief The result of a started task, empty until the task ends.
template <typename T>
using Pending = std::shared_ptr<std::optional<T>>;

/// @brief Starts @p task on @p executor; it proceeds while the executor is run.
template <typename T>
Pending<T> startTask(const boost::asio::any_io_executor& executor, Task<T> task)
{
    auto pending = std::make_shared<std::optional<T>>();
    const auto storeResult = [](Task<T> inner, Pending<T> result) -> Task<void> {
        T value = co_await std::move(inner);
        result->emplace(std::move(value));
    };
    boost::asio::co_spawn(executor, storeResult(std::move(task), pending), boost::asio::detached);
    return pending;
}

} // namespace cicadalb
