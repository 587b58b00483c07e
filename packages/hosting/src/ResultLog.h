#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/services/TransactionalStore.h"
#include "cicadalb/submissions/Submission.h"

#include <deque>
#include <set>

/// @file
/// Stores the results of one submission; used by the coordinator.

namespace cicadalb {

/// @brief Appends results in numbered segments. A segment is written only if its key is free and the segment before it is known. Two concurrent
/// coordinators therefore each read the other's segments before writing their own, and no item is stored twice.
/// Bound to one event loop; one append at a time.
class ResultLog {
public:
    /// Limit on the results' text in one segment; a value of the store holds at most 1 MB.
    static constexpr std::size_t maximumSegmentBytes = std::size_t { 400 } << 10U;

    ResultLog(TransactionalStore&, SubmissionId);

    /// @brief Reads the stored segments. Errors: those of the store.
    Task<Result<void>> load();
    /// @brief Queues a result, unless its item already has one.
    void add(SampleResult);
    bool hasPending() const noexcept { return !m_pending.empty(); }
    /// @brief Writes pending results. @return the number of results that have become known as stored. Errors: those of the store; the call may
    /// then be repeated safely
    Task<Result<std::size_t>> append();

    /// @brief Items whose results are stored.
    const std::set<ItemId>& stored() const noexcept { return m_stored; }
    std::size_t segments() const noexcept { return m_segments; }

private:
    std::vector<SampleResult> nextSegment() const;
    void recordStored(const std::vector<SampleResult>&);

    TransactionalStore& m_store;
    SubmissionId m_id;
    std::size_t m_segments = 0;
    std::set<ItemId> m_stored;
    std::deque<SampleResult> m_pending;
};

} // namespace cicadalb
