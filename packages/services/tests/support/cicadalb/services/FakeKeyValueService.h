#pragma once

#include "cicadalb/services/TransactionalStore.h"

#include "cicadalb/base/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <utility>

/// @file
/// An in-memory key-value service on a manual clock, with fault injection. Not thread-safe.

namespace cicadalb {

/// @brief The fault injected into one call.
enum class CallFault : std::uint8_t { None,
    /// The service refuses the call; it has no effect.
    Unavailable,
    /// The request is not sent.
    NotSent,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The request is lost in transit and has no effect; the client cannot tell this from AnswerLost.
    RequestLost,
    /// Writes only: the answer is lost, and the write takes effect some seconds later if its conditions hold then.
    AppliedLate,
    /// As AnswerLost; of a transaction that may be repeated, only the first answer is lost.
    FirstAnswerLost };

enum class CallKind : std::uint8_t { Read,
    Write,
    Lease,
    Watch };

struct CallCounts {
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::size_t leases = 0;
    std::size_t watches = 0;
    std::size_t staleReads = 0;

    std::size_t total() const { return reads + writes + leases + watches + staleReads; }
};

class FakeKeyValueService final : public TransactionalStore {
public:
    FakeKeyValueService(boost::asio::any_io_executor executor, ManualClock& clock)
        : m_executor(std::move(executor))
        , m_clock(clock)
    {
    }

    /// Returns the fault of each call; none by default.
    std::function<CallFault(CallKind)> selectFault = [](CallKind) { return CallFault::None; };
    /// Delay of each answer.
    Duration answerDelay { 0 };
    /// Newest revision that stale reads return.
    Revision staleRevision = std::numeric_limits<Revision>::max();
    /// Time after which a write with AppliedLate takes effect.
    Duration lateWriteDelay { std::chrono::seconds(3) };

    const CallCounts& counts() const { return m_counts; }
    const std::map<std::string, KeyValueEntry>& entries() const { return m_entries; }

    /// @brief Advances the clock, removes expired leases, applies late writes that are due and wakes all waiting calls. Run the executor afterwards.
    void advance(Duration by)
    {
        m_clock.advance(by);
        removeExpiredLeases();
        applyDueWrites();
        wakeWaitingCalls();
    }

    /// @brief Discards the history of changes: watches from earlier revisions fail with HistoryLost.
    void forgetHistory() { forgetHistory(m_revision); }

    /// @brief Discards the history of changes up to a revision.
    void forgetHistory(Revision upTo)
    {
        m_oldestWatchableRevision = std::max(m_oldestWatchableRevision, upTo);
        std::erase_if(m_removalRevisions, [upTo](const auto& removal) { return removal.second <= upTo; });
        wakeWaitingCalls();
    }

    /// @brief Revision of the newest change.
    Revision revision() const { return m_revision; }

    /// @brief Writes a key directly, as another client would; no fault or delay applies.
    Revision put(std::string key, std::string value) { return storeEntry(std::move(key), std::move(value), 0); }

    /// @brief Removes a key directly.
    void remove(const std::string& key)
    {
        if (m_entries.erase(key) == 0)
            return;
        m_removalRevisions[key] = ++m_revision;
        wakeWaitingCalls();
    }

    Task<Result<std::optional<KeyValueEntry>>> read(std::string key) override
    {
        const auto fault = beginCall(CallKind::Read, m_counts.reads);
        co_await delayAnswer(answerDelay);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "injected fault");
        const auto found = m_entries.find(key);
        if (found == m_entries.end())
            co_return std::optional<KeyValueEntry>();
        co_return std::optional<KeyValueEntry>(found->second);
    }

