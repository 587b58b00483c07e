#include "SampleRunner.h"

#include "cicadalb/base/ClockTimer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

/// @file
/// What a coordinator stores for its successor when it hands over.

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
