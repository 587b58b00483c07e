#include "AdmissionQueue.h"

namespace cicadalb {

namespace {

    /// Completion rate below which no waiting time is estimated.
    constexpr double minimumCompletionsPerSecond = 0.1;

} // namespace

AdmissionQueue::AdmissionQueue(TimePoint start)
    : m_waiting { FairQueue(start), FairQueue(start), FairQueue(start) }
    , m_arrivals { RateMeter(start), RateMeter(start), RateMeter(start) }
{
}

void AdmissionQueue::push(QueuedRequest request)
{
    m_waiting[index(request.requirements.priority)].push(std::move(request));
}

void AdmissionQueue::recordDemand(const RequestRequirements& requirements, TimePoint now)
{
    m_waiting[index(requirements.priority)].recordArrival(requirements.organisation, now);
}

void AdmissionQueue::updateShares(double completionsPerSecond, const OrganisationWeights& weights, TimePoint now)
{
    for (const auto priority : priorities)
        m_waiting[index(priority)].updateShares(availablePerSecond(priority, completionsPerSecond, now), weights, now);
}

std::vector<Priority> AdmissionQueue::serviceOrder() const
{
    std::vector<Priority> order;
    for (const auto priority : priorities) {
        if (!waiting(priority).isEmpty())
            order.push_back(priority);
    }
    std::stable_partition(order.begin(), order.end(), [this](Priority priority) { return m_turnsWaited[index(priority)] + 1 >= turnsPerLowerPriorityTurn; });
    return order;
}

void AdmissionQueue::recordTurn(Priority taken)
{
    m_turnsWaited[index(taken)] = 0;
    for (auto lower = index(taken) + 1; lower < priorities.size(); ++lower)
        m_turnsWaited[lower] = m_waiting[lower].isEmpty() ? 0 : m_turnsWaited[lower] + 1;
}

QueuedRequest AdmissionQueue::popFront(Priority priority)
{
    auto request = m_waiting[index(priority)].popFront();
    recordTurn(priority);
    return request;
}

bool AdmissionQueue::remove(QueueTicket ticket)
{
    const auto removed = removeIf([ticket](const QueuedRequest& request, std::size_t) { return request.ticket == ticket; });
    return !removed.empty();
}

std::size_t AdmissionQueue::size() const noexcept
{
    std::size_t count = 0;
    for (const auto& waiting : m_waiting)
        count += waiting.size();
    return count;
}

std::size_t AdmissionQueue::sizeAbove(Priority priority) const noexcept
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < index(priority); ++i)
        count += m_waiting[i].size();
    return count;
}

double AdmissionQueue::availablePerSecond(Priority priority, double completionsPerSecond, TimePoint now)
{
    double higherPriorityArrivals = 0;
    for (std::size_t i = 0; i < index(priority); ++i)
        higherPriorityArrivals += m_arrivals[i].perSecond(now);
    return std::max(completionsPerSecond - higherPriorityArrivals, completionsPerSecond / turnsPerLowerPriorityTurn);
}

double AdmissionQueue::expectedWaitSeconds(Priority priority, double ahead, double completionsPerSecond, TimePoint now)
{
    if (completionsPerSecond < minimumCompletionsPerSecond)
        return 0;
    return (static_cast<double>(sizeAbove(priority)) + ahead + 1) / availablePerSecond(priority, completionsPerSecond, now);
}

double AdmissionQueue::expectedWaitSeconds(const RequestRequirements& requirements, double completionsPerSecond, TimePoint now)
{
    if (completionsPerSecond < minimumCompletionsPerSecond)
        return 0;
    const auto available = availablePerSecond(requirements.priority, completionsPerSecond, now);
    const auto ahead = m_waiting[index(requirements.priority)].expectedAheadOf(requirements.organisation, available, now);
    return expectedWaitSeconds(requirements.priority, ahead, completionsPerSecond, now);
}

} // namespace cicadalb
