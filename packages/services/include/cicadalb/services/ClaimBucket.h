#pragma once

#include "cicadalb/base/Error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Claims of callers' keys that share one value of the key-value service.

namespace cicadalb {

/// @brief One claimed key.
struct ClaimEntry {
    /// Hash of the request's body.
    std::string fingerprint;
    /// Unique text of the one claim that may dispatch.
    std::string mark;
    /// Seconds since the epoch.
    std::int64_t claimedAt = 0;
    /// Status of the answer, once known.
    std::optional<unsigned> status;
    bool operator==(const ClaimEntry&) const = default;
};

/// @brief The claims of one bucket, by the hash of the caller's key.
class ClaimBucket {
public:
    /// @brief Reads the text of toJson(); an empty text is an empty bucket. Fails with AnswerInvalid.
    static Result<ClaimBucket> fromJson(std::string_view text);
    std::string toJson() const;

    const ClaimEntry* find(const std::string& keyHash) const;
    void insert(std::string keyHash, ClaimEntry);
    /// @brief Notes the status of an answer. @return whether that changed anything
    bool finish(const std::string& keyHash, unsigned status);
    /// @brief Removes the claim of a key if it carries @p mark.
    void release(const std::string& keyHash, const std::string& mark);
    /// @brief Drops claims from before @p oldest (seconds since the epoch). Complexity: linear.
    void dropBefore(std::int64_t oldest);
    std::size_t size() const noexcept { return m_entries.size(); }

private:
    std::map<std::string, ClaimEntry> m_entries;
};

} // namespace cicadalb
