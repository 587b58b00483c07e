#include "cicadalb/transport/WorkerPool.h"

namespace cicadalb {

WorkerPool::WorkerPool(std::size_t size)
{
    for (std::size_t i = 0; i < size; ++i) {
        auto worker = std::make_unique<Worker>();
        worker->thread = std::thread([&context = worker->context] { context.run(); });
        m_workers.push_back(std::move(worker));
    }
}

WorkerPool::~WorkerPool()
{
    stop();
}

void WorkerPool::stop()
{
    for (auto& worker : m_workers)
        worker->context.stop();
    for (auto& worker : m_workers) {
        if (worker->thread.joinable())
            worker->thread.join();
    }
}

} // namespace cicadalb
