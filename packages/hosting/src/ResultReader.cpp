#include "ResultReader.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    /// Submissions that nobody asked for during this time are forgotten; trainers read about twice a second.
    constexpr std::chrono::seconds keepTime { 8 };
    /// Share of a caller's patience that is left for the answer's way.
    constexpr std::chrono::milliseconds answerMargin { 100 };

    auto absent(const SubmissionId& id) { return failure(ErrorCode::StepUnknown, "no such submission", id.value()); }

} // namespace

ResultReader::ResultReader(asio::any_io_executor executor, TransactionalStore& store, const Clock& clock)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_clock(clock)
{
}

std::shared_ptr<KnownSubmission> ResultReader::known(const SubmissionId& id)
{
    auto& entry = m_known[id];
    if (!entry) {
        entry = std::make_shared<KnownSubmission>();
        entry->changed = std::make_shared<asio::steady_timer>(m_executor, asio::steady_timer::time_point::max());
    }
    entry->lastUsed = m_clock.now();
    return entry;
}

Task<Result<std::shared_ptr<const Submission>>> ResultReader::submission(const SubmissionId& id)
{
    const auto entry = known(id);
    if (entry->submission)
        co_return entry->submission;
    // A text never changes; what a stale read does not show may have come since.
    auto record = co_await m_store.staleRead(textKey(id));
    const bool isShown = record && record.value() && !isRefusalRecord(record.value()->value);
    if (!isShown)
        record = co_await m_store.read(textKey(id));
    if (!record)
        co_return failure(ErrorCode::Unavailable, record.error().message, id.value());
    if (!record.value() || isRefusalRecord(record.value()->value))
        co_return absent(id);
    auto decoded = decodeSubmission(record.value()->value);
    if (!decoded)
        co_return failure(ErrorCode::Unavailable, decoded.error().message, id.value());
    entry->submission = std::make_shared<const Submission>(std::move(decoded.value()));
    co_return entry->submission;
}

void ResultReader::append(const SubmissionId& id, KnownSubmission& entry, const std::vector<KeyValueEntry>& records)
{
    for (const auto& record : records) {
        if (!record.isDeleted && record.key == totalKey(id)) {
            const auto total = decodeTotal(record.value);
            if (total)
                entry.total = total.value();
        }
        if (record.isDeleted || record.key != resultKey(id, entry.segments))
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

Task<Result<WatchResult>> ResultReader::readRecords(const SubmissionId& id, const KnownSubmission& entry, std::chrono::milliseconds patience, bool mayBeStale)
{
    const auto prefix = resultKeys(id);
    std::string after;
    if (entry.total)
        after = lastResultKey(id, entry.segments);
    if (mayBeStale)
        return m_store.staleSnapshot(prefix, after);
    if (entry.total && entry.revision != 0 && patience.count() > 0)
        return m_store.watch(prefix, entry.revision, patience);
    return m_store.snapshot(prefix, after);
}

Task<Result<void>> ResultReader::readMore(const SubmissionId& id, KnownSubmission& entry, std::chrono::milliseconds patience, bool mayBeStale)
{
    const auto read = co_await readRecords(id, entry, patience, mayBeStale);
    if (!read) {
        if (mayBeStale)
            co_return success();
        if (read.error().code == ErrorCode::HistoryLost) {
            entry.revision = 0;
            co_return success();
        }
        co_return failure(ErrorCode::Unavailable, read.error().message, id.value());
    }
    append(id, entry, read.value().entries);
    entry.revision = std::max(entry.revision, read.value().revision);
    co_return success();
}

Task<Result<std::shared_ptr<const KnownSubmission>>> ResultReader::results(const SubmissionId& id, std::size_t position, std::chrono::milliseconds patience)
{
    const auto deadline = m_clock.now() + std::max<Duration>(Duration::zero(), patience - answerMargin);
    const auto entry = known(id);
    // Results never change their position, so that those of some seconds ago are as good where they are enough. A caller that waits for
    // the next one is served by a watch.
    bool mayBeStale = !entry->total || patience.count() == 0;
    const auto readsBefore = entry->currentReads;
    while (entry->results.size() <= position) {
        const auto left = deadline - m_clock.now();
        const bool isComplete = entry->total && entry->results.size() >= *entry->total;
        const bool hasRead = entry->currentReads > readsBefore;
        if (isComplete || (hasRead && left <= Duration::zero()))
            break;
        if (entry->isReading) {
            boost::system::error_code error;
            co_await entry->changed->async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        entry->isReading = true;
        const auto wait = std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(left));
        const auto outcome = co_await readMore(id, *entry, wait, mayBeStale);
        entry->isReading = false;
        entry->changed->cancel();
        if (!outcome)
            co_return outcome.as_failure();
        const bool wasStale = std::exchange(mayBeStale, false);
        if (wasStale)
            continue;
        ++entry->currentReads;
        if (!entry->total)
            co_return absent(id);
    }
    co_return std::shared_ptr<const KnownSubmission>(entry);
}

void ResultReader::trim()
{
    const auto oldest = m_clock.now() - keepTime;
    std::erase_if(m_known, [&](const auto& entry) { return entry.second->lastUsed < oldest && !entry.second->isReading; });
}

} // namespace cicadalb
