#include "RecordMirror.h"

#include <algorithm>
#include <utility>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    /// Tombstones kept for each prefix. When there are more, all are dropped, and clients with an earlier revision get a snapshot.
    constexpr std::size_t maximumTombstones = 2048;
    /// Longest wait that a client can request.
    constexpr milliseconds longestWait { 10000 };

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusUnavailable = 503;

    HttpResponse toHttpResponse(const Result<MirrorReply>& reply)
    {
        HttpResponse response;
        if (reply) {
            response.status = statusOk;
            response.fields.emplace_back("Content-Type", "application/cbor");
            response.body = encodeMirrorReply(reply.value());
            return response;
        }
        response.status = reply.error().code == ErrorCode::RecordInvalid ? statusBadRequest : statusUnavailable;
        response.body = reply.error().message + "\n";
        return response;
    }

} // namespace

RecordMirror::RecordMirror(asio::any_io_executor executor, const Clock& clock)
    : m_executor(std::move(executor))
    , m_clock(clock)
{
}

void RecordMirror::stop()
{
    m_isStopped = true;
    wakeWaiters();
}

void RecordMirror::apply(const RecordUpdate& update)
{
    auto& cache = m_caches[update.prefix];
    if (update.isSnapshot)
        removeAbsent(cache, update.records);
    for (const auto& entry : update.records.entries)
        applyEntry(cache, entry);
    cache.revision = std::max(cache.revision, update.records.revision);
    if (cache.tombstones > maximumTombstones) {
        std::erase_if(cache.entries, [](const auto& entry) { return entry.second.isDeleted; });
        cache.tombstones = 0;
        cache.compactedRevision = cache.revision;
    }
    cache.mayReturnUntil = std::max(cache.mayReturnUntil, m_clock.now() + update.mayReturnWithin);
    wakeWaiters();
}

/// Removes the records that a snapshot lacks. Those that were written or deleted after it are kept.
void RecordMirror::removeAbsent(PrefixCache& cache, const WatchResult& snapshot)
{
    std::set<std::string_view> present;
    for (const auto& entry : snapshot.entries)
        present.insert(entry.key);
    std::erase_if(cache.entries, [&](const auto& cached) { return cached.second.revision <= snapshot.revision && !present.contains(cached.first); });
    cache.tombstones = static_cast<std::size_t>(std::count_if(cache.entries.begin(), cache.entries.end(), [](const auto& cached) { return cached.second.isDeleted; }));
    cache.compactedRevision = std::max(cache.compactedRevision, snapshot.revision);
}

void RecordMirror::applyEntry(PrefixCache& cache, const KeyValueEntry& entry)
{
    const auto found = cache.entries.find(entry.key);
    const bool isOlder = found != cache.entries.end() && entry.revision < found->second.revision;
    if (isOlder || (m_isOutdated && m_isOutdated(entry)))
        return;
    auto& cached = cache.entries[entry.key];
    cache.tombstones -= cached.isDeleted ? 1 : 0;
    cached = entry;
    cache.tombstones += cached.isDeleted ? 1 : 0;
}

void RecordMirror::wakeWaiters()
{
    for (auto* timer : m_waitingTimers)
        timer->cancel();
}

/// @return the reply, or nothing if there are no changes yet and the wait is not over
Result<std::optional<MirrorReply>> RecordMirror::findChanges(const MirrorQuery& query, TimePoint receivedAt, bool isWaitOver)
{
    const auto now = m_clock.now();
    const auto found = m_caches.find(query.prefix);
    const auto completeAsOf = m_completeAsOf ? m_completeAsOf(query.prefix) : std::nullopt;
    if (m_isStopped || found == m_caches.end() || !completeAsOf)
        return failure(ErrorCode::Unavailable, "this mirror has no copy of the records", query.prefix);
    const auto& cache = found->second;
    MirrorReply reply;
    reply.isSnapshot = !query.after || *query.after < cache.compactedRevision;
    for (const auto& [key, entry] : cache.entries) {
        const bool isIncluded = reply.isSnapshot ? !entry.isDeleted : entry.revision > *query.after;
        if (isIncluded)
            reply.records.entries.push_back(entry);
    }
    reply.age = std::chrono::duration_cast<milliseconds>(now - *completeAsOf);
    const bool hasNewSuspects = m_suspects && query.suspectsAfter && *query.suspectsAfter < m_suspects().revision;
    if (hasNewSuspects)
        reply.suspects = m_suspects();
    const bool mayWait = !isWaitOver && !hasNewSuspects && reply.age <= MirrorClient::maximumAge;
    if (reply.records.entries.empty() && !reply.isSnapshot && mayWait)
        return std::optional<MirrorReply>();
    reply.records.revision = cache.revision;
    if (m_coordination)
        reply.coordination = m_coordination();
    reply.mayReturnWithin = std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(cache.mayReturnUntil - now));
    reply.waited = std::chrono::duration_cast<milliseconds>(now - receivedAt);
    return std::optional(std::move(reply));
}

Task<void> RecordMirror::waitForUpdate(TimePoint until)
{
    ClockTimer timer(m_executor, m_clock);
    m_waitingTimers.insert(&timer);
    co_await timer.waitUntil(until);
    m_waitingTimers.erase(&timer);
}

Task<Result<MirrorReply>> RecordMirror::waitForChanges(MirrorQuery query)
{
    const auto self = shared_from_this();
    const auto receivedAt = m_clock.now();
    const auto until = receivedAt + std::min(query.maximumWait, longestWait);
    while (true) {
        auto reply = findChanges(query, receivedAt, m_clock.now() >= until);
        if (!reply)
            co_return reply.as_failure();
        if (reply.value())
            co_return std::move(*reply.value());
        const auto outdatedFrom = m_completeAsOf(query.prefix).value_or(receivedAt) + MirrorClient::maximumAge + milliseconds(1);
        co_await waitForUpdate(std::min(until, outdatedFrom));
    }
}

Task<void> RecordMirror::serve(ServerRequest& request, ServerResponder& responder)
{
    const auto query = decodeMirrorQuery(request.body);
    if (!query) {
        co_await responder.send(toHttpResponse(query.as_failure()));
        co_return;
    }
    const auto reply = co_await waitForChanges(query.value());
    co_await responder.send(toHttpResponse(reply));
}

} // namespace cicadalb
