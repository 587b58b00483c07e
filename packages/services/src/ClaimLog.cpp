#include "cicadalb/services/ClaimLog.h"

#include "cicadalb/base/Hash.h"
#include "cicadalb/base/Random.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <mutex>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    /// Hexadecimal digits to which the hashes of a key, a body and a writer ID are truncated, so that a bucket holds more entries.
    constexpr std::size_t keyHashDigits = 32;
    constexpr std::size_t fingerprintDigits = 16;
    constexpr std::size_t writerDigits = 12;
    constexpr std::chrono::milliseconds minimumRetryAfter { 1000 };
    constexpr std::chrono::milliseconds retryAfterSpread { 4000 };

    using Strand = asio::strand<asio::any_io_executor>;

    std::string shortHash(const std::string& text, std::size_t digits) { return sha256Hex(text).substr(0, digits); }

    Task<void> sleepFor(Strand strand, std::chrono::milliseconds time)
    {
        asio::steady_timer timer(strand, time);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }

    /// A call of claim() that waits for its decision.
    struct Waiter {
        explicit Waiter(const Strand& strand)
            : decided(strand, TimePoint::max())
        {
        }
        asio::steady_timer decided;
        std::optional<Result<ClaimDecision>> result;
    };

    struct Bucket {
        explicit Bucket(ClaimBatcher theBatcher)
            : batcher(std::move(theBatcher))
        {
        }
        ClaimBatcher batcher;
        std::map<ClaimTicket, std::shared_ptr<Waiter>> waiters;
        TimePoint nextWriteAt;
        bool isFlushing = false;
        bool isStatusTimerRunning = false;
    };

} // namespace

struct ClaimLog::State : std::enable_shared_from_this<State> {
    State(asio::any_io_executor executor, KeyValueService& theService, const Clock& theClock, UnixClock theUnixClock, ClaimLogSettings theSettings)
        : strand(asio::make_strand(executor))
        , service(theService)
        , clock(theClock)
        , unixClock(std::move(theUnixClock))
        , settings(std::move(theSettings))
        , random(placementHash(settings.writerId))
    {
        for (std::size_t i = 0; i < settings.buckets; ++i)
            buckets.emplace_back(ClaimBatcher(settings.keyPrefix + std::to_string(i), shortHash(settings.writerId, writerDigits), settings.claims));
    }

    std::size_t bucketIndex(const std::string& key) const { return placementHash(key) % settings.buckets; }

    static Task<std::optional<Result<ClaimDecision>>> claim(std::shared_ptr<State> self, std::string key, std::string fingerprint)
    {
        self->increment(&ClaimLogCounters::claims);
        auto& bucket = self->buckets[self->bucketIndex(key)];
        const auto ticket = bucket.batcher.claim(shortHash(key, keyHashDigits), shortHash(fingerprint, fingerprintDigits), self->clock.now());
        if (!ticket) {
            self->increment(&ClaimLogCounters::refused);
            co_return Result<ClaimDecision>(ticket.as_failure());
        }
        auto waiter = std::make_shared<Waiter>(self->strand);
        bucket.waiters.emplace(ticket.value(), waiter);
        self->startFlush(bucket);
        boost::system::error_code error;
        while (!waiter->result)
            co_await waiter->decided.async_wait(asio::redirect_error(asio::use_awaitable, error));
        co_return std::move(waiter->result);
    }

    void recordStatus(const std::string& key, unsigned status)
    {
        auto& bucket = buckets[bucketIndex(key)];
        bucket.batcher.recordStatus(shortHash(key, keyHashDigits), status, clock.now());
        if (!bucket.isStatusTimerRunning) {
            bucket.isStatusTimerRunning = true;
            asio::co_spawn(strand, flushAfterDelay(shared_from_this(), bucket), asio::detached);
        }
    }

    void release(const std::string& key, const std::string& claimId)
    {
        auto& bucket = buckets[bucketIndex(key)];
        bucket.batcher.release(shortHash(key, keyHashDigits), claimId, clock.now());
        startFlush(bucket);
    }

    void startFlush(Bucket& bucket)
    {
        if (bucket.isFlushing)
            return;
        bucket.isFlushing = true;
        asio::co_spawn(strand, flush(shared_from_this(), bucket), asio::detached);
    }

