#include "AdmissionQueue.h"

namespace cicadalb {

namespace {

    /// Events a second below which a rate says too little.
    constexpr double smallestRate = 0.1;

} // namespace

AdmissionQueue::AdmissionQueue(TimePoint start)
    : m_arrivals { RateMeter(start), RateMeter(start), RateMeter(start) }
{
}

void AdmissionQueue::push(QueuedRequest request)
{
    m_waiting[index(request.demand.priority)].push_back(std::move(request));
}

std::vector<Priority> AdmissionQueue::turns() const
{
    std::vector<Priority> order;
    for (const auto priority : priorities) {
        if (!waiting(priority).empty())
            order.push_back(priority);
    }
    std::stable_partition(order.begin(), order.end(), [this](Priority priority) { return m_turnsPassed[index(priority)] + 1 >= turnsPerLowerPriority; });
    return order;
}

void AdmissionQueue::countTurn(Priority taken)
{
    m_turnsPassed[index(taken)] = 0;
    for (auto lower = index(taken) + 1; lower < priorities.size(); ++lower)
        m_turnsPassed[lower] = m_waiting[lower].empty() ? 0 : m_turnsPassed[lower] + 1;
}

QueuedRequest AdmissionQueue::popFront(Priority priority)
{
    auto& waiting = m_waiting[index(priority)];
    auto request = std::move(waiting.front());
    waiting.pop_front();
    countTurn(priority);
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

double AdmissionQueue::waitSeconds(Priority priority, std::size_t position, double freedPerSecond, TimePoint now)
{
    if (freedPerSecond < smallestRate)
        return 0;
    double higherArrivals = 0;
    for (std::size_t i = 0; i < index(priority); ++i)
        higherArrivals += m_arrivals[i].perSecond(now);
    const auto available = std::max(freedPerSecond - higherArrivals, freedPerSecond / turnsPerLowerPriority);
    return static_cast<double>(sizeAbove(priority) + position + 1) / available;
}

} // namespace cicadalb
