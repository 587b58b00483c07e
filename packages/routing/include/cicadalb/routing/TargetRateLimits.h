#pragma once

#include "cicadalb/base/Identifier.h"
#include "cicadalb/routing/RequestSpacing.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

/// @file
/// Request rates that targets state, and this process's part of them.

namespace cicadalb {

enum class RateStatementKind : std::uint8_t {
    /// The target accepts requests at any rate.
    Unlimited,
    Limited,
    /// The statement cannot be interpreted, and changes nothing.
    Invalid,
};

/// @brief What an answer says about the rate of requests that its target accepts from all hosts together.
struct RateStatement {
    RateStatementKind kind = RateStatementKind::Unlimited;
    /// Set if limited; finite and not negative.
    double requestsPerSecond = 0;
};

/// @brief One start of a target; a restarted target has stated nothing yet.
struct TargetStart {
    TargetId id;
    Incarnation startedAt = 0;
};

/// @brief The limits of all targets that have stated one. Requests to a target are spaced at this process's share of its limit. Does no I/O and reads no clock.
/// Not thread-safe.
class TargetRateLimits {
public:
    /// Rate at which a target is sent requests at most, and at least if it states a lower one: without any request, nobody would hear that it accepts
    /// more again.
    static constexpr double lowestRequestsPerSecond = 0.25;
    static constexpr double highestRequestsPerSecond = 1e6;

    enum class Change : std::uint8_t { None,
        Stated,
        Lifted };

    /// @brief Applies what an answer states. An answer without a limit lifts it only if its request was sent after the limit was last stated: answers overtake each other.
    Change apply(const TargetStart&, const RateStatement&, TimePoint sentAt, TimePoint now);
    /// @brief The limit in force, or nothing.
    std::optional<double> requestsPerSecond(const TargetStart&) const;
    bool isLimited(const TargetId& id) const { return m_limits.contains(id); }
    /// @brief The limits in force, in requests a second.
    std::map<TargetId, double> all() const;
    std::size_t size() const noexcept { return m_limits.size(); }

    /// @brief Sets the share of each limit that this process uses. 0: it sends nothing to targets with a limit.
    void setShare(double, TimePoint now);
    /// @brief Makes all targets wait for a whole interval, since other processes may have used the time before.
    void restartSpacing(TimePoint now);
    /// @brief Reserves a time for a request to a target. @return how long the request has to wait, zero without a limit, or nothing if the wait is longer than @p maximumWait
    std::optional<Duration> reserve(const TargetId&, Duration maximumWait, TimePoint now);
    /// @brief Counts a request that was sent without a reservation.
    void record(const TargetId&, TimePoint now);
    /// @brief Time until a request may be sent; zero without a limit.
    Duration untilNext(const TargetId&, TimePoint now) const;
    /// @brief Forgets the limits of all targets but those that @p isPresent accepts.
    void retain(const std::function<bool(const TargetId&)>& isPresent);

private:
    struct Limit {
        Incarnation startedAt = 0;
        double requestsPerSecond = 0;
        TimePoint statedAt;
        RequestSpacing spacing;
    };

    Duration intervalOf(double requestsPerSecond) const;

    std::map<TargetId, Limit> m_limits;
    double m_share = 1;
};

} // namespace cicadalb
