#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/config/Secret.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

/// @file
/// Proof that an operator's call knows the shared secret, without sending it.

namespace cicadalb {

/// Header that carries the proof: "SECONDS:NONCE:HMAC".
inline constexpr std::string_view operatorProofHeader = "X-Cicadalb-Proof";
/// How far the clocks of operator and host may be apart, in seconds.
inline constexpr std::int64_t operatorProofWindowSeconds = 60;

/// @brief What an operator asks for.
struct OperatorCall {
    std::string_view method;
    /// Path with its query.
    std::string_view path;
};

/// @brief Header value for @p call. @param unixSeconds wall-clock time @param nonce unique to the call, without ':'
std::string makeOperatorProof(const Secret&, const OperatorCall& call, std::int64_t unixSeconds, const std::string& nonce);

/// @brief Checks proofs and refuses one that was seen before. Thread-safe.
class OperatorProofChecker {
public:
    explicit OperatorProofChecker(Secret secret);

    /// @brief Errors: ProofInvalid, with a message that tells no part of the secret or the proof.
    Result<void> check(const OperatorCall&, std::string_view header, std::int64_t nowSeconds);

private:
    Result<void> rememberNonce(std::string nonce, std::int64_t unixSeconds, std::int64_t nowSeconds);

    Secret m_secret;
    std::mutex m_mutex;
    /// Nonces of accepted proofs with their time.
    std::map<std::string, std::int64_t, std::less<>> m_nonces;
};

} // namespace cicadalb
