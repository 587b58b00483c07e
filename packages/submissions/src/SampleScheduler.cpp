#include "cicadalb/submissions/SampleScheduler.h"

#include "GroupPlan.h"

#include "cicadalb/base/EnumTable.h"

#include <algorithm>
#include <limits>

namespace cicadalb {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Moving-average weight of the newest event in an engine's time per event; the average covers some 25 events, which is a quarter of a
    /// second of a busy engine.
    constexpr double timePerEventWeight = 0.04;
    /// Moving-average weight of the newest submission in a model's demand.
    constexpr double demandWeight = 0.3;
    /// The remaining events of a run are estimated as at least this share of those received, since a text may be longer than expected.
    constexpr double minimumRemainingShare = 0.5;
    constexpr double minimumRemainingEvents = 5;
    /// Expected events of an item without a length hint.
    constexpr double defaultExpectedEvents = 20;
    /// Converts length hints from output tokens to events. Only the order and rough size of estimates depend on it.
    constexpr double tokensPerEvent = 54;
    /// A run is moved if it has had no event for this multiple of its engine's time per event, and for at least minimumStallTime.
    constexpr double stallFactor = 10;
    constexpr Seconds minimumStallTime { 0.7 };
    /// A run that is not stalled is moved only to an engine that is faster by more than this factor.
    constexpr double minimumSpeedup = 1.6;
    /// A run that is not stalled is moved only if it has run for this long and is expected to take this much longer.
    constexpr Seconds minimumElapsedAndRemaining { 0.4 };
    /// Maximum number of partial texts that are kept when submissions end.
    constexpr std::size_t maximumReusableTexts = 4096;

    constexpr auto runOutcomeNames = std::to_array<EnumName<RunOutcome>>({
        { RunOutcome::Complete, "complete" },
        { RunOutcome::Interrupted, "broken" },
        { RunOutcome::NotRun, "not-run" },
        { RunOutcome::ServerError, "server-error" },
        { RunOutcome::Impossible, "impossible" },
        { RunOutcome::Cancelled, "abandoned" },
        { RunOutcome::WrongWeights, "wrong-weights" },
    });

    /// Placements come in bursts, in which the groups that can be whole in time hardly change.
    constexpr std::chrono::milliseconds planInterval { 20 };

    constexpr auto groupOrderNames = std::to_array<EnumName<GroupOrder>>({
        { GroupOrder::DueTime, "due-time" },
        { GroupOrder::InTimeFirst, "in-time-first" },
    });

    /// Events that an item still needs, by what is expected and received.
    double remainingEvents(double expected, std::size_t received)
    {
        return std::max(expected - static_cast<double>(received), minimumRemainingShare * static_cast<double>(received));
    }

    /// Expected events of each group's longest item.
    template <typename Items>
    std::map<GroupId, double> groupLengths(const Items& items)
    {
        std::map<GroupId, double> lengths;
        for (const auto& item : items) {
            auto& length = lengths[item.group];
            length = std::max(length, item.expectedEvents);
        }
        return lengths;
    }

} // namespace

std::string_view name(RunOutcome end) noexcept { return nameIn(runOutcomeNames, end); }
std::optional<RunOutcome> runOutcomeNamed(std::string_view name) noexcept { return valueIn(runOutcomeNames, name); }
std::string_view name(GroupOrder order) noexcept { return nameIn(groupOrderNames, order); }

void PartialText::append(std::uint64_t eventId, std::string_view data, WeightVersion version)
{
    if (eventCount > 0)
        text += '\n';
    text += data;
    lastEventId = eventId;
    ++eventCount;
    versions.insert(version);
}

void SampleScheduler::setEngines(const std::vector<SchedulableEngine>& engines)
{
    for (auto& [id, engine] : m_engines)
        engine.isPresent = false;
    for (const auto& present : engines) {
        auto& engine = m_engines[present.id];
        engine.isPresent = true;
        engine.release = { present.pool, present.softwareVersion };
        engine.startedAt = present.startedAt;
        engine.slots = std::max(1U, present.slots);
        for (const auto& [model, version] : present.models)
            engine.weights.try_emplace(ModelName(model), version);
    }
    std::erase_if(m_engines, [](const auto& entry) { return !entry.second.isPresent && entry.second.running == 0; });
}

