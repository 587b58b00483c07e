#include "cicadalb/routing/RunState.h"

#include "cicadalb/base/EnumTable.h"

#include <cstdlib>

namespace cicadalb {

namespace {

    constexpr auto runStateNames = std::to_array<EnumName<RunState>>({
        { RunState::NotSent, "not-run" },
        { RunState::Sent, "sent" },
        { RunState::Answered, "answered" },
        { RunState::Unknown, "unknown" },
    });

} // namespace

std::string_view name(RunState state) noexcept
{
    return nameIn(runStateNames, state);
}

bool RequestRun::mayAttempt() const noexcept
{
    if (m_state == RunState::NotSent)
        return true;
    return m_state == RunState::Unknown && m_isIdempotent;
}

void RequestRun::beginAttempt()
{
    if (!mayAttempt())
        std::abort();
    m_state = RunState::Sent;
    ++m_attempts;
}

void RequestRun::recordNotRun()
{
    if (m_state != RunState::Sent)
        return;
    m_state = m_mayHaveRun ? RunState::Unknown : RunState::NotSent;
}

void RequestRun::recordAnswer()
{
    if (m_state != RunState::Sent)
        return;
    m_state = RunState::Answered;
}

void RequestRun::recordLoss()
{
    if (m_state != RunState::Sent)
        return;
    m_mayHaveRun = true;
    m_state = RunState::Unknown;
}

} // namespace cicadalb
