#include "cicadalb/rollout/StepCoordinator.h"

#include "SecondRun.h"
#include "cicadalb/base/Hash.h"

#include <algorithm>

namespace cicadalb {

namespace {

    constexpr auto causeNames = std::to_array<EnumName<DiscardCause>>({
        { DiscardCause::Stale, "stale" },
        { DiscardCause::BecomingStale, "becoming-stale" },
        { DiscardCause::Outdated, "outdated" },
        { DiscardCause::Unlabelled, "unlabelled" },
        { DiscardCause::Failed, "failed" },
        { DiscardCause::Superseded, "superseded" },
    });

    using Seconds = std::chrono::duration<double>;

    /// Longest wait for weights as new as the trainer's, in multiples of the average run time.
    constexpr double maximumFreshnessWaitInRuns = 4;

    /// A generation counts as late if this multiple of its expected remaining time exceeds the time to the deadline.
    constexpr double remainingTimeSafetyFactor = 2.5;

    /// Fraction of the deadline after which a step is behind schedule: its samples go to any engine, whether it has the prefix cached or not.
    constexpr double behindScheduleFraction = 0.5;
    /// Expected length as a fraction of the maximum, until a generation has ended.
    constexpr double initialLengthFraction = 0.25;

    /// Keeps the shift in range; the backoff itself is limited by maximumRetryBackoff.
    constexpr unsigned maximumBackoffDoublings = 16;

    /// Cursor numbers of one trainer process rise by one from a random start: a larger difference means another process.
    constexpr CursorNumber cursorNumbersPerTrainerProcess = CursorNumber { 1 } << 32U;

    bool isEarlierInSameProcess(CursorNumber number, CursorNumber latest)
    {
        return number < latest && latest - number < cursorNumbersPerTrainerProcess;
    }

    /// True if no engine executed the attempt.
    bool isNotRun(ErrorCode code)
    {
        return code == ErrorCode::NoTargetAvailable || code == ErrorCode::Overloaded || code == ErrorCode::NotSent;
    }

