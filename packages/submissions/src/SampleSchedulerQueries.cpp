#include "cicadalb/submissions/SampleScheduler.h"

#include <algorithm>

/// @file
/// What the scheduler tells about its items and engines.

namespace cicadalb {

namespace {

    using Seconds = std::chrono::duration<double>;

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
    std::vector<ItemText> texts;
    for (const auto& [id, submission] : m_submissions) {
        for (const auto& item : submission.items) {
            const bool isUnfinished = item.state == ItemState::Waiting || item.state == ItemState::Running;
            if (isUnfinished && !isRunReleaseUncertain(item) && item.text.eventCount >= std::max<std::size_t>(1, minimumEvents))
                texts.push_back({ item.id, item.text });
        }
    }
    std::sort(texts.begin(), texts.end(), [](const auto& left, const auto& right) { return left.text.eventCount > right.text.eventCount; });
    std::size_t totalBytes = 0;
    const auto end = std::find_if(texts.begin(), texts.end(), [&](const auto& entry) { return (totalBytes += entry.text.text.size()) > maximumBytes; });
    texts.erase(end, texts.end());
    return texts;
}

void SampleScheduler::addPartialTexts(std::vector<ItemText> texts)
{
    for (auto& entry : texts)
        m_reusableTexts.try_emplace(entry.item, std::move(entry.text));
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
        count += static_cast<std::size_t>(std::count_if(submission.items.begin(), submission.items.end(), [](const auto& item) { return item.state == ItemState::Waiting; }));
    return count;
}

std::size_t SampleScheduler::waitingCount(const ModelName& model) const
{
    std::size_t count = 0;
    for (const auto& [id, submission] : m_submissions) {
        if (submission.model == model)
            count += static_cast<std::size_t>(std::count_if(submission.items.begin(), submission.items.end(), [](const auto& item) { return item.state == ItemState::Waiting; }));
    }
    return count;
}

bool SampleScheduler::hasMeasuredTimePerEvent(const TargetId& id) const
{
    const auto* found = findEngine(id);
    return found && found->measuredSecondsPerEvent > 0;
}

std::size_t SampleScheduler::runningCountOn(const TargetId& engine, const ModelName& model) const
{
    std::size_t count = 0;
    for (const auto& [id, submission] : m_submissions) {
        if (submission.model != model)
            continue;
        count += static_cast<std::size_t>(std::count_if(submission.items.begin(), submission.items.end(),
            [&](const auto& item) { return item.state == ItemState::Running && item.engine == engine; }));
    }
    return count;
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
