#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/membership/Member.h"

#include <span>

/// @file
/// Datagrams between hosts, as CBOR arrays.

namespace cicadalb {

enum class MembershipMessageKind : std::uint8_t {
    /// Asks for an Ack.
    Ping,
    Ack,
    /// Asks the receiver to ping a third host and to forward its Ack.
    PingRequest,
    /// Carries updates only.
    Gossip,
    /// Asks for all members in the buckets whose digests differ.
    SyncRequest,
    /// Answers a SyncRequest with the members in these buckets.
    SyncAnswer,
};

/// Number of buckets over which members are distributed by the hash of their id.
inline constexpr std::size_t digestBucketCount = 64;

struct MembershipMessage {
    MembershipMessageKind kind = MembershipMessageKind::Ping;
    HostId sender;
    Incarnation senderIncarnation = 0;
    /// Highest accepted configuration that the sender holds.
    ConfigurationNumber configuration = 0;
    /// Digest of all members that are present in the sender's view.
    std::uint32_t digest = 0;
    std::uint64_t sequence = 0;
    /// PingRequest: where the third host listens.
    std::string pingAddress;
    std::uint16_t pingPort = 0;
    /// SyncRequest: one digest for each bucket.
    std::vector<std::uint32_t> bucketDigests;
    std::vector<MemberUpdate> updates;
};

/// @brief Upper bound of the encoded size of an update in bytes.
std::size_t encodedSizeBound(const MemberUpdate&) noexcept;
/// Upper bound of the encoded size in bytes of a message without its updates, bucket digests and sender id.
inline constexpr std::size_t messageOverheadBytes = 80;

std::vector<std::uint8_t> encode(const MembershipMessage&);
/// @brief Decodes a datagram. Errors: DatagramInvalid.
Result<MembershipMessage> decodeMembershipMessage(std::span<const std::uint8_t>);

} // namespace cicadalb
