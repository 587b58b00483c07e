#pragma once

#include <algorithm>

#include "cicadalb/base/Identifier.h"
#include "cicadalb/services/BackoffPolicy.h"
#include "cicadalb/services/KeyValueService.h"

/// @file
/// What one candidate for a lease knows of it, and what it does next.

namespace cicadalb {

struct LeaseSettings {
    /// Key that the holder owns while its lease lives.
    std::string key;
    /// Name of this candidate, for people.
    std::string holder;
    std::chrono::milliseconds timeToLive { 10000 };
    /// Share of the time to live that is not used, for clocks that run at different rates.
    double clockMargin = 0.02;
    /// Part of the time to live after which the lease is renewed.
    double renewalShare = 1.0 / 3.0;
    BackoffSettings backoff { std::chrono::milliseconds(200), std::chrono::milliseconds(3000) };
};

/// @brief The next call of a candidate.
enum class LeaseCall : std::uint8_t { None,
    Grant,
    /// Writes the key under the granted lease.
    Take,
    /// Reads the key after a lost answer to Take.
    ReadBack,
    Renew,
    /// Gives back a lease that won nothing.
    Release };

/// @brief Decisions of one candidate. A lease counts from before its request was sent, so the holder never takes it for longer
/// than the service does. Not thread-safe.
class LeaseHolding {
public:
    LeaseHolding(LeaseSettings, std::uint64_t randomSeed);

    /// @brief The call to make now; the time of the call starts here.
    LeaseCall next(TimePoint now);
    /// @brief Makes the next call due now, e.g. because the key was seen to be gone.
    void hasten(TimePoint now) { m_due = std::min(m_due, now); }
    /// @brief The key may be taken from the record at @p earlier, which an earlier process of this candidate left behind.
    void replace(Revision earlier) noexcept { m_replaced = earlier; }
    /// @brief When to ask next() again.
    TimePoint nextDue() const noexcept { return m_due; }

    void onGrant(const Result<LeaseId>&, TimePoint now);
    void onTake(const Result<Revision>&, TimePoint now);
    void onReadBack(const Result<std::optional<KeyValueEntry>>&, TimePoint now);
    void onRenew(const Result<void>&, TimePoint now);
    void onRelease(TimePoint now);

    /// @brief Whether an action that takes at most @p longestAction may start: the lease is held for at least that long.
    bool mayAct(TimePoint now, Duration longestAction) const;
    /// @brief As mayAct(), for targets that ignore fencing numbers: also waits until no action of an earlier holder can be running.
    bool mayActUnfenced(TimePoint now, Duration longestAction) const;
    /// @brief Number to put into each order; rises with each holder. Empty unless held.
    std::optional<FencingNumber> fencingNumber() const { return m_fencingNumber; }
    LeaseId lease() const { return m_lease; }
    /// @brief The write for LeaseCall::Take.
    CompareAndSwap takeWrite() const;

private:
    Duration usableTime() const;
    void retryLater(TimePoint now);
    void win(Revision, TimePoint now);
    void lose(TimePoint now);

    LeaseSettings m_settings;
    BackoffPolicy m_backoff;
    Random m_random;
    LeaseCall m_call = LeaseCall::Grant;
    LeaseId m_lease = 0;
    Revision m_replaced = 0;
    std::optional<FencingNumber> m_fencingNumber;
    std::string m_mark;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_markSeed;
    TimePoint m_due;
    TimePoint m_calledAt;
    TimePoint m_validUntil;
    TimePoint m_wonAt;
};

} // namespace cicadalb
