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

/// @brief Rises with every write of the service; 0 stands for an absent key.
using Revision = std::uint64_t;
using LeaseId = std::uint64_t;

struct KeyValueEntry {
    std::string key;
    std::string value;
    Revision revision = 0;
    /// True in a watch if the key went; it has no value then.
    bool isDeleted = false;
};

/// @brief Writes @p value if the key still has @p expected.
struct CompareAndSwap {
    std::string key;
    std::string value;
    /// 0: only if the key is absent.
    Revision expected = 0;
    /// The key goes when this lease lapses; 0: it stays.
    LeaseId lease = 0;
};

/// @brief Entries changed since a revision, and the revision to go on from.
struct WatchResult {
    std::vector<KeyValueEntry> entries;
    Revision revision = 0;
};

/// @brief Client side of the service. Failures: NotSent and Unavailable (nothing happened), OutcomeUnknown (a write may have
/// taken effect), Conflict (the revision differs), LeaseLost. Each call counts against the service's rate.
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
    /// @brief Waits until a key under @p prefix changes after @p after, or for @p patience (then no entries).
    virtual Task<Result<WatchResult>> watch(std::string prefix, Revision after, std::chrono::milliseconds patience) = 0;
};

} // namespace cicadalb
