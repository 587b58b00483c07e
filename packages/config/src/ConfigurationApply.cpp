#include "cicadalb/config/ConfigurationApply.h"

namespace cicadalb {

ConfigurationApply::ConfigurationApply(ConfigurationEdit edit, unsigned maximumFailures)
    : m_edit(std::move(edit))
    , m_failuresLeft(maximumFailures)
{
}

void ConfigurationApply::recordRead(const std::optional<StoredRecord>& stored)
{
    m_present.reset();
    m_revision = 0;
    if (stored) {
        auto present = acceptedConfigurationFromJson(stored->value);
        if (!present)
            return giveUp({ present.error() });
        m_present = std::move(present.value());
        m_revision = stored->revision;
    }
    const ConfigurationAuthority authority(m_present);
    if (authority.hasAccepted(m_edit.mark) || isInForce()) {
        m_next = *m_present;
        m_step = ApplyStep::Accepted;
        return;
    }
    auto next = authority.accept(m_edit);
    if (!next)
        return giveUp(std::move(next.error()));
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
        m_mayBeWritten = true;
    m_step = ApplyStep::Read;
    if (error.code != ErrorCode::Conflict)
        countFailure(error);
}

bool ConfigurationApply::isInForce() const
{
    return m_present && m_present->routesText == m_edit.routesText && m_present->poolsText == m_edit.poolsText;
}

bool ConfigurationApply::mayBeForgotten() const
{
    const auto attempted = m_edit.base.value_or(0) + 1;
    return m_mayBeWritten && m_present && m_present->number > attempted + maximumEarlierMarks;
}

void ConfigurationApply::giveUp(Errors errors)
{
    m_errors = std::move(errors);
    const bool isRecordUnreadable = m_errors.front().code == ErrorCode::AnswerInvalid;
    m_step = mayBeForgotten() || (m_mayBeWritten && isRecordUnreadable) ? ApplyStep::Unknown : ApplyStep::Refused;
}

void ConfigurationApply::countFailure(const Error& error)
{
    if (m_failuresLeft > 0) {
        --m_failuresLeft;
        return;
    }
    m_errors = { error };
    m_step = m_mayBeWritten ? ApplyStep::Unknown : ApplyStep::Refused;
}

} // namespace cicadalb
