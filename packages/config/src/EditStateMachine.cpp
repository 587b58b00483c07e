#include "cicadalb/config/EditStateMachine.h"

namespace cicadalb {

EditStateMachine::EditStateMachine(ConfigurationEdit edit, unsigned maximumFailures)
    : m_edit(std::move(edit))
    , m_failuresLeft(maximumFailures)
{
}

void EditStateMachine::onRecordRead(const std::optional<StoredRecord>& stored)
{
    m_current.reset();
    m_revision = 0;
    if (stored) {
        auto current = acceptedConfigurationFromJson(stored->value);
        if (!current)
            return endWithErrors({ current.error() });
        m_current = std::move(current.value());
        m_revision = stored->revision;
    }
    const ConfigurationValidator validator(m_current);
    if (validator.hasAccepted(m_edit.editId) || isInForce()) {
        m_next = *m_current;
        m_state = EditState::Accepted;
        return;
    }
    auto next = validator.accept(m_edit);
    if (!next)
        return endWithErrors(std::move(next.error()));
    m_next = std::move(next.value());
    m_state = EditState::Write;
}

void EditStateMachine::onReadFailed(const Error& error)
{
    countFailure(error);
}

void EditStateMachine::onHistoryFailed(const Error& error)
{
    m_state = EditState::Read;
    countFailure(error);
}

void EditStateMachine::onWritten()
{
    m_state = EditState::Accepted;
}

void EditStateMachine::onWriteFailed(const Error& error)
{
    const bool hadNoEffect = error.code == ErrorCode::NotSent || error.code == ErrorCode::Unavailable || error.code == ErrorCode::Conflict;
    if (!hadNoEffect)
        m_hasUnresolvedWrite = true;
    m_state = EditState::Read;
    if (error.code != ErrorCode::Conflict)
        countFailure(error);
}

bool EditStateMachine::isInForce() const
{
    return m_current && m_current->routesText == m_edit.routesText && m_current->poolsText == m_edit.poolsText;
}

bool EditStateMachine::mayEditIdBeDropped() const
{
    const auto attemptedNumber = m_edit.baseNumber.value_or(0) + 1;
    return m_hasUnresolvedWrite && m_current && m_current->number > attemptedNumber + maximumEarlierEditIds;
}

void EditStateMachine::endWithErrors(Errors errors)
{
    m_errors = std::move(errors);
    const bool isRecordUnreadable = m_errors.front().code == ErrorCode::AnswerInvalid;
    m_state = mayEditIdBeDropped() || (m_hasUnresolvedWrite && isRecordUnreadable) ? EditState::Unknown : EditState::Refused;
}

void EditStateMachine::countFailure(const Error& error)
{
    if (m_failuresLeft > 0) {
        --m_failuresLeft;
        return;
    }
    m_errors = { error };
    m_state = m_hasUnresolvedWrite ? EditState::Unknown : EditState::Refused;
}

} // namespace cicadalb
