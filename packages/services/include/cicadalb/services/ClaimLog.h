#pragma once

#include "cicadalb/services/ClaimBatcher.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

/// @file
/// Claims of callers' idempotency keys, for requests that may run at most once.

namespace cicadalb {

struct ClaimLogSettings {
    std::string keyPrefix = "cicadalb/claims/";
    /// Must be the same on all hosts. With fewer buckets, more claims share one write.
    std::size_t buckets = 64;
    /// Identifies this run of this host; unique among all runs of all hosts, such as host id and incarnation.
    std::string writerId;
    /// Minimum time between two writes of one bucket; claims that arrive in between share the next write. The number of buckets divided by this
    /// time bounds the write rate of all hosts together, if each bucket is assigned to one host.
    std::chrono::milliseconds minimumWriteInterval { 200 };
    ClaimSettings claims;
};

struct ClaimLogCounters {
    std::uint64_t claims = 0;
    std::uint64_t fresh = 0;
    std::uint64_t refused = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

/// @brief Returns the current time in seconds since the Unix epoch.
using UnixClock = std::function<std::int64_t()>;

/// @brief Records claims in the key-value service before their requests are dispatched. Thread-safe; runs on its own strand.
/// Any host may claim any key. Sending all keys of one bucket to one host avoids conflicts and saves writes.
class ClaimLog {
public:
    /// @param service must outlive this object and its pending calls
    ClaimLog(boost::asio::any_io_executor, KeyValueService& service, const Clock&, UnixClock, ClaimLogSettings);

    /// @brief Claims @p key for a request whose body has @p fingerprint. An error means that the request has not run: nothing was or will
    /// be dispatched under this claim. retryAfter() gives the delay before the next try.
    Task<Result<ClaimDecision>> claim(std::string key, std::string fingerprint);
    /// @brief Records the status of the answer to a request that ran under a fresh claim. The status is stored with the next write of the bucket.
    void recordStatus(const std::string& key, unsigned status);

    /// @brief Releases a fresh claim whose request is known not to have run. @p claimId is the one in the claim's ClaimDecision.
    void release(const std::string& key, const std::string& claimId);

    /// @brief Key in the key-value service of the bucket that holds @p key. Assigning this key to a host sends all claims of the bucket there.
    std::string bucketKeyOf(const std::string& key) const;
    /// @brief Delay after which a refused caller should try again; random, so that callers do not retry at the same time.
    std::chrono::milliseconds retryAfter() const;
    ClaimLogCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cicadalb
