#include "cicadalb/submissions/SampleScheduler.h"

#include "cicadalb/base/EnumTable.h"

#include <algorithm>
#include <tuple>

namespace cicadalb {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Moving-average weight of the newest event in an engine's time per event; the average covers some 25 events, which is a quarter of a
    /// second of a busy engine.
    constexpr double timePerEventWeight = 0.04;
    /// The same for the average over a longer time.
    constexpr double longTimePerEventWeight = 0.005;
    /// Moving-average weight of the newest submission in a model's demand.
    constexpr double demandWeight = 0.3;
    /// Expected events of an item without a length hint.
    constexpr double defaultExpectedEvents = 20;
    /// Converts length hints from output tokens to events. Only the order and rough size of estimates depend on it.
    constexpr double tokensPerEvent = 54;
    /// Maximum number of partial texts that are kept when submissions end.
    constexpr std::size_t maximumReusableTexts = 4096;
    /// Maximum size of these texts together.
    constexpr std::size_t maximumReusableBytes = std::size_t { 8 } << 20U;

    constexpr auto runOutcomeNames = std::to_array<EnumName<RunOutcome>>({
        { RunOutcome::Complete, "complete" },
        { RunOutcome::Interrupted, "broken" },
        { RunOutcome::NotRun, "not-run" },
        { RunOutcome::ServerError, "server-error" },
        { RunOutcome::Impossible, "impossible" },
        { RunOutcome::Cancelled, "abandoned" },
        { RunOutcome::WrongWeights, "wrong-weights" },
        { RunOutcome::Oversized, "oversized" },
    });

    constexpr auto groupOrderNames = std::to_array<EnumName<GroupOrder>>({
        { GroupOrder::DueTime, "due-time" },
        { GroupOrder::InTimeFirst, "in-time-first" },
    });

} // namespace

std::string_view name(RunOutcome end) noexcept { return nameIn(runOutcomeNames, end); }
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
        if (engine.startedAt != present.startedAt)
            engine.prefill.forgetParts();
        engine.leavesAt.reset();
        engine.release = { present.pool, present.softwareVersion };
        engine.startedAt = present.startedAt;
        engine.slots = std::max(1U, present.slots);
        for (const auto& [model, version] : present.models)
            engine.weights.try_emplace(ModelName(model), version);
    }
    std::erase_if(m_engines, [](const auto& entry) { return !entry.second.isPresent && entry.second.running == 0; });
    m_releases.clear();
    for (const auto& [id, engine] : m_engines) {
        if (engine.isPresent)
            m_releases[engine.release.pool].insert(engine.release.version);
    }
}

void SampleScheduler::setLeaving(const TargetId& id, TimePoint leavesAt)
{
    const auto found = m_engines.find(id);
    if (found != m_engines.end() && !found->second.isPresent)
        found->second.leavesAt = std::min(found->second.leavesAt.value_or(leavesAt), leavesAt);
}

void SampleScheduler::setWeightVersion(const TargetId& id, const ModelName& model, std::optional<WeightVersion> version)
{
    const auto found = m_engines.find(id);
    if (found == m_engines.end())
        return;
    // What an engine keeps of prompts belongs to the weights that read them.
    if (found->second.weights[model] != version)
        found->second.prefill.forgetParts();
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
    opened.items.reserve(submission.items.size());
    std::vector<GroupId> groups;
    std::map<GroupId, std::size_t> groupNumbers;
    for (const auto& source : submission.items) {
        Item item;
        item.id = source.id;
        const auto [group, isNewGroup] = groupNumbers.try_emplace(source.group, groups.size());
        if (isNewGroup)
            groups.push_back(source.group);
        item.group = group->second;
        item.prompt = source.prompt;
        opened.hasLongPrompt = opened.hasLongPrompt || item.prompt.tokens >= PrefillLoad::minimumMeasuredTokens;
        item.expectedEvents = source.lengthHint > 0 ? source.lengthHint / tokensPerEvent : defaultExpectedEvents;
        if (done.contains(source.id))
            item.state = ItemState::Settled;
        else
            opened.waiting.insert(opened.items.size());
        if (const auto reusable = m_reusableTexts.find(source.id); reusable != m_reusableTexts.end()) {
            item.text = std::move(reusable->second);
            m_reusableBytes -= item.text.text.size();
            m_reusableTexts.erase(reusable);
            dropDisallowedText(opened, item);
        }
        opened.items.push_back(std::move(item));
    }
    markWantedGroups(opened, groups, submission.wantedGroupCount);
    double events = 0;
    for (const auto& item : opened.items)
        events += item.expectedEvents;
    auto& demand = m_demand[opened.model];
    demand = demand > 0 ? demand + demandWeight * (events - demand) : events;
    m_submissions.emplace(submission.id, std::move(opened));
    m_hasUnplannedSubmission = true;
    updatePrefillBound();
}