    bool isLabelled(const Generation& generation)
    {
        return !generation.versions.empty()
            && std::is_sorted(generation.versions.begin(), generation.versions.end())
            && generation.versions.front() != 0;
    }

} // namespace

std::string_view name(DiscardCause cause) noexcept
{
    return nameIn(causeNames, cause);
}

StepCoordinator::StepCoordinator(StepSpec spec, StepOptions options, TimePoint submittedAt)
    : m_spec(std::move(spec))
    , m_options(options)
    , m_layout(m_spec)
    , m_submittedAt(submittedAt)
    , m_lastPull(submittedAt)
    , m_received(m_layout.size())
    , m_samples(m_layout.size())
{
    for (auto& sample : m_samples)
        sample.waitingSince = submittedAt;
}

Result<void> StepCoordinator::resubmit(const StepSpec& spec) const
{
    if (spec == m_spec)
        return success();
    return failure(ErrorCode::StepConflict, "the step was already submitted with a different body", "step " + std::to_string(m_spec.key.step));
}

bool StepCoordinator::isWaiting(SampleIndex position, TimePoint now) const
{
    const auto& sample = m_samples[position];
    return !m_received[position] && !sample.ready && sample.running == 0 && sample.notBefore <= now;
}

Dispatch StepCoordinator::makeDispatch(SampleIndex position, TimePoint now)
{
    const auto attempt = m_nextAttempt++;
    auto& sample = m_samples[position];
    ++sample.running;
    Attempt state;
    state.position = position;
    state.startedAt = now;
    state.lastProgress = now;
    m_attempts.emplace(attempt, state);

    const auto& group = m_spec.groups[m_layout.idOf(position).group];
    Dispatch dispatch;
    dispatch.attempt = attempt;
    dispatch.request.id = RequestId(m_spec.key.trainer.value() + "/" + std::to_string(m_spec.key.step) + "/" + std::to_string(position)
        + "/" + std::to_string(m_options.incarnation) + "/" + std::to_string(attempt));
    dispatch.request.prompt = group.prompt;
    dispatch.request.prefixKey = group.prefixKey.empty() ? group.prompt : group.prefixKey;
    dispatch.request.maximumTokens = m_spec.maximumTokens;
    dispatch.request.priority = m_spec.priority;
    if (sample.running == 1 && sample.failures == 0 && !isBehindSchedule(now))
        dispatch.affinity = placementHash(dispatch.request.prefixKey);
    dispatch.excluded.assign(sample.failedOn.begin(), sample.failedOn.end());
    return dispatch;
}

bool StepCoordinator::isBehindSchedule(TimePoint now) const
{
    return now - m_submittedAt > std::chrono::duration_cast<Duration>(behindScheduleFraction * m_spec.deadline);
}

WeightVersion StepCoordinator::oldestAllowedVersion() const noexcept
{
    return m_weightVersion - std::min(m_weightVersion, m_spec.stalenessBound);
}

/// Longest time that a sample may lose to get weights as new as the trainer's; grows with the staleness weight.
Duration StepCoordinator::maximumFreshnessWait(TimePoint now) const
{
    const auto weight = m_options.stalenessWeight;
    if (weight < 1 && isBehindSchedule(now))
        return Duration::zero();
    const auto factor = weight < 1 ? std::min(weight / (1 - weight), maximumFreshnessWaitInRuns) : maximumFreshnessWaitInRuns;
    return std::chrono::duration_cast<Duration>(factor * m_averageRunTime);
}

/// Engines whose weights are too old for the sample; nullopt if all are known to be, so that the sample waits.
std::optional<std::vector<TargetId>> StepCoordinator::enginesWithOutdatedWeights(const SampleState& sample, const EngineObservations& engines, TimePoint now) const
{
    const bool mayWaitForFreshWeights = now - sample.waitingSince < maximumFreshnessWait(now);
    const auto oldest = mayWaitForFreshWeights ? m_weightVersion : oldestAllowedVersion();
    if (!engines.anyMayHold(oldest, now))
        return std::nullopt;
    return engines.enginesOlderThan(oldest, now);
}

std::vector<Dispatch> StepCoordinator::nextDispatches(std::size_t capacity, const EngineObservations& engines, TimePoint now)
{
    std::vector<Dispatch> dispatches;
    m_averageRunTime = engines.averageRunTime();
    if (!m_wasPulled && now - m_submittedAt < m_options.firstPullTimeout)
        return dispatches;
    for (SampleIndex position = 0; position < m_samples.size() && dispatches.size() < capacity; ++position) {
        if (!isWaiting(position, now))
            continue;
        const auto outdatedEngines = enginesWithOutdatedWeights(m_samples[position], engines, now);
        if (!outdatedEngines)
            continue;
        auto dispatch = makeDispatch(position, now);
        dispatch.excluded.insert(dispatch.excluded.end(), outdatedEngines->begin(), outdatedEngines->end());
        dispatches.push_back(std::move(dispatch));
    }
    return dispatches;
}

double StepCoordinator::medianTokens() const
{
    return m_keptLengths.empty() ? initialLengthFraction * m_spec.maximumTokens : m_keptLengths[m_keptLengths.size() / 2];
}

double StepCoordinator::remainingDuplicationBudget() const
{
    double spent = static_cast<double>(m_tokensDuplicated);
    double total = static_cast<double>(m_tokensKept);
    for (const auto& [id, attempt] : m_attempts) {
        spent += attempt.reservedTokens;
        total += attempt.tokens;
    }
    return m_options.maximumDuplicatedShare * total - spent;
}

/// Expected time until all running second runs have ended.
double StepCoordinator::secondRunsRemainingSeconds(TimePoint now) const
{
    double end = 0;
    for (const auto& [id, attempt] : m_attempts) {
        if (attempt.expectedEnd)
            end = std::max(end, Seconds(*attempt.expectedEnd - now).count());
    }
    return end;
}

std::optional<Dispatch> StepCoordinator::nextSecondRun(const EngineObservations& engines, TimePoint now)
{
    const LengthEstimate lengths { medianTokens(), m_spec.maximumTokens };
    const Attempt* best = nullptr;
    SecondRunEstimate bestEstimate;
    const auto untilDeadline = Seconds(deadline() - now).count();
    const auto secondRunsRemaining = secondRunsRemainingSeconds(now);
    const auto budget = remainingDuplicationBudget();
    if (budget <= 0)
        return std::nullopt;
    for (const auto& [id, attempt] : m_attempts) {
        if (attempt.abandonCause || attempt.engine.isEmpty() || m_samples[attempt.position].running != 1)
            continue;
        const auto estimate = estimateSecondRun({ attempt.tokens, now - attempt.startedAt, now - attempt.lastProgress }, lengths, engines.highestSpeed(attempt.engine));
        const bool isLate = remainingTimeSafetyFactor * estimate.remainingSeconds > untilDeadline;
        const bool isOnCriticalPath = estimate.remainingSeconds > secondRunsRemaining;
        if (!isLate || !isOnCriticalPath)
            continue;
        const bool isBetter = !best || estimate.remainingSeconds > bestEstimate.remainingSeconds;
        if (estimate.isWorthwhile && isBetter && estimate.duplicatedTokens <= budget) {
            best = &attempt;
            bestEstimate = estimate;
        }
    }
    if (!best)
        return std::nullopt;
    const auto firstEngine = best->engine;
    auto dispatch = makeDispatch(best->position, now);
    m_attempts.at(dispatch.attempt).reservedTokens = bestEstimate.duplicatedTokens;
    m_attempts.at(dispatch.attempt).expectedEnd = now + std::chrono::duration_cast<Duration>(Seconds(bestEstimate.secondRunSeconds));
    ++m_secondRuns;
    const auto slow = engines.enginesSlowerThan(bestEstimate.minimumSpeed);
    const auto old = engines.enginesOlderThan(oldestAllowedVersion(), now);
    dispatch.excluded = { firstEngine };
    dispatch.excluded.insert(dispatch.excluded.end(), slow.begin(), slow.end());
    dispatch.excluded.insert(dispatch.excluded.end(), old.begin(), old.end());
    return dispatch;
}

void StepCoordinator::onStarted(AttemptId id, const TargetId& engine, TimePoint now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    found->second.engine = engine;
    found->second.startedAt = now;
    found->second.lastProgress = now;
}

bool StepCoordinator::onProgress(AttemptId id, const GenerationProgress& progress, TimePoint now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return false;
    auto& attempt = found->second;
    if (progress.tokens > attempt.tokens)
        attempt.lastProgress = now;
    attempt.tokens = std::max(attempt.tokens, progress.tokens);
    if (attempt.abandonCause)
        return false;
    if (progress.tokens > 0 && progress.version == 0)
        attempt.abandonCause = DiscardCause::Unlabelled;
    else if (progress.version != 0)
        attempt.versions.insert(progress.version);
    if (!attempt.versions.empty() && wouldBeStale(*attempt.versions.begin()))
        attempt.abandonCause = DiscardCause::BecomingStale;
    else if (isWorthRestarting(attempt, now))
        attempt.abandonCause = DiscardCause::Outdated;
    if (!attempt.abandonCause && attempt.expectedEnd)
        abandonOvertakenFirstRun(attempt);
    return !attempt.abandonCause;
}

/// True for a short run that began with older weights on an engine that now has the trainer's.
bool StepCoordinator::isWorthRestarting(const Attempt& attempt, TimePoint now) const
{
    if (attempt.versions.empty() || *attempt.versions.begin() >= m_weightVersion || *attempt.versions.rbegin() < m_weightVersion)
        return false;
    return now - attempt.startedAt < maximumFreshnessWait(now);
}

void StepCoordinator::onResult(AttemptId id, const Result<Generation>& result, TimePoint now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    auto attempt = std::move(found->second);
    m_attempts.erase(found);
    if (result)
        attempt.tokens = result.value().tokens;
    endAttempt(attempt, now);

    if (m_received[attempt.position] || m_samples[attempt.position].ready)
        return countDiscarded(DiscardCause::Superseded, attempt.tokens);
    if (attempt.abandonCause)
        return countDiscarded(*attempt.abandonCause, attempt.tokens);
    if (!result && isNotRun(result.error().code))
        return backOff(attempt, now);
    if (!result)
        return discardAndBackOff(attempt, DiscardCause::Failed, now);
    if (!isLabelled(result.value()))
        return discardAndBackOff(attempt, DiscardCause::Unlabelled, now);
    storeGeneration(attempt, result.value());
}

void StepCoordinator::endAttempt(const Attempt& attempt, TimePoint now)
{
    auto& sample = m_samples[attempt.position];
    --sample.running;
    if (sample.running == 0)
        sample.waitingSince = now;
}

void StepCoordinator::storeGeneration(const Attempt& attempt, const Generation& generation)
{
    auto versions = attempt.versions;
    versions.insert(generation.versions.begin(), generation.versions.end());
    if (wouldBeStale(*versions.begin()))
        return countDiscarded(DiscardCause::Stale, generation.tokens);

    Sample sample;
    sample.id = m_layout.idOf(attempt.position);
    sample.position = attempt.position;
    sample.text = generation.text;
    sample.tokens = generation.tokens;
    sample.versions.assign(versions.begin(), versions.end());
    m_samples[attempt.position].ready = std::move(sample);
    m_tokensKept += generation.tokens;
    m_keptLengths.insert(std::upper_bound(m_keptLengths.begin(), m_keptLengths.end(), generation.tokens), generation.tokens);
    abandonOtherAttempts(attempt.position);
}

void StepCoordinator::discardAndBackOff(const Attempt& attempt, DiscardCause cause, TimePoint now)
{
    countDiscarded(cause, attempt.tokens);
    backOff(attempt, now);
}

void StepCoordinator::backOff(const Attempt& attempt, TimePoint now)
{
    auto& sample = m_samples[attempt.position];
    const auto doublings = std::min(sample.failures, maximumBackoffDoublings);
    const auto backoff = m_options.retryBackoff * (std::int64_t { 1 } << doublings);
    ++sample.failures;
    sample.notBefore = now + std::min(backoff, m_options.maximumRetryBackoff);
    sample.failedOn.clear();
    if (!attempt.engine.isEmpty())
        sample.failedOn.insert(attempt.engine);
}

void StepCoordinator::countDiscarded(DiscardCause cause, unsigned tokens)
{
    ++m_discarded[static_cast<std::size_t>(cause)];
    m_tokensDiscarded += tokens;
    if (cause == DiscardCause::Superseded)
        m_tokensDuplicated += tokens;
}

void StepCoordinator::abandon(Attempt& attempt, AttemptId id, DiscardCause cause)
{
    if (attempt.abandonCause)
        return;
    attempt.abandonCause = cause;
    m_cancellations.push_back(id);
}

void StepCoordinator::abandonOtherAttempts(SampleIndex position)
{
    for (auto& [id, attempt] : m_attempts) {
        if (attempt.position == position)
            abandon(attempt, id, DiscardCause::Superseded);
    }
}

/// Cancels the first run of a sample once the second run has generated more tokens: the second is faster and will finish first.
void StepCoordinator::abandonOvertakenFirstRun(const Attempt& second)
{
    for (auto& [id, attempt] : m_attempts) {
        const bool isFirst = attempt.position == second.position && !attempt.expectedEnd;
        if (isFirst && attempt.tokens < second.tokens)
            abandon(attempt, id, DiscardCause::Superseded);
    }
}

void StepCoordinator::abandonStaleAttempts()
{
    for (auto& [id, attempt] : m_attempts) {
        if (!attempt.versions.empty() && wouldBeStale(*attempt.versions.begin()))
            abandon(attempt, id, DiscardCause::BecomingStale);
    }
}

bool StepCoordinator::isNeeded(AttemptId id) const
{
    const auto found = m_attempts.find(id);
    return found != m_attempts.end() && !found->second.abandonCause;
}

std::vector<AttemptId> StepCoordinator::takeCancellations()
{
    return std::exchange(m_cancellations, {});
}

void StepCoordinator::discardStaleReadySamples(TimePoint now)
{
    for (auto& sample : m_samples) {
        if (!sample.ready || !wouldBeStale(sample.ready->versions.front()))
            continue;
        m_tokensKept -= sample.ready->tokens;
        countDiscarded(DiscardCause::Stale, sample.ready->tokens);
        sample.ready.reset();
        sample.waitingSince = now;
    }
}

void StepCoordinator::updateReceived(const StepCursor& cursor)
{
    m_cursorNumber = cursor.number;
    m_received = cursor.received;
    for (auto position = m_received.find_first(); position != SampleBitmap::npos; position = m_received.find_next(position)) {
        abandonOtherAttempts(static_cast<SampleIndex>(position));
        m_samples[position].ready.reset();
    }
}

Result<Batch> StepCoordinator::pull(const StepCursor& cursor, std::size_t maximum, TimePoint now)
{
    if (cursor.step != m_spec.key.step || cursor.received.size() != m_layout.size())
        return failure(ErrorCode::CursorInvalid, "the cursor's step number or bitmap size does not match the step", "cursor");
    m_lastPull = now;
    m_wasPulled = true;
    m_weightVersion = std::max(m_weightVersion, cursor.weightVersion);
    if (!isEarlierInSameProcess(cursor.number, m_cursorNumber))
        updateReceived(cursor);
    abandonStaleAttempts();
    discardStaleReadySamples(now);

    Batch batch;
    batch.step = cursor.step;
    batch.cursorNumber = cursor.number;
    for (SampleIndex position = 0; position < m_samples.size() && batch.samples.size() < maximum; ++position) {
        if (m_samples[position].ready && !cursor.received[position])
            batch.samples.push_back(*m_samples[position].ready);
    }
    batch.isDone = cursor.received.count() + batch.samples.size() == m_layout.size();
    return batch;
}

StepProgress StepCoordinator::progress(TimePoint now) const
{
    StepProgress progress;
    progress.key = m_spec.key;
    progress.samples = m_layout.size();
    progress.received = m_received.count();
    for (SampleIndex position = 0; position < m_samples.size(); ++position) {
        const auto& sample = m_samples[position];
        if (m_received[position])
            continue;
        if (sample.ready)
            ++progress.ready;
        else if (sample.running > 0)
            ++progress.running;
        else
            ++progress.waiting;
    }
    progress.discarded = m_discarded;
    progress.tokensKept = m_tokensKept;
    progress.tokensDiscarded = m_tokensDiscarded;
    progress.tokensDuplicated = m_tokensDuplicated;
    progress.secondRuns = m_secondRuns;
    progress.isLate = !isReceived() && now > deadline();
    if (progress.waiting > 0)
        progress.reason = "samples wait for an engine";
    else if (progress.running > 0)
        progress.reason = "generations are running";
    else if (progress.ready > 0)
        progress.reason = "samples wait for the trainer's pull";
    return progress;
}

} // namespace cicadalb
