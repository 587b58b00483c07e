#pragma once

#include "cicadalb/services/HttpClient.h"

#include <memory>
#include <set>
#include <utility>

/// @file
/// The requests that an endpoint forwards at the moment.

namespace cicadalb {

/// @brief Ends the requests in progress when their host stops. Bound to one event loop. Entries may outlive it.
class RunningRequests {
    using Cancellations = std::set<std::shared_ptr<HttpCancellation>>;

public:
    /// @brief Counts a request as running for as long as it exists.
    class Entry {
    public:
        Entry(RunningRequests& requests, std::shared_ptr<HttpCancellation> cancellation)
            : m_cancellations(requests.m_cancellations)
            , m_position(m_cancellations->insert(std::move(cancellation)).first)
        {
        }
        ~Entry() { m_cancellations->erase(m_position); }
        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;

    private:
        std::shared_ptr<Cancellations> m_cancellations;
        Cancellations::iterator m_position;
    };

    /// @brief Cancels all requests, so that they end without the answers of their targets.
    void cancelAll()
    {
        m_isCancelled = true;
        const auto running = *m_cancellations;
        for (const auto& cancellation : running)
            cancellation->cancel();
    }

    bool isCancelled() const noexcept { return m_isCancelled; }
    std::size_t size() const noexcept { return m_cancellations->size(); }

private:
    std::shared_ptr<Cancellations> m_cancellations = std::make_shared<Cancellations>();
    bool m_isCancelled = false;
};

} // namespace cicadalb