void SampleScheduler::setWeightVersion(const TargetId& id, const ModelName& model, std::optional<WeightVersion> version)
{
    if (const auto found = m_engines.find(id); found != m_engines.end())
        found->second.weights[model] = version;
}

void SampleScheduler::setAssignedModel(const TargetId& id, const ModelName& model)
{
    if (const auto found = m_engines.find(id); found != m_engines.end())
        found->second.assignedModel = model;
}

void SampleScheduler::add(const Submission& submission, const SubmissionPolicy& policy, const std::set<ItemId>& done)
{
    if (m_submissions.contains(submission.id))
        return;
    OpenSubmission opened;
    opened.model = submission.model;
    opened.oldestVersion = submission.oldestVersion;
    opened.policy = policy;
    for (const auto& source : submission.items) {
        Item item;
        item.id = source.id;
        item.group = source.group;
        item.expectedEvents = source.lengthHint > 0 ? source.lengthHint / tokensPerEvent : defaultExpectedEvents;
        if (done.contains(source.id))
            item.state = ItemState::Settled;
        if (const auto reusable = m_reusableTexts.find(source.id); reusable != m_reusableTexts.end()) {
            item.text = std::move(reusable->second);
            m_reusableTexts.erase(reusable);
            dropDisallowedText(opened, item);
        }
        opened.items.push_back(std::move(item));
    }
    markWantedGroups(opened, submission.wantedGroupCount);
    double events = 0;
    for (const auto& item : opened.items)
        events += item.expectedEvents;
    auto& demand = m_demand[opened.model];
    demand = demand > 0 ? demand + demandWeight * (events - demand) : events;
    m_submissions.emplace(submission.id, std::move(opened));
}

/// Marks the items of the groups that the trainer waits for. Groups with partial text were submitted before and always belong to them. The
/// others are added by the length of their longest item, the shortest first, until there are @p wantedGroupCount groups (0: all).
void SampleScheduler::markWantedGroups(OpenSubmission& submission, std::uint64_t wantedGroupCount)
{
    const auto lengths = groupLengths(submission.items);
    std::set<GroupId> wanted;
    for (const auto& item : submission.items) {
        if (item.text.eventCount > 0)
            wanted.insert(item.group);
    }
    std::vector<std::pair<double, GroupId>> shortestFirst;
    shortestFirst.reserve(lengths.size());
    for (const auto& [group, length] : lengths)
        shortestFirst.emplace_back(length, group);
    std::sort(shortestFirst.begin(), shortestFirst.end());
    for (const auto& [length, group] : shortestFirst) {
        if (wantedGroupCount == 0 || wanted.size() < wantedGroupCount)
            wanted.insert(group);
    }
    for (auto& item : submission.items)
        item.isInWantedGroup = wanted.contains(item.group);
}

void SampleScheduler::setPools(const SubmissionId& id, std::vector<PoolName> pools)
{
    if (const auto found = m_submissions.find(id); found != m_submissions.end())
        found->second.policy.pools = std::move(pools);
}

std::vector<ItemKey> SampleScheduler::remove(const SubmissionId& id)
{
    std::vector<ItemKey> stopped;
    const auto found = m_submissions.find(id);
    if (found == m_submissions.end())
        return stopped;
    for (std::size_t index = 0; index < found->second.items.size(); ++index) {
        auto& item = found->second.items[index];
        if (item.state == ItemState::Running) {
            stopped.push_back({ id, index });
            if (const auto engine = m_engines.find(item.engine); engine != m_engines.end())
                --engine->second.running;
        }
        dropUncertainText(item);
        if (item.state != ItemState::Settled && item.text.eventCount > 0 && m_reusableTexts.size() < maximumReusableTexts)
            m_reusableTexts.insert_or_assign(item.id, std::move(item.text));
    }
    m_submissions.erase(found);
    return stopped;
}

