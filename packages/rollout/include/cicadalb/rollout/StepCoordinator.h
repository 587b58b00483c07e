#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/EnumTable.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/rollout/EngineClient.h"
#include "cicadalb/rollout/EngineObservations.h"
#include "cicadalb/rollout/Step.h"
#include "cicadalb/rollout/StepCursor.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// @file
/// The state of one step on its coordinator: which samples wait, run, or are ready to be handed over.

namespace cicadalb {

/// @brief Names one generation attempt of a coordinator.
using AttemptId = std::uint64_t;

/// @brief Why a generation's tokens were thrown away.
enum class DiscardCause : std::uint8_t {
    /// Beyond the staleness bound when it was to be handed over.
    Stale,
    /// Cancelled while it ran, since it could only become stale.
    BecomingStale,
    /// Within the bound, but cheap enough to run again with the trainer's weights, since the trainer weighs staleness.
    Outdated,
    /// The engine left tokens without a version.
    Unlabelled,
    /// The engine or the connection failed.
    Failed,
    /// Another run of the sample finished first, or the trainer has it already.
    Superseded,
};

inline constexpr std::size_t discardCauseCount = 6;

/// @brief Name of @p cause in kebab case, as in metrics and the state dump.
std::string_view name(DiscardCause cause) noexcept;

/// @brief How a coordinator treats its step.
struct StepOptions {
    /// Tells the requests of two coordinators of the same step apart.
    Incarnation incarnation = 0;
    /// First pause after a failed attempt; doubles with each further failure of the sample.
    std::chrono::milliseconds retryBackoff { 100 };
    std::chrono::milliseconds maximumRetryBackoff { 5000 };
    /// A step waits so long for its first pull, which tells what the trainer has and its weight version.
    std::chrono::milliseconds firstPullGrace { 1000 };
    /// 0 weighs idle time alone, 1 staleness alone: how long a sample waits for an engine with the trainer's weights, and
    /// how long a run may be that is started again when its engine gets them.
    double stalenessWeight = 0.5;
    /// Expected cost of second runs in parts of the step's tokens, at most; 0 switches them off.
    double duplicatedShare = 0.06;
};

/// @brief One generation to start.
struct Dispatch {
    AttemptId attempt = 0;
    GenerationRequest request;
    /// Hash of the prefix that wants the same engine; none if that could make the sample late.
    std::optional<std::uint64_t> affinity;
    /// Engines that must not run it.
    std::vector<TargetId> excluded;
};

/// @brief A step's progress for the state dump, cicadactl and metrics.
struct StepProgress {
    StepKey key;
    std::size_t samples = 0;
    /// Waiting for an engine.
    std::size_t waiting = 0;
    std::size_t running = 0;
    /// Generated and not yet known to be received.
    std::size_t ready = 0;
    std::size_t received = 0;
    /// Generations discarded, by cause.
    std::array<std::size_t, discardCauseCount> discarded {};
    std::size_t tokensKept = 0;
    std::size_t tokensDiscarded = 0;
    /// Tokens of runs that lost against another run of their sample.
    std::size_t tokensDuplicated = 0;
    std::size_t secondRuns = 0;
    bool isLate = false;
    /// Why the step is not whole yet; empty if it is.
    std::string reason;
};

/// @brief Decisions for one step. Values in, values out; not thread-safe: its shard's lock guards it.
class StepCoordinator {
public:
    StepCoordinator(StepSpec, StepOptions, TimePoint submittedAt);

    const StepSpec& spec() const noexcept { return m_spec; }

    /// @brief A repeated submission. Errors: StepConflict if the body differs.
    Result<void> resubmit(const StepSpec&) const;

    /// @brief First attempts to start now, at most @p capacity. Each ends with one onResult().
    /// Complexity: linear in the step's samples.
    std::vector<Dispatch> nextDispatches(std::size_t capacity, const EngineObservations&, TimePoint now);

    /// @brief The second run that shortens the step most within the budget of duplicated tokens, if any. To be asked for when no first
    /// attempt waits. Ends with one onResult(). Complexity: linear in the running attempts.
    std::optional<Dispatch> nextSecondRun(const EngineObservations&, TimePoint now);

