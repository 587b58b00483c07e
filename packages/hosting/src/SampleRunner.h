#pragma once

#include "RequestForwarder.h"
#include "ResultLog.h"
#include "SiteDirectory.h"

#include "cicadalb/submissions/SampleScheduler.h"

#include <map>
#include <memory>

/// @file
/// Runs the samples of open submissions on engines and has them judged.

namespace cicadalb {

struct SampleRunnerSettings {
    /// How long after its submission results are kept.
    std::chrono::milliseconds keepTime { 120000 };
    /// Results that come within this time share a write.
    std::chrono::milliseconds appendInterval { 400 };
    /// How often texts in the making are stored for a successor.
    std::chrono::milliseconds textsInterval { 1000 };
};

/// @brief How a run ended whose whole answer came.
RunEnd runEndOf(AnswerKind, unsigned status) noexcept;

/// @brief The coordinator's work on submissions. Bound to one event loop; coroutines hold it, so that it outlives their waits.
class SampleRunner : public std::enable_shared_from_this<SampleRunner> {
public:
    SampleRunner(boost::asio::any_io_executor, TransactionalStore&, const SiteProtocol&, SiteDirectory&, TargetClients&, const Clock&, SampleRunnerSettings);

    /// @brief Takes over the stored submissions and follows them.
    void start();
    /// @brief Stops all runs at once; nothing is written afterwards.
    void stop();
    /// @brief See RecordWatch::restart().
    void restartWatch() { m_watch->restart(); }

    /// @brief Places waiting items; called when anything changed.
    void poke();
    /// @brief Called several times a second: retries, moves, ends of life.
    void tick();
    /// @brief Takes over the present configuration and registry.
    void updateEngines();

    SampleScheduler& scheduler() noexcept { return m_scheduler; }
    std::size_t openSubmissions() const noexcept { return m_open.size(); }

private:
    struct Open {
        Submission submission;
        SubmissionTerms terms;
        const SiteRoute* route = nullptr;
        std::shared_ptr<const SiteView> view;
        std::shared_ptr<ResultLog> log;
        bool isAppending = false;
        bool isClosed = false;
        Revision revision = 0;
    };
    using OpenPointer = std::shared_ptr<Open>;

    struct Run {
        std::shared_ptr<HttpCancellation> cancellation = std::make_shared<HttpCancellation>();
    };

    struct Stored {
        UnixTime submittedAt { 0 };
        bool isEnded = false;
    };

    void takeRecords(const std::vector<KeyValueEntry>&);
    void takeText(const KeyValueEntry&);
    Task<void> open(Submission, Revision);
    void close(const SubmissionId&, std::string_view reason);
    Task<void> runItem(ItemKey, TargetId);
    Task<RunEnd> stream(const OpenPointer&, ItemKey, const RegisteredTarget&, std::shared_ptr<HttpCancellation>, std::string& cause);
    RunEnd takeEvents(const ItemKey&, std::string_view bytes, EventStreamReader&, WeightVersion& version, WeightVersion oldest);
    Task<void> judge(OpenPointer, ItemKey);
    void settle(const OpenPointer&, const ItemKey&, ResultState, std::string rewardSignature, std::string_view reason);
    Task<void> append(OpenPointer);
    void stopRun(const ItemKey&);
    Task<void> discardOld();
    Task<void> takeOver();
    Task<void> storeTexts(std::vector<ItemText>);

    void adoptTexts(const KeyValueEntry&);
    static void recordIgnored(const std::string& key, Revision, const Error&);
    void recordOpened(const Open&, UnixTime age) const;
    void recordClosed(const SubmissionId&, std::string_view reason, std::size_t results) const;
    void recordRun(const Open&, const ItemKey&, const TargetId&, RunEnd, std::size_t events, const std::string& versions, Duration, const std::string& cause) const;
    void recordReward(const RewardCall&, const SampleItem&, const ItemKey&, const ForwardOutcome&) const;
    void recordAppend(const Open&, std::size_t results, const std::string& failure) const;

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const SiteProtocol& m_protocol;
    SiteDirectory& m_directory;
    TargetClients& m_clients;
    const Clock& m_clock;
    SampleRunnerSettings m_settings;
    RequestForwarder m_forwarder;
    SampleScheduler m_scheduler;
    std::shared_ptr<RecordWatch> m_watch;
    std::map<SubmissionId, OpenPointer> m_open;
    std::map<SubmissionId, Stored> m_stored;
    std::map<ItemKey, std::shared_ptr<Run>> m_runs;
    TimePoint m_discardAt;
    TimePoint m_textsAt;
    bool m_isStoringTexts = false;
    bool m_isStopped = false;
    bool m_isPoked = false;
};

} // namespace cicadalb
