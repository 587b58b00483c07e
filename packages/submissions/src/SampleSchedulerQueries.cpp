#include "cicadalb/submissions/SampleScheduler.h"

#include <algorithm>

/// @file
/// What the scheduler tells about its items and engines.

namespace cicadalb {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Intervals, and time, that an average of an engine's time per event covers at least.
    constexpr std::size_t minimumAveragedIntervals = 100;
    constexpr std::chrono::milliseconds minimumAveragedTime { 1000 };

} // namespace

const PartialText* SampleScheduler::partialText(const ItemKey& key) const
{
    const auto* item = find(key);
    return item ? &item->text : nullptr;
}

bool SampleScheduler::isOpen(const ItemKey& key) const
{
    const auto* item = find(key);
    return item && item->state != ItemState::Settled;
}

std::vector<ItemText> SampleScheduler::partialTexts(std::size_t minimumEvents, std::size_t maximumBytes) const
{
    std::vector<const Item*> items;
    const auto add = [&](const OpenSubmission& submission, const std::set<std::size_t>& indexes) {
        for (const auto index : indexes) {
            const auto& item = submission.items[index];
            if (item.text.eventCount >= std::max<std::size_t>(1, minimumEvents) && !isRunReleaseUncertain(item))
                items.push_back(&item);
        }
    };
    for (const auto& [id, submission] : m_submissions) {
        add(submission, submission.waiting);
        add(submission, submission.running);
    }
    std::sort(items.begin(), items.end(), [](const auto* left, const auto* right) { return left->text.eventCount > right->text.eventCount; });
    std::vector<ItemText> texts;
    std::size_t totalBytes = 0;
    for (const auto* item : items) {
        totalBytes += item->text.text.size();
        if (totalBytes > maximumBytes)
            break;
        texts.push_back({ item->id, item->text });
    }
    return texts;
}

void SampleScheduler::addPartialTexts(std::vector<ItemText> texts)
{
    for (auto& entry : texts)
        if (!m_reusableTexts.contains(entry.item))
            keepReusableText(entry.item, std::move(entry.text));
}

std::size_t SampleScheduler::runningCount() const
{
    std::size_t count = 0;
    for (const auto& [id, engine] : m_engines)
        count += engine.running;
    return count;
}

std::size_t SampleScheduler::waitingCount() const
{
    std::size_t count = 0;
    for (const auto& [id, submission] : m_submissions)
        count += submission.waiting.size();
    return count;
}

std::size_t SampleScheduler::waitingCount(const ModelName& model) const
{
    std::size_t count = 0;
    for (const auto& [id, submission] : m_submissions) {
        if (submission.model == model)
            count += submission.waiting.size();
    }
    return count;
}

std::optional<Duration> SampleScheduler::averageTimePerEvent(const TargetId& id) const
{
    const auto* found = findEngine(id);
    if (!found || found->timing.intervals < minimumAveragedIntervals || found->timing.lastAt - found->timing.firstAt < minimumAveragedTime)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(Seconds(found->timing.longAverage));
}

std::size_t SampleScheduler::runningCountOn(const TargetId& id, const ModelName& model) const
{
    const auto* engine = findEngine(id);
    if (!engine)
        return 0;
    const auto found = engine->runningByModel.find(model);
    return found == engine->runningByModel.end() ? 0 : found->second;
}

std::size_t SampleScheduler::runningCountOn(const TargetId& id) const
{
    const auto* found = findEngine(id);
    return found ? found->running : 0;
}

Duration SampleScheduler::timePerEvent(const TargetId& id) const
{
    const auto* found = findEngine(id);
    return std::chrono::duration_cast<Duration>(Seconds(found ? secondsPerEvent(*found) : Seconds(assumedTimePerEvent).count()));
}

std::optional<WeightVersion> SampleScheduler::oldestAllowedVersion(const ModelName& model) const
{
    std::optional<WeightVersion> needed;
    for (const auto& [id, submission] : m_submissions) {
        if (submission.model == model)
            needed = std::max(needed.value_or(0), submission.oldestVersion);
    }
    return needed;
}

} // namespace cicadalb
