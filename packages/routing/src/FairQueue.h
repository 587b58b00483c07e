#pragma once

#include "RateMeter.h"

#include "cicadalb/routing/OrganisationShares.h"
#include "cicadalb/routing/PoolBalancer.h"

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

/// @file
/// Order of the requests of one priority that wait for a place, shared between organisations.

namespace cicadalb {

struct QueuedRequest {
    QueueTicket ticket = 0;
    RequestRequirements requirements;
};

/// @brief Start-time fair queueing over organisations: each turn advances the virtual time of its organisation by its cost, and the organisation with the
/// earliest virtual time is next. An organisation that was idle starts at the present virtual time, so that unused turns are nobody's savings. The
/// requests of an organisation are served by their deadlines. Requests without an organisation count as one organisation and are served first in, first
/// out, so that a pool without organisations is a plain queue. Load: some hundred organisations and a thousand waiting requests; memory for the
/// organisations of the last retention.
class FairQueue {
public:
    /// An organisation is forgotten after this time without requests.
    static constexpr std::chrono::seconds retention { 60 };
    /// Interval at which the costs of turns are brought into line with demand.
    static constexpr std::chrono::milliseconds shareInterval { 100 };

    explicit FairQueue(TimePoint start);

    /// @brief Records that a request of an organisation arrived, whether it waits or not.
    void recordArrival(const OrganisationName&, TimePoint now);
    /// @brief Sets the costs of turns by demand if the last time is longer ago than shareInterval. @param turnsPerSecond places that become free
    void updateShares(double turnsPerSecond, const OrganisationWeights&, TimePoint now);
    void push(QueuedRequest);
    /// @brief The request that is served next. The queue must not be empty.
    const QueuedRequest& front() const;
    QueuedRequest popFront();
    /// @brief Removes each request for which @p isDropped(request, position in the order of service) holds. @return the removed requests
    template <typename Predicate>
    std::vector<QueuedRequest> removeIf(Predicate isDropped);

    std::size_t size() const noexcept { return m_size; }
    bool isEmpty() const noexcept { return m_size == 0; }
    /// @brief Number of waiting requests that are served before a new one of the organisation. Complexity: linear in the number of organisations.
    std::size_t aheadOf(const OrganisationName&) const;
    /// @brief The same with the requests of other organisations that arrive in the meantime and overtake it.
    double expectedAheadOf(const OrganisationName&, double turnsPerSecond, TimePoint now);
    /// @brief Whether the organisation may have one more request waiting: at most as many as there is room left for others.
    bool hasRoom(const OrganisationName&, std::size_t maximumLength) const;
    std::size_t waitingOf(const OrganisationName&) const;
    /// @brief Number of organisations that are remembered.
    std::size_t organisations() const noexcept { return m_shares.size(); }

private:
    struct Share {
        explicit Share(TimePoint start)
            : demand(start)
            , lastArrivalAt(start)
        {
        }
        RateMeter demand;
        TimePoint lastArrivalAt;
        std::deque<QueuedRequest> waiting;
        /// Virtual time of the next turn; of the end of the last one while nothing waits.
        double nextTurn = 0;
        double cost = 1;
    };
    using Shares = std::map<OrganisationName, Share>;

    /// Virtual time at which a new request of the organisation gets its turn.
    double turnOfNext(const Share*) const;
    Shares::iterator next();
    Shares::const_iterator next() const { return const_cast<FairQueue*>(this)->next(); }
    void forgetIdle(TimePoint now);
    struct Turn {
        double at = 0;
        Share* share = nullptr;
        std::size_t index = 0;
    };
    std::vector<Turn> turnsInOrder();

    TimePoint m_start;
    Shares m_shares;
    std::size_t m_size = 0;
    double m_virtualTime = 0;
    double m_lastTurnEnd = 0;
    TimePoint m_sharesUpdatedAt;
};

template <typename Predicate>
std::vector<QueuedRequest> FairQueue::removeIf(Predicate isDropped)
{
    std::vector<QueuedRequest> removed;
    std::vector<Share*> changed;
    std::size_t position = 0;
    for (const auto& turn : turnsInOrder()) {
        auto& request = turn.share->waiting[turn.index];
        if (!isDropped(request, position)) {
            ++position;
            continue;
        }
        removed.push_back(request);
        // Tickets start at 1.
        request.ticket = 0;
        changed.push_back(turn.share);
    }
    for (auto* share : changed)
        std::erase_if(share->waiting, [](const QueuedRequest& request) { return request.ticket == 0; });
    m_size -= removed.size();
    return removed;
}

} // namespace cicadalb
