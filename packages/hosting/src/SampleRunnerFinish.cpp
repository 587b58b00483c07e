#include "SampleRunner.h"

#include "cicadalb/base/ClockTimer.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

/// @file
/// What a coordinator stores for its successor, and takes over from its predecessor.

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    /// Interval at which the end of a write in progress is awaited.
    constexpr std::chrono::milliseconds writePollInterval { 5 };

    /// Concurrent writes that are awaited together.
    class PendingWrites : public std::enable_shared_from_this<PendingWrites> {
    public:
        PendingWrites(const asio::any_io_executor& executor, const Clock& clock)
            : m_executor(executor)
            , m_done(executor, clock)
        {
        }

        void begin(Task<void> write)
        {
            ++m_count;
            asio::co_spawn(m_executor, run(std::move(write)), asio::detached);
        }

        Task<void> waitUntil(TimePoint limit)
        {
            bool isOver = false;
            while (m_count > 0 && !isOver)
                isOver = co_await m_done.waitUntil(limit);
        }

    private:
        Task<void> run(Task<void> write)
        {
            const auto self = shared_from_this();
            co_await std::move(write);
            --m_count;
            m_done.cancel();
        }

        asio::any_io_executor m_executor;
        std::size_t m_count = 0;
        ClockTimer m_done;
    };

} // namespace

void SampleRunner::restorePartialTexts(const KeyValueEntry& record)
{
    auto texts = decodePartialTexts(record.value);
    if (!texts)
        return logIgnoredRecord(record.key, record.revision, texts.error());
    m_scheduler.addPartialTexts(std::move(texts.value()));
}

Task<void> SampleRunner::storePartialTexts(std::vector<ItemText> texts)
{
    const auto self = shared_from_this();
    Transaction write;
    write.writes.push_back({ std::string(partialTextsKey), encodePartialTexts(texts) });
    const auto written = co_await m_store.commit(std::move(write));
    m_isStoringPartialTexts = false;
    // A missing record only costs the next coordinator some work, and the next write follows soon.
    if (!written)
        logIgnoredRecord(std::string(partialTextsKey), 0, written.error());
}

void SampleRunner::cancelRuns()
{
    for (const auto& [key, run] : m_runs)
        run->cancellation->cancel();
    for (const auto& [key, cancellation] : m_rewardCalls)
        cancellation->cancel();
}

Task<void> SampleRunner::finish(Duration maximumWait)
{
    const auto self = shared_from_this();
    const auto limit = m_clock.now() + maximumWait;
    m_isFinishing = true;
    auto texts = m_scheduler.partialTexts(1, maximumStoredTextBytes);
    cancelRuns();
    const auto writes = std::make_shared<PendingWrites>(m_executor, m_clock);
    if (!texts.empty())
        writes->begin(storePartialTexts(std::move(texts)));
    for (const auto& [id, entry] : m_openSubmissions) {
        if (entry->log->hasPending())
            writes->begin(appendLast(entry));
    }
    co_await writes->waitUntil(limit);
}

/// One call of ResultLog::append() at a time.
Task<Result<std::size_t>> SampleRunner::appendOnce(OpenSubmissionPointer entry)
{
    entry->isWriting = true;
    auto appended = co_await entry->log->append();
    entry->isWriting = false;
    co_return appended;
}

/// Stores what append() has not written yet.
Task<void> SampleRunner::appendLast(OpenSubmissionPointer entry)
{
    const auto self = shared_from_this();
    ClockTimer timer(m_executor, m_clock);
    while (entry->isWriting)
        (void)co_await timer.waitFor(writePollInterval);
    const auto appended = co_await appendOnce(entry);
    logAppend(*entry, appended ? appended.value() : 0, appended ? std::string() : appended.error().message);
}

} // namespace cicadalb
