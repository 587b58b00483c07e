#pragma once

#include "cicadalb/base/Identifier.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

/// @file
/// A trainer's unit of work: a step of groups of samples.

namespace cicadalb {

using StepNumber = std::uint64_t;
/// @brief Flat index of a sample in its step: groups in order, samples of a group in order.
using SampleIndex = std::uint32_t;
/// @brief Identifies one state of a trainer's cursor; see StepCursor.
using CursorNumber = std::uint64_t;

/// @brief Largest number of samples of a step; the cursor's bitmap then takes 256 bytes.
inline constexpr std::size_t maximumSamplesPerStep = 2048;

/// @brief Samples that share one prompt.
struct SampleGroup {
    std::string prompt;
    /// Groups with the same key share a prompt prefix; empty: the prompt itself is the key.
    std::string prefixKey;
    unsigned samples = 1;
    bool operator==(const SampleGroup&) const = default;
};

/// @brief Identifies a step.
struct StepKey {
    TrainerName trainer;
    StepNumber step = 0;
    bool operator==(const StepKey&) const = default;
    bool operator<(const StepKey& other) const { return std::tie(trainer, step) < std::tie(other.trainer, other.step); }
};

/// @brief A step as a trainer submits it. Another body under the same key is a conflict.
struct StepSpec {
    StepKey key;
    std::vector<SampleGroup> groups;
    unsigned maximumTokens = 256;
    /// 0 is the most urgent.
    unsigned priority = 1;
    /// Counted from the submission.
    std::chrono::milliseconds deadline { 360000 };
    /// Largest allowed difference between the trainer's weight version and a sample's oldest version.
    WeightVersion stalenessBound = 1;
    bool operator==(const StepSpec&) const = default;

    /// @brief Number of samples of all groups. Complexity: linear in the number of groups.
    std::size_t sampleCount() const noexcept;
};

/// @brief Identifies a sample within its step.
struct SampleId {
    std::uint32_t group = 0;
    std::uint32_t index = 0;
    bool operator==(const SampleId&) const = default;
};

/// @brief One delivered generation.
struct Sample {
    SampleId id;
    /// Flat index in the step.
    SampleIndex position = 0;
    std::string text;
    unsigned tokens = 0;
    /// Weight versions that produced the tokens, ascending and without duplicates; never empty.
    std::vector<WeightVersion> versions;
    bool operator==(const Sample&) const = default;
};

/// @brief Samples handed to a trainer for one state of its cursor.
struct Batch {
    StepNumber step = 0;
    /// Number of the cursor that the batch answers.
    CursorNumber cursorNumber = 0;
    std::vector<Sample> samples;
    /// True if the cursor and this batch together hold the whole step.
    bool isDone = false;
    bool operator==(const Batch&) const = default;
};

/// @brief Maps the flat positions of a step's samples to their ids.
class SampleLayout {
public:
    explicit SampleLayout(const StepSpec&);

    std::size_t size() const noexcept { return m_ids.size(); }
    const SampleId& idOf(SampleIndex position) const { return m_ids[position]; }

private:
    std::vector<SampleId> m_ids;
};

/// @brief True if a sample whose oldest version is @p oldest is beyond the staleness @p bound of a trainer that has @p trainerVersion.
constexpr bool isStale(WeightVersion oldest, WeightVersion trainerVersion, WeightVersion bound) noexcept
{
    return trainerVersion > oldest && trainerVersion - oldest > bound;
}

} // namespace cicadalb
