#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/services/ClaimBucket.h"
#include "cicadalb/services/KeyValueService.h"

#include <deque>
#include <set>
#include <vector>

/// @file
/// Group commit of claims into one bucket. Decides what to read and write; the compare-and-swap of the key-value service decides which of
/// several hosts gets a key.

namespace cicadalb {

struct ClaimSettings {
    /// Time for which a key stays claimed.
    std::chrono::seconds retention { std::chrono::hours(24) };
    /// Maximum size of the stored value, in bytes.
    std::size_t maximumBucketBytes = 900000;
    /// Maximum number of claims that wait for a decision in one bucket.
    std::size_t maximumPendingClaims = 2000;
    /// Time after which a recorded status is written even if no claim needs a write.
    std::chrono::milliseconds statusWriteDelay { 2000 };
};

/// @brief Result of claiming a key.
enum class ClaimKind : std::uint8_t {
    /// The key was unclaimed: only the caller that received this decision may dispatch the request.
    Fresh,
    /// The key was claimed before with the same body.
    Known,
    /// The key was claimed before with another body.
    BodyDiffers,
};

struct ClaimDecision {
    ClaimKind kind = ClaimKind::Known;
    /// Known: status of the answer; empty if the request may or may not have run.
    std::optional<unsigned> status;
    /// Fresh: ID of the claim, needed to release it.
    std::string claimId;
};

/// @brief Identifies a queued claim.
using ClaimTicket = std::uint64_t;

/// @brief Decision or error of a queued claim.
struct ClaimResolution {
    ClaimTicket ticket = 0;
    Result<ClaimDecision> result;
};

/// @brief A call to make for a bucket.
struct ClaimAction {
    /// The write to make; empty if the bucket has to be read.
    std::optional<CompareAndSwap> write;
};

/// @brief Claims of one bucket on one host. At most one call to the key-value service is open at a time. Not thread-safe.
class ClaimBatcher {
public:
    /// @param bucketKey key of the bucket in the key-value service
    /// @param writerId unique among all runs of all hosts
    ClaimBatcher(std::string bucketKey, std::string writerId, ClaimSettings);

    /// @brief Queues a claim. Fails with Overloaded if ClaimSettings::maximumPendingClaims are queued already.
    Result<ClaimTicket> claim(std::string keyHash, std::string fingerprint, TimePoint now);
    /// @brief Records the status of an answer, which is stored with the next write.
    void recordStatus(std::string keyHash, unsigned status, TimePoint now);

    /// @brief Releases a fresh claim whose request is known not to have run; the key may be claimed again.
    void release(std::string keyHash, std::string claimId, TimePoint now);

    /// @brief The next call to make, if one is due and none is open.
    std::optional<ClaimAction> next(TimePoint now, std::int64_t unixSeconds);
    /// @brief Handles the result of the open read.
    void onRead(const Result<std::optional<KeyValueEntry>>&, TimePoint now);
    /// @brief Handles the result of the open write.
    void onWrite(const Result<Revision>&, TimePoint now);

    /// @brief Claims that were decided or failed since the last call of this function. An error means that no request was or will be dispatched
    /// under the claim.
    std::vector<ClaimResolution> takeResolutions();
    bool isCallOpen() const noexcept { return m_isCallOpen; }
    std::size_t pendingCount() const noexcept { return m_pendingClaims.size(); }
    /// @brief Time at which the oldest status or release that is not yet written was recorded, if any.
    std::optional<TimePoint> oldestUpdateTime() const;
    const std::string& bucketKey() const noexcept { return m_bucketKey; }

private:
    struct PendingClaim {
        ClaimTicket ticket = 0;
        std::string keyHash;
        std::string fingerprint;
        std::string claimId;
        TimePoint queuedAt;
        /// A write with this claim was issued, and its outcome is not known.
        bool isPossiblyWritten = false;
    };

    struct BucketUpdate {
        std::string keyHash;
        unsigned status = 0;
        TimePoint recordedAt;
        /// ID of the claim to release; empty if the update sets a status.
        std::string releasedClaimId;
    };

    std::optional<ClaimAction> writeAction(std::int64_t unixSeconds);
    void resolveFromBucket(TimePoint now);
    std::optional<ClaimDecision> decisionFor(const PendingClaim&, TimePoint now) const;
    void failPendingClaims(const Error&);
    void resolve(const PendingClaim&, Result<ClaimDecision>);
    bool isUpdateDue(TimePoint now) const;

    std::string m_bucketKey;
    std::string m_writerId;
    ClaimSettings m_settings;
    std::deque<PendingClaim> m_pendingClaims;
    std::deque<BucketUpdate> m_updates;
    std::vector<ClaimResolution> m_resolutions;
    /// Content of the bucket at m_revision; empty if the bucket has to be read.
    std::optional<ClaimBucket> m_bucket;
    Revision m_revision = 0;
    ClaimBucket m_bucketInWrite;
    std::size_t m_updatesInWrite = 0;
    /// IDs of claims that failed or were released and may still be stored in the key-value service: no request ran under them.
    std::set<std::string> m_unusedClaimIds;
    bool m_isCallOpen = false;
    ClaimTicket m_lastTicket = 0;
};

} // namespace cicadalb
