#pragma once

#include "cicadalb/base/Identifier.h"
#include "cicadalb/services/HttpClient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// A trainer's batch of samples: accepted once, run asynchronously, with results that are read by position.

namespace cicadalb {

using SubmissionId = Identifier<struct SubmissionTag>;
/// Identifies one sample of a submission; a later submission may request the same text under the same id.
using ItemId = Identifier<struct ItemTag>;
using GroupId = Identifier<struct GroupTag>;
using ModelName = Identifier<struct ModelTag>;

/// @brief Wall-clock time in Unix milliseconds, for times that are compared across processes.
using UnixTime = std::chrono::milliseconds;

/// @brief A request that scores a sample's complete text. The signature of its answer is part of the result.
struct RewardCall {
    RequestId id;
    std::string authority;
    std::string path;
    std::string body;
};

/// @brief Part of a prompt that other prompts may share.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// @brief Size of a prompt as its submitter states it.
struct Prompt {
    /// 0 if unknown.
    std::uint64_t tokens = 0;
    /// Parts in order. An engine that keeps a part need not read it again if it keeps all parts before it.
    std::vector<PromptPart> parts;
};

/// @brief A prompt for which a text is to be generated.
struct SampleItem {
    ItemId id;
    GroupId group;
    std::string path;
    HttpFields fields;
    std::string body;
    /// Sum of the prompt tokens and the maximum number of output tokens.
    std::uint64_t maximumTokens = 0;
    /// The submitter's estimate of the output tokens, often far off; 0 if there is none.
    double lengthHint = 0;
    /// Not part of the stored record: follows from the fields.
    Prompt prompt;
    std::optional<RewardCall> reward;
};

/// @brief Rules that a route sets for its submissions.
struct SubmissionTerms {
    /// Time after the submission by which all results are wanted.
    std::chrono::milliseconds finishWithin { 0 };
    /// Time after the submission from which an unfinished item may be given up.
    std::chrono::milliseconds itemTimeToLive { 0 };
    /// Time within which the first event of an item is wanted.
    std::chrono::milliseconds firstEventWithin { 0 };
    /// Number of server errors after which an item is given up.
    unsigned maximumAttempts = 1;
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Whether the whole text of a sample has to come from one weight version.
    bool requiresSingleVersion = false;
    bool operator==(const SubmissionTerms&) const = default;
};

struct Submission {
    SubmissionId id;
    /// Selects the route together with the path.
    std::string authority;
    std::string path;
    UnixTime submittedAt { 0 };
    /// Version of the site's configuration under which a host accepted the submission.
    std::uint64_t acceptedUnder = 0;
    /// Organisation whose key the trainer presented; empty where none was needed.
    OrganisationName organisation;
    /// Terms of the route under which the submission was accepted. They apply while the route is missing. Records of earlier builds have none.
    std::optional<SubmissionTerms> acceptedTerms {};
    /// Number of the trainer's step, from 0.
    std::uint64_t step = 0;
    ModelName model;
    /// Oldest weight version that may generate the texts.
    WeightVersion oldestVersion = 0;
    /// Number of complete groups that the trainer waits for; 0: all.
    std::uint64_t wantedGroupCount = 0;
    std::vector<SampleItem> items;
};

enum class ResultState : std::uint8_t { Succeeded,
    /// There will be no text: the item failed or took too long, or the submission ended.
    GivenUp };

struct SampleResult {
    ItemId item;
    ResultState state = ResultState::GivenUp;
    /// Data of all events, joined by newlines.
    std::string text;
    /// Weight versions that generated the text, in ascending order.
    std::vector<WeightVersion> versions;
    /// Signature of the reward call's answer.
    std::string rewardSignature;
};

} // namespace cicadalb
