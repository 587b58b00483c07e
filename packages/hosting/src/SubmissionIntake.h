#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/services/TransactionalStore.h"
#include "cicadalb/submissions/Submission.h"

#include <set>

/// @file
/// Accepts submissions durably, and ends them.

namespace cicadalb {

enum class IntakeOutcome : std::uint8_t {
    /// Stored; also if it was before.
    Accepted,
    /// Not stored, and an earlier write of it can no longer take effect.
    NotAccepted,
    /// It may be stored, now or later.
    Unknown,
};

std::string_view name(IntakeOutcome) noexcept;

/// @brief Stores a submission under its id on the condition that the key is free. A write whose answer was lost may still be carried out:
/// before "not accepted" is said, the key is taken by a refusal record, on which such a write fails.
class SubmissionIntake {
public:
    explicit SubmissionIntake(TransactionalStore& store)
        : m_store(store)
    {
    }

    Task<IntakeOutcome> accept(const Submission&);
    /// @brief Marks a submission as ended. Safe to repeat.
    Task<Result<void>> end(const SubmissionId&);

private:
    Task<IntakeOutcome> foreclose(const SubmissionId&);

    /// Ends that are remembered, so that a repeated one costs no call.
    static constexpr std::size_t rememberedEnds = 1024;

    TransactionalStore& m_store;
    std::set<SubmissionId> m_ended;
};

} // namespace cicadalb
