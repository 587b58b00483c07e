#include "cicadalb/site/CapacityOrderBook.h"

#include <algorithm>

namespace cicadalb {

void CapacityOrderBook::propose(const CapacityDecision& decision)
{
    auto& entry = m_entries[decision.source];
    const auto before = entry.proposed ? std::optional(entry.proposed->engines) : entry.accepted;
    const bool isNew = !before || *before != decision.engines;
    // The order is still being repeated.
    if (!isNew && !entry.isInForce)
        return;
    entry.proposed = decision;
    entry.isInForce = false;
    if (isNew)
        entry.nextCallAt = {};
}

/// Whether a late call may have undone the order that is in force.
bool CapacityOrderBook::needsRepeat(const Entry& entry, TimePoint now)
{
    const auto differs = [&](unsigned number) { return entry.proposed && number != entry.proposed->engines; };
    return now >= entry.lateUntil && std::any_of(entry.lateNumbers.begin(), entry.lateNumbers.end(), differs);
}

std::vector<CapacityDecision> CapacityOrderBook::dueCalls(TimePoint now)
{
    std::vector<CapacityDecision> calls;
    for (const auto& [source, entry] : m_entries) {
        if (entry.proposed && !entry.isCalling && now >= entry.nextCallAt && (!entry.isInForce || needsRepeat(entry, now)))
            calls.push_back(*entry.proposed);
    }
    return calls;
}

void CapacityOrderBook::onCall(const EngineSource& source, TimePoint now)
{
    auto& entry = m_entries[source];
    entry.isCalling = true;
    entry.calledNumber = entry.proposed->engines;
    entry.calledAt = now;
    // Without an answer too, since the call may be executed.
    if (entry.proposed->engines != entry.proposed->from && entry.proposed->cause != OrderCause::Missing)
        entry.changedAt = now;
    if (entry.proposed->engines < entry.proposed->from)
        entry.reducedAt = now;
}

void CapacityOrderBook::onOutcome(const EngineSource& source, DutyOutcome outcome, TimePoint now)
{
    auto& entry = m_entries[source];
    entry.isCalling = false;
    const auto number = entry.calledNumber;
    const bool isNewest = entry.proposed && entry.proposed->engines == number;
    const auto retryLater = [&] {
        entry.isInForce = false;
        entry.nextCallAt = now + entry.retryDelay;
        entry.retryDelay = std::min<Duration>(entry.retryDelay * 2, longestRetryDelay);
    };
    switch (outcome) {
    case DutyOutcome::Accepted:
        entry.accepted = number;
        entry.orderedAt = now;
        entry.isInForce = isNewest;
        entry.nextCallAt = {};
        entry.retryDelay = firstRetryDelay;
        if (entry.calledAt >= entry.lateUntil)
            entry.lateNumbers.clear();
        break;
    case DutyOutcome::Refused:
        entry.unavailableUntil = now + unavailableTime;
        if (!isNewest)
            break;
        entry.isInForce = true;
        entry.proposed.reset();
        if (entry.accepted)
            entry.proposed = CapacityDecision { source, *entry.accepted, OrderCause::Need, *entry.accepted };
        break;
    case DutyOutcome::NotExecuted:
        retryLater();
        break;
    case DutyOutcome::Unknown:
        entry.lateNumbers.insert(number);
        entry.lateUntil = now + lateExecutionTime;
        entry.orderedAt = now;
        retryLater();
        break;
    }
}

std::map<EngineSource, unsigned> CapacityOrderBook::ordered() const
{
    std::map<EngineSource, unsigned> numbers;
    for (const auto& [source, entry] : m_entries) {
        if (entry.proposed)
            numbers[source] = entry.proposed->engines;
    }
    return numbers;
}

std::set<EngineSource> CapacityOrderBook::unavailable(TimePoint now) const
{
    std::set<EngineSource> sources;
    for (const auto& [source, entry] : m_entries) {
        if (now < entry.unavailableUntil)
            sources.insert(source);
    }
    return sources;
}

std::set<EngineSource> CapacityOrderBook::settling(std::chrono::milliseconds bootTime, TimePoint now) const
{
    std::set<EngineSource> sources;
    for (const auto& [source, entry] : m_entries) {
        const bool isRecent = entry.orderedAt && now < *entry.orderedAt + bootTime + registrationTime;
        if (isRecent || !entry.isInForce || entry.isCalling)
            sources.insert(source);
    }
    return sources;
}

std::set<EngineSource> CapacityOrderBook::changing(std::chrono::milliseconds bootTime, TimePoint now) const
{
    std::set<EngineSource> sources;
    for (const auto& [source, entry] : m_entries) {
        if (entry.changedAt && now < *entry.changedAt + bootTime + registrationTime)
            sources.insert(source);
    }
    return sources;
}

bool CapacityOrderBook::hasReduced(const EngineSource& source, std::chrono::milliseconds bootTime, TimePoint now) const
{
    const auto found = m_entries.find(source);
    return found != m_entries.end() && found->second.reducedAt && now < *found->second.reducedAt + bootTime + registrationTime;
}

} // namespace cicadalb
