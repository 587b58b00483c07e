#pragma once

#include "cicadalb/services/HttpClient.h"
#include "cicadalb/transport/WorkerPool.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

/// @file
/// Pooled HTTP connections to targets.

namespace cicadalb {

/// @brief One HTTP client for each pair of worker and endpoint. A client runs on its worker's thread; each worker's map has its own lock.
class TargetClients {
public:
    explicit TargetClients(WorkerPool&, HttpClientOptions = {});

    std::shared_ptr<HttpClient> client(std::size_t worker, const Endpoint&);
    /// @brief Closes idle connections that are no longer reused, and forgets endpoints that have none left and are not in use. Called from time to time.
    /// Runs on the worker's thread.
    void closeUnused(std::size_t worker);
    boost::asio::io_context& context(std::size_t worker) { return m_workers.context(worker); }

private:
    struct EndpointOrder {
        bool operator()(const Endpoint& left, const Endpoint& right) const noexcept;
    };
    struct Shard {
        std::mutex mutex;
        std::map<Endpoint, std::shared_ptr<HttpClient>, EndpointOrder> clients;
    };

    WorkerPool& m_workers;
    HttpClientOptions m_options;
    std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace cicadalb
