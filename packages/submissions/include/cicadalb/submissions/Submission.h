#pragma once

#include "cicadalb/base/Identifier.h"
#include "cicadalb/services/HttpClient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// A trainer's batch of samples that is accepted once, run later and read by position.

namespace cicadalb {

using SubmissionId = Identifier<struct SubmissionTag>;
/// One sample of a submission; the same text may be asked for under the same id in a later submission.
using ItemId = Identifier<struct ItemTag>;
using GroupId = Identifier<struct GroupTag>;
using ModelName = Identifier<struct ModelTag>;

/// @brief The wall clock in Unix milliseconds, for ages that outlive a process.
using UnixTime = std::chrono::milliseconds;

/// @brief A request that judges a sample's complete text. Its answer's signature is part of the result.
struct RewardCall {
    RequestId id;
    std::string authority;
    std::string path;
    std::string body;
};

/// @brief A prompt whose text is wanted.
struct SampleItem {
    ItemId id;
    GroupId group;
    std::string path;
    HttpFields fields;
    std::string body;
    /// Prompt tokens and the most output tokens together.
    std::uint64_t tokens = 0;
    /// The submitter's estimate of the output tokens; often far off. 0: none.
    double lengthHint = 0;
    std::optional<RewardCall> reward;
};

struct Submission {
    SubmissionId id;
    /// Selects the route, together with path.
    std::string authority;
    std::string path;
    UnixTime submittedAt { 0 };
    /// The trainer's step, from 0.
    std::uint64_t step = 0;
    ModelName model;
    /// Oldest weights that may make its text.
    WeightVersion oldestVersion = 0;
    /// Complete groups that the trainer waits for.
    std::uint64_t wantedGroups = 0;
    std::vector<SampleItem> items;
};

enum class ResultState : std::uint8_t { Succeeded,
    /// No text will come: it failed, took too long, or the submission ended.
    GivenUp };

struct SampleResult {
    ItemId item;
    ResultState state = ResultState::GivenUp;
    /// Data of all events, one a line.
    std::string text;
    /// Versions of the weights that made the text, in rising order.
    std::vector<WeightVersion> versions;
    /// Signature of the reward call's answer.
    std::string rewardSignature;
};

} // namespace cicadalb
