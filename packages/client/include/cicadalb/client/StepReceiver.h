#pragma once

#include "cicadalb/rollout/Step.h"
#include "cicadalb/rollout/StepCursor.h"

#include <vector>

/// @file
/// The trainer's side of exactly-once delivery.

namespace cicadalb {

/// @brief Holds the cursor of one step. A batch is accepted only if it answers the present cursor; accepting it replaces the cursor.
/// Late, repeated and crossed batches therefore change nothing, whichever host sent them.
class StepReceiver {
public:
    /// @p firstNumber is random for each life of the trainer, so that no answer to an earlier life is accepted.
    StepReceiver(const StepSpec&, WeightVersion, CursorNumber firstNumber);

    const StepCursor& cursor() const noexcept { return m_cursor; }
    bool isComplete() const noexcept { return m_cursor.received.all(); }

    /// @brief The trainer has new weights. Batches judged against older ones are no longer accepted.
    void setWeightVersion(WeightVersion);

    /// @brief Takes @p batch. @return its samples, or none if it does not answer the present cursor
    std::vector<Sample> accept(Batch batch);

private:
    bool answersCursor(const Batch&) const;

    StepCursor m_cursor;
};

} // namespace cicadalb
