#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/config/Secret.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

/// @file
/// HMAC proof that the sender of an operator's call knows the shared secret; the secret itself is not sent.

namespace cicadalb {

/// Header that carries the proof: "SECONDS:NONCE:HMAC".
inline constexpr std::string_view operatorProofHeader = "X-Cicadalb-Proof";
/// Largest accepted difference between the clocks of operator and host, in seconds.
inline constexpr std::int64_t operatorProofWindowSeconds = 60;

/// @brief The parts of an operator's HTTP request that a proof covers.
struct OperatorCall {
    std::string_view method;
    /// Path with its query.
    std::string_view path;
};

/// @brief Header value for @p call. @param unixSeconds wall-clock time @param nonce unique to the call, without ':'
std::string makeOperatorProof(const Secret&, const OperatorCall& call, std::int64_t unixSeconds, const std::string& nonce);

/// @brief Checks proofs and refuses a proof that was accepted before. Thread-safe.
class OperatorProofChecker {
public:
    explicit OperatorProofChecker(Secret secret);

    /// @brief Errors: ProofInvalid, with a message that contains no part of the secret or the proof.
    Result<void> check(const OperatorCall&, std::string_view header, std::int64_t nowSeconds);

private:
    Result<void> rememberNonce(std::string nonce, std::int64_t unixSeconds, std::int64_t nowSeconds);

    Secret m_secret;
    std::mutex m_mutex;
    /// Nonces of accepted proofs, with the times of the proofs in Unix seconds.
    std::map<std::string, std::int64_t, std::less<>> m_nonces;
};

} // namespace cicadalb
