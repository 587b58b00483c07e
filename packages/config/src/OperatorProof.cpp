#include "cicadalb/config/OperatorProof.h"

#include "cicadalb/base/Hash.h"

#include <charconv>
#include <optional>

namespace cicadalb {

namespace {

    constexpr std::size_t maximumNonceLength = 64;
    /// Largest number of remembered nonces; further calls within the window are refused.
    constexpr std::size_t maximumNonces = 4096;

    struct Proof {
        std::int64_t unixSeconds = 0;
        std::string nonce;
        std::string_view digest;
    };

    std::string proofDigest(const Secret& secret, const OperatorCall& call, std::int64_t unixSeconds, const std::string& nonce)
    {
        auto text = std::string(call.method) + " ";
        text += call.path;
        text += " " + std::to_string(unixSeconds) + " " + nonce;
        return hmacHex(secret.reveal(), text);
    }

    std::optional<Proof> parse(std::string_view header)
    {
        const auto first = header.find(':');
        const auto second = first == std::string_view::npos ? first : header.find(':', first + 1);
        if (second == std::string_view::npos)
            return std::nullopt;
        Proof proof;
        const auto* end = header.data() + first;
        const auto parsed = std::from_chars(header.data(), end, proof.unixSeconds);
        proof.nonce = std::string(header.substr(first + 1, second - first - 1));
        proof.digest = header.substr(second + 1);
        const bool isWellFormed = parsed.ec == std::errc() && parsed.ptr == end && !proof.nonce.empty() && proof.nonce.size() <= maximumNonceLength;
        return isWellFormed ? std::optional(proof) : std::nullopt;
    }

    /// True if the times differ by at most operatorProofWindowSeconds. @p unixSeconds comes from the request and may
    /// be any number, so it is only compared: computing a difference could overflow.
    bool isWithinWindow(std::int64_t unixSeconds, std::int64_t nowSeconds)
    {
        return unixSeconds >= nowSeconds - operatorProofWindowSeconds && unixSeconds <= nowSeconds + operatorProofWindowSeconds;
    }

} // namespace

std::string makeOperatorProof(const Secret& secret, const OperatorCall& call, std::int64_t unixSeconds, const std::string& nonce)
{
    return std::to_string(unixSeconds) + ":" + nonce + ":" + proofDigest(secret, call, unixSeconds, nonce);
}

OperatorProofChecker::OperatorProofChecker(Secret secret)
    : m_secret(std::move(secret))
{
}

Result<void> OperatorProofChecker::check(const OperatorCall& call, std::string_view header, std::int64_t nowSeconds)
{
    const auto proof = parse(header);
    if (!proof)
        return failure(ErrorCode::ProofInvalid, "the operator's proof is missing or malformed");
    if (m_secret.isEmpty() || !equalConstantTime(proof->digest, proofDigest(m_secret, call, proof->unixSeconds, proof->nonce)))
        return failure(ErrorCode::ProofInvalid, "the operator's proof does not match the call and the secret");
    if (!isWithinWindow(proof->unixSeconds, nowSeconds))
        return failure(ErrorCode::ProofInvalid, "the clocks of operator and host differ by more than " + std::to_string(operatorProofWindowSeconds) + " s");
    return rememberNonce(proof->nonce, proof->unixSeconds, nowSeconds);
}

Result<void> OperatorProofChecker::rememberNonce(std::string nonce, std::int64_t unixSeconds, std::int64_t nowSeconds)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_nonces, [nowSeconds](const auto& entry) { return !isWithinWindow(entry.second, nowSeconds); });
    if (m_nonces.contains(nonce))
        return failure(ErrorCode::ProofInvalid, "the operator's proof was used before");
    if (m_nonces.size() >= maximumNonces)
        return failure(ErrorCode::ProofInvalid, "too many operator calls at a time");
    m_nonces.emplace(std::move(nonce), unixSeconds);
    return success();
}

} // namespace cicadalb