    Task<Result<std::vector<KeyValueEntry>>> list(std::string prefix) override
    {
        const auto fault = beginCall(CallKind::Read, m_counts.reads);
        co_await delayAnswer(answerDelay);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "injected fault");
        co_return changedAfter(prefix, 0);
    }

    Task<Result<Revision>> compareAndSwap(CompareAndSwap swap) override
    {
        const auto fault = beginCall(CallKind::Write, m_counts.writes);
        if (const auto error = errorWithoutEffect(fault))
            co_return failure(*error, "injected fault");
        if (fault == CallFault::AppliedLate) {
            m_delayedWrites.push_back({ m_clock.now() + lateWriteDelay, toTransaction(std::move(swap)) });
            co_return failure(ErrorCode::OutcomeUnknown, "injected fault: write applied late");
        }
        auto result = apply(toTransaction(std::move(swap)));
        co_await delayAnswer(answerDelay);
        if (fault == CallFault::AnswerLost || fault == CallFault::FirstAnswerLost)
            co_return failure(ErrorCode::OutcomeUnknown, "injected fault: answer lost");
        co_return std::move(result);
    }

    Task<Result<Revision>> commit(Transaction transaction) override
    {
        const auto fault = beginCall(CallKind::Write, m_counts.writes);
        if (const auto error = errorWithoutEffect(fault))
            co_return failure(*error, "injected fault");
        if (fault == CallFault::AppliedLate) {
            m_delayedWrites.push_back({ m_clock.now() + lateWriteDelay, std::move(transaction) });
            co_return failure(ErrorCode::OutcomeUnknown, "injected fault: write applied late");
        }
        const bool isAnswerLost = fault == CallFault::AnswerLost || (fault == CallFault::FirstAnswerLost && !transaction.mayRepeat);
        auto result = apply(std::move(transaction));
        co_await delayAnswer(answerDelay);
        if (isAnswerLost)
            co_return failure(ErrorCode::OutcomeUnknown, "injected fault: answer lost");
        co_return std::move(result);
    }

    Task<Result<WatchResult>> snapshot(std::string prefix, std::string after) override
    {
        const auto fault = beginCall(CallKind::Read, m_counts.reads);
        co_await delayAnswer(answerDelay);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "injected fault");
        WatchResult result { changedAfter(prefix, 0), m_revision };
        std::erase_if(result.entries, [&](const auto& entry) { return entry.key <= after; });
        co_return result;
    }

    Task<Result<WatchResult>> staleSnapshot(std::string prefix, std::string after) override
    {
        const auto fault = beginCall(CallKind::Read, m_counts.staleReads);
        co_await delayAnswer(answerDelay);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "injected fault");
        WatchResult result { changedAfter(prefix, 0), 0 };
        std::erase_if(result.entries, [&](const auto& entry) { return entry.key <= after || entry.revision > staleRevision; });
        for (const auto& entry : result.entries)
            result.revision = std::max(result.revision, entry.revision);
        co_return result;
    }

    Task<Result<std::optional<KeyValueEntry>>> staleRead(std::string key) override
    {
        const auto fault = beginCall(CallKind::Read, m_counts.staleReads);
        co_await delayAnswer(answerDelay);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "injected fault");
        const auto found = m_entries.find(key);
        if (found == m_entries.end() || found->second.revision > staleRevision)
            co_return std::optional<KeyValueEntry>();
        co_return std::optional<KeyValueEntry>(found->second);
    }

    Task<Result<LeaseId>> grantLease(std::chrono::milliseconds timeToLive) override
    {
        const auto fault = beginCall(CallKind::Lease, m_counts.leases);
        if (const auto error = errorWithoutEffect(fault))
            co_return failure(*error, "injected fault");
        const LeaseId lease = ++m_lastLease;
        m_leases[lease] = Lease { timeToLive, m_clock.now() + timeToLive };
        co_await delayAnswer(answerDelay);
        if (fault == CallFault::AnswerLost)
            co_return failure(ErrorCode::OutcomeUnknown, "injected fault: answer lost");
        co_return lease;
    }

    Task<Result<void>> renewLease(LeaseId lease) override
    {
        const auto fault = beginCall(CallKind::Lease, m_counts.leases);
        if (const auto error = errorWithoutEffect(fault))
            co_return failure(*error, "injected fault");
        removeExpiredLeases();
        const auto found = m_leases.find(lease);
        if (found != m_leases.end())
            found->second.expiry = m_clock.now() + found->second.timeToLive;
        const bool isHeld = found != m_leases.end();
        co_await delayAnswer(answerDelay);
        if (fault == CallFault::AnswerLost)
            co_return failure(ErrorCode::OutcomeUnknown, "injected fault: answer lost");
        if (!isHeld)
            co_return failure(ErrorCode::LeaseLost, "the lease has expired");
        co_return success();
    }

    Task<Result<void>> releaseLease(LeaseId lease) override
    {
        const auto fault = beginCall(CallKind::Lease, m_counts.leases);
        if (const auto error = errorWithoutEffect(fault))
            co_return failure(*error, "injected fault");
        removeLease(lease);
        co_return success();
    }

    Task<Result<WatchResult>> watch(std::string prefix, Revision after, std::chrono::milliseconds maximumWait) override
    {
        const auto fault = beginCall(CallKind::Watch, m_counts.watches);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "injected fault");
        const auto deadline = m_clock.now() + maximumWait;
        while (m_clock.now() < deadline && after >= m_oldestWatchableRevision && eventsAfter(prefix, after).empty())
            co_await waitForWake();
        if (after < m_oldestWatchableRevision)
            co_return failure(ErrorCode::HistoryLost, "the history before this revision was discarded");
        WatchResult result { eventsAfter(prefix, after), std::max(after, m_revision) };
        co_return result;
    }

