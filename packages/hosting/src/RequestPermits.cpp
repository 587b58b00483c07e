#include "RequestPermits.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    constexpr double maximumBatch = 64;

    TargetStart startOf(const RegisteredTarget& target) { return { target.id, target.startedAt }; }

    Task<Result<PermitReply>> sendRequest(std::shared_ptr<HttpClient> client, PermitRequest request)
    {
        HostCall call { permitPath, encodePermitRequest(request), RequestPermits::replyTimeout, false };
        const auto answer = co_await callHost(std::move(client), std::move(call));
        if (!answer)
            co_return answer.as_failure();
        co_return decodePermitReply(answer.value().body);
    }

    Task<Result<PermitReply>> answerForNone() { co_return PermitReply {}; }

} // namespace

PermitExchange makeHttpPermitExchange(const boost::asio::any_io_executor& executor, const std::vector<Endpoint>& endpoints, EndpointSource unlisted)
{
    const auto unlistedClient = std::make_shared<ChangingHostClient>(executor, std::move(unlisted));
    return [clients = makeHostClients(executor, endpoints), unlistedClient](std::size_t candidate, PermitRequest request) {
        auto client = candidate < clients.size() ? clients[candidate] : unlistedClient->client();
        return client ? sendRequest(std::move(client), std::move(request)) : answerForNone();
    };
}

RequestPermits::RequestPermits(boost::asio::any_io_executor executor, RequestPermitsSettings settings, PermitExchange exchange, const SiteProtocol& protocol, const Clock& clock)
    : m_executor(std::move(executor))
    , m_settings(std::move(settings))
    , m_exchange(std::move(exchange))
    , m_protocol(protocol)
    , m_clock(clock)
{
    updateShare();
}

void RequestPermits::logChange(TargetRateLimits::Change change, const RegisteredTarget& target, double requestsPerSecond) const
{
    if (change == TargetRateLimits::Change::None)
        return;
    const bool isLifted = change == TargetRateLimits::Change::Lifted;
    logEvent(isLifted ? Event::TargetLimitLifted : Event::TargetLimitStated,
        { { "target", target.id.value() }, { "pool", target.pool.value() }, { "started-at", std::to_string(target.startedAt) }, { "requests-per-second", isLifted ? "" : std::to_string(requestsPerSecond) },
            { "granting", m_isGranting ? "yes" : "no" } });
}

void RequestPermits::observe(const RegisteredTarget& target, AnswerKind kind, const HttpFields& fields, TimePoint sentAt)
{
    // Other answers may come from another target.
    if (kind != AnswerKind::Answered && kind != AnswerKind::NotRun)
        return;
    const auto statement = m_protocol.rateStatement(fields);
    const auto change = m_limits.apply(startOf(target), statement, sentAt, m_clock.now());
    logChange(change, target, statement.requestsPerSecond);
    if (change == TargetRateLimits::Change::Stated && !m_isGranting && !m_coordinator)
        searchCoordinator();
}

bool RequestPermits::isLimited(const RegisteredTarget& target) const { return m_limits.requestsPerSecond(startOf(target)).has_value(); }

PermitDecision RequestPermits::reserve(const TargetId& target, Duration maximumWait)
{
    const auto now = m_clock.now();
    if (const auto wait = m_limits.reserve(target, maximumWait, now))
        return { true, *wait };
    const auto wait = m_limits.untilNext(target, now);
    return { false, m_isGranting ? wait : std::min<Duration>(wait, longestWaitWithoutCoordinator) };
}

Task<PermitDecision> RequestPermits::acquire(const RegisteredTarget& target, Duration maximumWait)
{
    const auto requestsPerSecond = m_limits.requestsPerSecond(startOf(target));
    if (!requestsPerSecond)
        co_return PermitDecision { true, Duration::zero() };
    if (!m_isGranting && m_coordinator) {
        const auto decision = co_await askCoordinator(target, *requestsPerSecond, maximumWait);
        if (decision)
            co_return *decision;
    }
    if (!m_isGranting)
        searchCoordinator();
    co_return reserve(target.id, maximumWait);
}

Task<std::optional<PermitDecision>> RequestPermits::askCoordinator(const RegisteredTarget& target, double requestsPerSecond, Duration maximumWait)
{
    const auto now = m_clock.now();
    auto& known = m_allowances[target.id];
    if (known.permits > 0 && now < known.permitsExpireAt) {
        --known.permits;
        co_return PermitDecision { true, Duration::zero() };
    }
    if (known.exhaustedUntil > now + maximumWait)
        co_return PermitDecision { false, known.exhaustedUntil - now };
    const auto coordinator = *m_coordinator;
    PermitRequest request { m_settings.host, startOf(target), requestsPerSecond, std::chrono::duration_cast<milliseconds>(maximumWait) };
    const auto reply = co_await m_exchange(coordinator, std::move(request));
    if (!reply || !reply.value().isGranting) {
        if (m_coordinator == coordinator)
            setCoordinator(std::nullopt);
        co_return std::nullopt;
    }
    const auto& answer = reply.value();
    recordHostCount(answer.hosts);
    const auto answeredAt = m_clock.now();
    // Other requests may have changed the table meanwhile.
    auto& allowance = m_allowances[target.id];
    if (answer.permits == 0) {
        allowance.exhaustedUntil = answeredAt + answer.wait;
        co_return PermitDecision { false, answer.wait };
    }
    if (answer.permits > 1) {
        allowance.permits = answer.permits - 1;
        allowance.permitsExpireAt = answeredAt + permitLifetime;
    }
    co_return PermitDecision { true, answer.wait };
}

