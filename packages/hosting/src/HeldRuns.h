#pragma once

#include "RunMessages.h"

#include "cicadalb/submissions/EventStream.h"

#include <deque>
#include <map>

/// @file
/// What a host knows about the runs that it holds, and what their owner does not know yet.

namespace cicadalb {

/// @brief Keeps each run until an owner no longer wants it. Answers the load of a busy host: news of all runs share a message, and each event is sent
/// once as long as messages arrive. Does no I/O and reads no clock. Not thread-safe.
class HeldRuns {
public:
    /// @brief Adds a run that an owner has started. @return false if the run is known
    bool add(RunAssignment, std::uint64_t owner, TimePoint now);
    void recordAnswer(const RunId&, const RateStatement&, bool isEngineLeaving);
    void recordEvent(const RunId&, const StreamEvent&, WeightVersion, TimePoint now);
    /// @param isReleaseCertain whether the engine still runs the software that the run began with
    /// @return whether the reward has to be requested
    bool recordEnd(const RunId&, RunEnd, bool isReleaseCertain);
    void recordReward(const RunId&, RewardOutcome);
    void remove(const RunId&);

    /// @brief The ids of all runs.
    std::vector<RunId> ids() const;
    /// @brief The ids of the runs that have not ended.
    std::vector<RunId> runningIds() const;
    /// @brief The runs that nobody can want any more.
    std::vector<RunId> expiredIds(TimePoint now) const;
    const RunAssignment* assignment(const RunId&) const;
    bool contains(const RunId& id) const { return m_runs.contains(id); }
    std::size_t size() const noexcept { return m_runs.size(); }
    bool isEmpty() const noexcept { return m_runs.empty(); }

    /// @brief Whether a run or a reward call has ended since the last reports.
    bool hasUrgentNews() const noexcept { return m_urgentRuns > 0; }
    /// @brief Reports for an owner; runs that it may not know are reported in full.
    std::vector<RunReport> reports(std::uint64_t owner, bool isUrgentOnly, TimePoint now);
    /// @brief Applies what an owner has acknowledged.
    void apply(const RunReceipt&, std::uint64_t owner);

private:
    struct Event {
        StreamEvent event;
        WeightVersion version = 0;
        TimePoint receivedAt;
    };

    struct Run {
        RunAssignment assignment;
        /// The owner that knows the run.
        std::uint64_t owner = 0;
        TimePoint startedAt;
        TimePoint expiresAt;
        std::size_t eventsAtStart = 0;
        /// The text with all events.
        PartialText text;
        /// The last events of the text, which the owner has not acknowledged.
        std::deque<Event> unacknowledged;
        std::optional<RateStatement> rate;
        bool isEngineLeaving = false;
        bool hasAnswerNews = false;
        std::optional<RunEnd> end;
        std::optional<RewardOutcome> reward;
        bool isEndKnown = false;
        bool isRewardKnown = false;
        bool isUrgent = false;
    };

    Run* find(const RunId&);
    void setUrgent(Run&, bool);
    bool hasNews(const Run&, std::uint64_t owner) const;
    RunReport report(const RunId&, Run&, std::uint64_t owner, TimePoint now) const;

    std::map<RunId, Run> m_runs;
    std::size_t m_urgentRuns = 0;
};

} // namespace cicadalb
