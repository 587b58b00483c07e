#pragma once

#include "cicadalb/base/ClockTimer.h"
#include "cicadalb/services/FakeKeyValueService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

/// @file
/// One process's access to a shared store, in which calls of one kind can fail while all others are served.

namespace cicadalb {

/// @brief What happens to the calls of a kind.
enum class CallDisruption : std::uint8_t { None,
    /// No answer arrives, as on a connection that went silent; the client gives up at its time limit.
    Silent,
    /// The call fails at once.
    Refused,
    /// Answers arrive late, but within the client's time limit.
    Delayed,
    /// Watches report no change, and end without one when their wait is over.
    Deaf,
    /// Like Deaf, but the answers state the store's current revision.
    DeafAhead,
    /// The call never returns.
    Endless,
    /// The call throws.
    Throwing,
    /// Watches report earlier changes again, after newer ones.
    Repeated };

/// @brief Returns what happens to a call of a kind at the current time.
using SelectDisruption = std::function<CallDisruption(CallKind)>;

/// @brief Runs @p task for at most @p limit and returns its result. A task that takes longer continues unobserved.
template <typename T>
Task<Result<T>> withTimeLimit(boost::asio::any_io_executor executor, const Clock& clock, Duration limit, Task<Result<T>> task, std::function<bool()> isAnswerLost)
{
    struct Call {
        Call(const boost::asio::any_io_executor& callExecutor, const Clock& callClock)
            : changed(callExecutor, callClock)
        {
        }
        ClockTimer changed;
        std::optional<Result<T>> result;
    };
    const auto call = std::make_shared<Call>(executor, clock);
    const auto run = [](Task<Result<T>> inner, std::shared_ptr<Call> observed) -> Task<void> {
        observed->result.emplace(co_await std::move(inner));
        observed->changed.cancel();
    };
    const auto until = clock.now() + limit;
    boost::asio::co_spawn(executor, run(std::move(task), call), boost::asio::detached);
    bool isLost = isAnswerLost();
    while (clock.now() < until && (!call->result || isLost)) {
        co_await call->changed.waitUntil(std::min(until, clock.now() + std::chrono::milliseconds(10)));
        isLost = isLost || isAnswerLost();
    }
    if (isLost || !call->result)
        co_return failure(ErrorCode::Unavailable, "no answer within the time limit");
    co_return std::move(*call->result);
}

class FaultyStore final : public TransactionalStore {
public:
    static constexpr std::chrono::milliseconds delay { 300 };

    FaultyStore(boost::asio::any_io_executor executor, FakeKeyValueService& store, const Clock& clock, SelectDisruption selectDisruption)
        : m_executor(std::move(executor))
        , m_store(store)
        , m_clock(clock)
        , m_selectDisruption(std::move(selectDisruption))
    {
    }

    Task<Result<std::optional<KeyValueEntry>>> read(std::string key) override { return call(CallKind::Read, callTimeout, m_store.read(std::move(key))); }
    Task<Result<std::vector<KeyValueEntry>>> list(std::string prefix) override { return call(CallKind::Read, callTimeout, m_store.list(std::move(prefix))); }
    Task<Result<Revision>> compareAndSwap(CompareAndSwap write) override { return call(CallKind::Write, callTimeout, m_store.compareAndSwap(std::move(write))); }
    Task<Result<LeaseId>> grantLease(std::chrono::milliseconds timeToLive) override { return call(CallKind::Lease, callTimeout, m_store.grantLease(timeToLive)); }
    Task<Result<void>> renewLease(LeaseId lease) override { return call(CallKind::Lease, renewalTimeout, m_store.renewLease(lease)); }
    Task<Result<void>> releaseLease(LeaseId lease) override { return call(CallKind::Lease, callTimeout, m_store.releaseLease(lease)); }
    Task<Result<Revision>> commit(Transaction transaction) override { return call(CallKind::Write, callTimeout, m_store.commit(std::move(transaction))); }
    Task<Result<WatchResult>> snapshot(std::string prefix, std::string after) override { return call(CallKind::Read, callTimeout, m_store.snapshot(std::move(prefix), std::move(after))); }
    Task<Result<WatchResult>> staleSnapshot(std::string prefix, std::string after) override { return call(CallKind::Read, callTimeout, m_store.staleSnapshot(std::move(prefix), std::move(after))); }
    Task<Result<std::optional<KeyValueEntry>>> staleRead(std::string key) override { return call(CallKind::Read, callTimeout, m_store.staleRead(std::move(key))); }

