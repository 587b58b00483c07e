#include "cicadalb/submissions/SampleScheduler.h"

#include "GroupPlan.h"

#include <algorithm>
#include <compare>
#include <limits>

/// @file
/// Which items the scheduler places on which engines, and which runs it moves.

namespace cicadalb {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// The remaining events of a run are estimated as at least this share of those received, since a text may be longer than expected.
    constexpr double minimumRemainingShare = 0.5;
    constexpr double minimumRemainingEvents = 5;
    /// A run is moved if it has had no event for this multiple of its engine's time per event, and for at least minimumStallTime.
    constexpr double stallFactor = 10;
    constexpr Seconds minimumStallTime { 0.7 };
    /// A run that is not stalled is moved only to an engine that is faster by more than this factor.
    constexpr double minimumSpeedup = 1.6;
    /// A run that is not stalled is moved only if it has run for this long and is expected to take this much longer.
    constexpr Seconds minimumElapsedAndRemaining { 0.4 };
    /// Time before an engine is gone at which the runs that do not end there are moved: the announcement may be this old.
    constexpr Seconds leavingMargin { 0.8 };
    /// Placements come in bursts, in which the groups that can be whole in time hardly change.
    constexpr std::chrono::milliseconds planInterval { 20 };
    /// With more groups than this, a plan is good for longer in proportion, so that plans take a bounded share of the time ...
    constexpr std::size_t groupsPerPlanInterval = 64;
    /// ... up to a time in which a submission hardly progresses.
    constexpr std::chrono::milliseconds longestPlanInterval { 200 };

    /// Events that an item still needs, by what is expected and received.
    double remainingEvents(double expected, std::size_t received)
    {
        return std::max(expected - static_cast<double>(received), minimumRemainingShare * static_cast<double>(received));
    }

    /// Order in which waiting items are placed.
    struct PlacementRank {
        bool isUnwanted = false;
        bool isLate = false;
        bool isBeginning = false;
        bool yieldsToShortPrompts = false;
        TimePoint softDeadline;
        double lessRemainingEvents = 0;
        /// Keeps the order of submissions and items among equals.
        std::size_t position = 0;
        auto operator<=>(const PlacementRank&) const = default;
    };

} // namespace

/// Engines with a free slot, by what they may run. Submissions with equal requirements share a choice.
class SampleScheduler::EngineChoices {
public:
    EngineChoices(const SampleScheduler& scheduler, TimePoint now)
        : m_scheduler(scheduler)
        , m_now(now)
    {
        for (const auto& entry : scheduler.m_engines) {
            if (scheduler.canTakeRun(entry, now))
                m_engines.push_back(&entry);
        }
    }

    /// @return the index of the submission's choice
    std::size_t indexOf(const OpenSubmission& submission)
    {
        const auto isEqual = [&](const Choice& choice) {
            return choice.example->model == submission.model && choice.example->oldestVersion == submission.oldestVersion && choice.example->policy.pools == submission.policy.pools;
        };
        const auto found = std::find_if(m_choices.begin(), m_choices.end(), isEqual);
        if (found != m_choices.end())
            return static_cast<std::size_t>(found - m_choices.begin());
        Choice choice { &submission, {}, std::numeric_limits<double>::infinity() };
        for (const auto* entry : m_engines) {
            if (!mayRun(entry->second, submission))
                continue;
            choice.engines.push_back(entry);
            choice.lowestSecondsPerEvent = std::min(choice.lowestSecondsPerEvent, m_scheduler.secondsPerEvent(entry->second));
        }
        m_choices.push_back(std::move(choice));
        return m_choices.size() - 1;
    }

    const std::vector<const EngineEntry*>& engines(std::size_t choice) const { return m_choices[choice].engines; }
    /// Of the fastest engine, before any run began.
    double lowestSecondsPerEvent(std::size_t choice) const { return m_choices[choice].lowestSecondsPerEvent; }
    bool areExhausted() const
    {
        return std::all_of(m_choices.begin(), m_choices.end(), [](const auto& choice) { return choice.engines.empty(); });
    }

    /// Removes an engine that can take no further run.
    void onRunBegun(const EngineEntry& entry)
    {
        if (m_scheduler.canTakeRun(entry, m_now))
            return;
        for (auto& choice : m_choices)
            std::erase(choice.engines, &entry);
    }

private:
    struct Choice {
        const OpenSubmission* example = nullptr;
        std::vector<const EngineEntry*> engines;
        double lowestSecondsPerEvent = 0;
    };

