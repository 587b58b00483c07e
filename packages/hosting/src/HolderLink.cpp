#include "HolderLink.h"

#include "HostCall.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <charconv>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    std::string addressOf(const Endpoint& endpoint) { return endpoint.address + ":" + std::to_string(endpoint.port); }

    /// @return the endpoint of "IP:PORT", or nothing
    std::optional<Endpoint> endpointOf(const std::string& address)
    {
        const auto separator = address.rfind(':');
        std::uint16_t port = 0;
        if (separator == std::string::npos)
            return std::nullopt;
        const auto* end = address.data() + address.size();
        if (std::from_chars(address.data() + separator + 1, end, port).ptr != end)
            return std::nullopt;
        return Endpoint { address.substr(0, separator), port };
    }

    Task<Result<RunReply>> sendCall(std::shared_ptr<HttpClient> client, RunCall call)
    {
        HostCall message { runPath, encodeRunCall(call), call.maximumWait + HolderLink::replyTimeout, true };
        const auto body = co_await callHost(std::move(client), std::move(message));
        if (!body)
            co_return body.as_failure();
        co_return decodeRunReply(body.value());
    }

} // namespace

RunExchange makeHttpRunExchange(const asio::any_io_executor& executor)
{
    const auto clients = std::make_shared<std::map<std::string, std::shared_ptr<HttpClient>>>();
    return [executor, clients](const Endpoint& candidate, RunCall call) {
        auto& client = (*clients)[addressOf(candidate)];
        if (!client)
            client = std::make_shared<HttpClient>(executor, candidate);
        return sendCall(client, std::move(call));
    };
}

HolderLink::HolderLink(asio::any_io_executor executor, HolderLinkSettings settings, RunExchange exchange, const SiteDirectory& directory, const Clock& clock)
    : m_executor(std::move(executor))
    , m_settings(std::move(settings))
    , m_exchange(std::move(exchange))
    , m_directory(directory)
    , m_clock(clock)
    , m_searchTimer(m_executor, clock)
    , m_lastContactAt(clock.now())
    , m_searchingSince(clock.now())
{
}

void HolderLink::start(RunBackend& backend)
{
    m_backend = &backend;
    asio::co_spawn(
        m_executor, [self = shared_from_this()] { return self->follow(); }, asio::detached);
}

void HolderLink::stop()
{
    m_isStopped = true;
    m_searchTimer.cancel();
    if (m_backend)
        m_backend->stopAll();
}

void HolderLink::handBack()
{
    m_isHandingBack = true;
    for (const auto& id : m_held.runningIds())
        m_backend->cancel(id);
}

Task<void> HolderLink::follow()
{
    const auto self = shared_from_this();
    while (!m_isStopped) {
        if (!m_owner) {
            dropAbandoned();
            co_await search();
            continue;
        }
        const auto candidate = m_owner->candidate;
        const auto sentAt = m_clock.now();
        auto call = makeCall(false);
        const auto reply = co_await m_exchange(candidate, std::move(call));
        if (!m_isStopped)
            apply(candidate, sentAt, reply);
    }
}

Task<void> HolderLink::search()
{
    for (const auto& candidate : m_settings.candidates)
        asio::co_spawn(
            m_executor, [self = shared_from_this(), candidate] { return self->askWhetherOwner(candidate); }, asio::detached);
    const bool isLong = m_clock.now() >= m_searchingSince + longSearch;
    co_await m_searchTimer.waitFor(isLong ? longSearchInterval : searchInterval);
}

Task<void> HolderLink::askWhetherOwner(Endpoint candidate)
{
    const auto self = shared_from_this();
    RunCall question;
    question.host = m_settings.host;
    question.process = m_settings.process;
    const auto reply = co_await m_exchange(candidate, std::move(question));
    if (!reply || m_owner || m_isStopped)
        co_return;
    if (reply.value().owner == 0) {
        // A candidate that is not among those known here is asked, but not about others.
        const auto elsewhere = endpointOf(reply.value().ownerAddress);
        const auto& known = m_settings.candidates;
        const bool isKnown = std::find(known.begin(), known.end(), candidate) != known.end();
        if (elsewhere && isKnown && std::find(known.begin(), known.end(), *elsewhere) == known.end())
            asio::co_spawn(
                m_executor, [self, endpoint = *elsewhere] { return self->askWhetherOwner(endpoint); }, asio::detached);
        co_return;
    }
    m_owner = Owner { candidate, reply.value().owner };
    m_lastReply = 0;
    logEvent(Event::RunOwnerFound, { { "candidate", addressOf(candidate) }, { "runs", std::to_string(m_held.size()) } });
    m_searchTimer.cancel();
}

