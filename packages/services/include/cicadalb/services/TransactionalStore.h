#pragma once

#include "cicadalb/services/KeyValueService.h"

#include <string>
#include <vector>

/// @file
/// A key-value service with transactions over several keys.

namespace cicadalb {

/// @brief The revision that a key must have for a transaction to be made; 0: the key must not exist.
struct RevisionCondition {
    std::string key;
    Revision revision = 0;
};

struct StoreWrite {
    std::string key;
    std::string value;
    /// The key is removed when this lease expires; 0: the key does not expire.
    LeaseId lease = 0;
};

/// @brief Changes that are made atomically: all of them, or none if a condition fails.
struct Transaction {
    std::vector<RevisionCondition> conditions;
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;
    /// Whether the changes do no harm if they are made twice, now or later. If no answer arrives, the client then sends them again.
    bool mayRepeat = false;
};

/// @brief Adds transactions and snapshots to KeyValueService. watch() also reports removals, and fails with HistoryLost if the service no
/// longer has the changes since the given revision: the client then has to take a snapshot.
class TransactionalStore : public KeyValueService {
public:
    /// Time allowed for the answer to a watch beyond the time that the watch may wait. The store normally answers within a few milliseconds, but can take
    /// up to 100 times as long; a call that is not answered has to be noticed while there is time to use another one.
    static constexpr std::chrono::milliseconds watchAnswerTimeout { 450 };

    /// @brief Makes the changes of a transaction.
    /// @return the revision of the change. Errors: Conflict (a condition failed), LeaseLost, Unavailable and NotSent (nothing happened),
    /// OutcomeUnknown (the transaction may have been made, or may still be made later if its conditions hold then).
    virtual Task<Result<Revision>> commit(Transaction) = 0;
    /// @brief All entries under @p prefix whose key sorts after @p after, and a revision from which a watch misses no change.
    virtual Task<Result<WatchResult>> snapshot(std::string prefix, std::string after) = 0;
    /// @brief Like snapshot(), but the result may be some seconds out of date. Cheaper, and sufficient for records that never change once they
    /// exist. The revision is that of the newest record found.
    virtual Task<Result<WatchResult>> staleSnapshot(std::string prefix, std::string after) = 0;
    /// @brief Like read(), but the result may be some seconds out of date.
    virtual Task<Result<std::optional<KeyValueEntry>>> staleRead(std::string key) = 0;
};

} // namespace cicadalb