/// Marks the items of the groups that the trainer waits for. Groups with partial text were submitted before and always belong to them. The
/// others are added by the length of their longest item, the shortest first, until there are @p wantedGroupCount groups (0: all).
void SampleScheduler::markWantedGroups(OpenSubmission& submission, const std::vector<GroupId>& groups, std::uint64_t wantedGroupCount)
{
    std::vector<std::tuple<double, const GroupId*, std::size_t>> shortestFirst;
    shortestFirst.reserve(groups.size());
    for (std::size_t group = 0; group < groups.size(); ++group)
        shortestFirst.emplace_back(0, &groups[group], group);
    std::vector<bool> isWanted(groups.size(), false);
    for (const auto& item : submission.items) {
        auto& length = std::get<double>(shortestFirst[item.group]);
        length = std::max(length, item.expectedEvents);
        if (item.text.eventCount > 0)
            isWanted[item.group] = true;
    }
    std::sort(shortestFirst.begin(), shortestFirst.end(), [](const auto& left, const auto& right) {
        return std::tie(std::get<0>(left), *std::get<1>(left)) < std::tie(std::get<0>(right), *std::get<1>(right));
    });
    auto wanted = static_cast<std::size_t>(std::count(isWanted.begin(), isWanted.end(), true));
    for (const auto& [length, id, group] : shortestFirst) {
        if (isWanted[group] || (wantedGroupCount > 0 && wanted >= wantedGroupCount))
            continue;
        isWanted[group] = true;
        ++wanted;
    }
    for (auto& item : submission.items)
        item.isInWantedGroup = isWanted[item.group];
    submission.groups = groups.size();
    submission.wantedGroups = wanted;
}

void SampleScheduler::setState(OpenSubmission& submission, Item& item, ItemState state)
{
    const auto index = static_cast<std::size_t>(&item - submission.items.data());
    if (item.state == ItemState::Waiting)
        submission.waiting.erase(index);
    else if (item.state == ItemState::Running)
        submission.running.erase(index);
    item.state = state;
    if (state == ItemState::Waiting)
        submission.waiting.insert(index);
    else if (state == ItemState::Running)
        submission.running.insert(index);
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
            releaseSlot(found->second, item);
        }
        dropUncertainText(item);
        if (item.state != ItemState::Settled && item.text.eventCount > 0)
            keepReusableText(item.id, std::move(item.text));
    }
    m_submissions.erase(found);
    updatePrefillBound();
    return stopped;
}

void SampleScheduler::keepReusableText(const ItemId& id, PartialText text)
{
    const auto found = m_reusableTexts.find(id);
    const auto replaced = found == m_reusableTexts.end() ? 0 : found->second.text.size();
    const auto bytes = m_reusableBytes - replaced + text.text.size();
    if ((found == m_reusableTexts.end() && m_reusableTexts.size() >= maximumReusableTexts) || bytes > maximumReusableBytes)
        return;
    m_reusableBytes = bytes;
    m_reusableTexts.insert_or_assign(id, std::move(text));
}

double SampleScheduler::secondsPerEvent(const Engine& engine) const
{
    return engine.timing.recentAverage > 0 ? engine.timing.recentAverage : Seconds(assumedTimePerEvent).count();
}

void SampleScheduler::onEvent(const ItemKey& key, std::uint64_t eventId, std::string_view data, WeightVersion version, TimePoint now)
{
    auto* item = find(key);
    if (!item || item->state != ItemState::Running)
        return;
    updateTimePerEvent(*item, now);
    if (const auto engine = m_engines.find(item->engine); engine != m_engines.end() && item->text.eventCount == item->eventsAtStart) {
        engine->second.prefill.finish(item->run, now);
        m_isReadingSpeedKnown = m_isReadingSpeedKnown || engine->second.prefill.isSpeedKnown();
    }
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

void SampleScheduler::releaseSlot(const OpenSubmission& submission, const Item& item)
{
    const auto found = m_engines.find(item.engine);
    if (found == m_engines.end())
        return;
    found->second.prefill.abandon(item.run);
    --found->second.running;
    --found->second.runningByModel[submission.model];
}

/// Adds the time since a run's last event to the average of its engine.
void SampleScheduler::updateTimePerEvent(const Item& item, TimePoint now)
{
    const auto found = m_engines.find(item.engine);
    // The time to the first event includes the wait for a slot and the processing of the prompt.
    if (found == m_engines.end() || item.text.eventCount <= item.eventsAtStart)
        return;
    found->second.timing.add(Seconds(now - item.lastEventAt).count(), now);
}

void SampleScheduler::EventTiming::add(double seconds, TimePoint now)
{
    if (intervals == 0)
        firstAt = now;
    lastAt = now;
    ++intervals;
    // The first intervals count equally, so that none of them stands for all.
    const auto equalWeight = 1.0 / static_cast<double>(intervals);
    recentAverage += std::max(timePerEventWeight, equalWeight) * (seconds - recentAverage);
    longAverage += std::max(longTimePerEventWeight, equalWeight) * (seconds - longAverage);
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
    releaseSlot(submission, *item);
    setState(submission, *item, ItemState::Waiting);
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
        setState(submission, *item, ItemState::AwaitingResult);
        return ItemAction::RequestReward;
    case RunOutcome::Impossible:
        setState(submission, *item, ItemState::AwaitingResult);
        return ItemAction::GiveUp;
    case RunOutcome::ServerError:
        if (++item->serverErrors >= submission.policy.maximumServerErrors) {
            setState(submission, *item, ItemState::AwaitingResult);
            return ItemAction::GiveUp;
        }
        return ItemAction::Retry;
    case RunOutcome::NotRun:
        pauseEngine(refusalBackoff);
        return ItemAction::Retry;
    case RunOutcome::Oversized:
        item->text = {};
        pauseEngine(interruptionBackoff);
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
    auto& submission = m_submissions[key.submission];
    if (item->state == ItemState::Running)
        releaseSlot(submission, *item);
    setState(submission, *item, ItemState::Settled);
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
