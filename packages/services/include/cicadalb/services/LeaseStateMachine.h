#pragma once

#include <algorithm>

#include "cicadalb/base/Identifier.h"
#include "cicadalb/services/BackoffPolicy.h"
#include "cicadalb/services/KeyValueService.h"

/// @file
/// State of one candidate for a lease, and the next call that it has to make.

namespace cicadalb {

struct LeaseSettings {
    /// Key that the holder owns until its lease expires or is released.
    std::string key;
    /// Name of this candidate, shown in logs; also the first part of the key's value.
    std::string holder;
    std::chrono::milliseconds timeToLive { 10000 };
    /// Share of the time to live that the holder leaves unused, because the clocks of host and service may run at different rates.
    double clockMargin = 0.02;
    /// Share of the time to live after which the lease is renewed.
    double renewalShare = 1.0 / 3.0;
    BackoffSettings backoff { std::chrono::milliseconds(200), std::chrono::milliseconds(3000) };
};

/// @brief The next call of a candidate.
enum class LeaseCall : std::uint8_t { None,
    Grant,
    /// Writes the key with the granted lease.
    WriteKey,
    /// Reads the key to learn the outcome of a WriteKey whose answer was lost.
    ReadKey,
    Renew,
    /// Releases a granted lease whose candidate did not get the key.
    Release };

/// @brief State machine of one candidate; makes no calls itself. The validity of a lease counts from before its request is sent, so the
/// holder never considers it valid for longer than the service does. Not thread-safe.
class LeaseStateMachine {
public:
    LeaseStateMachine(LeaseSettings, std::uint64_t randomSeed);

    /// @brief The call to make now. The validity of a lease granted or renewed by it counts from @p now. A request that has not ended by the time its lease
    /// expires, for example since its candidate left the key to another one, begins anew.
    LeaseCall next(TimePoint now);
    /// @brief Makes the next call due immediately, for example because the key was seen to be removed.
    void skipDelay(TimePoint now) { m_nextCallAt = std::min(m_nextCallAt, now); }
    /// @brief Lets the next write of the key replace the value at the revision @p previous, which an earlier process of this candidate wrote.
    void allowReplacing(Revision previous) noexcept { m_replaceableRevision = previous; }
    /// @brief Time at which to call next() again.
    TimePoint nextCallAt() const noexcept { return m_nextCallAt; }

    void onGrant(const Result<LeaseId>&, TimePoint now);
    void onKeyWritten(const Result<Revision>&, TimePoint now);
    void onKeyRead(const Result<std::optional<KeyValueEntry>>&, TimePoint now);
    void onRenew(const Result<void>&, TimePoint now);
    void onRelease(TimePoint now);

    /// @brief Whether an action that takes at most @p longestAction may start: the lease stays valid for at least that long.
    bool mayAct(TimePoint now, Duration longestAction) const;
    /// @brief Like mayAct(), for targets that ignore fencing numbers: also false while an action of an earlier holder may still be running.
    bool mayActUnfenced(TimePoint now, Duration longestAction) const;
    /// @brief Number to put into each order; increases with each new holder. Empty unless the lease is held.
    std::optional<FencingNumber> fencingNumber() const { return m_fencingNumber; }
    LeaseId lease() const { return m_lease; }
    /// @brief The write to make for LeaseCall::WriteKey.
    CompareAndSwap keyWrite() const;

private:
    Duration usableTime() const;
    bool isRequestExpired(TimePoint now) const;
    void restartRequest();
    void retryLater(TimePoint now);
    void recordAcquisition(Revision, TimePoint now);
    void recordLoss(TimePoint now);

    LeaseSettings m_settings;
    BackoffPolicy m_backoff;
    Random m_random;
    LeaseCall m_nextCall = LeaseCall::Grant;
    LeaseId m_lease = 0;
    Revision m_replaceableRevision = 0;
    std::optional<FencingNumber> m_fencingNumber;
    std::string m_keyValue;
    std::uint64_t m_attemptCount = 0;
    std::uint64_t m_candidateNonce;
    TimePoint m_nextCallAt;
    TimePoint m_calledAt;
    TimePoint m_validUntil;
    TimePoint m_acquiredAt;
};

} // namespace cicadalb
