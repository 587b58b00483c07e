#include "SubmissionIntake.h"

#include "cicadalb/base/EnumTable.h"
#include "cicadalb/submissions/SubmissionRecords.h"

namespace cicadalb {

namespace {

    constexpr auto outcomeNames = std::to_array<EnumName<IntakeOutcome>>({
        { IntakeOutcome::Accepted, "accepted" },
        { IntakeOutcome::NotAccepted, "not-accepted" },
        { IntakeOutcome::Unknown, "unknown" },
        { IntakeOutcome::OtherOrganisation, "other-organisation" },
    });

    /// Attempts of a write that conflicts with other hosts' writes.
    constexpr int maximumAttempts = 3;

    bool isKnownNotWritten(const Error& error)
    {
        return error.code == ErrorCode::NotSent || error.code == ErrorCode::Unavailable;
    }

    /// What a stored record under the submission's id means for it.
    IntakeOutcome outcomeOf(const std::string& record, const Submission& submission)
    {
        if (isRefusalRecord(record))
            return IntakeOutcome::Unknown;
        if (submission.organisation.isEmpty())
            return IntakeOutcome::Accepted;
        const auto stored = decodeSubmission(record);
        if (!stored)
            return IntakeOutcome::Unknown;
        const auto& owner = stored.value().organisation;
        return owner.isEmpty() || owner == submission.organisation ? IntakeOutcome::Accepted : IntakeOutcome::OtherOrganisation;
    }

} // namespace

std::string_view name(IntakeOutcome outcome) noexcept { return nameIn(outcomeNames, outcome); }

Task<IntakeOutcome> SubmissionIntake::accept(const Submission& submission)
{
    const auto key = submissionKey(submission.id);
    const auto record = encodeSubmission(submission);
    Revision expected = 0;
    for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
        Transaction write;
        write.conditions.push_back({ key, expected });
        write.writes.push_back({ key, record });
        write.writes.push_back({ itemCountKey(submission.id), encodeItemCount(submission.items.size()) });
        if (!submission.organisation.isEmpty())
            write.writes.push_back({ organisationKey(submission.id), submission.organisation.value() });
        const auto written = co_await m_store.commit(std::move(write));
        if (written)
            co_return IntakeOutcome::Accepted;
        if (isKnownNotWritten(written.error()))
            co_return IntakeOutcome::NotAccepted;
        if (written.error().code != ErrorCode::Conflict)
            co_return co_await resolveUnknownOutcome(submission);
        const auto current = co_await m_store.read(key);
        if (!current)
            co_return IntakeOutcome::Unknown;
        if (current.value() && !isRefusalRecord(current.value()->value))
            co_return outcomeOf(current.value()->value, submission);
        expected = current.value() ? current.value()->revision : 0;
    }
    co_return IntakeOutcome::Unknown;
}

Task<IntakeOutcome> SubmissionIntake::resolveUnknownOutcome(const Submission& submission)
{
    const auto key = submissionKey(submission.id);
    const auto current = co_await m_store.read(key);
    if (!current)
        co_return IntakeOutcome::Unknown;
    if (current.value())
        co_return outcomeOf(current.value()->value, submission);
    CompareAndSwap refusal { key, refusalRecord(), 0 };
    const auto refused = co_await m_store.compareAndSwap(std::move(refusal));
    if (refused)
        co_return IntakeOutcome::NotAccepted;
    if (refused.error().code != ErrorCode::Conflict)
        co_return IntakeOutcome::Unknown;
    const auto reread = co_await m_store.read(key);
    const bool isFound = reread && reread.value();
    co_return isFound ? outcomeOf(reread.value()->value, submission) : IntakeOutcome::Unknown;
}

Task<Result<void>> SubmissionIntake::end(const SubmissionId& id)
{
    if (m_ended.contains(id))
        co_return success();
    Transaction transaction;
    transaction.writes.push_back({ endKey(id), "ended" });
    transaction.mayRepeat = true;
    const auto written = co_await m_store.commit(std::move(transaction));
    if (!written)
        co_return written.as_failure();
    if (m_ended.size() >= maximumRememberedEnds)
        m_ended.clear();
    m_ended.insert(id);
    co_return success();
}

} // namespace cicadalb
