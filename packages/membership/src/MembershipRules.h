#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/base/Random.h"

#include <bit>
#include <chrono>
#include <cstddef>
#include <cstdint>

/// @file
/// Bounds and small rules that the parts of Membership share.

namespace cicadalb {

/// Bounds the queue of members that others reported as lost.
inline constexpr std::size_t maximumVerifications = 64;
/// Digests in a row that differ before an exchange of state is asked for.
inline constexpr unsigned mismatchesBeforeSync = 6;
/// Hosts to which a departure is told at once.
inline constexpr std::size_t departureFanout = 8;
inline constexpr std::size_t seedsAtOnce = 3;
/// Last datagrams whose senders are remembered.
inline constexpr std::size_t recentSenders = 16;
/// Time to refute that a host has at least.
inline constexpr std::chrono::milliseconds smallestGrace { 500 };
/// Hosts that a host asks for their view when it was paused.
inline constexpr std::size_t syncsAfterPause = 3;
inline constexpr std::chrono::minutes forgetInterval { 1 };

inline std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/// @p interval times a random factor in [1 - spread, 1 + spread), so that hosts do not act in step.
inline std::chrono::milliseconds jittered(std::chrono::milliseconds interval, double spread, Random& random)
{
    const double factor = 1.0 - spread + 2.0 * spread * randomUnit(random);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(interval.count()) * factor));
}

inline std::uint32_t digestOf(std::uint64_t idHash, Incarnation incarnation) noexcept
{
    const std::uint64_t mixed = (idHash ^ (incarnation * 0x9E3779B97F4A7C15ULL)) * 0xD6E8FEB86659FD93ULL;
    return static_cast<std::uint32_t>(mixed >> 32U);
}

/// Transmissions of one update by each host that learns it. In a flood of updates with details fewer do: the exchange of differing buckets
/// repairs the few that are missed for less.
inline unsigned transmissionsFor(std::size_t members, std::size_t queuedDetails)
{
    constexpr std::size_t flood = 200;
    constexpr unsigned transmissionsInFlood = 5;
    return queuedDetails > flood ? transmissionsInFlood : 4 + static_cast<unsigned>(std::bit_width(members));
}

} // namespace cicadalb
