#include "cicadalb/services/RateLimitedKeyValueService.h"

#include "cicadalb/base/Event.h"

namespace cicadalb {

namespace {

    /// Whether an error shows that the service is unhealthy, rather than that it refused this call.
    bool isServiceFailure(ErrorCode code)
    {
        return code == ErrorCode::Unavailable || code == ErrorCode::NotSent || code == ErrorCode::OutcomeUnknown;
    }

} // namespace

RateLimitedKeyValueService::RateLimitedKeyValueService(KeyValueService& service, const Clock& clock, CallLimiterSettings settings, std::uint64_t randomSeed)
    : m_service(service)
    , m_clock(clock)
    , m_limiter(settings, randomSeed)
{
}

template <typename T>
Task<Result<T>> RateLimitedKeyValueService::forward(Task<Result<T>> call)
{
    if (!beginCall())
        co_return failure(ErrorCode::Unavailable, "call not sent: the service is unavailable or this host's share of its call rate is used up");
    auto result = co_await std::move(call);
    endCall(result ? nullptr : &result.error());
    co_return std::move(result);
}

Task<Result<std::optional<KeyValueEntry>>> RateLimitedKeyValueService::read(std::string key) { return forward(m_service.read(std::move(key))); }

Task<Result<std::vector<KeyValueEntry>>> RateLimitedKeyValueService::list(std::string prefix) { return forward(m_service.list(std::move(prefix))); }

Task<Result<Revision>> RateLimitedKeyValueService::compareAndSwap(CompareAndSwap swap) { return forward(m_service.compareAndSwap(std::move(swap))); }

Task<Result<LeaseId>> RateLimitedKeyValueService::grantLease(std::chrono::milliseconds timeToLive) { return forward(m_service.grantLease(timeToLive)); }

Task<Result<void>> RateLimitedKeyValueService::renewLease(LeaseId lease) { return forward(m_service.renewLease(lease)); }

Task<Result<void>> RateLimitedKeyValueService::releaseLease(LeaseId lease) { return forward(m_service.releaseLease(lease)); }

Task<Result<WatchResult>> RateLimitedKeyValueService::watch(std::string prefix, Revision after, std::chrono::milliseconds maximumWait)
{
    if (!beginCall())
        co_return failure(ErrorCode::Unavailable, "call not sent: the service is unavailable or this host's share of its call rate is used up");
    const bool wasAvailable = state().isAvailable;
    // While the service is considered unavailable, the watch is the attempt that detects its recovery and stays an open call; otherwise a
    // waiting watch does not count as an open call.
    if (wasAvailable)
        endCall(nullptr);
    auto result = co_await m_service.watch(std::move(prefix), after, maximumWait);
    if (!wasAvailable)
        endCall(result ? nullptr : &result.error());
    co_return std::move(result);
}

CallLimiterState RateLimitedKeyValueService::state() const
{
    const std::lock_guard lock(m_mutex);
    auto state = m_counters;
    state.isAvailable = m_limiter.isAvailable();
    state.retryAfter = m_limiter.retryAfter(m_clock.now());
    return state;
}

bool RateLimitedKeyValueService::beginCall()
{
    const std::lock_guard lock(m_mutex);
    const bool isAdmitted = m_limiter.tryBegin(m_clock.now());
    ++(isAdmitted ? m_counters.callsMade : m_counters.rejectedCalls);
    return isAdmitted;
}

void RateLimitedKeyValueService::endCall(const Error* error)
{
    const std::lock_guard lock(m_mutex);
    const bool wasAvailable = m_limiter.isAvailable();
    if (error && isServiceFailure(error->code))
        m_limiter.recordFailure(m_clock.now());
    else
        m_limiter.recordSuccess(m_clock.now());
    if (wasAvailable && !m_limiter.isAvailable())
        logEvent(Event::PlatformUnavailable, { { "service", "key-value" }, { "message", error->message } });
    if (!wasAvailable && m_limiter.isAvailable())
        logEvent(Event::PlatformAvailable, { { "service", "key-value" } });
}

} // namespace cicadalb
