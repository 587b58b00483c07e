#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/rollout/Step.h"
#include "cicadalb/rollout/StepCoordinator.h"
#include "cicadalb/rollout/StepCursor.h"

#include <chrono>
#include <string>
#include <string_view>

/// @file
/// JSON bodies of the trainers' HTTP interface. Keys are in kebab case; parse errors are RequestInvalid and name the path of the invalid member.

namespace cicadalb {

/// @brief A trainer's request for samples.
struct PullRequest {
    StepCursor cursor;
    std::size_t maximumSamples = 64;
    /// Longest time that the host may hold the request while no sample is ready.
    std::chrono::milliseconds maximumWait { 0 };
    bool operator==(const PullRequest&) const = default;
};

/// @brief A trainer's announcement of new weights in the weight store.
struct WeightAnnouncement {
    std::string model;
    WeightVersion version = 0;
    /// True if an operator ordered an older version than the one in force.
    bool isRollback = false;
    bool operator==(const WeightAnnouncement&) const = default;
};

/// @brief Answer to a submission.
struct SubmitReceipt {
    StepKey key;
    std::size_t samples = 0;
    /// False if the same step was known already.
    bool isNew = true;
    bool operator==(const SubmitReceipt&) const = default;
};

/// @brief Body of PUT /v1/trainers/{trainer}/steps/{step}; the key comes from the path.
Result<StepSpec> stepSpecFromJson(const StepKey&, std::string_view body);
std::string toJson(const StepSpec&);

Result<SubmitReceipt> submitReceiptFromJson(std::string_view body);
std::string toJson(const SubmitReceipt&);

/// @brief Body of POST /v1/trainers/{trainer}/steps/{step}/pull.
Result<PullRequest> pullRequestFromJson(StepNumber, std::string_view body);
std::string toJson(const PullRequest&);

Result<Batch> batchFromJson(std::string_view body);
std::string toJson(const Batch&);

/// @brief Body of POST /v1/weights.
Result<WeightAnnouncement> weightAnnouncementFromJson(std::string_view body);
std::string toJson(const WeightAnnouncement&);

/// @brief A step's progress for the state dump and cicadactl.
std::string toJson(const StepProgress&);

} // namespace cicadalb