    /// @brief An attempt was given to an engine.
    void onStarted(AttemptId, const TargetId&, TimePoint now);
    /// @brief An attempt's tokens so far. @return false if the attempt is of no more use and must be cancelled
    bool onProgress(AttemptId, const GenerationProgress&, TimePoint now);
    /// @brief An attempt ended.
    void onResult(AttemptId, const Result<Generation>&, TimePoint now);

    /// @brief True while the attempt may still give a sample that is needed.
    bool isWanted(AttemptId) const;

    /// @brief Attempts that are of no more use since the last call; the owner cancels them and still reports their end.
    std::vector<AttemptId> takeCancellations();

    /// @brief Ready samples that the cursor does not hold, each once, none beyond the staleness bound. Also learns what the
    /// trainer has received and its weight version. Errors: CursorInvalid. Complexity: linear in the step's samples.
    Result<Batch> pull(const StepCursor&, std::size_t maximum, TimePoint now);

    /// @brief True if a pull has shown that the trainer has every sample.
    bool isReceived() const noexcept { return m_received.all(); }
    TimePoint lastPull() const noexcept { return m_lastPull; }
    TimePoint deadline() const noexcept { return m_submittedAt + m_spec.deadline; }
    StepProgress progress(TimePoint now) const;

private:
    struct SampleState {
        std::optional<Sample> ready;
        unsigned running = 0;
        unsigned failures = 0;
        TimePoint notBefore {};
        TimePoint waitingSince {};
        std::set<TargetId> failedOn;
    };

    struct Attempt {
        SampleIndex position = 0;
        TargetId engine;
        TimePoint startedAt {};
        unsigned tokens = 0;
        TimePoint lastProgress {};
        /// Expected tokens of the losing run while a second run goes on.
        double reservedTokens = 0;
        /// When a second run is expected to end; not set for a first run.
        std::optional<TimePoint> expectedEnd;
        /// Versions seen in chunks so far.
        std::set<WeightVersion> versions;
        /// Set once the attempt is of no more use.
        std::optional<DiscardCause> abandoned;
    };

    Dispatch makeDispatch(SampleIndex, TimePoint now);
    std::optional<std::vector<TargetId>> enginesTooOld(const SampleState&, const EngineObservations&, TimePoint now) const;
    Duration freshnessPatience(TimePoint now) const;
    double pairsEndSeconds(TimePoint now) const;
    WeightVersion oldestAllowed() const noexcept;
    /// Tokens that second runs may still cost.
    double duplicationBudget() const;
    double medianTokens() const;
    bool isBehind(TimePoint now) const;
    bool isWorthRenewing(const Attempt&, TimePoint now) const;
    void abandon(Attempt&, AttemptId, DiscardCause);
    void abandonOthers(SampleIndex);
    void abandonOvertaken(const Attempt& second);
    void abandonStale();
    void discard(DiscardCause, unsigned tokens);
    void release(const Attempt&, TimePoint now);
    void discardStaleReady(TimePoint now);
    /// Takes the cursor's word on what the trainer has, also if that is less than an earlier life of it had.
    void learnReceived(const StepCursor&);
    void keep(const Attempt&, const Generation&);
    void fail(const Attempt&, DiscardCause, TimePoint now);
    void backOff(const Attempt&, TimePoint now);
    bool isWaiting(SampleIndex, TimePoint now) const;
    bool wouldBeStale(WeightVersion oldest) const noexcept { return isStale(oldest, m_weightVersion, m_spec.stalenessBound); }

    StepSpec m_spec;
    StepOptions m_options;
    SampleLayout m_layout;
    TimePoint m_submittedAt;
    TimePoint m_lastPull;
    /// The highest version that the trainer has named.
    WeightVersion m_weightVersion = 0;
    /// The latest cursor that was presented.
    CursorNumber m_cursorNumber = 0;
    SampleBitmap m_received;
    std::vector<SampleState> m_samples;
    std::map<AttemptId, Attempt> m_attempts;
    std::vector<AttemptId> m_cancellations;
    AttemptId m_nextAttempt = 1;
    std::array<std::size_t, discardCauseCount> m_discarded {};
    std::size_t m_tokensKept = 0;
    std::size_t m_tokensDiscarded = 0;
    std::size_t m_tokensDuplicated = 0;
    std::size_t m_secondRuns = 0;
    bool m_wasPulled = false;
    Duration m_typicalRun {};
    /// Lengths of kept generations, sorted.
    std::vector<unsigned> m_lengths;
};

} // namespace cicadalb
