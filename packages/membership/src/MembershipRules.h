#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/base/Random.h"

#include <bit>
#include <chrono>
#include <cstddef>
#include <cstdint>

/// @file
/// Constants and helper functions that the source files of Membership share.

namespace cicadalb {

/// Maximum number of members that are queued for verification because other hosts report them as lost.
inline constexpr std::size_t maximumPendingVerifications = 64;
/// Number of consecutive differing digests before a state synchronization is requested.
inline constexpr unsigned mismatchesBeforeSync = 6;
/// Number of hosts to which a leaving host announces its departure immediately.
inline constexpr std::size_t departureFanout = 8;
/// Number of seeds that are contacted together while no other host is present.
inline constexpr std::size_t seedsPerContact = 3;
/// Number of most recent datagrams whose senders are remembered.
inline constexpr std::size_t maximumRecentSenders = 16;
/// Minimum time to refute a suspicion that is reported late.
inline constexpr std::chrono::milliseconds minimumRefutationTime { 500 };
/// Number of hosts from which a host requests a state synchronization after it was paused.
inline constexpr std::size_t syncsAfterPause = 3;
inline constexpr std::chrono::minutes expiryCheckInterval { 1 };

inline std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/// @p interval times a random factor in [1 - spread, 1 + spread), so that hosts do not act simultaneously.
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

/// Number of times that each host sends an update. Fewer suffice while many updates with details are queued: synchronizing the differing
/// buckets repairs the few missed updates at a lower cost.
inline unsigned transmissionCount(std::size_t members, std::size_t queuedDetails)
{
    constexpr std::size_t manyQueuedDetails = 200;
    constexpr unsigned reducedTransmissions = 5;
    return queuedDetails > manyQueuedDetails ? reducedTransmissions : 4 + static_cast<unsigned>(std::bit_width(members));
}

} // namespace cicadalb
