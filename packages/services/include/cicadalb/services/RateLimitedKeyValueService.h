#pragma once

#include "cicadalb/services/CallLimiter.h"
#include "cicadalb/services/KeyValueService.h"

#include <mutex>

/// @file
/// A key-value service whose calls are limited to one host's share of the call rate.

namespace cicadalb {

struct CallLimiterState {
    bool isAvailable = true;
    std::uint64_t callsMade = 0;
    /// Calls that were rejected by the limiter and not sent.
    std::uint64_t rejectedCalls = 0;
    std::chrono::milliseconds retryAfter { 0 };
};

/// @brief Forwards the calls that the limiter admits; others fail at once with Unavailable. A waiting watch counts towards the rate but
/// not as an open call while the service is available. Thread-safe.
class RateLimitedKeyValueService final : public KeyValueService {
public:
    RateLimitedKeyValueService(KeyValueService& service, const Clock&, CallLimiterSettings, std::uint64_t randomSeed);

    Task<Result<std::optional<KeyValueEntry>>> read(std::string key) override;
    Task<Result<std::vector<KeyValueEntry>>> list(std::string prefix) override;
    Task<Result<Revision>> compareAndSwap(CompareAndSwap) override;
    Task<Result<LeaseId>> grantLease(std::chrono::milliseconds timeToLive) override;
    Task<Result<void>> renewLease(LeaseId) override;
    Task<Result<void>> releaseLease(LeaseId) override;
    Task<Result<WatchResult>> watch(std::string prefix, Revision after, std::chrono::milliseconds maximumWait) override;

    CallLimiterState state() const;

private:
    template <typename T>
    Task<Result<T>> forward(Task<Result<T>> call);
    bool beginCall();
    void endCall(const Error* error);

    KeyValueService& m_service;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    CallLimiter m_limiter;
    CallLimiterState m_counters;
};

} // namespace cicadalb
