#include "cicadalb/submissions/SampleScheduler.h"

#include <algorithm>

/// @file
/// What the scheduler makes of the prompts that engines read: see docs/design/long-and-short-prompts.md.

namespace cicadalb {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// A prompt is long if reading it takes more than this part of what an engine may have to read.
    constexpr int longPromptShare = 4;
    /// Multiple of the time in which its first event is wanted for which a long prompt lets short ones go before it.
    constexpr int longPromptPatience = 2;
    /// Output tokens of an event, for the text that an engine reads with the prompt before it continues it.
    constexpr double tokensPerEvent = 54;
    /// Fewer remaining events say nothing about the rest of a text.
    constexpr double minimumRemainingEvents = 5;

} // namespace

Prompt SampleScheduler::promptToRead(const Item& item)
{
    auto prompt = item.prompt;
    prompt.tokens += static_cast<std::uint64_t>(tokensPerEvent * static_cast<double>(item.text.eventCount));
    return prompt;
}

/// Prompts share engines, so that the nearest aim of all open submissions counts at each engine.
void SampleScheduler::updatePrefillBound()
{
    auto nearest = Duration::max();
    for (const auto& [id, submission] : m_submissions) {
        if (submission.policy.firstEventWithin > Duration::zero())
            nearest = std::min(nearest, submission.policy.firstEventWithin);
    }
    m_prefillBound = nearest == Duration::max() ? PrefillBound {} : PrefillBound::forAim(nearest);
}

std::optional<SampleScheduler::Reading> SampleScheduler::readingOf(const OpenSubmission& submission, const Item& item, TimePoint now) const
{
    if (!considersPrompts())
        return std::nullopt;
    const auto events = std::max(minimumRemainingEvents, item.expectedEvents - static_cast<double>(item.text.eventCount));
    return Reading { promptToRead(item), events, submission.policy.softDeadline, now };
}

std::optional<double> SampleScheduler::readingSecondsPerEvent(const Engine& engine, Reading& reading) const
{
    const auto unread = engine.prefill.unreadTokens(reading.prompt);
    const auto generating = std::chrono::duration_cast<Duration>(Seconds(reading.events * secondsPerEvent(engine)));
    const bool mayWait = reading.now + generating + m_prefillBound.maximum < reading.softDeadline;
    if (mayWait && !m_prefillBound.admits(engine.prefill, unread, reading.now)) {
        reading.hasPassedOver = true;
        return std::nullopt;
    }
    // Each running text waits for the prompt to be read.
    const auto seconds = Seconds(engine.prefill.timeUntilRead(reading.now)).count() + Seconds(engine.prefill.readingTime(unread)).count() * (1.0 + engine.running);
    return seconds / reading.events;
}

bool SampleScheduler::yieldsToShortPrompts(const OpenSubmission& submission, const Item& item, TimePoint now) const
{
    const bool mayBeLong = considersPrompts() && item.prompt.tokens >= PrefillLoad::minimumMeasuredTokens;
    if (!mayBeLong || now >= *item.waitingSince + longPromptPatience * submission.policy.firstEventWithin)
        return false;
    // An engine of usual speed stands for all.
    std::vector<Duration> times;
    for (const auto& [id, engine] : m_engines) {
        if (engine.isPresent && engine.prefill.isSpeedKnown())
            times.push_back(engine.prefill.readingTime(item.prompt.tokens));
    }
    if (times.empty())
        return false;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const auto generating = std::chrono::duration_cast<Duration>(item.expectedEvents * assumedTimePerEvent);
    return *middle * longPromptShare > m_prefillBound.maximum && now + *middle + generating + m_prefillBound.maximum < submission.policy.softDeadline;
}

} // namespace cicadalb
