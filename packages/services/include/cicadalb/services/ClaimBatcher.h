#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/services/ClaimBucket.h"
#include "cicadalb/services/KeyValueService.h"

#include <deque>
#include <set>
#include <vector>

/// @file
/// Group commit of claims into one bucket. Decides what to read and write; the compare-and-swap of the service decides between hosts.

namespace cicadalb {

struct ClaimSettings {
    /// Time for which a key stays claimed.
    std::chrono::seconds retention { std::chrono::hours(24) };
    /// Largest value written, in bytes.
    std::size_t maximumBucketBytes = 900000;
    /// Claims that may wait in one bucket.
    std::size_t maximumWaiting = 2000;
    /// Time after which a known status is written even if no claim needs a write.
    std::chrono::milliseconds finishDelay { 2000 };
};

enum class ClaimKind : std::uint8_t {
    /// This caller of claim(), and no other ever, may dispatch.
    Fresh,
    /// Claimed before with the same body.
    Known,
    /// Claimed before with another body.
    BodyDiffers,
};

struct ClaimDecision {
    ClaimKind kind = ClaimKind::Known;
    /// Known: status of the answer; empty if it may or may not have run.
    std::optional<unsigned> status;
    /// Fresh: the claim's mark, to release it.
    std::string mark;
};

using ClaimTicket = std::uint64_t;

struct ClaimResolution {
    ClaimTicket ticket = 0;
    Result<ClaimDecision> result;
};

/// @brief A call to make for a bucket.
struct ClaimAction {
    /// Empty: read the bucket.
    std::optional<CompareAndSwap> write;
};

/// @brief Claims of one bucket on one host. One call at a time is open. Not thread-safe.
class ClaimBatcher {
public:
    /// @param bucketKey key of the bucket in the service
    /// @param writer text that no other life of any host uses
    ClaimBatcher(std::string bucketKey, std::string writer, ClaimSettings);

    /// @brief Queues a claim. Fails with Overloaded if too many wait.
    Result<ClaimTicket> claim(std::string keyHash, std::string fingerprint, TimePoint now);
    /// @brief Notes the status of an answer; it goes out with the next write.
    void finish(std::string keyHash, unsigned status, TimePoint now);

    /// @brief Gives back a fresh claim whose request is known not to have run; the key may be claimed again.
    void release(std::string keyHash, std::string mark, TimePoint now);

    /// @brief The next call to make, if one is due and none is open.
    std::optional<ClaimAction> next(TimePoint now, std::int64_t unixSeconds);
    /// @brief Takes in the answer of the open read.
    void onRead(const Result<std::optional<KeyValueEntry>>&, TimePoint now);
    /// @brief Takes in the answer of the open write.
    void onWrite(const Result<Revision>&, TimePoint now);

    /// @brief Claims decided since the last call. An error means that nothing was or will be dispatched under the claim.
    std::vector<ClaimResolution> takeResolutions();
    bool isCallOpen() const noexcept { return m_isCallOpen; }
    std::size_t waiting() const noexcept { return m_waiting.size(); }
    /// @brief Time of the oldest status not yet written, if any.
    std::optional<TimePoint> oldestFinish() const;
    const std::string& bucketKey() const noexcept { return m_bucketKey; }

private:
    struct Waiting {
        ClaimTicket ticket = 0;
        std::string keyHash;
        std::string fingerprint;
        std::string mark;
        TimePoint since;
        /// A write with this claim was sent and its fate is not known.
        bool isMaybeWritten = false;
    };

    struct Finish {
        std::string keyHash;
        unsigned status = 0;
        TimePoint since;
        /// Set if the claim with this mark is given back.
        std::string releasedMark;
    };

    std::optional<ClaimAction> writeAction(std::int64_t unixSeconds);
    void decideKnown(TimePoint now);
    std::optional<ClaimDecision> decisionFor(const Waiting&, TimePoint now) const;
    void failAll(const Error&);
    void resolve(const Waiting&, Result<ClaimDecision>);
    bool isFinishDue(TimePoint now) const;

    std::string m_bucketKey;
    std::string m_writer;
    ClaimSettings m_settings;
    std::deque<Waiting> m_waiting;
    std::deque<Finish> m_finishes;
    std::vector<ClaimResolution> m_resolutions;
    /// Bucket as of m_revision; empty if it has to be read.
    std::optional<ClaimBucket> m_bucket;
    Revision m_revision = 0;
    ClaimBucket m_written;
    std::size_t m_finishesWritten = 0;
    /// Marks of claims that were given up or released and may still appear in the service: nothing ran under them.
    std::set<std::string> m_abandoned;
    bool m_isCallOpen = false;
    ClaimTicket m_lastTicket = 0;
};

} // namespace cicadalb
