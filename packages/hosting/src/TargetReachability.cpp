#include "TargetReachability.h"

#include "cicadalb/base/ClockTimer.h"
#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    std::string textOf(const std::vector<Endpoint>& endpoints)
    {
        std::string text;
        for (const auto& endpoint : endpoints)
            text.append(text.empty() ? "" : " ").append(endpoint.address).append(":").append(std::to_string(endpoint.port));
        return text;
    }

} // namespace

/// Connections that are tried at the same time.
struct TargetReachability::Probe {
    Probe(const asio::any_io_executor& executor, const Clock& clock)
        : finished(executor, clock)
    {
    }
    /// Cancelled when the result is known.
    ClockTimer finished;
    std::size_t pending = 0;
    bool hasReached = false;
};

TargetReachability::TargetReachability(asio::any_io_executor executor, const SiteDirectory& directory, TargetProbe probe, const Clock& clock, std::uint64_t seed)
    : m_executor(std::move(executor))
    , m_directory(directory)
    , m_probe(std::move(probe))
    , m_clock(clock)
    , m_random(seed)
{
}

void TargetReachability::recordAnswer()
{
    m_lastAnswerAt = m_clock.now();
    setReachable();
}

Task<bool> TargetReachability::reachesTargets()
{
    const auto self = shared_from_this();
    if (m_lastAnswerAt && m_clock.now() < *m_lastAnswerAt + answerValidity)
        co_return true;
    const auto isReached = co_await reachesAny(drawTargets({}));
    co_return isReached;
}

std::vector<Endpoint> TargetReachability::drawTargets(const TargetId& excluded)
{
    std::vector<Endpoint> endpoints;
    for (const auto& [id, target] : m_directory.registry().targets()) {
        if (id != excluded && !target.isDraining)
            endpoints.push_back(target.endpoint);
    }
    const auto count = std::min(endpoints.size(), targetsPerProbe);
    for (std::size_t i = 0; i < count; ++i)
        std::swap(endpoints[i], endpoints[i + randomIndex(m_random, endpoints.size() - i)]);
    endpoints.resize(count);
    return endpoints;
}

Task<bool> TargetReachability::reachesAny(std::vector<Endpoint> endpoints)
{
    const auto probe = std::make_shared<Probe>(m_executor, m_clock);
    probe->pending = endpoints.size();
    for (const auto& endpoint : endpoints) {
        const auto connect = [self = shared_from_this(), probe, endpoint]() -> Task<void> {
            const auto isAccepted = co_await self->m_probe(endpoint, probeTimeout);
            probe->hasReached = probe->hasReached || isAccepted;
            --probe->pending;
            if (isAccepted || probe->pending == 0)
                probe->finished.cancel();
        };
        asio::co_spawn(m_executor, connect, asio::detached);
    }
    if (!endpoints.empty())
        co_await probe->finished.waitFor(2 * probeTimeout);
    co_return probe->hasReached;
}

void TargetReachability::beginExamination(const TargetId& failed)
{
    asio::co_spawn(
        m_executor, [self = shared_from_this(), failed]() -> Task<void> { (void)co_await self->examineFailure(failed); }, asio::detached);
}

Task<bool> TargetReachability::examineFailure(TargetId failed)
{
    const auto self = shared_from_this();
    if (isCutOff())
        co_return true;
    if (m_lastAnswerAt && m_clock.now() < *m_lastAnswerAt + answerValidity)
        co_return false;
    const auto endpoints = drawTargets(failed);
    // A target without any other cannot be told from the connection to it.
    if (endpoints.empty())
        co_return false;
    const auto isReached = co_await reachesAny(endpoints);
    if (isReached)
        co_return false;
    if (isCutOff())
        co_return true;
    m_cutOffSince = m_clock.now();
    logEvent(Event::TargetsUnreachable, { { "failed", failed.value() }, { "probed", textOf(endpoints) } });
    asio::co_spawn(
        m_executor, [self]() { return self->probePeriodically(); }, asio::detached);
    co_return true;
}

Task<void> TargetReachability::probePeriodically()
{
    const auto self = shared_from_this();
    ClockTimer timer(m_executor, m_clock);
    while (isCutOff()) {
        co_await timer.waitFor(probeInterval);
        const auto isReached = co_await reachesAny(drawTargets({}));
        if (isReached)
            setReachable();
    }
}

void TargetReachability::setReachable()
{
    if (!m_cutOffSince)
        return;
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - *m_cutOffSince);
    m_cutOffSince.reset();
    logEvent(Event::TargetsReachable, { { "milliseconds", std::to_string(duration.count()) } });
}

} // namespace cicadalb
