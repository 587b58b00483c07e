#pragma once

#include "cicadalb/base/Error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Claims of callers' idempotency keys that are stored in one value of the key-value service.

namespace cicadalb {

/// @brief One claimed key.
struct ClaimEntry {
    /// Hash of the request's body.
    std::string fingerprint;
    /// Unique ID of the claim under which the request may be dispatched.
    std::string claimId;
    /// Seconds since the Unix epoch.
    std::int64_t claimedAt = 0;
    /// HTTP status of the answer, once known.
    std::optional<unsigned> status;
    bool operator==(const ClaimEntry&) const = default;
};

/// @brief The claims of one bucket, indexed by the hash of the caller's key.
class ClaimBucket {
public:
    /// @brief Parses the output of toJson(); an empty text is an empty bucket. Fails with AnswerInvalid.
    static Result<ClaimBucket> fromJson(std::string_view text);
    std::string toJson() const;

    const ClaimEntry* find(const std::string& keyHash) const;
    void insert(std::string keyHash, ClaimEntry);
    /// @brief Sets the status of the answer to a claimed request. @return whether the bucket changed
    bool setStatus(const std::string& keyHash, unsigned status);
    /// @brief Removes the claim of a key if its ID is @p claimId.
    void release(const std::string& keyHash, const std::string& claimId);
    /// @brief Removes claims made before @p oldest (seconds since the Unix epoch). Complexity: linear.
    void removeClaimedBefore(std::int64_t oldest);
    std::size_t size() const noexcept { return m_entries.size(); }

private:
    std::map<std::string, ClaimEntry> m_entries;
};

} // namespace cicadalb
