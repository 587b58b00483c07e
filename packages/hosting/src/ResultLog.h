#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/services/TransactionalStore.h"
#include "cicadalb/submissions/Submission.h"

#include <deque>
#include <set>

/// @file
/// The stored results of one submission, as its coordinator writes them.

namespace cicadalb {

/// @brief Appends results in segments. A segment's key must be free when it is written, and a segment is written only when the one before is
/// known, so that of two coordinators at once each sees the other's segments before its own, and no item stands twice.
/// Bound to one event loop; one append at a time.
class ResultLog {
public:
    /// Most bytes of results in one segment; the store's values hold a megabyte.
    static constexpr std::size_t segmentBytes = std::size_t { 400 } << 10U;

    ResultLog(TransactionalStore&, SubmissionId);

    /// @brief Reads what is stored. Errors: those of the store.
    Task<Result<void>> load();
    /// @brief Queues a result, unless its item has one.
    void add(SampleResult);
    bool hasPending() const noexcept { return !m_pending.empty(); }
    /// @brief Writes pending results. @return how many results the store acknowledged; errors: those of the store, after which a
    /// further call goes on safely
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
