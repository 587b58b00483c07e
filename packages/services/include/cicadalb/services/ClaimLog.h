#pragma once

#include "cicadalb/services/ClaimBatcher.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

/// @file
/// Claims of callers' keys, for requests that may run at most once.

namespace cicadalb {

struct ClaimLogSettings {
    std::string keyPrefix = "cicadalb/claims/";
    /// The same on all hosts. Fewer buckets put more claims into one write.
    std::size_t buckets = 64;
    /// Text that no other life of any host uses, such as host id and incarnation.
    std::string writer;
    /// Smallest time between two writes of one bucket, in which claims gather. Buckets divided by it bound the writes of the fleet.
    std::chrono::milliseconds groupInterval { 200 };
    ClaimSettings claims;
};

struct ClaimLogCounters {
    std::uint64_t claims = 0;
    std::uint64_t fresh = 0;
    std::uint64_t refused = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

/// @brief Seconds since the epoch.
using UnixClock = std::function<std::int64_t()>;

/// @brief Records claims in the key-value service before their requests are dispatched. Thread-safe; works on its own strand.
/// Any host may claim any key. Sending all keys of one bucket to one host saves conflicts and writes.
class ClaimLog {
public:
    /// @param service must outlive this object and its open calls
    ClaimLog(boost::asio::any_io_executor, KeyValueService& service, const Clock&, UnixClock, ClaimLogSettings);

    /// @brief Claims @p key for a request whose body has @p fingerprint. An error means "not run": nothing was or will be dispatched
    /// under this call; retryAfter() tells when to come back.
    Task<Result<ClaimDecision>> claim(std::string key, std::string fingerprint);
    /// @brief Notes the status of the answer to a fresh claim; recorded with the next write of the bucket.
    void finish(const std::string& key, unsigned status);

    /// @brief Gives back a fresh claim whose request is known not to have run. @p mark is the decision's.
    void release(const std::string& key, const std::string& mark);

    /// @brief Key in the service of the bucket of @p key; assign it to a host to gather the claims of a bucket there.
    std::string bucketKeyOf(const std::string& key) const;
    /// @brief Time to come back after a refusal, different for each call.
    std::chrono::milliseconds retryAfter() const;
    ClaimLogCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cicadalb
