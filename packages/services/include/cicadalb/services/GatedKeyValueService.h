#pragma once

#include "cicadalb/services/CallGate.h"
#include "cicadalb/services/KeyValueService.h"

#include <mutex>

/// @file
/// The key-value service behind one host's share of its call rate.

namespace cicadalb {

struct GateState {
    bool isAvailable = true;
    std::uint64_t callsMade = 0;
    std::uint64_t callsHeldBack = 0;
    std::chrono::milliseconds retryAfter { 0 };
};

/// @brief Passes calls on as far as the gate admits them; others fail with Unavailable at once. A waiting watch counts against the
/// rate but not as an open call. Thread-safe.
class GatedKeyValueService final : public KeyValueService {
public:
    GatedKeyValueService(KeyValueService& service, const Clock&, CallGateSettings, std::uint64_t randomSeed);

    Task<Result<std::optional<KeyValueEntry>>> read(std::string key) override;
    Task<Result<std::vector<KeyValueEntry>>> list(std::string prefix) override;
    Task<Result<Revision>> compareAndSwap(CompareAndSwap) override;
    Task<Result<LeaseId>> grantLease(std::chrono::milliseconds timeToLive) override;
    Task<Result<void>> renewLease(LeaseId) override;
    Task<Result<void>> releaseLease(LeaseId) override;
    Task<Result<WatchResult>> watch(std::string prefix, Revision after, std::chrono::milliseconds patience) override;

    GateState state() const;

private:
    template <typename T>
    Task<Result<T>> pass(Task<Result<T>> call);
    bool begin();
    void end(const Error* error);

    KeyValueService& m_service;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    CallGate m_gate;
    GateState m_counters;
};

} // namespace cicadalb
