#include "DefaultReleases.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace cicadalb {

DefaultReleases::DefaultReleases(boost::asio::any_io_executor executor, TransactionalStore& store, const SiteDirectory& directory, const Clock& clock, bool isFirstStart)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_directory(directory)
    , m_clock(clock)
    , m_isFirstStart(isFirstStart)
{
}

void DefaultReleases::start()
{
    boost::asio::co_spawn(m_executor, updatePeriodically(), boost::asio::detached);
}

Task<void> DefaultReleases::updatePeriodically()
{
    const auto self = shared_from_this();
    ClockTimer timer(m_executor, m_clock);
    while (!m_isStopped) {
        co_await update();
        (void)co_await timer.waitFor(updateInterval);
    }
}

Task<void> DefaultReleases::update()
{
    const auto self = shared_from_this();
    const auto view = m_directory.view();
    if (!view || !m_directory.isReady())
        co_return;
    const auto& routes = view->configuration.routes;
    const auto isStream = [](const SiteRoute& route) { return route.kind == RequestKind::Stream; };
    if (std::none_of(routes.begin(), routes.end(), isStream))
        co_return;
    if (!m_stored) {
        const auto read = co_await readAll();
        if (!read)
            co_return;
    }
    const bool mayHaveStreams = !m_isFirstStart || !m_stored->empty();
    for (const auto& route : routes) {
        if (!isStream(route) || m_isStopped)
            continue;
        const auto updated = co_await updateRoute(route, mayHaveStreams);
        if (!updated) {
            m_stored.reset();
            co_return;
        }
    }
}

Task<Result<void>> DefaultReleases::readAll()
{
    const auto records = co_await m_store.snapshot(std::string(defaultReleasePrefix), {});
    if (!records)
        co_return records.as_failure();
    m_stored.emplace();
    for (const auto& entry : records.value().entries) {
        const auto record = decodeDefaultRelease(entry.value);
        if (!record)
            logEvent(Event::RecordIgnored, { { "key", entry.key }, { "revision", std::to_string(entry.revision) }, { "cause", record.error().message } });
        // A record that cannot be read says that streams may have begun at any release.
        m_stored->insert_or_assign(entry.key, StoredDefault { record ? record.value() : DefaultRelease { {}, true }, entry.revision, m_clock.now() });
    }
    co_return success();
}

DefaultReleaseInput DefaultReleases::inputFor(const SiteRoute& route, bool mayHaveStreams) const
{
    DefaultReleaseInput input;
    input.registered = registeredReleases(m_directory.registry(), route);
    input.mayHaveStreams = mayHaveStreams;
    if (const auto found = m_stored->find(defaultReleaseKey(route.name)); found != m_stored->end()) {
        input.stored = found->second.value;
        if (found->second.value.isRetired)
            input.retiredFor = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - found->second.retiredSince);
    }
    return input;
}

Task<Result<void>> DefaultReleases::updateRoute(const SiteRoute& route, bool mayHaveStreams)
{
    const auto next = nextDefaultRelease(inputFor(route, mayHaveStreams));
    if (!next)
        co_return success();
    const auto key = defaultReleaseKey(route.name);
    const auto found = m_stored->find(key);
    CompareAndSwap swap { key, encodeDefaultRelease(*next), found == m_stored->end() ? Revision { 0 } : found->second.revision };
    const auto written = co_await m_store.compareAndSwap(std::move(swap));
    if (!written)
        co_return written.as_failure();
    // The gap before another release takes its place begins when the record is known to be stored.
    m_stored->insert_or_assign(key, StoredDefault { *next, written.value(), m_clock.now() });
    logEvent(Event::DefaultReleaseChanged, { { "route", route.name.value() }, { "pool", next->release.pool.value() }, { "software", next->release.version.value() }, { "retired", next->isRetired ? "yes" : "no" }, { "revision", std::to_string(written.value()) } });
    co_return success();
}

} // namespace cicadalb
