#include "StreamOrigins.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace cicadalb {

namespace {

    /// A lease is used for new records only so long that each of them is kept for longestStream.
    constexpr auto leaseUse = StreamOrigins::recordTimeToLive - longestStream;
    /// Delay before a missing default release is looked for again; the coordinator writes it soon after the route is configured.
    constexpr std::chrono::seconds missingDefaultAge { 1 };

    bool isDefault(const std::optional<DefaultRelease>& known, const SoftwareRelease& release)
    {
        return known && !known->isRetired && known->release == release;
    }

    template <typename Value>
    std::optional<Value> decodedOrIgnored(const KeyValueEntry& entry, const Result<Value>& decoded)
    {
        if (decoded)
            return decoded.value();
        logEvent(Event::RecordIgnored, { { "key", entry.key }, { "revision", std::to_string(entry.revision) }, { "cause", decoded.error().message } });
        return std::nullopt;
    }

} // namespace

StreamOrigins::StreamOrigins(boost::asio::any_io_executor executor, TransactionalStore& store, const Clock& clock)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_clock(clock)
{
}

void StreamOrigins::remember(const RequestId& firstAttempt, const SoftwareRelease& release)
{
    if (!m_releases.insert_or_assign(firstAttempt, release).second)
        return;
    m_order.push_back(firstAttempt);
    if (m_order.size() <= maximumStreams)
        return;
    m_releases.erase(m_order.front());
    m_order.pop_front();
}

Task<std::optional<DefaultRelease>> StreamOrigins::defaultRelease(const SiteRoute& route)
{
    const auto key = defaultReleaseKey(route.name);
    const auto age = [this, &key] { return m_clock.now() - m_defaults.at(key).readAt; };
    if (!m_defaults.contains(key) || age() > maximumDefaultAge)
        co_await refreshDefault(key);
    else if (age() > (m_defaults.at(key).value ? refreshAge : missingDefaultAge) && !m_defaults.at(key).isReading)
        boost::asio::co_spawn(m_executor, refreshDefault(key), boost::asio::detached);
    const bool isUsable = m_defaults.contains(key) && age() <= maximumDefaultAge;
    co_return isUsable ? m_defaults.at(key).value : std::nullopt;
}

Task<void> StreamOrigins::refreshDefault(std::string key)
{
    const auto self = shared_from_this();
    const auto calledAt = m_clock.now();
    if (const auto known = m_defaults.find(key); known != m_defaults.end())
        known->second.isReading = true;
    const auto entry = co_await m_store.staleRead(key);
    if (entry) {
        const auto& found = entry.value();
        m_defaults[key] = { found ? decodedOrIgnored(*found, decodeDefaultRelease(found->value)) : std::nullopt, calledAt };
    } else if (const auto known = m_defaults.find(key); known != m_defaults.end()) {
        known->second.isReading = false;
    }
}

Task<bool> StreamOrigins::record(const SiteRoute& route, RequestId firstAttempt, SoftwareRelease release, Duration maximumWait)
{
    const auto self = shared_from_this();
    remember(firstAttempt, release);
    const auto known = co_await defaultRelease(route);
    if (isDefault(known, release))
        co_return true;
    if (m_waiting.size() >= maximumWaitingRecords) {
        logEvent(Event::StreamNotRecorded, { { "id", firstAttempt.value() }, { "route", route.name.value() }, { "cause", "too many records wait for the store" } });
        co_return false;
    }
    auto waiting = std::make_shared<WaitingRecord>(m_executor, m_clock);
    waiting->write = { streamKey(firstAttempt), encodeStreamRelease(release) };
    waiting->route = route.name;
    m_waiting.push_back(waiting);
    if (!std::exchange(m_isWriting, true))
        boost::asio::co_spawn(m_executor, writeWaiting(), boost::asio::detached);
    if (!waiting->isStored)
        (void)co_await waiting->stored.waitFor(maximumWait);
    if (!waiting->isStored)
        logEvent(Event::StreamNotRecorded, { { "id", firstAttempt.value() }, { "route", route.name.value() }, { "cause", "the store has not accepted the record yet" } });
    co_return waiting->isStored;
}

