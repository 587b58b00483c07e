#include "AdmissionQueue.h"

namespace cicadalb {

namespace {

    /// Completion rate below which no waiting time is estimated.
    constexpr double minimumCompletionsPerSecond = 0.1;

} // namespace

AdmissionQueue::AdmissionQueue(TimePoint start)
    : m_arrivals { RateMeter(start), RateMeter(start), RateMeter(start) }
{
}

void AdmissionQueue::push(QueuedRequest request)
{
    m_waiting[index(request.requirements.priority)].push_back(std::move(request));
}

std::vector<Priority> AdmissionQueue::serviceOrder() const
{
    std::vector<Priority> order;
    for (const auto priority : priorities) {
        if (!waiting(priority).empty())
            order.push_back(priority);
    }
    std::stable_partition(order.begin(), order.end(), [this](Priority priority) { return m_turnsWaited[index(priority)] + 1 >= turnsPerLowerPriorityTurn; });
    return order;
}

void AdmissionQueue::recordTurn(Priority taken)
{
    m_turnsWaited[index(taken)] = 0;
    for (auto lower = index(taken) + 1; lower < priorities.size(); ++lower)
        m_turnsWaited[lower] = m_waiting[lower].empty() ? 0 : m_turnsWaited[lower] + 1;
}

QueuedRequest AdmissionQueue::popFront(Priority priority)
{
    auto& waiting = m_waiting[index(priority)];
    auto request = std::move(waiting.front());
    waiting.pop_front();
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

double AdmissionQueue::expectedWaitSeconds(Priority priority, std::size_t position, double completionsPerSecond, TimePoint now)
{
    if (completionsPerSecond < minimumCompletionsPerSecond)
        return 0;
    double higherPriorityArrivals = 0;
    for (std::size_t i = 0; i < index(priority); ++i)
        higherPriorityArrivals += m_arrivals[i].perSecond(now);
    const auto availablePerSecond = std::max(completionsPerSecond - higherPriorityArrivals, completionsPerSecond / turnsPerLowerPriorityTurn);
    return static_cast<double>(sizeAbove(priority) + position + 1) / availablePerSecond;
}

} // namespace cicadalb
