#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/services/TransactionalStore.h"
#include "cicadalb/submissions/Submission.h"

#include <set>

/// @file
/// Stores submissions durably, and marks them as ended.

namespace cicadalb {

enum class IntakeOutcome : std::uint8_t {
    /// The submission is stored, by this call or an earlier one.
    Accepted,
    /// The submission is not stored, and no earlier write of it can take effect any more.
    NotAccepted,
    /// The submission may be stored already, or a pending write may still store it.
    Unknown,
    /// Another organisation has a submission with this id; this one is not stored.
    OtherOrganisation,
};

std::string_view name(IntakeOutcome) noexcept;

/// @brief Stores a submission under its id on the condition that the key is free. A write whose answer was lost may still take effect later.
/// Before NotAccepted is returned, a refusal record is therefore written to the key, which makes such a write fail.
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
    /// Finds out what became of a write without an answer, and prevents it from taking effect later.
    Task<IntakeOutcome> resolveUnknownOutcome(const Submission&);

    /// Ended submissions that are remembered, so that a repeated end costs no call to the store.
    static constexpr std::size_t maximumRememberedEnds = 1024;

    TransactionalStore& m_store;
    std::set<SubmissionId> m_ended;
};

} // namespace cicadalb
