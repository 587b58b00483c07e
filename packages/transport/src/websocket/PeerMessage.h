#pragma once

#include "cicadalb/transport/PeerLink.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The messages on a link between hosts and their encoding in CBOR. C++17.

namespace cicadalb::detail {

enum class PeerMessageType : std::uint8_t {
    /// Listener to connector: nonce.
    Challenge,
    /// Connector to listener: nonce and proof.
    Proof,
    /// Listener to connector: proof. The connector may send requests from then on.
    Welcome,
    Request,
    Answer,
};

/// @brief One message. Every message names the host that sends it; a request and its answer also carry the request's id and both hosts' incarnations.
struct PeerMessage {
    PeerMessageType type = PeerMessageType::Challenge;
    std::string host;
    std::uint64_t incarnation = 0;
    /// Incarnation of the host that the message is addressed to; 0 in a challenge.
    std::uint64_t receiverIncarnation = 0;
    /// Id of the request. Ids ascend for each pair of sender incarnation and receiving host.
    std::uint64_t requestId = 0;
    /// In a request: the sender no longer waits for answers to requests with smaller ids.
    std::uint64_t acknowledgedBelow = 0;
    /// In a challenge or proof.
    std::string nonce;
    /// In a proof or welcome.
    std::string proof;
    /// In a request.
    PeerRequest request;
    /// In an answer.
    PeerAnswer answer;
};

std::vector<std::uint8_t> encode(const PeerMessage&);

/// @return std::nullopt if the bytes are not a message
std::optional<PeerMessage> decode(const std::string& bytes);

} // namespace cicadalb::detail
