#include "cicadalb/submissions/PrefillLoad.h"

#include <algorithm>

namespace cicadalb {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Moving-average weight of the newest measurement.
    constexpr double measurementWeight = 0.2;
    /// Share of the time in which a first event is wanted that reading may take; the rest is for the way, the queue and the first tokens.
    constexpr double readingShareOfAim = 0.5;

    void update(std::optional<double>& average, double measured)
    {
        average = average ? *average + measurementWeight * (measured - *average) : measured;
    }

} // namespace

std::uint64_t PrefillLoad::unreadTokens(const Prompt& prompt) const
{
    std::uint64_t kept = 0;
    for (const auto& part : prompt.parts) {
        if (!m_parts.contains(part.id))
            break;
        kept += part.tokens;
    }
    return prompt.tokens - std::min(kept, prompt.tokens);
}

void PrefillLoad::begin(std::uint64_t run, const Prompt& prompt, TimePoint now)
{
    UnderWay added { unreadTokens(prompt), now };
    added.isAlone = m_underWay.empty();
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index)
        added.sharedParts.push_back(prompt.parts[index].id);
    for (auto& [other, underWay] : m_underWay)
        underWay.isAlone = false;
    m_underWay.insert_or_assign(run, std::move(added));
}

void PrefillLoad::remember(std::uint64_t part)
{
    if (const auto found = m_parts.find(part); found != m_parts.end())
        m_partOrder.erase(found->second);
    m_parts[part] = m_partOrder.insert(m_partOrder.end(), part);
    if (m_parts.size() <= rememberedParts)
        return;
    m_parts.erase(m_partOrder.front());
    m_partOrder.pop_front();
}

void PrefillLoad::finish(std::uint64_t run, TimePoint now)
{
    const auto found = m_underWay.find(run);
    if (found == m_underWay.end())
        return;
    const auto read = std::move(found->second);
    m_underWay.erase(found);
    for (const auto part : read.sharedParts)
        remember(part);
    if (!read.isAlone)
        return;
    const auto elapsed = Seconds(now - read.begunAt).count();
    if (read.tokens < minimumMeasuredTokens)
        update(m_secondsToFirstEvent, elapsed);
    else
        update(m_secondsPerToken, std::max(0.0, elapsed - m_secondsToFirstEvent.value_or(0)) / static_cast<double>(read.tokens));
}

void PrefillLoad::abandon(std::uint64_t run) { m_underWay.erase(run); }

void PrefillLoad::forgetParts()
{
    m_parts.clear();
    m_partOrder.clear();
}

Duration PrefillLoad::readingTime(std::uint64_t tokens) const
{
    return std::chrono::duration_cast<Duration>(Seconds(static_cast<double>(tokens) * m_secondsPerToken.value_or(0)));
}

Duration PrefillLoad::timeUntilRead(TimePoint now) const
{
    if (m_underWay.empty())
        return Duration::zero();
    std::uint64_t tokens = 0;
    auto oldest = TimePoint::max();
    for (const auto& [other, underWay] : m_underWay) {
        tokens += underWay.tokens;
        oldest = std::min(oldest, underWay.begunAt);
    }
    // The oldest prompt has been read at since it was placed.
    return std::max(Duration::zero(), readingTime(tokens) - (now - oldest));
}

PrefillBound PrefillBound::forAim(Duration aim)
{
    return { std::chrono::duration_cast<Duration>(aim * readingShareOfAim) };
}

bool PrefillBound::admits(const PrefillLoad& load, std::uint64_t unreadTokens, TimePoint now) const
{
    const auto wait = load.timeUntilRead(now);
    const auto reading = load.readingTime(unreadTokens);
    return maximum <= Duration::zero() || wait == Duration::zero() || wait + reading <= maximum;
}

} // namespace cicadalb