bool SampleScheduler::hasFreeSlot() const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [](const auto& entry) { return entry.second.isPresent && entry.second.running < entry.second.slots; });
}

void SampleScheduler::markGroupsInTime(TimePoint now)
{
    EngineSpeed speed;
    for (const auto& [id, engine] : m_engines) {
        if (!engine.isPresent)
            continue;
        speed.eventsPerSecond += engine.slots / secondsPerEvent(engine);
        speed.secondsPerEvent = speed.secondsPerEvent > 0 ? std::min(speed.secondsPerEvent, secondsPerEvent(engine)) : secondsPerEvent(engine);
    }
    std::vector<PlannedGroup> groups;
    std::vector<PlannedSubmission> submissions;
    std::vector<std::pair<Item*, std::size_t>> members;
    for (auto& [id, submission] : m_submissions) {
        std::map<GroupId, std::size_t> indexes;
        std::set<GroupId> wanted;
        for (auto& item : submission.items) {
            const bool isUnfinished = item.state == ItemState::Waiting || item.state == ItemState::Running;
            if (item.isInWantedGroup)
                wanted.insert(item.group);
            if (!isUnfinished || !item.isInWantedGroup)
                continue;
            const auto [index, isNew] = indexes.try_emplace(item.group, groups.size());
            if (isNew)
                groups.push_back({ submission.policy.softDeadline, 0, 0, submissions.size() });
            auto& group = groups[index->second];
            const auto events = remainingEvents(item.expectedEvents, item.text.eventCount);
            group.remainingEvents += events;
            group.longestItem = std::max(group.longestItem, events);
            members.emplace_back(&item, index->second);
        }
        submissions.push_back({ wanted.size(), wanted.size() - indexes.size() });
    }
    const auto isSelected = selectGroupsInTime(groups, std::move(submissions), speed, now);
    for (const auto& [item, group] : members)
        item->isInTime = isSelected[group];
}

std::vector<Placement> SampleScheduler::place(TimePoint now)
{
    if (!hasFreeSlot())
        return {};
    if (m_groupOrder == GroupOrder::InTimeFirst && now >= m_nextPlanAt) {
        markGroupsInTime(now);
        m_nextPlanAt = now + planInterval;
    }
    struct Candidate {
        ItemKey key;
        OpenSubmission* submission;
        Item* item;
    };
    std::vector<Candidate> candidates;
    for (auto& [id, submission] : m_submissions) {
        for (std::size_t index = 0; index < submission.items.size(); ++index) {
            auto& item = submission.items[index];
            if (item.state == ItemState::Waiting && item.notBefore <= now && submission.policy.expiresAt > now)
                candidates.push_back({ { id, index }, &submission, &item });
        }
    }
    // Texts that only some engines can continue come before those that any engine can begin.
    const bool placesTextsFirst = hasSeveralReleases();
    const auto sortKey = [placesTextsFirst](const Candidate& candidate) {
        const auto events = candidate.item->text.eventCount;
        const auto remaining = candidate.item->expectedEvents - static_cast<double>(events);
        return std::tuple(!candidate.item->isInWantedGroup, !candidate.item->isInTime, placesTextsFirst && events == 0, candidate.submission->policy.softDeadline, -remaining);
    };
    std::sort(candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) { return sortKey(left) < sortKey(right); });
    std::vector<Placement> placements;
    for (auto& [key, submission, item] : candidates) {
        const auto engineId = chooseEngine(*submission, *item, now);
        if (!engineId)
            continue;
        auto& engine = m_engines[*engineId];
        ++engine.running;
        if (m_rateLimits)
            m_rateLimits->record(*engineId, now);
        item->state = ItemState::Running;
        item->engine = *engineId;
        item->startedAt = now;
        item->lastEventAt = now;
        item->eventsAtStart = item->text.eventCount;
        item->runRelease = engine.release;
        item->runEngineStartedAt = engine.startedAt;
        placements.push_back({ key, *engineId, engine.startedAt });
    }
    return placements;
}

