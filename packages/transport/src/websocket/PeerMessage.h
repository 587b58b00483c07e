#pragma once

#include "cicadalb/transport/PeerLink.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The messages on a link between hosts and their CBOR form. C++17.

namespace cicadalb::detail {

enum class PeerMessageType : std::uint8_t {
    /// Listener to connector: nonce.
    Challenge,
    /// Connector to listener: nonce and proof.
    Proof,
    /// Listener to connector: proof. Requests may follow.
    Welcome,
    Request,
    Answer,
};

/// @brief One message. Every message names its sender; a request and its answer name the request and both incarnations.
struct PeerMessage {
    PeerMessageType type = PeerMessageType::Challenge;
    std::string host;
    std::uint64_t incarnation = 0;
    /// Incarnation of the host that the message is meant for; 0 in a challenge.
    std::uint64_t receiverIncarnation = 0;
    /// Number of the request, rising for each sender's incarnation and receiver.
    std::uint64_t requestId = 0;
    /// Request: the sender needs no answer to smaller numbers any more.
    std::uint64_t acknowledgedBelow = 0;
    /// Challenge and proof.
    std::string nonce;
    /// Proof and welcome.
    std::string proof;
    /// Request.
    PeerRequest request;
    /// Answer.
    PeerAnswer answer;
};

std::vector<std::uint8_t> encode(const PeerMessage&);

/// @return nothing if the bytes are not a message
std::optional<PeerMessage> decode(const std::string& bytes);

} // namespace cicadalb::detail
