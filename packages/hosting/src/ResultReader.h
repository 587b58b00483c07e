#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/services/TransactionalStore.h"
#include "cicadalb/submissions/Submission.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

/// @file
/// Reads submissions and their results from the store for callers.

namespace cicadalb {

/// @brief Cached submission. Stored results never change their position, so that only results after the cached ones have to be read.
struct CachedSubmission {
    /// Number of items; empty before the first successful read.
    std::optional<std::size_t> total;
    /// Organisation that owns the submission, known with the number of items; empty if it has none.
    OrganisationName organisation;
    /// Read on the first request for an item's body.
    std::shared_ptr<const Submission> submission;
    /// Whether the submission's record is being read, and why the last read of it failed; one read serves all waiting callers.
    bool isReadingSubmission = false;
    std::optional<Error> submissionError;
    std::vector<SampleResult> results;
    std::size_t segments = 0;
    /// Revision from which a watch reports the next segment.
    Revision revision = 0;
    TimePoint lastUsedAt;
    /// Whether a read of the store is in progress; it serves all waiting callers.
    bool isReading = false;
    /// Number of reads that were not stale: each returned everything stored when it began.
    std::size_t consistentReads = 0;
    std::shared_ptr<boost::asio::steady_timer> changeSignal;
    std::shared_ptr<boost::asio::steady_timer> submissionSignal;
};

/// @brief Bound to one event loop.
class ResultReader {
public:
    ResultReader(boost::asio::any_io_executor, TransactionalStore&, const Clock&);

    /// @brief Returns the submission, with at least one result from @p position on if one exists or arrives within @p maximumWait.
    /// Errors: StepUnknown (no such submission), Unavailable (the store does not answer).
    Task<Result<std::shared_ptr<const CachedSubmission>>> readResults(const SubmissionId&, std::size_t position, std::chrono::milliseconds maximumWait);
    /// @brief Returns the submission as its trainer sent it. Errors: as for readResults().
    Task<Result<std::shared_ptr<const Submission>>> readSubmission(const SubmissionId&);
    /// @brief Returns the organisation that owns the submission; empty if it has none, or if there is no such submission. Errors: Unavailable.
    Task<Result<OrganisationName>> readOrganisation(const SubmissionId&);
    /// @brief Evicts submissions that have not been requested recently.
    void evictUnused();

private:
    std::shared_ptr<CachedSubmission> cacheEntry(const SubmissionId&);
    Task<Result<std::shared_ptr<const Submission>>> fetchSubmission(const SubmissionId&);
    /// Reads the results after the cached ones. @param mayBeStale whether the read may show the state of some seconds ago
    Task<Result<void>> readMore(const SubmissionId&, CachedSubmission&, std::chrono::milliseconds maximumWait, bool mayBeStale);
    Task<Result<WatchResult>> readRecords(const SubmissionId&, const CachedSubmission&, std::chrono::milliseconds maximumWait, bool mayBeStale);
    void appendResults(const SubmissionId&, CachedSubmission&, const std::vector<KeyValueEntry>&);

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const Clock& m_clock;
    std::map<SubmissionId, std::shared_ptr<CachedSubmission>> m_cache;
};

} // namespace cicadalb
