#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Task.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The platform's key-value service: compare-and-swap, leases and watches.

namespace cicadalb {

/// @brief Increases with every write to the service; 0 stands for an absent key.
using Revision = std::uint64_t;
using LeaseId = std::uint64_t;

struct KeyValueEntry {
    std::string key;
    std::string value;
    Revision revision = 0;
    /// Set in the result of a watch if the key was removed; the entry then has no value.
    bool isDeleted = false;
};

/// @brief Writes @p value if the key still has the revision @p expected.
struct CompareAndSwap {
    std::string key;
    std::string value;
    /// 0: only if the key is absent.
    Revision expected = 0;
    /// The key is removed when this lease expires; 0: the key does not expire.
    LeaseId lease = 0;
};

/// @brief Entries that changed after a revision, and the revision from which to continue watching.
struct WatchResult {
    std::vector<KeyValueEntry> entries;
    Revision revision = 0;
};

/// @brief Client of the service. Errors: NotSent and Unavailable (nothing happened), OutcomeUnknown (a write may have
/// taken effect), Conflict (the revision differs), LeaseLost. Each call counts towards the service's rate limit.
class KeyValueService {
public:
    virtual ~KeyValueService() = default;

    /// @brief The entry, or nothing if the key is absent.
    virtual Task<Result<std::optional<KeyValueEntry>>> read(std::string key) = 0;
    /// @brief All entries whose key starts with @p prefix.
    virtual Task<Result<std::vector<KeyValueEntry>>> list(std::string prefix) = 0;
    /// @return the new revision
    virtual Task<Result<Revision>> compareAndSwap(CompareAndSwap) = 0;
    virtual Task<Result<LeaseId>> grantLease(std::chrono::milliseconds timeToLive) = 0;
    virtual Task<Result<void>> renewLease(LeaseId) = 0;
    virtual Task<Result<void>> releaseLease(LeaseId) = 0;
    /// @brief Waits until a key under @p prefix changes after the revision @p after. Returns no entries if none changes within @p maximumWait.
    virtual Task<Result<WatchResult>> watch(std::string prefix, Revision after, std::chrono::milliseconds maximumWait) = 0;
};

} // namespace cicadalb
