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

/// @brief What this host knows of a submission. Results never change their position, so that they are kept and only the end is read anew.
struct KnownSubmission {
    /// Number of its items; not known before the first read.
    std::optional<std::size_t> total;
    /// Read when an item's body is asked for.
    std::shared_ptr<const Submission> submission;
    std::vector<SampleResult> results;
    std::size_t segments = 0;
    /// From which a watch sees the next segment.
    Revision revision = 0;
    TimePoint lastUsed;
    /// One read of the store at a time serves all callers that wait.
    bool isReading = false;
    /// Reads that showed all that was stored when they began.
    std::size_t currentReads = 0;
    std::shared_ptr<boost::asio::steady_timer> changed;
};

/// @brief Bound to one event loop.
class ResultReader {
public:
    ResultReader(boost::asio::any_io_executor, TransactionalStore&, const Clock&);

    /// @brief The submission, with at least one result from @p position on if one exists or comes within @p patience.
    /// Errors: StepUnknown (no such submission), Unavailable (the store cannot say now).
    Task<Result<std::shared_ptr<const KnownSubmission>>> results(const SubmissionId&, std::size_t position, std::chrono::milliseconds patience);
    /// @brief The submission's text. Errors as above.
    Task<Result<std::shared_ptr<const Submission>>> submission(const SubmissionId&);
    /// @brief Forgets what was not asked for lately.
    void trim();

private:
    std::shared_ptr<KnownSubmission> known(const SubmissionId&);
    /// Reads what came after the known results. @param mayBeStale whether results of some seconds ago may be enough
    Task<Result<void>> readMore(const SubmissionId&, KnownSubmission&, std::chrono::milliseconds patience, bool mayBeStale);
    Task<Result<WatchResult>> readRecords(const SubmissionId&, const KnownSubmission&, std::chrono::milliseconds patience, bool mayBeStale);
    void append(const SubmissionId&, KnownSubmission&, const std::vector<KeyValueEntry>&);

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const Clock& m_clock;
    std::map<SubmissionId, std::shared_ptr<KnownSubmission>> m_known;
};

} // namespace cicadalb