    static Task<void> flushAfterDelay(std::shared_ptr<State> self, Bucket& bucket)
    {
        co_await sleepFor(self->strand, self->settings.claims.statusWriteDelay);
        bucket.isStatusTimerRunning = false;
        self->startFlush(bucket);
    }

    static Task<void> flush(std::shared_ptr<State> self, Bucket& bucket)
    {
        while (true) {
            // The first claim after an idle time is written at once; the following ones are batched until the next write is allowed.
            const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(bucket.nextWriteAt - self->clock.now());
            if (wait > std::chrono::milliseconds::zero())
                co_await sleepFor(self->strand, wait);
            auto action = self->nextAction(bucket);
            if (!action)
                break;
            if (action->write)
                co_await write(self, bucket, std::move(*action->write));
            else
                co_await read(self, bucket);
            self->deliverDecisions(bucket);
        }
        bucket.isFlushing = false;
    }

    static Task<void> write(std::shared_ptr<State> self, Bucket& bucket, CompareAndSwap swap)
    {
        self->increment(&ClaimLogCounters::writes);
        bucket.nextWriteAt = self->clock.now() + self->settings.minimumWriteInterval;
        const auto written = co_await self->service.compareAndSwap(std::move(swap));
        bucket.batcher.onWrite(written, self->clock.now());
    }

    static Task<void> read(std::shared_ptr<State> self, Bucket& bucket)
    {
        self->increment(&ClaimLogCounters::reads);
        const auto entry = co_await self->service.read(bucket.batcher.bucketKey());
        bucket.batcher.onRead(entry, self->clock.now());
    }

    std::optional<ClaimAction> nextAction(Bucket& bucket)
    {
        auto action = bucket.batcher.next(clock.now(), unixClock());
        deliverDecisions(bucket);
        return action;
    }

    void deliverDecisions(Bucket& bucket)
    {
        for (auto& resolution : bucket.batcher.takeResolutions()) {
            const bool isFresh = resolution.result && resolution.result.value().kind == ClaimKind::Fresh;
            if (isFresh)
                increment(&ClaimLogCounters::fresh);
            if (!resolution.result)
                increment(&ClaimLogCounters::refused);
            auto node = bucket.waiters.extract(resolution.ticket);
            node.mapped()->result.emplace(std::move(resolution.result));
            node.mapped()->decided.cancel();
        }
    }

    void increment(std::uint64_t ClaimLogCounters::*counter)
    {
        const std::lock_guard lock(mutex);
        ++(counters.*counter);
    }

    Strand strand;
    KeyValueService& service;
    const Clock& clock;
    UnixClock unixClock;
    ClaimLogSettings settings;
    std::deque<Bucket> buckets;
    std::mutex mutex;
    ClaimLogCounters counters;
    Random random;
};

ClaimLog::ClaimLog(asio::any_io_executor executor, KeyValueService& service, const Clock& clock, UnixClock unixClock, ClaimLogSettings settings)
    : m_state(std::make_shared<State>(std::move(executor), service, clock, std::move(unixClock), std::move(settings)))
{
}

Task<Result<ClaimDecision>> ClaimLog::claim(std::string key, std::string fingerprint)
{
    auto task = State::claim(m_state, std::move(key), std::move(fingerprint));
    auto result = co_await asio::co_spawn(m_state->strand, std::move(task), asio::use_awaitable);
    co_return std::move(*result);
}

void ClaimLog::recordStatus(const std::string& key, unsigned status)
{
    asio::post(m_state->strand, [state = m_state, key, status] { state->recordStatus(key, status); });
}

void ClaimLog::release(const std::string& key, const std::string& claimId)
{
    asio::post(m_state->strand, [state = m_state, key, claimId] { state->release(key, claimId); });
}

std::string ClaimLog::bucketKeyOf(const std::string& key) const
{
    return m_state->settings.keyPrefix + std::to_string(m_state->bucketIndex(key));
}

std::chrono::milliseconds ClaimLog::retryAfter() const
{
    const std::lock_guard lock(m_state->mutex);
    return minimumRetryAfter + std::chrono::milliseconds(randomIndex(m_state->random, retryAfterSpread.count()));
}

ClaimLogCounters ClaimLog::counters() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->counters;
}

} // namespace cicadalb
