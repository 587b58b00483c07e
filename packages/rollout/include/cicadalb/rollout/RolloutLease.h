#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"

#include <optional>

/// @file
/// The holder's view of a lease.

namespace cicadalb {

/// @brief One holding of a lease, on the holder's own steady clock.
struct LeaseTerm {
    /// Fencing number of all orders given under this term; rises with each new holder.
    FencingNumber fence = 0;
    TimePoint acquiredAt {};
    /// Counted from before the latest renewal was sent, so that it is never later than the service's own expiry.
    TimePoint expiresAt {};
    Duration timeToLive {};
};

/// @brief Gives the present term. Thread-safe.
class RolloutLease {
public:
    virtual ~RolloutLease() = default;
    /// @brief The term, or nothing if the lease is not held.
    virtual std::optional<LeaseTerm> term() const = 0;
};

} // namespace cicadalb
