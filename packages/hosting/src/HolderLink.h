#pragma once

#include "HeldRuns.h"
#include "RunHolder.h"

#include "cicadalb/base/ClockTimer.h"

#include <functional>
#include <memory>

/// @file
/// A host's link to the coordinator, the owner of the runs that the host holds.

namespace cicadalb {

/// @brief Sends one call to one candidate for coordination and returns its reply.
using RunExchange = std::function<Task<Result<RunReply>>(Endpoint candidate, RunCall)>;

/// @brief Returns an exchange that calls the candidates over HTTP.
RunExchange makeHttpRunExchange(const boost::asio::any_io_executor&);

struct HolderLinkSettings {
    HostId host;
    FailureDomain failureDomain;
    /// Distinguishes processes with the same host id.
    std::uint64_t process = 0;
    /// Number of runs that the host can hold.
    unsigned capacity = 0;
    /// Candidates for coordination; they tell the addresses of others.
    std::vector<Endpoint> candidates;
    /// Whether this host reaches the targets, or null. Must outlive the link.
    const TargetReachability* reachability = nullptr;
};

/// @brief Follows the owner from candidate to candidate: takes runs from it, reports their progress, and presents all runs to the next owner when one is lost. Bound to one event
/// loop; its coroutines share ownership of it.
class HolderLink final : public RunObserver, public std::enable_shared_from_this<HolderLink> {
public:
    /// Time for which runs go on without an owner.
    static constexpr std::chrono::seconds maximumTimeWithoutOwner { 10 };
    /// Time without an owner after which no reward call begins: the end of a submission has to be known everywhere within 3 s.
    static constexpr std::chrono::milliseconds rewardTimeWithoutOwner { 2000 };
    /// Age of a call from which its reply starts no run, for the same reason.
    static constexpr std::chrono::milliseconds startValidity { 2000 };
    /// Interval between searches for an owner, and after longSearch without one.
    static constexpr std::chrono::milliseconds searchInterval { 100 };
    static constexpr std::chrono::milliseconds longSearchInterval { 1000 };
    static constexpr std::chrono::seconds longSearch { 5 };
    /// News of runs that end within this time share a call.
    static constexpr std::chrono::milliseconds urgentDelay { 15 };
    /// Time allowed for a reply beyond the wait that the call states.
    static constexpr std::chrono::milliseconds replyTimeout { 400 };

    HolderLink(boost::asio::any_io_executor, HolderLinkSettings, RunExchange, const SiteDirectory&, const Clock&);

    /// @param backend must outlive the link's work, up to stop()
    void start(RunBackend& backend);
    /// @brief Ends all runs, so that the owner continues them elsewhere, and takes no more.
    void handBack();
    void stop();

    std::size_t heldRuns() const noexcept { return m_held.size(); }
    bool hasOwner() const noexcept { return m_owner.has_value(); }

    // RunObserver
    void onRunAnswered(const RunAssignment&, const RateStatement&, bool isEngineLeaving) override;
    void onRunEvent(const RunAssignment&, const StreamEvent&, WeightVersion) override;
    void onRunEnded(const RunAssignment&, RunEnd) override;
    void onRewardEnded(const RunAssignment&, RewardOutcome) override;
    bool mayRequestReward(const RunAssignment&) const override;

private:
    struct Owner {
        Endpoint candidate;
        std::uint64_t id = 0;
    };

    Task<void> follow();
    Task<void> search();
    Task<void> askWhetherOwner(Endpoint candidate);
    Task<void> sendUrgentNews();
    void scheduleUrgentNews();
    RunCall makeCall(bool isUrgentOnly);
    void apply(const Endpoint& candidate, TimePoint sentAt, const Result<RunReply>&);
    void begin(RunAssignment);
    void drop(const RunId&);
    void dropAbandoned();
    void loseOwner(const std::string& cause);
    bool isReleaseCertain(const RunAssignment&) const;

    boost::asio::any_io_executor m_executor;
    HolderLinkSettings m_settings;
    RunExchange m_exchange;
    const SiteDirectory& m_directory;
    const Clock& m_clock;
    ClockTimer m_searchTimer;
    RunBackend* m_backend = nullptr;
    HeldRuns m_held;
    std::optional<Owner> m_owner;
    std::uint64_t m_callNumber = 0;
    std::uint64_t m_lastReply = 0;
    std::chrono::milliseconds m_interval { 200 };
    /// When the last call that an owner answered was sent.
    TimePoint m_lastContactAt;
    TimePoint m_searchingSince;
    bool m_isUrgentScheduled = false;
    bool m_isHandingBack = false;
    bool m_isStopped = false;
};

} // namespace cicadalb
