#include "cicadalb/transport/ConfigurationWatcher.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cicadalb {

namespace {

    /// Doublings after which the pause no longer grows.
    constexpr unsigned maximumDoublings = 10;

} // namespace

bool isConfigurationWatcher(const HostId& self, const FailureDomain& failureDomain, const std::vector<AssignableHost>& liveHosts)
{
    std::vector<AssignableHost> neighbours;
    std::copy_if(liveHosts.begin(), liveHosts.end(), std::back_inserter(neighbours),
        [&](const AssignableHost& host) { return host.failureDomain == failureDomain; });
    if (neighbours.size() <= configurationWatchersPerFailureDomain)
        return true;
    const Assignment assignment(std::move(neighbours));
    const auto watchers = assignment.preferredHosts(acceptedConfigurationKey, configurationWatchersPerFailureDomain);
    return std::any_of(watchers.begin(), watchers.end(), [&](const AssignableHost* host) { return host->id == self; });
}

ConfigurationWatcher::ConfigurationWatcher(boost::asio::any_io_executor executor, KeyValueService& service, std::uint64_t seed, AdoptHandler handler, ConfigurationWatchTimes times)
    : m_executor(std::move(executor))
    , m_service(service)
    , m_random(seed)
    , m_handler(std::move(handler))
    , m_times(times)
{
}

Task<void> ConfigurationWatcher::run(WatchRule shouldWatch)
{
    while (!m_isStopping) {
        if (!shouldWatch()) {
            co_await idle(shouldWatch);
            continue;
        }
        const bool isSuccess = co_await watchOnce();
        if (!isSuccess)
            co_await wait(nextPause());
    }
}

Task<bool> ConfigurationWatcher::watchOnce()
{
    auto changes = co_await m_service.watch(std::string(configurationPrefix), m_revision, m_times.patience);
    countCall(changes.has_value());
    if (!changes) {
        // After an outage everything is read again: the service may have come back with other revisions.
        m_revision = 0;
        co_return false;
    }
    for (const auto& entry : changes.value().entries)
        take(entry);
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
        take(*entry.value());
    co_return true;
}

/// Waits until this host should watch; meanwhile it only reads the refused edits, at a jittered interval.
Task<void> ConfigurationWatcher::idle(const WatchRule& shouldWatch)
{
    // Hosts that start together must not read together.
    auto waited = std::chrono::milliseconds(static_cast<std::int64_t>(randomUnit(m_random) * static_cast<double>(m_times.refusedEditsInterval.count())));
    while (!m_isStopping && !shouldWatch()) {
        if (waited >= m_times.refusedEditsInterval) {
            co_await readRefusedEdits();
            waited = {};
        }
        co_await wait(m_times.recheckInterval);
        waited += m_times.recheckInterval;
    }
}

Task<void> ConfigurationWatcher::wait(std::chrono::milliseconds time)
{
    boost::asio::steady_timer timer(m_executor, time);
    boost::system::error_code error;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
}

std::chrono::milliseconds ConfigurationWatcher::nextPause()
{
    const auto doublings = std::min(m_failuresInARow > 0 ? m_failuresInARow - 1 : 0, maximumDoublings);
    const auto pause = std::min(m_times.firstPause * (1 << doublings), m_times.longestPause);
    const auto jittered = static_cast<double>(pause.count()) * (0.5 + 0.5 * randomUnit(m_random));
    return std::chrono::milliseconds(static_cast<std::int64_t>(jittered));
}

void ConfigurationWatcher::countCall(bool isSuccess)
{
    if (m_failuresInARow == 0 && !isSuccess)
        logEvent(Event::PlatformUnavailable, { { "service", "key-value" }, { "use", "configuration" } });
    if (m_failuresInARow > 0 && isSuccess)
        logEvent(Event::PlatformAvailable, { { "service", "key-value" }, { "use", "configuration" } });
    m_failuresInARow = isSuccess ? 0 : m_failuresInARow + 1;
    const std::lock_guard lock(m_mutex);
    ++m_counters.calls;
    m_counters.failedCalls += isSuccess ? 0 : 1;
}

void ConfigurationWatcher::take(const KeyValueEntry& entry)
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

bool ConfigurationWatcher::shouldFetch(ConfigurationNumber theirs) const
{
    const std::lock_guard lock(m_mutex);
    return m_state.shouldFetch(theirs);
}

std::string ConfigurationWatcher::recordText(ConfigurationNumber theirs) const
{
    const auto record = current();
    return record && theirs < record->number ? toJson(*record) : std::string();
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
