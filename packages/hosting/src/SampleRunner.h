#pragma once

#include "PlacementGate.h"
#include "RequestForwarder.h"
#include "ResultLog.h"
#include "SiteDirectory.h"

#include "cicadalb/submissions/SampleScheduler.h"

#include <map>
#include <memory>

/// @file
/// Runs the samples of open submissions on engines and requests their rewards.

namespace cicadalb {

struct SampleRunnerSettings {
    /// Time from a submission for which its results are kept.
    std::chrono::milliseconds resultRetention { 120000 };
    /// Results that arrive within this time share a write.
    std::chrono::milliseconds appendInterval { 400 };
    /// Interval at which incomplete texts are stored, so that the next coordinator can continue them.
    std::chrono::milliseconds partialTextsInterval { 1000 };
    /// Longest time from the end of a submission to the last begin of one of its runs; 0: no limit. See PlacementGate.
    std::chrono::milliseconds endTime { 0 };
    /// Whether this host reaches the targets, or null. Must outlive the runner.
    TargetReachability* reachability = nullptr;
};

/// @brief Outcome of a run whose answer was received completely.
RunOutcome runOutcomeOf(AnswerKind, unsigned status) noexcept;

/// @brief The coordinator's work on submissions. Bound to one event loop; its coroutines share ownership of it.
class SampleRunner : public std::enable_shared_from_this<SampleRunner> {
public:
    SampleRunner(boost::asio::any_io_executor, TransactionalStore&, const SiteProtocol&, SiteDirectory&, TargetClients&, RequestPermits&, CrashGuard&, const Clock&, SampleRunnerSettings);

    /// @brief Loads the stored submissions and watches for changes.
    void start();
    /// @brief Cancels all runs, and stores the results and incomplete texts that have been received. Takes at most @p maximumWait.
    Task<void> finish(Duration maximumWait);
    /// @brief Cancels all runs at once and starts no further writes.
    void stop();
    /// @brief See RecordWatch::restart().
    void restartWatch() { m_watch->restart(); }

    /// @brief Schedules the placement of waiting items; to be called after any change.
    void schedulePlacement();
    /// @brief Gives up expired items, moves slow runs, stores incomplete texts and deletes old submissions. Called several times a second.
    void tick();
    /// @brief Applies the current configuration and registry.
    void updateEngines();

    SampleScheduler& scheduler() noexcept { return m_scheduler; }
    std::size_t openSubmissions() const noexcept { return m_openSubmissions.size(); }
    const PlacementGate& placementGate() const noexcept { return m_placementGate; }
    /// @brief Whether waiting items are not placed, since this process is behind.
    bool isPlacementPaused() const noexcept { return m_placementPausedSince.has_value(); }

private:
    struct OpenSubmission {
        Submission submission;
        SubmissionPolicy policy;
        std::shared_ptr<ResultLog> log;
        bool isAppending = false;
        /// Whether a call of ResultLog::append() is in progress.
        bool isWriting = false;
        bool isClosed = false;
        Revision revision = 0;
    };
    using OpenSubmissionPointer = std::shared_ptr<OpenSubmission>;

    struct Run {
        std::shared_ptr<HttpCancellation> cancellation = std::make_shared<HttpCancellation>();
    };

    /// What the log states about the time at which a request was sent.
    struct SendRecord {
        /// Time from the placement of the run, or the begin of the call, until its request was last permitted to be sent; empty if it was not.
        std::optional<Duration> delay;
        /// Time since the ends of open submissions were known, at that moment.
        std::optional<Duration> recordAge;
    };

    /// What the log states about a run, apart from its result.
    struct RunRecord {
        TargetId engine;
        SoftwareVersion softwareVersion;
        /// Events that the text had when the run began; 0: the run began the text.
        std::size_t eventsAtStart = 0;
        TimePoint placedAt {};
        SendRecord sent {};
        std::string cause {};
    };

    /// A submission to open.
    struct NewSubmission {
        Submission submission;
        Revision revision = 0;
        UnixTime dueAt { 0 };
    };

    struct StoredSubmission {
        UnixTime submittedAt { 0 };
        bool isEnded = false;
    };

    /// A value of the store holds at most 1 MB, a quarter of which is base64 overhead.
    static constexpr std::size_t maximumStoredTextBytes = std::size_t { 600 } << 10U;