private:
    struct Lease {
        std::chrono::milliseconds timeToLive {};
        TimePoint expiry;
    };

    CallFault beginCall(CallKind kind, std::size_t& counter)
    {
        ++counter;
        removeExpiredLeases();
        return selectFault(kind);
    }

    static std::optional<ErrorCode> errorWithoutEffect(CallFault fault)
    {
        if (fault == CallFault::Unavailable)
            return ErrorCode::Unavailable;
        if (fault == CallFault::NotSent)
            return ErrorCode::NotSent;
        if (fault == CallFault::RequestLost)
            return ErrorCode::OutcomeUnknown;
        return std::nullopt;
    }

    static Transaction toTransaction(CompareAndSwap swap)
    {
        Transaction transaction;
        transaction.conditions.push_back({ swap.key, swap.expected });
        transaction.writes.push_back({ std::move(swap.key), std::move(swap.value), swap.lease });
        return transaction;
    }

    Result<Revision> apply(Transaction transaction)
    {
        for (const auto& condition : transaction.conditions) {
            const auto found = m_entries.find(condition.key);
            const Revision currentRevision = found == m_entries.end() ? 0 : found->second.revision;
            if (currentRevision != condition.revision)
                return failure(ErrorCode::Conflict, "the key does not have the expected revision", condition.key);
        }
        for (const auto& write : transaction.writes) {
            if (write.lease != 0 && !m_leases.contains(write.lease))
                return failure(ErrorCode::LeaseLost, "the lease has expired", write.key);
        }
        for (auto& write : transaction.writes)
            storeEntry(std::move(write.key), std::move(write.value), write.lease);
        for (const auto& key : transaction.removals)
            remove(key);
        return m_revision;
    }

    void applyDueWrites()
    {
        auto due = std::exchange(m_delayedWrites, {});
        for (auto& write : due) {
            if (write.dueAt > m_clock.now())
                m_delayedWrites.push_back(std::move(write));
            else
                (void)apply(std::move(write.transaction));
        }
    }

    Revision storeEntry(std::string key, std::string value, LeaseId lease)
    {
        ++m_revision;
        m_leaseOfKey[key] = lease;
        m_removalRevisions.erase(key);
        m_entries[key] = KeyValueEntry { key, std::move(value), m_revision };
        wakeWaitingCalls();
        return m_revision;
    }

    std::vector<KeyValueEntry> changedAfter(const std::string& prefix, Revision after) const
    {
        std::vector<KeyValueEntry> changed;
        for (const auto& [key, entry] : m_entries) {
            if (key.starts_with(prefix) && entry.revision > after)
                changed.push_back(entry);
        }
        return changed;
    }

    /// The entries that a watch returns: changes and removals.
    std::vector<KeyValueEntry> eventsAfter(const std::string& prefix, Revision after) const
    {
        auto events = changedAfter(prefix, after);
        for (const auto& [key, revision] : m_removalRevisions) {
            if (key.starts_with(prefix) && revision > after)
                events.push_back({ key, {}, revision, true });
        }
        return events;
    }

    void removeLease(LeaseId lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> lapsed;
        for (const auto& [key, entry] : m_entries) {
            if (m_leaseOfKey[key] == lease)
                lapsed.push_back(key);
        }
        for (const auto& key : lapsed)
            remove(key);
    }

    void removeExpiredLeases()
    {
        std::vector<LeaseId> lapsed;
        for (const auto& [id, lease] : m_leases) {
            if (lease.expiry <= m_clock.now())
                lapsed.push_back(id);
        }
        for (const auto id : lapsed)
            removeLease(id);
    }

    void wakeWaitingCalls()
    {
        for (auto* timer : m_waitingTimers)
            timer->cancel();
    }

    Task<void> delayAnswer(Duration time)
    {
        if (time > Duration::zero())
            co_await waitUntil(m_clock.now() + time);
    }

    Task<void> waitUntil(TimePoint due)
    {
        while (m_clock.now() < due)
            co_await waitForWake();
    }

    /// Waits until the next wakeWaitingCalls().
    Task<void> waitForWake()
    {
        boost::asio::steady_timer timer(m_executor, TimePoint::max());
        m_waitingTimers.push_back(&timer);
        boost::system::error_code error;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        std::erase(m_waitingTimers, &timer);
    }

    boost::asio::any_io_executor m_executor;
    ManualClock& m_clock;
    std::map<std::string, KeyValueEntry> m_entries;
    std::map<std::string, LeaseId> m_leaseOfKey;
    std::map<LeaseId, Lease> m_leases;
    std::vector<boost::asio::steady_timer*> m_waitingTimers;
    struct DelayedWrite {
        TimePoint dueAt;
        Transaction transaction;
    };
    std::vector<DelayedWrite> m_delayedWrites;
    std::map<std::string, Revision> m_removalRevisions;
    /// Oldest revision from which a watch can continue.
    Revision m_oldestWatchableRevision = 0;
    CallCounts m_counts;
    Revision m_revision = 0;
    LeaseId m_lastLease = 0;
};

} // namespace cicadalb
