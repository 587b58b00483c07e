#include "cicadalb/transport/TargetClients.h"

#include <tuple>

namespace cicadalb {

TargetClients::TargetClients(WorkerPool& workers, HttpClientOptions options)
    : m_workers(workers)
    , m_options(options)
{
    for (std::size_t i = 0; i < workers.size(); ++i)
        m_shards.push_back(std::make_unique<Shard>());
}

std::shared_ptr<HttpClient> TargetClients::client(std::size_t worker, const Endpoint& endpoint)
{
    auto& shard = *m_shards[worker];
    const std::lock_guard lock(shard.mutex);
    auto& entry = shard.clients[endpoint];
    if (!entry)
        entry = std::make_shared<HttpClient>(m_workers.context(worker).get_executor(), endpoint, m_options);
    return entry;
}

void TargetClients::closeUnused(std::size_t worker)
{
    auto& shard = *m_shards[worker];
    const std::lock_guard lock(shard.mutex);
    for (auto entry = shard.clients.begin(); entry != shard.clients.end();) {
        entry->second->closeExpired();
        const bool isUnused = entry->second.use_count() == 1 && entry->second->idleConnections() == 0;
        entry = isUnused ? shard.clients.erase(entry) : std::next(entry);
    }
}

bool TargetClients::EndpointOrder::operator()(const Endpoint& left, const Endpoint& right) const noexcept
{
    return std::tie(left.address, left.port) < std::tie(right.address, right.port);
}

} // namespace cicadalb