    Task<Result<WatchResult>> watch(std::string prefix, Revision after, std::chrono::milliseconds maximumWait) override
    {
        if (m_selectDisruption(CallKind::Watch) == CallDisruption::Throwing)
            throw std::runtime_error("the call cannot be made");
        if (m_selectDisruption(CallKind::Watch) == CallDisruption::Endless)
            co_await ClockTimer(m_executor, m_clock).waitUntil(TimePoint::max());
        const auto until = m_clock.now() + maximumWait;
        if (isDeaf())
            co_return co_await hearNothing(after, until);
        auto result = co_await call(CallKind::Watch, maximumWait + watchAnswerTimeout, m_store.watch(prefix, after, maximumWait));
        if (!result)
            co_return result;
        if (isDeaf())
            co_return co_await hearNothing(after, until);
        auto& entries = result.value().entries;
        const auto news = entries;
        if (m_selectDisruption(CallKind::Watch) == CallDisruption::Repeated && !news.empty())
            entries.insert(entries.end(), m_reported[prefix].begin(), m_reported[prefix].end());
        m_reported[prefix].insert(m_reported[prefix].end(), news.begin(), news.end());
        co_return result;
    }

private:
    static constexpr std::chrono::milliseconds callTimeout { 1500 };
    static constexpr std::chrono::milliseconds renewalTimeout { 350 };

    bool isDeaf() const
    {
        const auto disruption = m_selectDisruption(CallKind::Watch);
        return disruption == CallDisruption::Deaf || disruption == CallDisruption::DeafAhead;
    }

    /// Waits while the disruption lasts, and then fails as if the call had been cut.
    Task<Result<WatchResult>> hearNothing(Revision after, TimePoint until)
    {
        ClockTimer timer(m_executor, m_clock);
        while (m_clock.now() < until) {
            co_await timer.waitFor(std::chrono::milliseconds(10));
            if (!isDeaf())
                co_return failure(ErrorCode::Unavailable, "the watch was cut");
        }
        WatchResult unchanged;
        unchanged.revision = m_selectDisruption(CallKind::Watch) == CallDisruption::DeafAhead ? m_store.revision() : after;
        co_return unchanged;
    }

    template <typename T>
    Task<Result<T>> call(CallKind kind, Duration limit, Task<Result<T>> task)
    {
        if (m_selectDisruption(kind) == CallDisruption::Refused)
            co_return failure(ErrorCode::Unavailable, "refused");
        auto result = co_await withTimeLimit<T>(m_executor, m_clock, limit, std::move(task), [this, kind] { return m_selectDisruption(kind) == CallDisruption::Silent; });
        ClockTimer timer(m_executor, m_clock);
        if (m_selectDisruption(kind) == CallDisruption::Delayed)
            co_await timer.waitFor(delay);
        if (m_selectDisruption(kind) != CallDisruption::Deaf)
            co_return result;
        while (m_selectDisruption(kind) == CallDisruption::Deaf)
            co_await timer.waitFor(std::chrono::milliseconds(10));
        co_return failure(ErrorCode::Unavailable, "the watch was cut");
    }

    boost::asio::any_io_executor m_executor;
    FakeKeyValueService& m_store;
    const Clock& m_clock;
    SelectDisruption m_selectDisruption;
    std::map<std::string, std::vector<KeyValueEntry>> m_reported;
};

} // namespace cicadalb