    Task<void> wait(Duration) const;
    void placeItems(TimePoint requestedAt);
    /// Notes begin and end of a pause of placement. @return whether items may be placed now
    bool updatePlacementPause(TimePoint requestedAt);
    /// Time as of which all ends of open submissions are known, from the watch or from checkEnds().
    std::optional<TimePoint> endsKnownAsOf() const;
    std::optional<Duration> recordAge() const;
    bool shouldCheckEnds(TimePoint now) const;
    /// Reads the end records of all open submissions. Unlike a read of all submissions, after a watch that has missed changes, it does not take longer
    /// the more submissions the store holds.
    void checkEnds();
    struct EndCheck;
    Task<void> readEnd(SubmissionId, std::shared_ptr<EndCheck>);
    void applyEnd(const SubmissionId&, Revision);
    /// Whether a request may be sent for an item now, as far as the age of the records is concerned.
    PlacementPermission sendPermission() const;
    /// Returns a function for HttpRequest::mayBeSent, which refers to @p record.
    std::function<bool()> sendCondition(TimePoint begunAt, SendRecord& record) const;
    void applyRecords(const std::vector<KeyValueEntry>&);
    void applySubmissionRecord(const KeyValueEntry&, std::vector<NewSubmission>& added);
    UnixTime dueTime(const Submission&) const;
    bool hasConfigurationFor(const Submission&) const;
    std::optional<SubmissionTerms> termsOf(const Submission&) const;
    Task<void> open(Submission, Revision);
    /// @param revision of the record that ends the submission, or 0
    void close(const SubmissionId&, std::string_view reason, Revision revision = 0);
    Task<void> runItem(Placement);
    Task<RunOutcome> stream(const OpenSubmissionPointer&, ItemKey, const RegisteredTarget&, std::shared_ptr<HttpCancellation>, RunRecord&);
    RunOutcome processEvents(const ItemKey&, std::string_view bytes, EventStreamParser&, WeightVersion& version, WeightVersion oldest, std::size_t& eventCount);
    bool hasMemoryFor(const ItemKey&, const EventStreamParser&);
    Task<void> runRewardCall(OpenSubmissionPointer, ItemKey);
    void settle(const OpenSubmissionPointer&, const ItemKey&, ResultState, std::string rewardSignature, std::string_view reason);
    Task<void> append(OpenSubmissionPointer);
    Task<void> appendLast(OpenSubmissionPointer);
    Task<Result<std::size_t>> appendOnce(OpenSubmissionPointer);
    void cancelRuns();
    /// Stops the run or the reward call of an item.
    void stopRun(const ItemKey&);
    void stopRewardCalls(const SubmissionId&);
    /// Makes one reward call. It is not sent any more once it is cancelled, even if it waits for a target then.
    Task<ForwardOutcome> callReward(const RewardCall&, const SiteRoute&, std::shared_ptr<HttpCancellation>, SendRecord&);
    Task<void> deleteExpiredSubmissions();
    Task<void> takeOver();
    Task<void> storePartialTexts(std::vector<ItemText>);

    void restorePartialTexts(const KeyValueEntry&);
    static void logIgnoredRecord(const std::string& key, Revision, const Error&);
    void logSubmissionOpened(const OpenSubmission&, UnixTime age) const;
    void logSubmissionClosed(const SubmissionId&, std::string_view reason, std::size_t results, Revision) const;
    void logRunEnded(const OpenSubmission&, const ItemKey&, const RunRecord&, RunOutcome, std::size_t events, const std::string& versions) const;
    void logRewardCall(const RewardCall&, const SampleItem&, const ItemKey&, const ForwardOutcome&, const SendRecord&) const;
    void logAppend(const OpenSubmission&, std::size_t results, const std::string& failure) const;

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const SiteProtocol& m_protocol;
    SiteDirectory& m_directory;
    TargetClients& m_clients;
    RequestPermits& m_permits;
    const Clock& m_clock;
    SampleRunnerSettings m_settings;
    RequestForwarder m_forwarder;
    SampleScheduler m_scheduler;
    std::shared_ptr<RecordWatch> m_watch;
    std::map<SubmissionId, OpenSubmissionPointer> m_openSubmissions;
    std::map<SubmissionId, StoredSubmission> m_storedSubmissions;
    std::map<ItemKey, std::shared_ptr<Run>> m_runs;
    std::map<ItemKey, std::shared_ptr<HttpCancellation>> m_rewardCalls;
    /// Memory of the texts that runs have received.
    std::map<ItemKey, MessageMemory::Share> m_textMemory;
    TimePoint m_nextExpirySearchAt;
    TimePoint m_nextPartialTextsAt;
    bool m_isStoringPartialTexts = false;
    /// Time as of which checkEnds() has found the ends of all submissions that are open now.
    std::optional<TimePoint> m_endsCheckedAsOf;
    TimePoint m_nextEndCheckAt;
    bool m_isCheckingEnds = false;
    /// Number of submissions that were opened.
    std::uint64_t m_openings = 0;
    bool m_isFinishing = false;
    bool m_isStopped = false;
    bool m_isPlacementScheduled = false;
    PlacementGate m_placementGate;
    std::optional<TimePoint> m_placementPausedSince;
    bool m_isPlacementPauseLogged = false;
};

} // namespace cicadalb
