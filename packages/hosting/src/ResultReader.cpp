#include "ResultReader.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    /// Submissions are evicted after this time without a request; trainers read about twice a second.
    constexpr std::chrono::seconds idleRetention { 8 };
    /// Part of a caller's maximum wait that is reserved for sending the response.
    constexpr std::chrono::milliseconds responseMargin { 100 };

    auto submissionNotFound(const SubmissionId& id) { return failure(ErrorCode::StepUnknown, "no such submission", id.value()); }

} // namespace

ResultReader::ResultReader(asio::any_io_executor executor, TransactionalStore& store, const Clock& clock)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_clock(clock)
{
}

std::shared_ptr<CachedSubmission> ResultReader::cacheEntry(const SubmissionId& id)
{
    auto& entry = m_cache[id];
    if (!entry) {
        entry = std::make_shared<CachedSubmission>();
        entry->changeSignal = std::make_shared<asio::steady_timer>(m_executor, asio::steady_timer::time_point::max());
        entry->submissionSignal = std::make_shared<asio::steady_timer>(m_executor, asio::steady_timer::time_point::max());
    }
    entry->lastUsedAt = m_clock.now();
    return entry;
}

Task<Result<std::shared_ptr<const Submission>>> ResultReader::readSubmission(const SubmissionId& id)
{
    const auto entry = cacheEntry(id);
    if (!entry->submission && entry->isReadingSubmission) {
        boost::system::error_code error;
        co_await entry->submissionSignal->async_wait(asio::redirect_error(asio::use_awaitable, error));
        // A submission that the store did not have when that read began may have been accepted since.
        const auto& shared = entry->submissionError;
        if (!entry->submission && shared && shared->code != ErrorCode::StepUnknown)
            co_return failure(shared->code, shared->message, shared->where);
    }
    if (entry->submission)
        co_return entry->submission;
    entry->isReadingSubmission = true;
    auto fetched = co_await fetchSubmission(id);
    entry->isReadingSubmission = false;
    entry->submissionError.reset();
    if (fetched)
        entry->submission = fetched.value();
    else
        entry->submissionError = fetched.error();
    entry->submissionSignal->cancel();
    co_return fetched;
}

Task<Result<std::shared_ptr<const Submission>>> ResultReader::fetchSubmission(const SubmissionId& id)
{
    // A stored submission never changes, but a stale read may not show it yet.
    auto record = co_await m_store.staleRead(submissionKey(id));
    const bool isFound = record && record.value() && !isRefusalRecord(record.value()->value);
    if (!isFound)
        record = co_await m_store.read(submissionKey(id));
    if (!record)
        co_return failure(ErrorCode::Unavailable, record.error().message, id.value());
    if (!record.value() || isRefusalRecord(record.value()->value))
        co_return submissionNotFound(id);
    auto decoded = decodeSubmission(record.value()->value);
    if (!decoded)
        co_return failure(ErrorCode::Unavailable, decoded.error().message, id.value());
    co_return std::make_shared<const Submission>(std::move(decoded.value()));
}

void ResultReader::appendResults(const SubmissionId& id, CachedSubmission& entry, const std::vector<KeyValueEntry>& records)
{
    for (const auto& record : records) {
        if (!record.isDeleted && record.key == itemCountKey(id)) {
            const auto total = decodeItemCount(record.value);
            if (total)
                entry.total = total.value();
        }
        if (!record.isDeleted && record.key == organisationKey(id))
            entry.organisation = OrganisationName(record.value);
        if (record.isDeleted || record.key != resultSegmentKey(id, entry.segments))
            continue;
        auto results = decodeResults(record.value);
        if (!results) {
            logEvent(Event::RecordIgnored, { { "key", record.key }, { "revision", std::to_string(record.revision) }, { "cause", results.error().message } });
            return;
        }
        ++entry.segments;
        std::move(results.value().begin(), results.value().end(), std::back_inserter(entry.results));
    }
}

Task<Result<WatchResult>> ResultReader::readRecords(const SubmissionId& id, const CachedSubmission& entry, std::chrono::milliseconds maximumWait, bool mayBeStale)
{
    const auto prefix = resultKeyPrefix(id);
    std::string after;
    if (entry.total)
        after = lastResultSegmentKey(id, entry.segments);
    if (mayBeStale)
        return m_store.staleSnapshot(prefix, after);
    if (entry.total && entry.revision != 0 && maximumWait.count() > 0)
        return m_store.watch(prefix, entry.revision, maximumWait);
    return m_store.snapshot(prefix, after);
}

Task<Result<void>> ResultReader::readMore(const SubmissionId& id, CachedSubmission& entry, std::chrono::milliseconds maximumWait, bool mayBeStale)
{
    const auto read = co_await readRecords(id, entry, maximumWait, mayBeStale);
    if (!read) {
        if (mayBeStale)
            co_return success();
        if (read.error().code == ErrorCode::HistoryLost) {
            entry.revision = 0;
            co_return success();
        }
        co_return failure(ErrorCode::Unavailable, read.error().message, id.value());
    }
    appendResults(id, entry, read.value().entries);
    entry.revision = std::max(entry.revision, read.value().revision);
    co_return success();
}

Task<Result<std::shared_ptr<const CachedSubmission>>> ResultReader::readResults(const SubmissionId& id, std::size_t position, std::chrono::milliseconds maximumWait)
{
    const auto deadline = m_clock.now() + std::max<Duration>(Duration::zero(), maximumWait - responseMargin);
    const auto entry = cacheEntry(id);
    // Results never change their position, so that a stale read is sufficient if it reaches the position. A caller that waits for the next
    // result is served by a watch.
    bool mayBeStale = !entry->total || maximumWait.count() == 0;
    const auto consistentReadsBefore = entry->consistentReads;
    while (entry->results.size() <= position) {
        const auto remaining = deadline - m_clock.now();
        const bool isComplete = entry->total && entry->results.size() >= *entry->total;
        const bool hasReadConsistently = entry->consistentReads > consistentReadsBefore;
        if (isComplete || (hasReadConsistently && remaining <= Duration::zero()))
            break;
        if (entry->isReading) {
            boost::system::error_code error;
            co_await entry->changeSignal->async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        entry->isReading = true;
        const auto wait = std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(remaining));
        const auto outcome = co_await readMore(id, *entry, wait, mayBeStale);
        entry->isReading = false;
        entry->changeSignal->cancel();
        if (!outcome)
            co_return outcome.as_failure();
        const bool wasStale = std::exchange(mayBeStale, false);
        if (wasStale)
            continue;
        ++entry->consistentReads;
        if (!entry->total)
            co_return submissionNotFound(id);
    }
    co_return std::shared_ptr<const CachedSubmission>(entry);
}

Task<Result<OrganisationName>> ResultReader::readOrganisation(const SubmissionId& id)
{
    if (const auto cached = m_cache.find(id); cached != m_cache.end() && cached->second->total)
        co_return cached->second->organisation;
    // Written with the submission and never changed, but a stale read may not show it yet.
    auto record = co_await m_store.staleRead(organisationKey(id));
    if (!record || !record.value())
        record = co_await m_store.read(organisationKey(id));
    if (!record)
        co_return failure(ErrorCode::Unavailable, record.error().message, id.value());
    co_return record.value() ? OrganisationName(record.value()->value) : OrganisationName();
}

void ResultReader::evictUnused()
{
    const auto oldest = m_clock.now() - idleRetention;
    std::erase_if(m_cache, [&](const auto& entry) { return entry.second->lastUsedAt < oldest && !entry.second->isReading; });
}

} // namespace cicadalb