    const SampleScheduler& m_scheduler;
    TimePoint m_now;
    std::vector<const EngineEntry*> m_engines;
    std::vector<Choice> m_choices;
};

void SampleScheduler::updatePlan(TimePoint now)
{
    if (m_groupOrder != GroupOrder::InTimeFirst || now < m_plannedAt + (m_hasUnplannedSubmission ? planInterval : m_planInterval))
        return;
    const auto groups = markGroupsInTime(now);
    m_plannedAt = now;
    m_hasUnplannedSubmission = false;
    m_planInterval = std::clamp(planInterval * static_cast<int>(groups) / static_cast<int>(groupsPerPlanInterval), planInterval, longestPlanInterval);
}

std::size_t SampleScheduler::markGroupsInTime(TimePoint now)
{
    EngineSpeed speed;
    for (const auto& [id, engine] : m_engines) {
        if (!engine.isPresent)
            continue;
        speed.eventsPerSecond += engine.slots / secondsPerEvent(engine);
        speed.secondsPerEvent = speed.secondsPerEvent > 0 ? std::min(speed.secondsPerEvent, secondsPerEvent(engine)) : secondsPerEvent(engine);
    }
    constexpr auto none = std::numeric_limits<std::size_t>::max();
    std::vector<PlannedGroup> groups;
    std::vector<PlannedSubmission> submissions;
    std::vector<std::pair<Item*, std::size_t>> members;
    std::vector<std::size_t> indexes;
    for (auto& [id, submission] : m_submissions) {
        indexes.assign(submission.groups, none);
        const auto groupsBefore = groups.size();
        for (auto& item : submission.items) {
            const bool isUnfinished = item.state == ItemState::Waiting || item.state == ItemState::Running;
            if (!isUnfinished || !item.isInWantedGroup)
                continue;
            auto& index = indexes[item.group];
            if (index == none) {
                index = groups.size();
                groups.push_back({ submission.policy.softDeadline, 0, 0, submissions.size() });
            }
            auto& group = groups[index];
            const auto events = remainingEvents(item.expectedEvents, item.text.eventCount);
            group.remainingEvents += events;
            group.longestItem = std::max(group.longestItem, events);
            members.emplace_back(&item, index);
        }
        submissions.push_back({ submission.wantedGroups, submission.wantedGroups - (groups.size() - groupsBefore) });
    }
    const auto isSelected = selectGroupsInTime(groups, std::move(submissions), speed, now);
    for (const auto& [item, group] : members)
        item->isInTime = isSelected[group];
    double events = 0;
    double lateEvents = 0;
    for (std::size_t group = 0; group < groups.size(); ++group) {
        events += groups[group].remainingEvents;
        lateEvents += isSelected[group] ? 0 : groups[group].remainingEvents;
    }
    m_lateShare = events > 0 ? lateEvents / events : 0;
    return groups.size();
}

std::vector<Placement> SampleScheduler::place(TimePoint now)
{
    struct PlaceableSubmission {
        const SubmissionId* id;
        OpenSubmission* submission;
        std::size_t choice;
    };
    struct Candidate {
        PlacementRank rank;
        PlaceableSubmission source;
        std::size_t index;
    };
    EngineChoices choices(*this, now);
    std::vector<PlaceableSubmission> sources;
    for (auto& [id, submission] : m_submissions) {
        if (submission.waiting.empty() || submission.policy.expiresAt <= now)
            continue;
        const auto choice = choices.indexOf(submission);
        if (!choices.engines(choice).empty())
            sources.push_back({ &id, &submission, choice });
    }
    if (sources.empty())
        return {};
    updatePlan(now);
    // Texts that only some engines can continue come before those that any engine can begin.
    const bool placesTextsFirst = hasSeveralReleases();
    std::vector<Candidate> candidates;
    for (const auto& source : sources) {
        for (const auto index : source.submission->waiting) {
            auto& item = source.submission->items[index];
            if (item.notBefore > now)
                continue;
            if (!item.waitingSince)
                item.waitingSince = now;
            const auto events = item.text.eventCount;
            const PlacementRank rank { !item.isInWantedGroup, !item.isInTime, placesTextsFirst && events == 0, yieldsToShortPrompts(*source.submission, item, now), source.submission->policy.softDeadline, static_cast<double>(events) - item.expectedEvents, candidates.size() };
            candidates.push_back({ rank, source, index });
        }
    }
    const auto comesLater = [](const Candidate& left, const Candidate& right) { return left.rank > right.rank; };
    std::make_heap(candidates.begin(), candidates.end(), comesLater);
    std::vector<Placement> placements;
    while (!candidates.empty() && !choices.areExhausted()) {
        std::pop_heap(candidates.begin(), candidates.end(), comesLater);
        const auto [rank, source, index] = candidates.back();
        candidates.pop_back();
        auto& item = source.submission->items[index];
        const auto* engine = chooseEngine(*source.submission, item, choices.engines(source.choice), now);
        if (!engine)
            continue;
        beginRun(*source.submission, item, engine->first, now);
        placements.push_back({ { *source.id, index }, engine->first, engine->second.startedAt });
        choices.onRunBegun(*engine);
    }
    return placements;
}

