#include "StandbyCandidacy.h"

#include <algorithm>

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    /// A candidate requests a vacant lease within some 600 ms.
    constexpr milliseconds shortestVacancyDelay { 900 };
    /// Delay of a host with referenceMemoryMebibytes; that of smaller ones is longer in proportion.
    constexpr milliseconds memoryDelay { 100 };
    constexpr unsigned referenceMemoryMebibytes = 512;
    constexpr unsigned largestMemoryFactor = 4;
    /// Hosts of the same size are spread over this time, so that most of them see the lease taken before they request it.
    constexpr milliseconds spread { 100 };

} // namespace

Duration StandbyCandidacy::vacancyDelay(unsigned memoryMebibytes, std::uint64_t seed)
{
    const auto memory = memoryMebibytes == 0 ? referenceMemoryMebibytes : std::clamp(memoryMebibytes, referenceMemoryMebibytes / largestMemoryFactor, referenceMemoryMebibytes);
    return shortestVacancyDelay + memoryDelay * referenceMemoryMebibytes / memory + milliseconds(seed % static_cast<std::uint64_t>(spread.count()));
}

StandbyCandidacy::StandbyCandidacy(Duration vacancyDelay, TimePoint startedAt)
    : m_vacancyDelay(vacancyDelay)
    , m_startedAt(startedAt)
    , m_since(startedAt)
{
}

void StandbyCandidacy::observe(bool isCandidateReachable, TimePoint now)
{
    if (isCandidateReachable == m_isCandidateReachable)
        return;
    m_isCandidateReachable = isCandidateReachable;
    m_since = now;
}

bool StandbyCandidacy::shouldWatch(TimePoint now) const
{
    return !m_isCandidateReachable && now >= m_startedAt + startupDelay && now >= m_since + unreachableDelay;
}

bool StandbyCandidacy::mayRequest(std::optional<TimePoint> vacantSince, TimePoint now) const
{
    return shouldWatch(now) && vacantSince && now >= *vacantSince + m_vacancyDelay;
}

bool StandbyCandidacy::shouldGiveBack(TimePoint now) const
{
    return m_isCandidateReachable && now >= m_since + returnDelay;
}

} // namespace cicadalb
