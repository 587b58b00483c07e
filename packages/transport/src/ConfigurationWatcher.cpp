#include "cicadalb/transport/ConfigurationWatcher.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cicadalb {

namespace {

    /// Number of doublings after which the backoff no longer grows, so that the shift does not overflow.
    constexpr unsigned maximumDoublings = 10;

} // namespace

bool isConfigurationWatcher(const HostId& self, const FailureDomain& failureDomain, const std::vector<AssignableHost>& liveHosts)
{
    std::vector<AssignableHost> domainHosts;
    std::copy_if(liveHosts.begin(), liveHosts.end(), std::back_inserter(domainHosts),
        [&](const AssignableHost& host) { return host.failureDomain == failureDomain; });
    if (domainHosts.size() <= configurationWatchersPerFailureDomain)
        return true;
    const Assignment assignment(std::move(domainHosts));
    const auto watchers = assignment.preferredHosts(acceptedConfigurationKey, configurationWatchersPerFailureDomain);
    return std::any_of(watchers.begin(), watchers.end(), [&](const AssignableHost* host) { return host->id == self; });
}

ConfigurationWatcher::ConfigurationWatcher(boost::asio::any_io_executor executor, KeyValueService& service, std::uint64_t seed, AdoptHandler handler, ConfigurationWatchTiming timing)
    : m_executor(std::move(executor))
    , m_service(service)
    , m_random(seed)
    , m_handler(std::move(handler))
    , m_timing(timing)
{
}

Task<void> ConfigurationWatcher::run(WatchPredicate shouldWatch)
{
    while (!m_isStopping) {
        if (!shouldWatch()) {
            co_await waitWithoutWatch(shouldWatch);
            continue;
        }
        const bool isSuccess = co_await watchOnce();
        if (!isSuccess)
            co_await sleepFor(nextBackoff());
    }
}

Task<bool> ConfigurationWatcher::watchOnce()
{
    auto changes = co_await m_service.watch(std::string(configurationPrefix), m_revision, m_timing.watchTimeout);
    countCall(changes.has_value());
    if (!changes) {
        // Reads everything again after an outage, because the service may have come back with different revisions.
        m_revision = 0;
        co_return false;
    }
    for (const auto& entry : changes.value().entries)
        handleEntry(entry);
    m_revision = changes.value().revision;
    co_return true;
}

Task<bool> ConfigurationWatcher::readRefusedEdits()
{
    auto entry = co_await m_service.read(std::string(refusedEditsKey));
    countCall(entry.has_value());
    if (!entry)
        co_return false;
    if (entry.value())
        handleEntry(*entry.value());
    co_return true;
}

/// Waits until this host should watch. Until then it only reads the refused edits, first after a random part of the interval.
Task<void> ConfigurationWatcher::waitWithoutWatch(const WatchPredicate& shouldWatch)
{
    // Starts at a random point of the interval, so that hosts that start together do not read together.
    auto sinceLastRead = std::chrono::milliseconds(static_cast<std::int64_t>(randomUnit(m_random) * static_cast<double>(m_timing.refusedEditsInterval.count())));
    while (!m_isStopping && !shouldWatch()) {
        if (sinceLastRead >= m_timing.refusedEditsInterval) {
            co_await readRefusedEdits();
            sinceLastRead = {};
        }
        co_await sleepFor(m_timing.recheckInterval);
        sinceLastRead += m_timing.recheckInterval;
    }
}

Task<void> ConfigurationWatcher::sleepFor(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(m_executor, duration);
    boost::system::error_code error;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
}

std::chrono::milliseconds ConfigurationWatcher::nextBackoff()
{
    const auto doublings = std::min(m_consecutiveFailures > 0 ? m_consecutiveFailures - 1 : 0, maximumDoublings);
    const auto backoff = std::min(m_timing.initialBackoff * (1 << doublings), m_timing.maximumBackoff);
    const auto jittered = static_cast<double>(backoff.count()) * (0.5 + 0.5 * randomUnit(m_random));
    return std::chrono::milliseconds(static_cast<std::int64_t>(jittered));
}

void ConfigurationWatcher::countCall(bool isSuccess)
{
    if (m_consecutiveFailures == 0 && !isSuccess)
        logEvent(Event::PlatformUnavailable, { { "service", "key-value" }, { "use", "configuration" } });
    if (m_consecutiveFailures > 0 && isSuccess)
        logEvent(Event::PlatformAvailable, { { "service", "key-value" }, { "use", "configuration" } });
    m_consecutiveFailures = isSuccess ? 0 : m_consecutiveFailures + 1;
    const std::lock_guard lock(m_mutex);
    ++m_counters.calls;
    m_counters.failedCalls += isSuccess ? 0 : 1;
}

void ConfigurationWatcher::handleEntry(const KeyValueEntry& entry)
{
    if (entry.key == acceptedConfigurationKey) {
        const auto outcome = adopt(entry.value, Source::Service);
        if (!outcome)
            logEvent(Event::ConfigurationRefused, { { "source", "key-value" }, { "reason", describe(outcome.error()) } });
    } else if (entry.key == refusedEditsKey) {
        auto refused = RefusedEdits::fromJson(entry.value).edits();
        const std::lock_guard lock(m_mutex);
        m_refusedEdits = std::move(refused);
    }
}

Result<OfferOutcome> ConfigurationWatcher::offer(std::string_view recordJson)
{
    return adopt(recordJson, Source::Host);
}

Result<OfferOutcome> ConfigurationWatcher::adopt(std::string_view recordJson, Source source)
{
    auto parsed = acceptedConfigurationFromJson(recordJson);
    if (!parsed) {
        const std::lock_guard lock(m_mutex);
        ++m_counters.unreadable;
        return parsed.as_failure();
    }
    const auto record = std::make_shared<const AcceptedConfiguration>(std::move(parsed.value()));
    const std::lock_guard adoptLock(m_adoptMutex);
    auto outcome = OfferOutcome::Older;
    {
        const std::lock_guard lock(m_mutex);
        outcome = m_state.offer(record);
        m_counters.contradictions = m_state.contradictions();
        if (outcome == OfferOutcome::Adopted)
            ++(source == Source::Service ? m_counters.adoptedFromService : m_counters.adoptedFromHosts);
    }
    const std::vector<Field> fields { { "number", std::to_string(record->number) }, { "author", record->author } };
    if (outcome == OfferOutcome::Contradicted)
        logEvent(Event::ConfigurationContradicted, fields);
    if (outcome == OfferOutcome::Adopted) {
        logEvent(Event::ConfigurationAccepted, fields);
        m_handler(record);
    }
    return outcome;
}

ConfigurationNumber ConfigurationWatcher::number() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.number();
}

std::shared_ptr<const AcceptedConfiguration> ConfigurationWatcher::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.current();
}

bool ConfigurationWatcher::shouldFetch(ConfigurationNumber otherNumber) const
{
    const std::lock_guard lock(m_mutex);
    return m_state.shouldFetch(otherNumber);
}

std::string ConfigurationWatcher::recordNewerThan(ConfigurationNumber otherNumber) const
{
    const auto record = current();
    return record && otherNumber < record->number ? toJson(*record) : std::string();
}

ConfigurationWatchCounters ConfigurationWatcher::counters() const
{
    const std::lock_guard lock(m_mutex);
    return m_counters;
}

std::vector<RefusedEdit> ConfigurationWatcher::refusedEdits() const
{
    const std::lock_guard lock(m_mutex);
    return m_refusedEdits;
}

} // namespace cicadalb