Task<void> StreamOrigins::writeWaiting()
{
    const auto self = shared_from_this();
    ClockTimer retryTimer(m_executor, m_clock);
    while (!m_waiting.empty()) {
        const auto written = co_await writeBatch();
        if (!written)
            (void)co_await retryTimer.waitFor(writeRetryDelay);
    }
    m_isWriting = false;
}

Task<Result<void>> StreamOrigins::ensureLease()
{
    const auto now = m_clock.now();
    if (m_lease != 0 && now < m_leaseGrantedAt + leaseUse)
        co_return success();
    const auto granted = co_await m_store.grantLease(recordTimeToLive);
    if (!granted)
        co_return granted.as_failure();
    m_lease = granted.value();
    m_markedRoutes.clear();
    m_leaseGrantedAt = now;
    co_return success();
}

Task<Result<void>> StreamOrigins::writeBatch()
{
    const auto leased = co_await ensureLease();
    if (!leased)
        co_return leased.as_failure();
    std::vector<std::shared_ptr<WaitingRecord>> batch;
    std::set<RouteName> newRoutes;
    Transaction transaction;
    for (const auto& record : m_waiting) {
        const bool isMarked = m_markedRoutes.contains(record->route) || newRoutes.contains(record->route);
        if (transaction.writes.size() + (isMarked ? 1 : 2) > maximumEntriesInWrite)
            break;
        if (!isMarked) {
            newRoutes.insert(record->route);
            transaction.writes.push_back({ otherReleasesPrefix(record->route) + std::to_string(m_lease), {}, m_lease });
        }
        transaction.writes.push_back({ record->write.key, record->write.value, m_lease });
        batch.push_back(record);
    }
    // Written again after a lost answer, which is harmless: the same records with the same values.
    const auto written = co_await m_store.commit(std::move(transaction));
    if (!written && written.error().code == ErrorCode::LeaseLost)
        m_lease = 0;
    if (!written)
        co_return written.as_failure();
    m_storedRecords += batch.size();
    m_markedRoutes.merge(newRoutes);
    for (const auto& record : batch) {
        m_waiting.pop_front();
        record->isStored = true;
        record->stored.cancel();
    }
    co_return success();
}

Task<Result<std::optional<SoftwareRelease>>> StreamOrigins::find(const SiteRoute& route, RequestId firstAttempt)
{
    const auto self = shared_from_this();
    if (const auto known = m_releases.find(firstAttempt); known != m_releases.end())
        co_return std::optional(known->second);
    const auto stream = co_await m_store.read(streamKey(firstAttempt));
    if (!stream)
        co_return stream.as_failure();
    if (stream.value()) {
        auto release = decodedOrIgnored(*stream.value(), decodeStreamRelease(stream.value()->value));
        if (release)
            remember(firstAttempt, *release);
        co_return release;
    }
    const auto known = co_await readDefault(route);
    if (!known)
        co_return known.as_failure();
    // Not remembered: the host that began the stream may still be trying to store its record.
    const auto& value = known.value();
    co_return value && !value->release.version.isEmpty() ? std::optional(value->release) : std::nullopt;
}

Task<Result<bool>> StreamOrigins::haveBegunElsewhere(const SiteRoute& route)
{
    const auto self = shared_from_this();
    const auto records = co_await m_store.snapshot(otherReleasesPrefix(route.name), {});
    if (!records)
        co_return records.as_failure();
    co_return !records.value().entries.empty();
}

Task<Result<std::optional<DefaultRelease>>> StreamOrigins::readDefault(const SiteRoute& route)
{
    const auto self = shared_from_this();
    const auto entry = co_await m_store.read(defaultReleaseKey(route.name));
    if (!entry)
        co_return entry.as_failure();
    co_return entry.value() ? decodedOrIgnored(*entry.value(), decodeDefaultRelease(entry.value()->value)) : std::nullopt;
}

} // namespace cicadalb
