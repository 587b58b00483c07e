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
/// The state of one step on its coordinator: which samples wait, run, or are ready to be handed to the trainer.

namespace cicadalb {

/// @brief Identifies a generation attempt within its coordinator.
using AttemptId = std::uint64_t;

/// @brief Why a generation's tokens were discarded.
enum class DiscardCause : std::uint8_t {
    /// Beyond the staleness bound when it ended or when the trainer pulled.
    Stale,
    /// Cancelled while running: its oldest tokens were already beyond the staleness bound.
    BecomingStale,
    /// Cancelled while running: within the bound, but short enough to restart with the trainer's weights, given the staleness weight.
    Outdated,
    /// The engine did not label every token with a weight version.
    Unlabelled,
    /// The engine or the connection failed.
    Failed,
    /// Another run of the sample finished first or overtook this one, or the trainer already has the sample.
    Superseded,
};

inline constexpr std::size_t discardCauseCount = 6;

/// @brief Name of @p cause in kebab case, as in metrics and the state dump.
std::string_view name(DiscardCause cause) noexcept;

/// @brief Options of a step's coordinator.
struct StepOptions {
    /// Distinguishes the request ids of several coordinators of the same step.
    Incarnation incarnation = 0;
    /// Delay after a sample's first failed attempt; doubles with each further failure.
    std::chrono::milliseconds retryBackoff { 100 };
    std::chrono::milliseconds maximumRetryBackoff { 5000 };
    /// Longest time that a step waits for its first pull before generations start. The pull tells which samples the trainer has and its weight version.
    std::chrono::milliseconds firstPullTimeout { 1000 };
    /// Trade-off between idle time (0) and staleness (1). Determines how long a sample waits for an engine with the trainer's
    /// weights, and up to which age a run that began with older weights is restarted once its engine has loaded them.
    double stalenessWeight = 0.5;
    /// Maximum expected cost of second runs, as a fraction of the step's tokens; 0 disables second runs.
    double maximumDuplicatedShare = 0.06;
};

/// @brief One generation to start.
struct Dispatch {
    AttemptId attempt = 0;
    GenerationRequest request;
    /// Hash of the prompt prefix, by which the engine that has it cached is preferred. Not set for retries, second runs and steps behind schedule.
    std::optional<std::uint64_t> affinity;
    /// Engines that must not run the generation.
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
    /// Tokens discarded with cause Superseded.
    std::size_t tokensDuplicated = 0;
    std::size_t secondRuns = 0;
    bool isLate = false;
    /// What the step waits for; empty if the trainer has every sample.
    std::string reason;
};

/// @brief Decides which generations of a step are started and cancelled, and which samples are handed over. Performs no I/O and reads no clock.
/// Not thread-safe: StepService guards it with the mutex of the step's shard.
class StepCoordinator {
public:
    StepCoordinator(StepSpec, StepOptions, TimePoint submittedAt);

    const StepSpec& spec() const noexcept { return m_spec; }

    /// @brief Checks a repeated submission. Errors: StepConflict if the body differs.
    Result<void> resubmit(const StepSpec&) const;

    /// @brief Attempts to start now for samples without a running one, at most @p capacity. The owner reports the end of each by one onResult().
    /// Complexity: linear in the step's samples.
    std::vector<Dispatch> nextDispatches(std::size_t capacity, const EngineObservations&, TimePoint now);

    /// @brief A second run for the late sample with the longest expected remaining time, among those for which a second run is worthwhile
    /// and within the budget of duplicated tokens; none if there is no such sample. Call it only when no sample waits for an engine.
    /// The owner reports the end by one onResult(). Complexity: linear in the running attempts.
    std::optional<Dispatch> nextSecondRun(const EngineObservations&, TimePoint now);

    /// @brief Records that an attempt was given to an engine.
    void onStarted(AttemptId, const TargetId&, TimePoint now);
    /// @brief Records an attempt's progress. @return false if the attempt is no longer needed and must be cancelled
    bool onProgress(AttemptId, const GenerationProgress&, TimePoint now);
    /// @brief Records the end of an attempt.
    void onResult(AttemptId, const Result<Generation>&, TimePoint now);

    /// @brief True while the attempt has not ended and its result is still needed.
    bool isNeeded(AttemptId) const;

    /// @brief Attempts that were abandoned since the last call, apart from those for which onProgress() returned false.
    /// The owner cancels them and still reports their end by onResult().
    std::vector<AttemptId> takeCancellations();

    /// @brief Ready samples that the cursor does not mark as received, each once, none beyond the staleness bound, at most @p maximum.
    /// Also records from the cursor what the trainer has received and its weight version. Errors: CursorInvalid.
    /// Complexity: linear in the step's samples.
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
        /// For a second run: tokens that the losing run of the sample is expected to generate. 0 for a first run.
        double reservedTokens = 0;
        /// When a second run is expected to end; not set for a first run.
        std::optional<TimePoint> expectedEnd;
        /// Weight versions of the chunks received so far.
        std::set<WeightVersion> versions;
        /// Set once the attempt is no longer needed.
        std::optional<DiscardCause> abandonCause;
    };

    Dispatch makeDispatch(SampleIndex, TimePoint now);
    std::optional<std::vector<TargetId>> enginesWithOutdatedWeights(const SampleState&, const EngineObservations&, TimePoint now) const;
    Duration maximumFreshnessWait(TimePoint now) const;
    double secondRunsRemainingSeconds(TimePoint now) const;
    WeightVersion oldestAllowedVersion() const noexcept;
    /// Tokens that second runs may still cost.
    double remainingDuplicationBudget() const;
    double medianTokens() const;
    bool isBehindSchedule(TimePoint now) const;
    bool isWorthRestarting(const Attempt&, TimePoint now) const;
    void abandon(Attempt&, AttemptId, DiscardCause);
    void abandonOtherAttempts(SampleIndex);
    void abandonOvertakenFirstRun(const Attempt& second);
    void abandonStaleAttempts();
    void countDiscarded(DiscardCause, unsigned tokens);
    void endAttempt(const Attempt&, TimePoint now);
    void discardStaleReadySamples(TimePoint now);
    /// Replaces the set of received samples by the cursor's, even by a smaller one: a restarted trainer begins with an empty cursor.
    void updateReceived(const StepCursor&);
    void storeGeneration(const Attempt&, const Generation&);
    void discardAndBackOff(const Attempt&, DiscardCause, TimePoint now);
    void backOff(const Attempt&, TimePoint now);
    bool isWaiting(SampleIndex, TimePoint now) const;
    bool wouldBeStale(WeightVersion oldest) const noexcept { return isStale(oldest, m_weightVersion, m_spec.stalenessBound); }

    StepSpec m_spec;
    StepOptions m_options;
    SampleLayout m_layout;
    TimePoint m_submittedAt;
    TimePoint m_lastPull;
    /// Highest weight version in the trainer's cursors so far.
    WeightVersion m_weightVersion = 0;
    /// Number of the latest cursor that was applied.
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
    Duration m_averageRunTime {};
    /// Lengths of kept generations, sorted.
    std::vector<unsigned> m_keptLengths;
};

} // namespace cicadalb
