#pragma once

#include "cicadalb/services/KeyValueService.h"

#include <string>
#include <vector>

/// @file
/// A key-value service that changes several keys at once.

namespace cicadalb {

/// @brief The revision that a key must have; 0: the key must not exist.
struct RevisionCondition {
    std::string key;
    Revision revision = 0;
};

struct StoreWrite {
    std::string key;
    std::string value;
    /// The key goes when this lease lapses; 0: it stays.
    LeaseId lease = 0;
};

/// @brief All of its changes are made, or none if a condition fails.
struct Transaction {
    std::vector<RevisionCondition> conditions;
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;
};

/// @brief Adds to KeyValueService what durable records need. watch() reports removals and fails with HistoryLost when the changes
/// after a revision are no longer known: take a snapshot then.
class TransactionalStore : public KeyValueService {
public:
    /// @return the revision of the change. Errors: Conflict (a condition failed), LeaseLost, Unavailable and NotSent (nothing happened),
    /// OutcomeUnknown (it may have been made, or be made later while its conditions hold).
    virtual Task<Result<Revision>> commit(Transaction) = 0;
    /// @brief All entries under @p prefix whose key is above @p after, and a revision from which a watch misses nothing.
    virtual Task<Result<WatchResult>> snapshot(std::string prefix, std::string after) = 0;
    /// @brief As snapshot(), as of some moment of the last seconds: cheaper, and enough for records that never change once they exist. The
    /// revision is that of the newest record found.
    virtual Task<Result<WatchResult>> staleSnapshot(std::string prefix, std::string after) = 0;
    /// @brief As read(), as of some moment of the last seconds.
    virtual Task<Result<std::optional<KeyValueEntry>>> staleRead(std::string key) = 0;
};

} // namespace cicadalb
