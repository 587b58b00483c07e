#include "FairQueue.h"

#include <cmath>
#include <iterator>

namespace cicadalb {

FairQueue::FairQueue(TimePoint start)
    : m_start(start)
    , m_sharesUpdatedAt(start)
{
}

void FairQueue::recordArrival(const OrganisationName& organisation, TimePoint now)
{
    auto& share = m_shares.try_emplace(organisation, m_start).first->second;
    share.demand.record(now);
    share.lastArrivalAt = now;
}

void FairQueue::forgetIdle(TimePoint now)
{
    std::erase_if(m_shares, [now](const auto& entry) { return entry.second.waiting.empty() && now - entry.second.lastArrivalAt >= retention; });
}

void FairQueue::updateShares(double turnsPerSecond, const OrganisationWeights& weights, TimePoint now)
{
    if (now - m_sharesUpdatedAt < shareInterval)
        return;
    m_sharesUpdatedAt = now;
    forgetIdle(now);
    std::vector<OrganisationDemand> demands;
    demands.reserve(m_shares.size());
    for (auto& [organisation, share] : m_shares) {
        const auto weight = weights.find(organisation);
        demands.push_back({ share.demand.perSecond(now), weight == weights.end() ? 1 : weight->second });
    }
    const auto costs = turnCosts(demands, turnsPerSecond);
    auto cost = costs.begin();
    for (auto& [organisation, share] : m_shares)
        share.cost = *cost++;
}

void FairQueue::push(QueuedRequest request)
{
    const auto& organisation = request.requirements.organisation;
    auto& share = m_shares.try_emplace(organisation, m_start).first->second;
    if (share.waiting.empty())
        share.nextTurn = std::max(share.nextTurn, m_virtualTime);
    ++m_size;
    if (organisation.isEmpty()) {
        share.waiting.push_back(std::move(request));
        return;
    }
    const auto place = std::upper_bound(share.waiting.begin(), share.waiting.end(), request.requirements.deadline, [](TimePoint deadline, const QueuedRequest& other) { return deadline < other.requirements.deadline; });
    share.waiting.insert(place, std::move(request));
}

FairQueue::Shares::iterator FairQueue::next()
{
    auto found = m_shares.end();
    for (auto entry = m_shares.begin(); entry != m_shares.end(); ++entry) {
        if (entry->second.waiting.empty())
            continue;
        if (found == m_shares.end() || entry->second.nextTurn < found->second.nextTurn)
            found = entry;
    }
    return found;
}

const QueuedRequest& FairQueue::front() const { return next()->second.waiting.front(); }

QueuedRequest FairQueue::popFront()
{
    auto& share = next()->second;
    auto request = std::move(share.waiting.front());
    share.waiting.pop_front();
    m_virtualTime = share.nextTurn;
    share.nextTurn += share.cost;
    m_lastTurnEnd = std::max(m_lastTurnEnd, share.nextTurn);
    // With nothing left to wait for, nobody is ahead of others any longer.
    if (--m_size == 0)
        m_virtualTime = m_lastTurnEnd;
    return request;
}

double FairQueue::turnOfNext(const Share* share) const
{
    if (!share)
        return m_virtualTime;
    return std::max(share->nextTurn, m_virtualTime) + share->cost * static_cast<double>(share->waiting.size());
}

std::size_t FairQueue::waitingOf(const OrganisationName& organisation) const
{
    const auto found = m_shares.find(organisation);
    return found == m_shares.end() ? 0 : found->second.waiting.size();
}

std::size_t FairQueue::aheadOf(const OrganisationName& organisation) const
{
    const auto own = m_shares.find(organisation);
    const auto turn = turnOfNext(own == m_shares.end() ? nullptr : &own->second);
    auto ahead = waitingOf(organisation);
    for (auto other = m_shares.begin(); other != m_shares.end(); ++other) {
        const auto& share = other->second;
        if (other == own || share.waiting.empty() || share.nextTurn > turn)
            continue;
        const auto turns = std::floor((turn - share.nextTurn) / share.cost) + 1;
        ahead += std::min(share.waiting.size(), static_cast<std::size_t>(turns));
    }
    return ahead;
}

double FairQueue::expectedAheadOf(const OrganisationName& organisation, double turnsPerSecond, TimePoint now)
{
    const auto own = m_shares.find(organisation);
    const auto turn = turnOfNext(own == m_shares.end() ? nullptr : &own->second);
    const auto ahead = static_cast<double>(aheadOf(organisation));
    if (turnsPerSecond <= 0)
        return ahead;
    struct Overtaking {
        double turns = 0;
        double perSecond = 0;
    };
    std::vector<Overtaking> others;
    for (auto other = m_shares.begin(); other != m_shares.end(); ++other) {
        const auto turns = other == own ? 0 : (turn - turnOfNext(&other->second)) / other->second.cost;
        if (turns > 0)
            others.push_back({ turns, other->second.demand.perSecond(now) });
    }
    // Those that overtake prolong the wait, in which more of them come.
    constexpr int rounds = 8;
    double newcomers = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto seconds = (ahead + newcomers + 1) / turnsPerSecond;
        newcomers = 0;
        for (const auto& other : others)
            newcomers += std::min(other.turns, other.perSecond * seconds);
    }
    return ahead + newcomers;
}

bool FairQueue::hasRoom(const OrganisationName& organisation, std::size_t maximumLength) const
{
    if (organisation.isEmpty() && m_shares.size() <= 1)
        return m_size < maximumLength;
    return m_size < maximumLength && waitingOf(organisation) < maximumLength - m_size;
}

std::vector<FairQueue::Turn> FairQueue::turnsInOrder()
{
    std::vector<Turn> turns;
    turns.reserve(m_size);
    for (auto& [organisation, share] : m_shares) {
        for (std::size_t i = 0; i < share.waiting.size(); ++i)
            turns.push_back({ share.nextTurn + share.cost * static_cast<double>(i), &share, i });
    }
    std::stable_sort(turns.begin(), turns.end(), [](const Turn& a, const Turn& b) { return a.at < b.at; });
    return turns;
}

} // namespace cicadalb
