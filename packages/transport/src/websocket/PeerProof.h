#pragma once

#include "PeerMessage.h"

#include <string>

/// @file
/// Mutual authentication of both ends of a new link by the shared secret. C++17.

namespace cicadalb::detail {

/// @brief Identity that one end of a link claims.
struct PeerIdentity {
    std::string host;
    std::uint64_t incarnation = 0;
};

/// @brief The identities and nonces of both ends, which the proofs cover.
struct PeerHandshake {
    PeerIdentity listener;
    PeerIdentity connector;
    std::string listenerNonce;
    std::string connectorNonce;
};

/// @brief 256 random bits as hexadecimal text.
std::string randomNonce();

/// @brief HMAC-SHA-256 over the handshake and the role "connector".
std::string connectorProof(const std::string& secret, const PeerHandshake&);
/// @brief HMAC-SHA-256 over the handshake and the role "listener".
std::string listenerProof(const std::string& secret, const PeerHandshake&);

} // namespace cicadalb::detail
