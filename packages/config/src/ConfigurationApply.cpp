#include "cicadalb/config/ConfigurationApply.h"

namespace cicadalb {

ConfigurationApply::ConfigurationApply(ConfigurationEdit edit, unsigned maximumFailures)
    : m_edit(std::move(edit))
    , m_failuresLeft(maximumFailures)
{
}

void ConfigurationApply::recordRead(const std::optional<StoredRecord>& stored)
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
    const ConfigurationAuthority authority(m_current);
    if (authority.hasAccepted(m_edit.mark) || isInForce()) {
        m_next = *m_current;
        m_step = ApplyStep::Accepted;
        return;
    }
    auto next = authority.accept(m_edit);
    if (!next)
        return endWithErrors(std::move(next.error()));
    m_next = std::move(next.value());
    m_step = ApplyStep::Write;
}

void ConfigurationApply::readFailed(const Error& error)
{
    countFailure(error);
}

void ConfigurationApply::historyFailed(const Error& error)
{
    m_step = ApplyStep::Read;
    countFailure(error);
}

void ConfigurationApply::written()
{
    m_step = ApplyStep::Accepted;
}

void ConfigurationApply::writeFailed(const Error& error)
{
    const bool hadNoEffect = error.code == ErrorCode::NotSent || error.code == ErrorCode::Unavailable || error.code == ErrorCode::Conflict;
    if (!hadNoEffect)
        m_hasUnresolvedWrite = true;
    m_step = ApplyStep::Read;
    if (error.code != ErrorCode::Conflict)
        countFailure(error);
}

bool ConfigurationApply::isInForce() const
{
    return m_current && m_current->routesText == m_edit.routesText && m_current->poolsText == m_edit.poolsText;
}

bool ConfigurationApply::mayEditIdBeDropped() const
{
    const auto attemptedNumber = m_edit.base.value_or(0) + 1;
    return m_hasUnresolvedWrite && m_current && m_current->number > attemptedNumber + maximumEarlierEditIds;
}

void ConfigurationApply::endWithErrors(Errors errors)
{
    m_errors = std::move(errors);
    const bool isRecordUnreadable = m_errors.front().code == ErrorCode::AnswerInvalid;
    m_step = mayEditIdBeDropped() || (m_hasUnresolvedWrite && isRecordUnreadable) ? ApplyStep::Unknown : ApplyStep::Refused;
}

void ConfigurationApply::countFailure(const Error& error)
{
    if (m_failuresLeft > 0) {
        --m_failuresLeft;
        return;
    }
    m_errors = { error };
    m_step = m_hasUnresolvedWrite ? ApplyStep::Unknown : ApplyStep::Refused;
}

} // namespace cicadalb