bool SampleScheduler::adopt(const ItemKey& key, RunningItem run, TimePoint now)
{
    auto* item = find(key);
    if (!item || item->state != ItemState::Waiting)
        return false;
    const auto [engine, isNew] = m_engines.try_emplace(run.engine);
    if (isNew)
        engine->second.isPresent = false;
    ++engine->second.running;
    item->state = ItemState::Running;
    item->engine = std::move(run.engine);
    item->startedAt = run.startedAt;
    item->lastEventAt = now;
    item->eventsAtStart = run.eventsAtStart;
    item->runRelease = std::move(run.release);
    item->runEngineStartedAt = run.engineStartedAt;
    item->text = std::move(run.text);
    item->textBlockedSince.reset();
    return true;
}

bool SampleScheduler::canRun(const TargetId& id, const Engine& engine, const OpenSubmission& submission, TimePoint now) const
{
    if (!engine.isPresent || engine.running >= engine.slots || engine.pausedUntil > now)
        return false;
    if (m_rateLimits && m_rateLimits->untilNext(id, now) > Duration::zero())
        return false;
    if (std::find(submission.policy.pools.begin(), submission.policy.pools.end(), engine.release.pool) == submission.policy.pools.end())
        return false;
    const auto weights = engine.weights.find(submission.model);
    return weights != engine.weights.end() && weights->second && *weights->second >= submission.oldestVersion;
}

bool SampleScheduler::canUseText(const Engine& engine, const OpenSubmission& submission, const PartialText& text, TextUse use)
{
    const bool isCompatible = text.eventCount == 0 || engine.release.isCompatibleWith(text.release);
    if (use == TextUse::BeginAgain)
        return !isCompatible;
    if (!isCompatible)
        return false;
    const auto weights = engine.weights.find(submission.model);
    const bool hasWeights = weights != engine.weights.end() && weights->second;
    return !submission.policy.requiresSingleVersion || text.versions.empty() || (hasWeights && text.versions.contains(*weights->second));
}

std::optional<TargetId> SampleScheduler::chooseEngine(const OpenSubmission& submission, Item& item, TimePoint now)
{
    auto continuing = bestEngine(submission, item, TextUse::Continue, now);
    if (item.text.eventCount == 0)
        return continuing;
    auto beginning = bestEngine(submission, item, TextUse::BeginAgain, now);
    if (!beginning)
        return continuing;
    if (!item.textBlockedSince)
        item.textBlockedSince = now;
    const auto timeToRegenerate = Seconds(secondsPerEvent(m_engines[*beginning]) * static_cast<double>(item.text.eventCount));
    if (hasEngineWith(item.text.release, submission) && now - *item.textBlockedSince <= timeToRegenerate)
        return continuing;
    item.text = {};
    item.textBlockedSince.reset();
    return beginning;
}

bool SampleScheduler::hasEngineWith(const SoftwareRelease& release, const OpenSubmission& submission) const
{
    const auto& pools = submission.policy.pools;
    return std::find(pools.begin(), pools.end(), release.pool) != pools.end()
        && std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& entry) { return entry.second.isPresent && entry.second.release.isCompatibleWith(release); });
}

bool SampleScheduler::hasSeveralReleases() const
{
    std::map<PoolName, SoftwareVersion> versions;
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& entry) {
        const auto& [pool, version] = entry.second.release;
        return entry.second.isPresent && versions.try_emplace(pool, version).first->second != version;
    });
}

