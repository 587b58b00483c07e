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
/// The key-value service in memory, on a paused clock, with faults on demand. For one thread.

namespace cicadalb {

/// @brief What goes wrong with one call.
enum class CallFault : std::uint8_t { None,
    /// Refused, nothing happened.
    Unavailable,
    /// Never sent.
    NotSent,
    /// It took effect, the answer was lost.
    AnswerLost,
    /// It was lost on its way; the client cannot tell this from AnswerLost.
    RequestLost,
    /// Writes only: no answer comes, and it takes effect some seconds later if its conditions hold then.
    AppliedLate };

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

    /// Decides the fault of each call; none by default.
    std::function<CallFault(CallKind)> faultOf = [](CallKind) { return CallFault::None; };
    /// Time by which each answer is late.
    Duration delay { 0 };
    /// Newest change that stale reads see.
    Revision staleRevision = std::numeric_limits<Revision>::max();
    /// When a write with AppliedLate takes effect.
    Duration lateBy { std::chrono::seconds(3) };

    const CallCounts& counts() const { return m_counts; }
    const std::map<std::string, KeyValueEntry>& entries() const { return m_entries; }

    /// @brief Advances the clock, drops what lapsed and wakes the calls that are due. Run the executor afterwards.
    void advance(Duration by)
    {
        m_clock.advance(by);
        dropLapsedLeases();
        applyLate();
        wake();
    }

    /// @brief Forgets which changes were made so far: watches from before fail with HistoryLost.
    void forgetHistory()
    {
        m_historyFrom = m_revision;
        m_removed.clear();
        wake();
    }

    /// @brief Writes past the interface, as another client would.
    Revision put(std::string key, std::string value) { return store(std::move(key), std::move(value), 0); }

    Task<Result<std::optional<KeyValueEntry>>> read(std::string key) override
    {
        const auto fault = begin(CallKind::Read, m_counts.reads);
        co_await waitFor(delay);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "fault");
        const auto found = m_entries.find(key);
        if (found == m_entries.end())
            co_return std::optional<KeyValueEntry>();
        co_return std::optional<KeyValueEntry>(found->second);
    }

    Task<Result<std::vector<KeyValueEntry>>> list(std::string prefix) override
    {
        const auto fault = begin(CallKind::Read, m_counts.reads);
        co_await waitFor(delay);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "fault");
        co_return changedAfter(prefix, 0);
    }

    Task<Result<Revision>> compareAndSwap(CompareAndSwap swap) override
    {
        const auto fault = begin(CallKind::Write, m_counts.writes);
        if (const auto error = refusal(fault))
            co_return failure(*error, "fault");
        if (fault == CallFault::AppliedLate) {
            m_late.push_back({ m_clock.now() + lateBy, toTransaction(std::move(swap)) });
            co_return failure(ErrorCode::OutcomeUnknown, "late");
        }
        auto result = apply(toTransaction(std::move(swap)));
        co_await waitFor(delay);
        if (fault == CallFault::AnswerLost)
            co_return failure(ErrorCode::OutcomeUnknown, "answer lost");
        co_return std::move(result);
    }

    Task<Result<Revision>> commit(Transaction transaction) override
    {
        const auto fault = begin(CallKind::Write, m_counts.writes);
        if (const auto error = refusal(fault))
            co_return failure(*error, "fault");
        if (fault == CallFault::AppliedLate) {
            m_late.push_back({ m_clock.now() + lateBy, std::move(transaction) });
            co_return failure(ErrorCode::OutcomeUnknown, "late");
        }
        auto result = apply(std::move(transaction));
        co_await waitFor(delay);
        if (fault == CallFault::AnswerLost)
            co_return failure(ErrorCode::OutcomeUnknown, "answer lost");
        co_return std::move(result);
    }

    Task<Result<WatchResult>> snapshot(std::string prefix, std::string after) override
    {
        const auto fault = begin(CallKind::Read, m_counts.reads);
        co_await waitFor(delay);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "fault");
        WatchResult result { changedAfter(prefix, 0), m_revision };
        std::erase_if(result.entries, [&](const auto& entry) { return entry.key <= after; });
        co_return result;
    }

    Task<Result<WatchResult>> staleSnapshot(std::string prefix, std::string after) override
    {
        const auto fault = begin(CallKind::Read, m_counts.staleReads);
        co_await waitFor(delay);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "fault");
        WatchResult result { changedAfter(prefix, 0), 0 };
        std::erase_if(result.entries, [&](const auto& entry) { return entry.key <= after || entry.revision > staleRevision; });
        for (const auto& entry : result.entries)
            result.revision = std::max(result.revision, entry.revision);
        co_return result;
    }

    Task<Result<std::optional<KeyValueEntry>>> staleRead(std::string key) override
    {
        const auto fault = begin(CallKind::Read, m_counts.staleReads);
        co_await waitFor(delay);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "fault");
        const auto found = m_entries.find(key);
        if (found == m_entries.end() || found->second.revision > staleRevision)
            co_return std::optional<KeyValueEntry>();
        co_return std::optional<KeyValueEntry>(found->second);
    }

    Task<Result<LeaseId>> grantLease(std::chrono::milliseconds timeToLive) override
    {
        const auto fault = begin(CallKind::Lease, m_counts.leases);
        if (const auto error = refusal(fault))
            co_return failure(*error, "fault");
        const LeaseId lease = ++m_lastLease;
        m_leases[lease] = Lease { timeToLive, m_clock.now() + timeToLive };
        co_await waitFor(delay);
        if (fault == CallFault::AnswerLost)
            co_return failure(ErrorCode::OutcomeUnknown, "answer lost");
        co_return lease;
    }

    Task<Result<void>> renewLease(LeaseId lease) override
    {
        const auto fault = begin(CallKind::Lease, m_counts.leases);
        if (const auto error = refusal(fault))
            co_return failure(*error, "fault");
        dropLapsedLeases();
        const auto found = m_leases.find(lease);
        if (found != m_leases.end())
            found->second.expiry = m_clock.now() + found->second.timeToLive;
        const bool isHeld = found != m_leases.end();
        co_await waitFor(delay);
        if (fault == CallFault::AnswerLost)
            co_return failure(ErrorCode::OutcomeUnknown, "answer lost");
        if (!isHeld)
            co_return failure(ErrorCode::LeaseLost, "lapsed");
        co_return success();
    }

    Task<Result<void>> releaseLease(LeaseId lease) override
    {
        const auto fault = begin(CallKind::Lease, m_counts.leases);
        if (const auto error = refusal(fault))
            co_return failure(*error, "fault");
        drop(lease);
        co_return success();
    }

    Task<Result<WatchResult>> watch(std::string prefix, Revision after, std::chrono::milliseconds patience) override
    {
        const auto fault = begin(CallKind::Watch, m_counts.watches);
        if (fault != CallFault::None)
            co_return failure(ErrorCode::Unavailable, "fault");
        const auto deadline = m_clock.now() + patience;
        while (m_clock.now() < deadline && after >= m_historyFrom && eventsAfter(prefix, after).empty())
            co_await untilWoken();
        if (after < m_historyFrom)
            co_return failure(ErrorCode::HistoryLost, "forgotten");
        WatchResult result { eventsAfter(prefix, after), std::max(after, m_revision) };
        co_return result;
    }

