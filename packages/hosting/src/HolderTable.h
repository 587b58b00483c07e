#pragma once

#include "RunMessages.h"

#include <functional>
#include <map>
#include <set>

/// @file
/// What the owner of runs knows about the hosts that hold them.

namespace cicadalb {

/// @brief A run at a holder.
struct HeldRun {
    RunId id;
    ItemKey item;
    HostId holder;
    /// Events that the owner has.
    std::size_t events = 0;
    TimePoint lastEventAt;
    /// Whether the holder has stated that it has the run.
    bool isConfirmed = false;
    /// Number of the reply that started the run; 0: none yet.
    std::uint64_t startReply = 0;
    bool hasEnd = false;
    bool hasReward = false;
    /// Set while the run was presented by its holder and not taken over yet.
    std::optional<RunOrigin> origin;
};

/// @brief Chooses holders, notices their loss, and compares what they state with what the owner wants. Answers the load of a site with hosts of different
/// sizes: each holds runs in proportion to its capacity, in the failure domain of the engine if it can. Does no I/O and reads no clock. Not thread-safe.
class HolderTable {
public:
    /// Time without a call, beyond the interval of calls, after which a holder is lost ...
    static constexpr std::chrono::milliseconds lossTimeout { 1000 };
    /// ... and after which it is given no further run.
    static constexpr std::chrono::milliseconds silenceLimit { 200 };
    /// The interval between calls grows with the number of holders between these bounds.
    static constexpr std::chrono::milliseconds shortestInterval { 200 };
    static constexpr std::chrono::milliseconds longestInterval { 1000 };
    static constexpr std::chrono::milliseconds intervalPerHolder { 2 };

    std::chrono::milliseconds interval() const;
    /// @brief Prefers the same holders for all runs on an engine, so that they share connections.
    /// @return the holder for a run on an engine in this failure domain, or nothing if none has room
    std::optional<HostId> choose(const TargetId& engine, const FailureDomain&, TimePoint now) const;
    HeldRun& assign(const HostId&, const RunId&, const ItemKey&, TimePoint now);
    /// @brief Adds a run that a holder presents. @return null if another run has the item
    HeldRun* present(const HostId&, const RunId&, RunOrigin);
    /// @brief Records that a run has ended at its holder, which has room for another one.
    void recordEnd(HeldRun&);
    /// @brief Ends the owner's interest in a run; its holder ends it.
    void release(const RunId&, bool isUrgent);
    void releaseIf(const std::function<bool(const HeldRun&)>&);
    HeldRun* find(const RunId&);
    HeldRun* findByItem(const ItemKey&);
    std::vector<RunId> presentedRuns(const SubmissionId&) const;

    /// @brief Applies what a call states about its host and the runs that it has. @return the runs that were lost with an earlier process of the host
    std::vector<HeldRun> recordCall(const RunCall&, TimePoint now);
    /// @brief Removes the holders that are lost. @return their runs
    std::vector<HeldRun> removeLost(TimePoint now);
    /// @brief Whether a holder should be answered now.
    bool hasWork(const HostId&) const;
    /// @brief The runs to start and to stop at a holder.
    struct Work {
        std::uint64_t replyNumber = 0;
        std::vector<RunId> starts;
        std::vector<RunId> stops;
    };
    Work takeWork(const HostId&);
    /// @brief Whether the holder has reported all news at most @p age ago.
    bool hasRecentNews(const HostId&, Duration age, TimePoint now) const;

    std::size_t holderCount() const noexcept { return m_holders.size(); }
    std::size_t runCount() const noexcept { return m_runs.size(); }

private:
    struct Holder {
        std::uint64_t process = 0;
        FailureDomain failureDomain;
        unsigned capacity = 0;
        bool isCutOff = false;
        TimePoint lastCallAt;
        TimePoint lastNewsAt;
        std::uint64_t lastCall = 0;
        std::uint64_t repliesSent = 0;
        /// The runs that the holder stated in its last call.
        std::vector<RunId> stated;
        /// Runs that the holder has not stated yet.
        std::set<RunId> unconfirmed;
        /// Runs that have not ended.
        unsigned running = 0;
        bool hasUrgentStop = false;
    };

    std::vector<HeldRun> removeRunsOf(const HostId&);
    void erase(const RunId&);

    std::map<HostId, Holder> m_holders;
    std::map<RunId, HeldRun> m_runs;
    std::map<ItemKey, RunId> m_runOfItem;
};

} // namespace cicadalb