std::optional<TargetId> SampleScheduler::bestEngine(const OpenSubmission& submission, const Item& item, TextUse use, TimePoint now) const
{
    std::optional<TargetId> best;
    auto lowestCost = std::numeric_limits<double>::infinity();
    for (const auto& [id, engine] : m_engines) {
        if (!canRun(id, engine, submission, now) || !canUseText(engine, submission, item.text, use))
            continue;
        // An engine of another model is used only if the model's own engines are full or cost more than 1.5 times as much.
        const double assignmentPenalty = engine.assignedModel == submission.model || engine.assignedModel.isEmpty() ? 1.0 : 1.5;
        const double loadPenalty = 1.0 + 0.3 * engine.running / engine.slots;
        const auto cost = secondsPerEvent(engine) * loadPenalty * assignmentPenalty;
        if (cost < lowestCost) {
            lowestCost = cost;
            best = id;
        }
    }
    return best;
}

double SampleScheduler::secondsPerEvent(const Engine& engine) const
{
    return engine.measuredSecondsPerEvent > 0 ? engine.measuredSecondsPerEvent : Seconds(assumedTimePerEvent).count();
}

void SampleScheduler::onEvent(const ItemKey& key, std::uint64_t eventId, std::string_view data, WeightVersion version, TimePoint now)
{
    auto* item = find(key);
    if (!item || item->state != ItemState::Running)
        return;
    updateTimePerEvent(*item, now);
    if (item->text.eventCount == 0)
        item->text.release = item->runRelease;
    item->text.append(eventId, data, version);
    item->lastEventAt = now;
    item->textBlockedSince.reset();
}

bool SampleScheduler::isRunReleaseUncertain(const Item& item) const
{
    const auto* engine = findEngine(item.engine);
    const bool hasGrown = item.state == ItemState::Running && item.text.eventCount > item.eventsAtStart;
    return hasGrown && engine && engine->startedAt != item.runEngineStartedAt && !engine->release.isCompatibleWith(item.runRelease);
}

/// A text that began in the run is whole, but nothing may continue it; one that the run has continued may be of two releases.
void SampleScheduler::dropUncertainText(Item& item) const
{
    if (!isRunReleaseUncertain(item))
        return;
    if (item.eventsAtStart == 0)
        item.text.release = {};
    else
        item.text = {};
}

void SampleScheduler::releaseSlot(Item& item)
{
    if (const auto found = m_engines.find(item.engine); found != m_engines.end())
        --found->second.running;
}

/// Adds the time since a run's last event to the average of its engine.
void SampleScheduler::updateTimePerEvent(const Item& item, TimePoint now)
{
    const auto found = m_engines.find(item.engine);
    // The time to the first event includes the wait for a slot and the processing of the prompt.
    if (found == m_engines.end() || item.text.eventCount <= item.eventsAtStart)
        return;
    auto& average = found->second.measuredSecondsPerEvent;
    const auto elapsed = Seconds(now - item.lastEventAt).count();
    average = average > 0 ? average + timePerEventWeight * (elapsed - average) : elapsed;
}

/// Drops text that was generated with weights that the submission does not allow.
void SampleScheduler::dropDisallowedText(const OpenSubmission& submission, Item& item) const
{
    const auto& versions = item.text.versions;
    const bool isTooOld = !versions.empty() && *versions.begin() < submission.oldestVersion;
    if (isTooOld || (submission.policy.requiresSingleVersion && versions.size() > 1))
        item.text = {};
}

ItemAction SampleScheduler::onRunEnd(const ItemKey& key, RunOutcome end, TimePoint now)
{
    auto* item = find(key);
    if (!item || item->state != ItemState::Running)
        return ItemAction::Nothing;
    auto& submission = m_submissions[key.submission];
    const auto eventsBefore = item->text.eventCount;
    dropUncertainText(*item);
    releaseSlot(*item);
    item->state = ItemState::Waiting;
    item->notBefore = now;
    dropDisallowedText(submission, *item);
    const bool hasDroppedText = item->text.eventCount < eventsBefore;
    const auto pauseEngine = [&](Duration duration) {
        if (const auto engine = m_engines.find(item->engine); engine != m_engines.end())
            engine->second.pausedUntil = now + duration;
    };
    switch (end) {
    case RunOutcome::Complete:
        if (hasDroppedText || item->text.eventCount == 0)
            return ItemAction::Retry;
        item->state = ItemState::AwaitingResult;
        return ItemAction::RequestReward;
    case RunOutcome::Impossible:
        item->state = ItemState::AwaitingResult;
        return ItemAction::GiveUp;
    case RunOutcome::ServerError:
        if (++item->serverErrors >= submission.policy.maximumServerErrors) {
            item->state = ItemState::AwaitingResult;
            return ItemAction::GiveUp;
        }
        return ItemAction::Retry;
    case RunOutcome::NotRun:
        pauseEngine(refusalBackoff);
        return ItemAction::Retry;
    case RunOutcome::Interrupted:
    case RunOutcome::WrongWeights:
        // An engine whose weights differ from its report would waste the next runs as well.
        pauseEngine(interruptionBackoff);
        return ItemAction::Retry;
    case RunOutcome::Cancelled:
        return ItemAction::Retry;
    }
    return ItemAction::Retry;
}

