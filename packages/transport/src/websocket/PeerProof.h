#pragma once

#include "PeerMessage.h"

#include <string>

/// @file
/// The mutual proof of the shared secret at the opening of a link. C++17.

namespace cicadalb::detail {

/// @brief One end of a link as it names itself.
struct PeerIdentity {
    std::string host;
    std::uint64_t incarnation = 0;
};

/// @brief What both ends know once the nonces are exchanged.
struct PeerOpening {
    PeerIdentity listener;
    PeerIdentity connector;
    std::string listenerNonce;
    std::string connectorNonce;
};

/// @brief 256 random bits in hex.
std::string randomNonce();

/// @brief HMAC-SHA-256 over the whole opening and the role of the end that proves itself.
std::string connectorProof(const std::string& secret, const PeerOpening&);
std::string listenerProof(const std::string& secret, const PeerOpening&);

} // namespace cicadalb::detail