void SampleScheduler::beginRun(OpenSubmission& submission, Item& item, const TargetId& id, TimePoint now)
{
    auto& engine = m_engines[id];
    ++engine.running;
    ++engine.runningByModel[submission.model];
    if (m_rateLimits)
        m_rateLimits->record(id, now);
    item.run = ++m_lastRun;
    item.waitingSince.reset();
    engine.prefill.begin(item.run, promptToRead(item), now);
    setState(submission, item, ItemState::Running);
    item.engine = id;
    item.startedAt = now;
    item.lastEventAt = now;
    item.eventsAtStart = item.text.eventCount;
    item.runRelease = engine.release;
    item.runEngineStartedAt = engine.startedAt;
}

bool SampleScheduler::canTakeRun(const EngineEntry& entry, TimePoint now) const
{
    const auto& [id, engine] = entry;
    if (!engine.isPresent || engine.running >= engine.slots || engine.pausedUntil > now)
        return false;
    return !m_rateLimits || m_rateLimits->untilNext(id, now) <= Duration::zero();
}

bool SampleScheduler::mayRun(const Engine& engine, const OpenSubmission& submission)
{
    const auto& pools = submission.policy.pools;
    if (std::find(pools.begin(), pools.end(), engine.release.pool) == pools.end())
        return false;
    const auto weights = engine.weights.find(submission.model);
    return weights != engine.weights.end() && weights->second && *weights->second >= submission.oldestVersion;
}

bool SampleScheduler::canContinue(const Engine& engine, const OpenSubmission& submission, const PartialText& text)
{
    if (text.eventCount == 0)
        return true;
    if (!engine.release.isCompatibleWith(text.release))
        return false;
    if (!submission.policy.requiresSingleVersion)
        return true;
    const auto weights = engine.weights.find(submission.model);
    return weights != engine.weights.end() && weights->second && text.versions.contains(*weights->second);
}

const SampleScheduler::EngineEntry* SampleScheduler::chooseEngine(const OpenSubmission& submission, Item& item, const std::vector<const EngineEntry*>& engines, TimePoint now)
{
    auto reading = readingOf(submission, item, now);
    const auto* continuing = bestEngine(submission, item.text, TextUse::Continue, engines, reading ? &*reading : nullptr);
    if (!continuing && reading && reading->hasPassedOver)
        ++m_prefillWaits;
    if (item.text.eventCount == 0)
        return continuing;
    const auto* beginning = bestEngine(submission, item.text, TextUse::BeginAgain, engines);
    if (!beginning)
        return continuing;
    if (!item.textBlockedSince)
        item.textBlockedSince = now;
    const auto timeToRegenerate = Seconds(secondsPerEvent(beginning->second) * static_cast<double>(item.text.eventCount));
    if (hasContinuingEngine(submission, item.text) && now - *item.textBlockedSince <= timeToRegenerate)
        return continuing;
    item.text = {};
    item.textBlockedSince.reset();
    return beginning;
}

bool SampleScheduler::hasContinuingEngine(const OpenSubmission& submission, const PartialText& text) const
{
    const auto& pools = submission.policy.pools;
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& entry) {
        const auto& engine = entry.second;
        return engine.isPresent && canContinue(engine, submission, text) && std::find(pools.begin(), pools.end(), engine.release.pool) != pools.end();
    });
}

