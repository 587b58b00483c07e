#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

/// @file
/// Threads of the process, each with its own event loop.

namespace cicadalb {

/// @brief A fixed number of threads, each running one io_context.
class WorkerPool {
public:
    explicit WorkerPool(std::size_t size);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    std::size_t size() const noexcept { return m_workers.size(); }
    boost::asio::io_context& context(std::size_t worker) { return m_workers[worker]->context; }

    /// @brief Stops all event loops and joins the threads. Must not be called on a worker's own thread.
    void stop();

private:
    struct Worker {
        boost::asio::io_context context { 1 };
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard { context.get_executor() };
        std::thread thread;
    };
    std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace cicadalb
