#pragma once

#include "RequestForwarder.h"
#include "RunMessages.h"

#include <map>
#include <memory>

/// @file
/// Holds the connections of runs to engines, and requests the rewards of complete texts.

namespace cicadalb {

/// @brief Outcome of a run whose answer was received completely.
RunOutcome runOutcomeOf(AnswerKind, unsigned status) noexcept;

/// @brief Receives what happens to the runs of a RunHolder.
class RunObserver {
public:
    virtual ~RunObserver() = default;
    /// @param rate what the answer states about the engine's limit
    virtual void onRunAnswered(const RunAssignment&, const RateStatement& rate, bool isEngineLeaving) = 0;
    virtual void onRunEvent(const RunAssignment&, const StreamEvent&, WeightVersion) = 0;
    virtual void onRunEnded(const RunAssignment&, RunEnd) = 0;
    virtual void onRewardEnded(const RunAssignment&, RewardOutcome) = 0;
    /// @brief Whether a reward call may begin now.
    virtual bool mayRequestReward(const RunAssignment&) const = 0;
};

/// @brief Where runs are started and ended.
class RunBackend {
public:
    virtual ~RunBackend() = default;
    virtual void begin(RunAssignment) = 0;
    /// @brief Requests the reward of a complete text until it is known, or stopped.
    virtual void requestReward(RunAssignment) = 0;
    /// @brief Ends a run with the outcome Cancelled.
    virtual void cancel(const RunId&) = 0;
    /// @brief Ends a run, or its reward call, without further calls of the observer.
    virtual void stop(const RunId&) = 0;
    /// @brief Ends everything without further calls of the observer.
    virtual void stopAll() = 0;
};

/// @brief Each run ends with one call of RunObserver::onRunEnded(), unless it was stopped. Bound to one event loop; its coroutines share ownership of it.
class RunHolder final : public RunBackend, public std::enable_shared_from_this<RunHolder> {
public:
    /// @param observer must outlive this object's work, up to stopAll()
    RunHolder(boost::asio::any_io_executor, const SiteProtocol&, SiteDirectory&, TargetClients&, RequestPermits&, CrashGuard&, const Clock&, TargetReachability*, RunObserver& observer);

    void begin(RunAssignment) override;
    void requestReward(RunAssignment) override;
    void cancel(const RunId&) override;
    void stop(const RunId&) override;
    void stopAll() override;

private:
    struct Run {
        explicit Run(RunAssignment assigned)
            : assignment(std::move(assigned))
        {
        }
        RunAssignment assignment;
        TimePoint expiresAt;
        std::shared_ptr<HttpCancellation> cancellation = std::make_shared<HttpCancellation>();
        bool isStopped = false;
        std::string cause;
    };
    using RunPointer = std::shared_ptr<Run>;

    Task<void> run(RunPointer);
    Task<RunOutcome> stream(const RunPointer&, RegisteredTarget);
    RunOutcome processEvents(Run&, std::string_view bytes, EventStreamParser&, WeightVersion&, std::size_t& eventCount);
    Task<void> runRewardCall(RunPointer);
    void forget(const RunPointer&);
    void logRewardCall(const RunAssignment&, const ForwardOutcome&) const;

    boost::asio::any_io_executor m_executor;
    const SiteProtocol& m_protocol;
    SiteDirectory& m_directory;
    TargetClients& m_clients;
    RequestPermits& m_permits;
    const Clock& m_clock;
    TargetReachability* m_reachability;
    RunObserver& m_observer;
    RequestForwarder m_forwarder;
    std::map<RunId, RunPointer> m_runs;
};

} // namespace cicadalb
