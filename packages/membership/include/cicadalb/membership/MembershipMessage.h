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
    /// Asks the receiver to ping a third host and to pass its Ack on.
    PingRequest,
    /// Carries updates only.
    Gossip,
    /// Asks for all members in the buckets whose digests differ.
    SyncRequest,
    SyncAnswer,
};

/// Number of buckets into which members fall by the hash of their id.
inline constexpr std::size_t digestBuckets = 64;

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

/// @brief Upper bound of the encoded size of @p update in bytes.
std::size_t encodedBound(const MemberUpdate&) noexcept;
/// Upper bound of the encoded size of a message without updates and bucket digests, without its sender's id, in bytes.
inline constexpr std::size_t messageOverheadBytes = 80;

std::vector<std::uint8_t> encode(const MembershipMessage&);
/// @brief Reads a datagram. Fails with DatagramInvalid.
Result<MembershipMessage> decodeMembershipMessage(std::span<const std::uint8_t>);

} // namespace cicadalb