void SampleScheduler::settle(const ItemKey& key)
{
    auto* item = find(key);
    if (!item)
        return;
    if (item->state == ItemState::Running)
        releaseSlot(*item);
    item->state = ItemState::Settled;
    item->text = {};
}

std::vector<ItemKey> SampleScheduler::expiredItems(TimePoint now) const
{
    std::vector<ItemKey> keys;
    for (const auto& [id, submission] : m_submissions) {
        if (submission.policy.expiresAt > now)
            continue;
        for (std::size_t index = 0; index < submission.items.size(); ++index) {
            if (submission.items[index].state != ItemState::Settled)
                keys.push_back({ id, index });
        }
    }
    return keys;
}

std::vector<ItemKey> SampleScheduler::itemsToMove(TimePoint now) const
{
    std::vector<ItemKey> keys;
    /// Slots on each engine that are taken by moves of this call.
    std::map<TargetId, unsigned> reservedSlots;
    for (const auto& [id, submission] : m_submissions) {
        for (std::size_t index = 0; index < submission.items.size(); ++index) {
            const auto& item = submission.items[index];
            if (item.state != ItemState::Running)
                continue;
            const auto* current = findEngine(item.engine);
            if (!current)
                continue;
            const auto timeSinceEvent = Seconds(now - item.lastEventAt);
            if (timeSinceEvent > minimumStallTime && timeSinceEvent.count() > stallFactor * secondsPerEvent(*current)) {
                keys.push_back({ id, index });
                continue;
            }
            const auto received = static_cast<double>(item.text.eventCount);
            const auto remaining = std::max({ minimumRemainingEvents, item.expectedEvents - received, minimumRemainingShare * received });
            if (Seconds(remaining * secondsPerEvent(*current)) < minimumElapsedAndRemaining || Seconds(now - item.startedAt) < minimumElapsedAndRemaining)
                continue;
            const auto best = bestEngine(submission, item, TextUse::Continue, now);
            if (!best || *best == item.engine)
                continue;
            const auto* candidate = findEngine(*best);
            const bool hasRoom = candidate->running + reservedSlots[*best] + 1 < candidate->slots;
            if (hasRoom && secondsPerEvent(*current) > minimumSpeedup * secondsPerEvent(*candidate)) {
                ++reservedSlots[*best];
                keys.push_back({ id, index });
            }
        }
    }
    return keys;
}

SampleScheduler::Item* SampleScheduler::find(const ItemKey& key)
{
    const auto found = m_submissions.find(key.submission);
    return found == m_submissions.end() || key.index >= found->second.items.size() ? nullptr : &found->second.items[key.index];
}

const SampleScheduler::Item* SampleScheduler::find(const ItemKey& key) const
{
    const auto found = m_submissions.find(key.submission);
    return found == m_submissions.end() || key.index >= found->second.items.size() ? nullptr : &found->second.items[key.index];
}

const SampleScheduler::Engine* SampleScheduler::findEngine(const TargetId& id) const
{
    const auto found = m_engines.find(id);
    return found == m_engines.end() ? nullptr : &found->second;
}

} // namespace cicadalb
