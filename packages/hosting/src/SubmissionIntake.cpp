#include "SubmissionIntake.h"

#include "cicadalb/base/EnumTable.h"
#include "cicadalb/submissions/SubmissionRecords.h"

namespace cicadalb {

namespace {

    constexpr auto outcomeNames = std::to_array<EnumName<IntakeOutcome>>({
        { IntakeOutcome::Accepted, "accepted" },
        { IntakeOutcome::NotAccepted, "not-accepted" },
        { IntakeOutcome::Unknown, "unknown" },
    });

    /// Tries of a write that another host's write crossed.
    constexpr int maximumRaces = 3;

    bool isHarmless(const Error& error)
    {
        return error.code == ErrorCode::NotSent || error.code == ErrorCode::Unavailable;
    }

} // namespace

std::string_view name(IntakeOutcome outcome) noexcept { return nameIn(outcomeNames, outcome); }

Task<IntakeOutcome> SubmissionIntake::accept(const Submission& submission)
{
    const auto key = textKey(submission.id);
    const auto record = encodeSubmission(submission);
    Revision expected = 0;
    for (int race = 0; race < maximumRaces; ++race) {
        Transaction write;
        write.conditions.push_back({ key, expected });
        write.writes.push_back({ key, record });
        write.writes.push_back({ totalKey(submission.id), encodeTotal(submission.items.size()) });
        const auto written = co_await m_store.commit(std::move(write));
        if (written)
            co_return IntakeOutcome::Accepted;
        if (isHarmless(written.error()))
            co_return IntakeOutcome::NotAccepted;
        if (written.error().code != ErrorCode::Conflict)
            co_return co_await foreclose(submission.id);
        const auto present = co_await m_store.read(key);
        if (!present)
            co_return IntakeOutcome::Unknown;
        if (present.value() && !isRefusalRecord(present.value()->value))
            co_return IntakeOutcome::Accepted;
        expected = present.value() ? present.value()->revision : 0;
    }
    co_return IntakeOutcome::Unknown;
}

Task<IntakeOutcome> SubmissionIntake::foreclose(const SubmissionId& id)
{
    const auto key = textKey(id);
    const auto present = co_await m_store.read(key);
    if (!present)
        co_return IntakeOutcome::Unknown;
    if (present.value())
        co_return isRefusalRecord(present.value()->value) ? IntakeOutcome::Unknown : IntakeOutcome::Accepted;
    CompareAndSwap refusal { key, refusalRecord(), 0 };
    const auto refused = co_await m_store.compareAndSwap(std::move(refusal));
    if (refused)
        co_return IntakeOutcome::NotAccepted;
    if (refused.error().code != ErrorCode::Conflict)
        co_return IntakeOutcome::Unknown;
    const auto again = co_await m_store.read(key);
    const bool isStored = again && again.value() && !isRefusalRecord(again.value()->value);
    co_return isStored ? IntakeOutcome::Accepted : IntakeOutcome::Unknown;
}

Task<Result<void>> SubmissionIntake::end(const SubmissionId& id)
{
    if (m_ended.contains(id))
        co_return success();
    Transaction transaction;
    transaction.writes.push_back({ endKey(id), "ended" });
    const auto written = co_await m_store.commit(std::move(transaction));
    if (!written)
        co_return written.as_failure();
    if (m_ended.size() >= rememberedEnds)
        m_ended.clear();
    m_ended.insert(id);
    co_return success();
}

} // namespace cicadalb