RunCall HolderLink::makeCall(bool isUrgentOnly)
{
    RunCall call;
    call.host = m_settings.host;
    call.process = m_settings.process;
    call.failureDomain = m_settings.failureDomain;
    call.capacity = m_isHandingBack ? 0 : m_settings.capacity;
    call.isCutOff = m_settings.reachability && m_settings.reachability->isCutOff();
    call.owner = m_owner->id;
    call.number = ++m_callNumber;
    call.lastReply = m_lastReply;
    call.maximumWait = isUrgentOnly ? std::chrono::milliseconds(0) : m_interval;
    call.isComplete = !isUrgentOnly;
    call.held = m_held.ids();
    call.reports = m_held.reports(m_owner->id, isUrgentOnly, m_clock.now());
    return call;
}

void HolderLink::loseOwner(const std::string& cause)
{
    logEvent(Event::RunOwnerLost, { { "candidate", addressOf(m_owner->candidate) }, { "runs", std::to_string(m_held.size()) }, { "cause", cause } });
    m_owner.reset();
    m_searchingSince = m_clock.now();
}

void HolderLink::apply(const Endpoint& candidate, TimePoint sentAt, const Result<RunReply>& reply)
{
    if (!m_owner || !(m_owner->candidate == candidate))
        return;
    if (!reply || reply.value().owner == 0)
        return loseOwner(reply ? "it no longer coordinates" : reply.error().message);
    const auto& answer = reply.value();
    if (answer.owner != m_owner->id) {
        m_owner->id = answer.owner;
        m_lastReply = 0;
        return;
    }
    const auto now = m_clock.now();
    m_lastContactAt = std::max(m_lastContactAt, sentAt);
    m_lastReply = std::max(m_lastReply, answer.number);
    if (answer.interval.count() > 0)
        m_interval = answer.interval;
    for (const auto& receipt : answer.receipts)
        m_held.apply(receipt, answer.owner);
    for (const auto& id : answer.stops)
        drop(id);
    if (now - sentAt > startValidity || m_isHandingBack)
        return;
    for (const auto& start : answer.starts)
        begin(start);
}

void HolderLink::begin(RunAssignment assignment)
{
    if (m_held.add(assignment, m_owner->id, m_clock.now()))
        m_backend->begin(std::move(assignment));
}

void HolderLink::drop(const RunId& id)
{
    m_backend->stop(id);
    m_held.remove(id);
}

/// Ends runs that have been without an owner for too long, and forgets those that nobody can want any more.
void HolderLink::dropAbandoned()
{
    const auto now = m_clock.now();
    if (now - m_lastContactAt > maximumTimeWithoutOwner) {
        for (const auto& id : m_held.runningIds())
            drop(id);
    }
    for (const auto& id : m_held.expiredIds(now))
        drop(id);
}

Task<void> HolderLink::sendUrgentNews()
{
    const auto self = shared_from_this();
    ClockTimer timer(m_executor, m_clock);
    while (!m_isStopped && m_owner && m_held.hasUrgentNews()) {
        co_await timer.waitFor(urgentDelay);
        if (m_isStopped || !m_owner)
            break;
        const auto candidate = m_owner->candidate;
        const auto sentAt = m_clock.now();
        auto call = makeCall(true);
        const auto reply = co_await m_exchange(candidate, std::move(call));
        // If the call fails, the waiting one shows whether the owner is lost, and the next one repeats the news.
        if (reply && !m_isStopped)
            apply(candidate, sentAt, reply);
    }
    m_isUrgentScheduled = false;
}

void HolderLink::scheduleUrgentNews()
{
    if (m_isUrgentScheduled || !m_owner || m_isStopped)
        return;
    m_isUrgentScheduled = true;
    asio::co_spawn(
        m_executor, [self = shared_from_this()] { return self->sendUrgentNews(); }, asio::detached);
}

void HolderLink::onRunAnswered(const RunAssignment& assignment, const RateStatement& rate, bool isEngineLeaving)
{
    m_held.recordAnswer(assignment.id, rate, isEngineLeaving);
}

void HolderLink::onRunEvent(const RunAssignment& assignment, const StreamEvent& event, WeightVersion version)
{
    m_held.recordEvent(assignment.id, event, version, m_clock.now());
}

bool HolderLink::isReleaseCertain(const RunAssignment& assignment) const
{
    const auto* target = m_directory.registry().find(assignment.engine);
    return !target || target->startedAt == assignment.engineStartedAt || SoftwareRelease { target->pool, target->softwareVersion }.isCompatibleWith(assignment.release);
}

void HolderLink::onRunEnded(const RunAssignment& assignment, RunEnd end)
{
    if (m_held.recordEnd(assignment.id, std::move(end), isReleaseCertain(assignment)))
        m_backend->requestReward(assignment);
    scheduleUrgentNews();
}

void HolderLink::onRewardEnded(const RunAssignment& assignment, RewardOutcome outcome)
{
    m_held.recordReward(assignment.id, std::move(outcome));
    scheduleUrgentNews();
}

bool HolderLink::mayRequestReward(const RunAssignment&) const { return m_clock.now() - m_lastContactAt <= rewardTimeWithoutOwner; }

} // namespace cicadalb
