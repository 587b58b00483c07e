#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/routing/TargetRateLimits.h"
#include "cicadalb/submissions/PartialText.h"
#include "cicadalb/submissions/SampleScheduler.h"
#include "cicadalb/submissions/Submission.h"

#include <optional>
#include <string>
#include <vector>

/// @file
/// Messages between the hosts that hold runs and the coordinator, their owner: CBOR in HTTP bodies (docs/PROTOCOLS.md).

namespace cicadalb {

/// Path of the endpoint, which takes POST requests.
inline constexpr std::string_view runPath = "/runs";

/// @brief Identifies a run. A coordinator that takes a run over keeps its id.
struct RunId {
    /// The owner that started the run.
    std::uint64_t owner = 0;
    std::uint64_t number = 0;
    auto operator<=>(const RunId&) const = default;
};

/// @brief One attempt to generate, or to continue, the text of an item.
struct RunAssignment {
    RunId id;
    /// Position of the item in its submission.
    std::size_t index = 0;
    /// The submission with this item only.
    Submission submission;
    TargetId engine;
    Incarnation engineStartedAt = 0;
    SoftwareRelease release;
    std::chrono::milliseconds remainingTime { 0 };
    unsigned priority = 0;
    bool requiresSingleVersion = false;
    /// Whether the engine limits its requests, so that none may be repeated.
    bool isLimited = false;
    /// Text to continue, if any.
    PartialText text;

    const SampleItem& item() const { return submission.items.front(); }
    ItemKey key() const { return { submission.id, index }; }
};

struct RunEvent {
    std::uint64_t id = 0;
    std::string data;
    WeightVersion version = 0;
    /// Time since the event arrived, when the message was sent.
    std::chrono::milliseconds age { 0 };
};

struct RunEnd {
    RunOutcome outcome = RunOutcome::Complete;
    std::string cause;
    /// Whether the holder requests the reward of the complete text.
    bool isRequestingReward = false;
};

struct RewardOutcome {
    bool hasSucceeded = false;
    std::string signature;
};

/// @brief What an owner that did not start the run has to know about it.
struct RunOrigin {
    SubmissionId submission;
    std::size_t index = 0;
    TargetId engine;
    Incarnation engineStartedAt = 0;
    SoftwareRelease release;
    std::size_t eventsAtStart = 0;
    std::chrono::milliseconds age { 0 };
    PartialText text;
};

/// @brief News of a run.
struct RunReport {
    RunId id;
    /// Events of the text before those of @c events.
    std::size_t eventsBefore = 0;
    std::vector<RunEvent> events;
    /// Whether the engine states that it is leaving.
    bool isEngineLeaving = false;
    /// What the engine states about its limit on requests, if it has or had one.
    std::optional<RateStatement> rate;
    std::optional<RunEnd> end;
    std::optional<RewardOutcome> reward;
    /// Set in calls to an owner that may not know the run; @c events is empty then.
    std::optional<RunOrigin> origin;
};

struct RunCall {
    HostId host;
    /// Distinguishes processes with the same host id.
    std::uint64_t process = 0;
    FailureDomain failureDomain;
    /// Number of runs that the host can hold.
    unsigned capacity = 0;
    /// Whether the host reaches no target.
    bool isCutOff = false;
    /// The owner to which the reports are addressed; 0: the call only asks for the owner.
    std::uint64_t owner = 0;
    std::uint64_t number = 0;
    /// Number of the last reply that the host has processed.
    std::uint64_t lastReply = 0;
    /// Longest time to wait for work.
    std::chrono::milliseconds maximumWait { 0 };
    /// Whether @c reports holds all news.
    bool isComplete = false;
    /// All runs that the host holds.
    std::vector<RunId> held;
    std::vector<RunReport> reports;
};

/// @brief What the owner knows about a run.
struct RunReceipt {
    RunId id;
    std::size_t events = 0;
    bool hasEnd = false;
    bool hasReward = false;
};

struct RunReply {
    /// 0: the receiver is no owner, and no other member but @c ownerAddress is set.
    std::uint64_t owner = 0;
    /// Where the owner can be called, if the receiver is not the owner and knows it: "IP:PORT".
    std::string ownerAddress;
    std::uint64_t number = 0;
    /// Time between two calls without other cause.
    std::chrono::milliseconds interval { 0 };
    std::vector<RunAssignment> starts;
    /// Runs that the owner no longer wants.
    std::vector<RunId> stops;
    std::vector<RunReceipt> receipts;
};

std::string encodeRunCall(const RunCall&);
/// @brief Errors: RecordInvalid.
Result<RunCall> decodeRunCall(std::string_view body);
std::string encodeRunReply(const RunReply&);
/// @brief Errors: RecordInvalid.
Result<RunReply> decodeRunReply(std::string_view body);

} // namespace cicadalb
