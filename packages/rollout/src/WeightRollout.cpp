#include "cicadalb/rollout/WeightRollout.h"

#include "cicadalb/base/EnumTable.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cicadalb {

namespace {

    constexpr auto stateNames = std::to_array<EnumName<SwapState>>({
        { SwapState::Pending, "pending" },
        { SwapState::Swapping, "swapping" },
        { SwapState::InForce, "in-force" },
        { SwapState::SetAside, "set-aside" },
    });

    /// Keeps the shift in range; the backoff itself is limited by maximumRetryBackoff.
    constexpr unsigned maximumBackoffDoublings = 16;

} // namespace

std::string_view name(SwapState state) noexcept
{
    return nameIn(stateNames, state);
}

WeightRollout::WeightRollout(WeightRolloutOptions options)
    : m_options(std::move(options))
{
}

void WeightRollout::setDesiredVersion(WeightVersion version)
{
    if (version == m_desiredVersion)
        return;
    m_desiredVersion = version;
    for (auto& [id, engine] : m_engines) {
        if (engine.state == SwapState::Swapping)
            continue;
        engine.state = engine.version == version ? SwapState::InForce : SwapState::Pending;
        engine.failures = 0;
        engine.notBefore = {};
    }
}

void WeightRollout::setEngines(const std::vector<TargetId>& ids)
{
    const std::set<TargetId> known(ids.begin(), ids.end());
    std::erase_if(m_engines, [&known](const auto& entry) { return !known.count(entry.first); });
    for (const auto& id : ids)
        m_engines.try_emplace(id);
}

void WeightRollout::onStatus(const TargetId& id, const EngineStatus& status, TimePoint now)
{
    const auto found = m_engines.find(id);
    if (found == m_engines.end() || found->second.state == SwapState::Swapping)
        return;
    auto& engine = found->second;
    if (now - engine.orderEndedAt < m_options.maximumReportAge)
        return;
    engine.version = status.version;
    if (engine.version == m_desiredVersion)
        engine.state = SwapState::InForce;
    else if (engine.state == SwapState::InForce)
        engine.state = SwapState::Pending;
}

std::size_t WeightRollout::runningSwaps() const
{
    return static_cast<std::size_t>(std::count_if(m_engines.begin(), m_engines.end(),
        [](const auto& entry) { return entry.second.state == SwapState::Swapping; }));
}

/// Engines that are set aside count as not serving.
std::size_t WeightRollout::maximumConcurrentSwaps() const
{
    const auto setAside = static_cast<std::size_t>(std::count_if(m_engines.begin(), m_engines.end(),
        [](const auto& entry) { return entry.second.state == SwapState::SetAside; }));
    const auto minimumServing = static_cast<std::size_t>(std::ceil(m_options.servingShare * static_cast<double>(m_engines.size())));
    const auto serving = m_engines.size() - setAside;
    return serving > minimumServing ? serving - minimumServing : 1;
}

std::vector<PlannedOrder> WeightRollout::nextOrders(FencingNumber fence, WeightLoadLimiter& limiter, TimePoint now)
{
    std::vector<PlannedOrder> orders;
    if (m_desiredVersion == 0 || fence <= m_highestRejectedFence)
        return orders;
    const auto allowed = maximumConcurrentSwaps();
    auto running = runningSwaps();
    for (auto& [id, engine] : m_engines) {
        if (running >= allowed)
            break;
        if (engine.state != SwapState::Pending || engine.notBefore > now)
            continue;
        if (!limiter.tryAcquire(now))
            break;
        engine.state = SwapState::Swapping;
        ++running;
        orders.push_back({ id, { m_options.model, m_desiredVersion, fence }, now + m_options.orderTimeout });
    }
    return orders;
}

bool WeightRollout::onOrderResult(const TargetId& id, const WeightOrder& order, const Result<void>& result, TimePoint now)
{
    const auto found = m_engines.find(id);
    if (found == m_engines.end())
        return false;
    auto& engine = found->second;
    engine.orderEndedAt = now;
    engine.state = SwapState::Pending;
    if (result) {
        engine.version = order.version;
        engine.failures = 0;
        if (order.version == m_desiredVersion)
            engine.state = SwapState::InForce;
        return false;
    }
    // Whether the order took effect is unknown until the engine reports its version.
    engine.version = 0;
    if (result.error().code == ErrorCode::FenceRejected) {
        m_highestRejectedFence = std::max(m_highestRejectedFence, order.fence);
        return false;
    }
    if (order.version != m_desiredVersion)
        return false;
    const auto doublings = std::min(engine.failures, maximumBackoffDoublings);
    engine.notBefore = now + std::min(m_options.retryBackoff * (std::int64_t { 1 } << doublings), m_options.maximumRetryBackoff);
    if (++engine.failures < m_options.maximumFailures)
        return false;
    engine.state = SwapState::SetAside;
    return true;
}

bool WeightRollout::isSettled() const
{
    return std::all_of(m_engines.begin(), m_engines.end(),
        [](const auto& entry) { return entry.second.state == SwapState::InForce || entry.second.state == SwapState::SetAside; });
}

std::vector<EngineSwapStatus> WeightRollout::engines() const
{
    std::vector<EngineSwapStatus> statuses;
    for (const auto& [id, engine] : m_engines)
        statuses.push_back({ id, engine.state, engine.version, engine.failures });
    return statuses;
}

} // namespace cicadalb
