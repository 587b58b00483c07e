#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/config/Secret.h"
#include "cicadalb/routing/PoolBalancer.h"
#include "cicadalb/routing/TargetRateLimits.h"
#include "cicadalb/services/HttpClient.h"
#include "cicadalb/services/TransactionalStore.h"
#include "cicadalb/site/Duties.h"
#include "cicadalb/site/SiteConfiguration.h"
#include "cicadalb/site/TargetRegistry.h"
#include "cicadalb/submissions/EngineOrders.h"
#include "cicadalb/submissions/EventStream.h"
#include "cicadalb/submissions/Submission.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Translation between the messages and stored records of a site and the types of this code base. Implementations make no decisions.

namespace cicadalb {

enum class CallerRequestKind : std::uint8_t {
    /// Asks whether this host accepts callers.
    Ready,
    ReadResults,
    ReadItem,
    EndSubmission,
    /// A request for the route that its authority and path select.
    Routed,
};

struct CallerRequest {
    CallerRequestKind kind = CallerRequestKind::Routed;
    SubmissionId submission;
    ItemId item;
    /// Position of the first result to return.
    std::size_t position = 0;
    /// Maximum time that the answer may wait for a result.
    std::chrono::milliseconds maximumWait { 0 };
};

/// @brief What a request that continues a stream states about the part that its caller has.
struct ContinuedStream {
    /// The caller's attempt that received the stream's first event; empty if the request does not name it.
    RequestId firstAttempt;
    /// Number of the last event that the caller has; nothing if it cannot be read.
    std::optional<std::uint64_t> lastEventId;
};

/// @brief What an attempt tells the target in addition to the caller's request.
struct AttemptContext {
    /// Target that the request is meant for; any other refuses it.
    TargetId expectedTarget;
    /// Time after which the target stops working on the request.
    std::chrono::milliseconds remainingTime { 0 };
    /// Organisation that the request belongs to; empty for a request without a key.
    OrganisationName organisation {};
};

/// @brief Parameters of one attempt to generate a sample.
struct SampleAttempt {
    AttemptContext context;
    /// Id of the last event already received; the text continues after it.
    std::optional<std::uint64_t> lastEventId;
    /// 0 to 9, 0 is the most urgent.
    unsigned priority = 5;
};

enum class AnswerKind : std::uint8_t {
    /// The target's answer to this request.
    Answered,
    /// The target states that it did not run the request.
    NotRun,
    /// Another target has the address now; the request was not run.
    Misdirected,
    /// The answer belongs to another request or does not prove that the target ran this request.
    Unusable,
};

std::string_view name(AnswerKind) noexcept;

/// @brief Weight version that was announced for a model.
struct AnnouncedVersion {
    ModelName model;
    WeightVersion version = 0;
};

/// @brief Keys and key prefixes of the records that hosts read.
struct SiteKeys {
    std::string configuration;
    std::string targets;
    std::string announcedVersions;
    /// Prefix of the entries for hosts that are to be retired.
    std::string retirements;
};

class SiteProtocol {
public:
    virtual ~SiteProtocol() = default;

    // Callers
    virtual CallerRequest callerRequest(const HttpRequest&) const = 0;
    virtual RequestId attemptId(const HttpFields&) const = 0;
    /// @brief Time that the caller will wait for the answer, if it states one.
    virtual std::optional<std::chrono::milliseconds> callerTimeout(const HttpFields&) const = 0;
    /// @brief Keys that the caller presents; more than one is ambiguous. A field of another form counts as a key that no organisation holds.
    virtual std::vector<Secret> callerKeys(const HttpFields&) const = 0;
    /// @brief Removes keys, and names of organisations that the caller states.
    virtual void removeKeys(HttpFields&) const = 0;
    /// @return nothing for a request that does not continue a stream
    virtual std::optional<ContinuedStream> continuedStream(const HttpFields&) const = 0;
    /// @brief The caller's request as it is sent to a target. It names the organisation of the context only, whatever the caller states.
    virtual HttpRequest forwardedRequest(const HttpRequest&, const AttemptContext&) const = 0;
    /// @brief Text that is equal each time the same caller sends the same request.
    virtual std::string requestIdentity(const HttpRequest&) const = 0;
    /// @brief Fields of a target's answer that the caller receives.
    virtual HttpFields answerFields(const HttpFields&) const = 0;

    // Submissions
    /// Errors: SubmissionInvalid.
    virtual Result<Submission> submission(const HttpRequest&) const = 0;
    virtual std::string resultsPage(std::size_t total, std::size_t position, const std::vector<const SampleResult*>&) const = 0;

    // Targets
    /// @brief Classifies a target's answer to an attempt.
    virtual AnswerKind classifyAnswer(const HttpResponse& head, const RequestId& attempt) const = 0;
    /// @brief Whether a target states in an answer that it is leaving.
    virtual bool isLeaving(const HttpFields&) const = 0;
    /// @brief Load that a target reports in an answer.
    virtual std::optional<LoadReport> loadReport(const HttpFields&) const = 0;
    /// @brief What an answer states about the requests a second that its target accepts.
    virtual RateStatement rateStatement(const HttpFields&) const = 0;
    /// @brief Signature of a target's answer; empty if it has none.
    virtual std::string signature(const HttpFields&) const = 0;
    /// @brief Size of the prompt that a request for tokens states.
    virtual Prompt prompt(const HttpFields&) const = 0;
    virtual HttpRequest sampleRequest(const Submission&, const SampleItem&, const SampleAttempt&) const = 0;
    virtual HttpRequest rewardRequest(const RewardCall&, const AttemptContext&) const = 0;
    /// @brief Weight version at the beginning of an answer.
    virtual std::optional<WeightVersion> answerWeightVersion(const HttpFields&) const = 0;
    /// @brief Weight version from this event on, if it changes here.
    virtual std::optional<WeightVersion> eventWeightVersion(const StreamEvent&) const = 0;
    virtual HttpRequest reportRequest() const = 0;
    virtual Result<EngineReport> engineReport(std::string_view body) const = 0;
    virtual HttpRequest loadOrder(const LoadOrder&) const = 0;
    virtual OrderOutcome orderOutcome(const HttpResponse&) const = 0;

    // Duties
    virtual HttpRequest usageReport(const DutyHolder&, const UsageReport&) const = 0;
    virtual HttpRequest capacityOrder(const DutyHolder&, const CapacityOrder&) const = 0;
    virtual DutyOutcome dutyOutcome(const HttpResponse&) const = 0;

    // Stored records
    virtual const SiteKeys& keys() const = 0;
    /// Errors of configuration(), target() and announcedVersion(): RecordInvalid.
    virtual Result<SiteConfiguration> configuration(std::string_view record) const = 0;
    virtual Result<RegisteredTarget> target(std::string_view key, std::string_view record) const = 0;
    virtual Result<AnnouncedVersion> announcedVersion(std::string_view record) const = 0;
    /// @brief Record that reports whether the retirement of a host is complete or in progress.
    virtual StoreWrite retirementStatus(const HostId&, bool isDone) const = 0;
};

} // namespace cicadalb