bool SampleScheduler::hasSeveralReleases() const
{
    return std::any_of(m_releases.begin(), m_releases.end(), [](const auto& entry) { return entry.second.size() > 1; });
}

const SampleScheduler::EngineEntry* SampleScheduler::bestEngine(const OpenSubmission& submission, const PartialText& text, TextUse use, const std::vector<const EngineEntry*>& engines, Reading* reading) const
{
    const EngineEntry* best = nullptr;
    auto lowestCost = std::numeric_limits<double>::infinity();
    for (const auto* entry : engines) {
        const auto& engine = entry->second;
        if (canContinue(engine, submission, text) != (use == TextUse::Continue))
            continue;
        const auto readingSeconds = reading ? readingSecondsPerEvent(engine, *reading) : std::optional(0.0);
        if (!readingSeconds)
            continue;
        // An engine of another model is used only if the model's own engines are full or cost more than 1.5 times as much.
        const double assignmentPenalty = engine.assignedModel == submission.model || engine.assignedModel.isEmpty() ? 1.0 : 1.5;
        const double loadPenalty = 1.0 + 0.3 * engine.running / engine.slots;
        const auto cost = secondsPerEvent(engine) * loadPenalty * assignmentPenalty + *readingSeconds;
        if (cost < lowestCost) {
            lowestCost = cost;
            best = entry;
        }
    }
    return best;
}

std::vector<ItemKey> SampleScheduler::itemsToMove(TimePoint now) const
{
    /// The best engine for texts of one release, where nothing else about a text matters.
    struct KnownBest {
        std::size_t choice;
        const SoftwareRelease* release;
        const EngineEntry* engine;
    };
    std::vector<KnownBest> known;
    std::vector<ItemKey> keys;
    EngineChoices choices(*this, now);
    const auto bestFor = [&](const OpenSubmission& submission, const PartialText& text, std::size_t choice) {
        if (submission.policy.requiresSingleVersion || text.eventCount == 0)
            return bestEngine(submission, text, TextUse::Continue, choices.engines(choice));
        const auto found = std::find_if(known.begin(), known.end(), [&](const auto& entry) { return entry.choice == choice && *entry.release == text.release; });
        if (found != known.end())
            return found->engine;
        const auto* best = bestEngine(submission, text, TextUse::Continue, choices.engines(choice));
        known.push_back({ choice, &text.release, best });
        return best;
    };
    /// Slots on each engine that are taken by moves of this call.
    std::map<const Engine*, unsigned> reservedSlots;
    for (const auto& [id, submission] : m_submissions) {
        for (const auto index : submission.running) {
            const auto& item = submission.items[index];
            const auto* current = findEngine(item.engine);
            if (!current)
                continue;
            const auto currentSeconds = secondsPerEvent(*current);
            const auto timeSinceEvent = Seconds(now - item.lastEventAt);
            if (timeSinceEvent > minimumStallTime && timeSinceEvent.count() > stallFactor * currentSeconds) {
                keys.push_back({ id, index });
                continue;
            }
            const auto received = static_cast<double>(item.text.eventCount);
            const auto remaining = std::max({ minimumRemainingEvents, item.expectedEvents - received, minimumRemainingShare * received });
            if (current->leavesAt && *current->leavesAt - now < leavingMargin) {
                if (Seconds(remaining * currentSeconds) > *current->leavesAt - now)
                    keys.push_back({ id, index });
                continue;
            }
            if (Seconds(remaining * currentSeconds) < minimumElapsedAndRemaining || Seconds(now - item.startedAt) < minimumElapsedAndRemaining)
                continue;
            const auto choice = choices.indexOf(submission);
            if (currentSeconds <= minimumSpeedup * choices.lowestSecondsPerEvent(choice))
                continue;
            const auto* best = bestFor(submission, item.text, choice);
            if (!best || &best->second == current)
                continue;
            const auto& candidate = best->second;
            const bool hasRoom = candidate.running + reservedSlots[&candidate] + 1 < candidate.slots;
            if (hasRoom && currentSeconds > minimumSpeedup * secondsPerEvent(candidate)) {
                ++reservedSlots[&candidate];
                keys.push_back({ id, index });
            }
        }
    }
    return keys;
}

} // namespace cicadalb
