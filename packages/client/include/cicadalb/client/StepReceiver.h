#pragma once

#include "cicadalb/rollout/Step.h"
#include "cicadalb/rollout/StepCursor.h"

#include <vector>

/// @file
/// The trainer's side of exactly-once delivery.

namespace cicadalb {

/// @brief Holds the cursor of one step. A batch is accepted only if it answers the current cursor; accepting it replaces the cursor.
/// Late, repeated and reordered batches are therefore ignored, whichever host sent them.
class StepReceiver {
public:
    /// @p firstNumber is random for each trainer process, so that no answer to an earlier process is accepted.
    StepReceiver(const StepSpec&, WeightVersion, CursorNumber firstNumber);

    const StepCursor& cursor() const noexcept { return m_cursor; }
    bool isComplete() const noexcept { return m_cursor.received.all(); }

    /// @brief Sets the trainer's weight version. If it changes, batches selected for the previous version are no longer accepted.
    void setWeightVersion(WeightVersion);

    /// @brief Accepts @p batch if it answers the current cursor. @return the accepted samples, or none
    std::vector<Sample> accept(Batch batch);

private:
    bool matchesCursor(const Batch&) const;

    StepCursor m_cursor;
};

} // namespace cicadalb