std::vector<TargetId> RequestPermits::exhaustedTargets(Duration maximumWait) const
{
    const auto now = m_clock.now();
    std::vector<TargetId> exhausted;
    if (m_isGranting || !m_coordinator) {
        for (const auto& [id, requestsPerSecond] : m_limits.all()) {
            if (m_limits.untilNext(id, now) > maximumWait)
                exhausted.push_back(id);
        }
        return exhausted;
    }
    for (const auto& [id, allowance] : m_allowances) {
        const bool hasPermits = allowance.permits > 0 && now < allowance.permitsExpireAt;
        if (m_limits.isLimited(id) && !hasPermits && allowance.exhaustedUntil > now + maximumWait)
            exhausted.push_back(id);
    }
    return exhausted;
}

void RequestPermits::retain(const TargetRegistry& registry)
{
    const auto isPresent = [&registry](const TargetId& id) { return registry.find(id) != nullptr; };
    m_limits.retain(isPresent);
    std::erase_if(m_allowances, [&](const auto& entry) { return !m_limits.isLimited(entry.first); });
}

void RequestPermits::searchCoordinator()
{
    const auto now = m_clock.now();
    if (now < m_nextSearchAt)
        return;
    m_nextSearchAt = now + searchInterval;
    for (std::size_t candidate = 0; candidate < m_settings.candidateCount; ++candidate)
        boost::asio::co_spawn(m_executor, askWhetherGranting(candidate), boost::asio::detached);
}

Task<void> RequestPermits::askWhetherGranting(std::size_t candidate)
{
    PermitRequest request;
    request.host = m_settings.host;
    const auto reply = co_await m_exchange(candidate, std::move(request));
    if (!reply || !reply.value().isGranting || m_isGranting)
        co_return;
    recordHostCount(reply.value().hosts);
    setCoordinator(candidate);
}

void RequestPermits::setCoordinator(std::optional<std::size_t> coordinator)
{
    if (m_coordinator == coordinator)
        return;
    logEvent(coordinator ? Event::PermitsAvailable : Event::PermitsUnavailable, { { "candidate", std::to_string(coordinator ? *coordinator : *m_coordinator) }, { "limits", std::to_string(m_limits.size()) }, { "hosts", std::to_string(m_hostCount) } });
    m_coordinator = coordinator;
    m_allowances.clear();
    updateShare();
    m_limits.restartSpacing(m_clock.now());
}

/// Applies the share of a host without a coordinator. With a coordinator only the coordinator itself uses m_limits for spacing.
void RequestPermits::updateShare()
{
    const auto ownShare = m_hostCount > 0 ? shareWithoutCoordinator / m_hostCount : 0;
    m_limits.setShare(m_isGranting ? 1.0 : ownShare, m_clock.now());
}

void RequestPermits::recordHostCount(unsigned hosts)
{
    const auto now = m_clock.now();
    if (hosts < m_hostCount && now < m_hostCountStatedAt + hostRetention)
        return;
    m_hostCount = hosts;
    m_hostCountStatedAt = now;
    updateShare();
}

void RequestPermits::beginGranting()
{
    m_isGranting = true;
    m_coordinator.reset();
    m_allowances.clear();
    m_askingHosts.clear();
    updateShare();
    m_limits.restartSpacing(m_clock.now());
}

void RequestPermits::endGranting()
{
    m_isGranting = false;
    recordHostCount(countHosts());
    updateShare();
    m_limits.restartSpacing(m_clock.now());
}

unsigned RequestPermits::countHosts()
{
    const auto now = m_clock.now();
    std::erase_if(m_askingHosts, [now](const auto& entry) { return entry.second + hostRetention <= now; });
    return static_cast<unsigned>(m_askingHosts.size()) + 1;
}

PermitReply RequestPermits::answer(const PermitRequest& request)
{
    PermitReply reply;
    if (!m_isGranting)
        return reply;
    const auto now = m_clock.now();
    m_askingHosts[request.host] = now;
    reply.isGranting = true;
    reply.hosts = countHosts();
    if (request.target.id.isEmpty())
        return reply;
    m_limits.apply(request.target, { RateStatementKind::Limited, request.requestsPerSecond }, now, now);
    const auto wait = m_limits.reserve(request.target.id, request.maximumWait, now);
    reply.wait = std::chrono::ceil<milliseconds>(wait.value_or(m_limits.untilNext(request.target.id, now)));
    if (!wait)
        return reply;
    reply.permits = 1;
    const auto batch = std::min(maximumBatch, request.requestsPerSecond * std::chrono::duration<double>(batchTime).count() / reply.hosts);
    while (reply.wait.count() == 0 && reply.permits + 1 <= batch && m_limits.reserve(request.target.id, Duration::zero(), now))
        ++reply.permits;
    return reply;
}

} // namespace cicadalb