private:
    struct Lease {
        std::chrono::milliseconds timeToLive {};
        TimePoint expiry;
    };

    CallFault begin(CallKind kind, std::size_t& counter)
    {
        ++counter;
        dropLapsedLeases();
        return faultOf(kind);
    }

    static std::optional<ErrorCode> refusal(CallFault fault)
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
            const Revision present = found == m_entries.end() ? 0 : found->second.revision;
            if (present != condition.revision)
                return failure(ErrorCode::Conflict, "the revision differs", condition.key);
        }
        for (const auto& write : transaction.writes) {
            if (write.lease != 0 && !m_leases.contains(write.lease))
                return failure(ErrorCode::LeaseLost, "lapsed", write.key);
        }
        for (auto& write : transaction.writes)
            store(std::move(write.key), std::move(write.value), write.lease);
        for (const auto& key : transaction.removals)
            remove(key);
        return m_revision;
    }

    void applyLate()
    {
        auto due = std::exchange(m_late, {});
        for (auto& late : due) {
            if (late.at > m_clock.now())
                m_late.push_back(std::move(late));
            else
                (void)apply(std::move(late.transaction));
        }
    }

    void remove(const std::string& key)
    {
        if (m_entries.erase(key) == 0)
            return;
        m_removed[key] = ++m_revision;
        wake();
    }

    Revision store(std::string key, std::string value, LeaseId lease)
    {
        ++m_revision;
        m_holders[key] = lease;
        m_removed.erase(key);
        m_entries[key] = KeyValueEntry { key, std::move(value), m_revision };
        wake();
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

    /// What a watch shows: changes and removals.
    std::vector<KeyValueEntry> eventsAfter(const std::string& prefix, Revision after) const
    {
        auto events = changedAfter(prefix, after);
        for (const auto& [key, revision] : m_removed) {
            if (key.starts_with(prefix) && revision > after)
                events.push_back({ key, {}, revision, true });
        }
        return events;
    }

    void drop(LeaseId lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> lapsed;
        for (const auto& [key, entry] : m_entries) {
            if (m_holders[key] == lease)
                lapsed.push_back(key);
        }
        for (const auto& key : lapsed)
            remove(key);
    }

    void dropLapsedLeases()
    {
        std::vector<LeaseId> lapsed;
        for (const auto& [id, lease] : m_leases) {
            if (lease.expiry <= m_clock.now())
                lapsed.push_back(id);
        }
        for (const auto id : lapsed)
            drop(id);
    }

    void wake()
    {
        for (auto* timer : m_waiting)
            timer->cancel();
    }

    Task<void> waitFor(Duration time)
    {
        if (time > Duration::zero())
            co_await waitPast(m_clock.now() + time);
    }

    Task<void> waitPast(TimePoint due)
    {
        while (m_clock.now() < due)
            co_await untilWoken();
    }

    /// Returns at the next wake().
    Task<void> untilWoken()
    {
        boost::asio::steady_timer timer(m_executor, TimePoint::max());
        m_waiting.push_back(&timer);
        boost::system::error_code error;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        std::erase(m_waiting, &timer);
    }

    boost::asio::any_io_executor m_executor;
    ManualClock& m_clock;
    std::map<std::string, KeyValueEntry> m_entries;
    std::map<std::string, LeaseId> m_holders;
    std::map<LeaseId, Lease> m_leases;
    std::vector<boost::asio::steady_timer*> m_waiting;
    struct Late {
        TimePoint at;
        Transaction transaction;
    };
    std::vector<Late> m_late;
    std::map<std::string, Revision> m_removed;
    /// Changes up to here are forgotten.
    Revision m_historyFrom = 0;
    CallCounts m_counts;
    Revision m_revision = 0;
    LeaseId m_lastLease = 0;
};

} // namespace cicadalb
