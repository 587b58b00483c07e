#pragma once

#include "HolderTable.h"
#include "PlacementGate.h"
#include "ResultLog.h"
#include "RunHolder.h"
#include "SiteDirectory.h"

#include "cicadalb/base/ClockTimer.h"
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
    /// Identifies this runner as the owner of runs; 0: it runs all items itself.
    std::uint64_t ownerId = 0;
    /// Time from the start in which hosts present the runs that they hold for an earlier coordinator; no run starts in it.
    std::chrono::milliseconds presentationTime { 250 };
};

/// @brief The coordinator's work on submissions: decides which item runs where, and stores the results. Runs are held by hosts that offer it, and otherwise by this
/// process. Bound to one event loop; its coroutines share ownership of it.
class SampleRunner final : public std::enable_shared_from_this<SampleRunner>, private RunObserver {
public:
    SampleRunner(boost::asio::any_io_executor, TransactionalStore&, const SiteProtocol&, SiteDirectory&, TargetClients&, RequestPermits&, CrashGuard&, const Clock&, SampleRunnerSettings);

    ~SampleRunner() override;
    SampleRunner(const SampleRunner&) = delete;
    SampleRunner& operator=(const SampleRunner&) = delete;

    /// @brief Loads the stored submissions and watches for changes.
    void start();
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
    std::size_t holders() const noexcept { return m_holders.holderCount(); }
    std::size_t runsAtHolders() const noexcept { return m_holders.runCount(); }

    /// @brief Answers a call of a host that holds runs, once there is work for it or its wait is over.
    Task<RunReply> serveHolder(RunCall);

private:
    struct OpenSubmission {
        Submission submission;
        /// The submission without its items.
        Submission header;
        SubmissionPolicy policy;
        const SiteRoute* route = nullptr;
        std::shared_ptr<const SiteView> view;
        std::shared_ptr<ResultLog> log;
        bool isAppending = false;
        bool isClosed = false;
        /// Whether the scheduler has the submission.
        bool isScheduled = false;
        Revision revision = 0;
    };
    using OpenSubmissionPointer = std::shared_ptr<OpenSubmission>;

    /// A run that has not ended.
    struct Run {
        RunId id;
        /// Empty: this process holds the run.
        HostId holder;
        TargetId engine;
        SoftwareVersion softwareVersion;
        /// Events that the text had when the run began; 0: the run began the text.
        std::size_t eventsAtStart = 0;
        TimePoint startedAt;
    };

    struct StoredSubmission {
        UnixTime submittedAt { 0 };
        bool isEnded = false;
    };

    void placeItems(TimePoint requestedAt);
    /// Notes begin and end of a pause of placement. @return whether items may be placed now
    bool updatePlacementPause(TimePoint requestedAt);
    void applyRecords(const std::vector<KeyValueEntry>&, bool isSnapshot);
    void applySubmissionRecord(const KeyValueEntry&);
    bool hasConfigurationFor(const Submission&) const;
    Task<void> open(Submission, Revision);
    void close(const SubmissionId&, std::string_view reason);
    void startRun(const Placement&);
    /// What a holder has to know to start a run now.
    RunAssignment assignmentOf(const OpenSubmission&, const RunId&, const ItemKey&, const RegisteredTarget&) const;
    void finishRun(const OpenSubmissionPointer&, const ItemKey&, const RunEnd&);
    /// Has the item's current run ended, without further news of it.
    void moveRun(const ItemKey&);
    void requestReward(const OpenSubmissionPointer&, const ItemKey&);
    /// @return the submission if it is open and @p run is its item's current run
    OpenSubmissionPointer openSubmissionOf(const RunAssignment& run) const;
    OpenSubmissionPointer openSubmission(const SubmissionId&) const;

    // Holders
    void applyReport(const HostId&, RunReport);
    void applyEvents(HeldRun&, const RunReport&);
    void presentRun(const HostId&, RunReport&);
    void takeOverRuns(const SubmissionId&);
    bool takeOverRun(const RunId&);
    void loseRuns(const std::vector<HeldRun>&);
    RunReply replyTo(const RunCall&);
    void wakeHolder(const HostId&);
    void wakeHolders();

    // RunObserver
    void onRunAnswered(const RunAssignment&, const RateStatement&, bool isEngineLeaving) override;
    void onRunEvent(const RunAssignment&, const StreamEvent&, WeightVersion) override;
    void onRunEnded(const RunAssignment&, RunEnd) override;
    void onRewardEnded(const RunAssignment&, RewardOutcome) override;
    bool mayRequestReward(const RunAssignment&) const override;

    void settle(const OpenSubmissionPointer&, const ItemKey&, ResultState, std::string rewardSignature, std::string_view reason);
    Task<void> append(OpenSubmissionPointer);
    void stopRun(const ItemKey&);
    Task<void> deleteExpiredSubmissions();
    Task<void> takeOver();
    Task<void> storePartialTexts(std::vector<ItemText>);

    void restorePartialTexts(const KeyValueEntry&);
    static void logIgnoredRecord(const std::string& key, Revision, const Error&);
    void logSubmissionOpened(const OpenSubmission&, UnixTime age) const;
    void logSubmissionClosed(const SubmissionId&, std::string_view reason, std::size_t results) const;
    void logRunEnded(const OpenSubmission&, const ItemKey&, const Run&, RunOutcome, std::size_t events, const std::string& versions, const std::string& cause) const;
    void logAppend(const OpenSubmission&, std::size_t results, const std::string& failure) const;

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const SiteProtocol& m_protocol;
    SiteDirectory& m_directory;
    RequestPermits& m_permits;
    const Clock& m_clock;
    SampleRunnerSettings m_settings;
    SampleScheduler m_scheduler;
    std::shared_ptr<RecordWatch> m_watch;
    std::map<SubmissionId, OpenSubmissionPointer> m_openSubmissions;
    std::map<SubmissionId, StoredSubmission> m_storedSubmissions;
    /// Holds the runs of this process.
    std::shared_ptr<RunHolder> m_ownHolder;
    std::map<ItemKey, Run> m_runs;
    HolderTable m_holders;
    /// Calls of holders that wait for work.
    std::map<HostId, std::set<ClockTimer*>> m_waitingHolders;
    std::uint64_t m_lastRunNumber = 0;
    /// Whether the stored submissions have been read, so that a run of an unknown one is not wanted.
    bool m_hasSubmissions = false;
    TimePoint m_placesFrom;
    TimePoint m_nextExpirySearchAt;
    TimePoint m_nextPartialTextsAt;
    bool m_isStoringPartialTexts = false;
    bool m_isStopped = false;
    bool m_isPlacementScheduled = false;
    PlacementGate m_placementGate;
    std::optional<TimePoint> m_placementPausedSince;
    bool m_isPlacementPauseLogged = false;
};

} // namespace cicadalb
