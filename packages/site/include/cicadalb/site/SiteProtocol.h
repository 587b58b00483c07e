#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/routing/PoolBalancer.h"
#include "cicadalb/services/HttpClient.h"
#include "cicadalb/services/TransactionalStore.h"
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
/// What a site's callers, targets and stored records look like, in the product's types. Implementations translate and decide nothing.

namespace cicadalb {

enum class CallerCallKind : std::uint8_t {
    /// May this host receive callers?
    Ready,
    ReadResults,
    ReadItem,
    EndSubmission,
    /// A request for the route that its authority and path select.
    Routed,
};

struct CallerCall {
    CallerCallKind kind = CallerCallKind::Routed;
    SubmissionId submission;
    ItemId item;
    /// First result that is wanted.
    std::size_t position = 0;
    /// How long the answer may wait for a result.
    std::chrono::milliseconds patience { 0 };
};

/// @brief What is said to a target beside the caller's own request.
struct AttemptTerms {
    /// Any other target refuses the request.
    TargetId expectedTarget;
    /// The target stops work after that.
    std::chrono::milliseconds remaining { 0 };
};

/// @brief How a sample is asked for.
struct SampleAttempt {
    AttemptTerms terms;
    /// Last event that is already known; the text goes on after it.
    std::optional<std::uint64_t> lastEvent;
    /// 0 to 9, 0 is the most urgent.
    unsigned priority = 5;
};

enum class AnswerKind : std::uint8_t {
    /// The target's own answer to this request.
    Answered,
    /// The target states that it did not run the request.
    NotRun,
    /// Another target has the address now; the request was not run.
    Misdirected,
    /// It belongs to another request or proves nothing.
    Unusable,
};

std::string_view name(AnswerKind) noexcept;

struct NamedVersion {
    ModelName model;
    WeightVersion version = 0;
};

/// @brief Where the site keeps what its hosts read.
struct SiteKeys {
    std::string configuration;
    std::string targets;
    std::string namedVersions;
    /// An entry for each host that is to be emptied.
    std::string retirements;
};

class SiteProtocol {
public:
    virtual ~SiteProtocol() = default;

    // Callers
    virtual CallerCall callerCall(const HttpRequest&) const = 0;
    virtual RequestId attemptId(const HttpFields&) const = 0;
    virtual std::optional<std::chrono::milliseconds> callerPatience(const HttpFields&) const = 0;
    /// @brief The caller's request as it is sent to a target.
    virtual HttpRequest forwarded(const HttpRequest&, const AttemptTerms&) const = 0;
    /// @brief Fields of a target's answer that its caller receives.
    virtual HttpFields answerFields(const HttpFields&) const = 0;

    // Submissions
    /// Errors: SubmissionInvalid.
    virtual Result<Submission> submission(const HttpRequest&) const = 0;
    virtual std::string resultsPage(std::size_t total, std::size_t position, const std::vector<const SampleResult*>&) const = 0;

    // Targets
    virtual AnswerKind judge(const HttpResponse& head, const RequestId& attempt) const = 0;
    virtual std::optional<LoadReport> load(const HttpFields&) const = 0;
    virtual std::string signature(const HttpFields&) const = 0;
    virtual HttpRequest sampleRequest(const Submission&, const SampleItem&, const SampleAttempt&) const = 0;
    virtual HttpRequest rewardRequest(const RewardCall&, const AttemptTerms&) const = 0;
    /// @brief Version of the weights that an answer begins with.
    virtual std::optional<WeightVersion> answerWeights(const HttpFields&) const = 0;
    /// @brief Version of the weights from an event on, if it changes there.
    virtual std::optional<WeightVersion> eventWeights(const StreamEvent&) const = 0;
    virtual HttpRequest reportRequest() const = 0;
    virtual Result<EngineReport> report(std::string_view body) const = 0;
    virtual HttpRequest loadOrder(const LoadOrder&) const = 0;
    virtual OrderOutcome orderOutcome(const HttpResponse&) const = 0;

    // Stored records
    virtual const SiteKeys& keys() const = 0;
    /// Errors of all of these: RecordInvalid.
    virtual Result<SiteConfiguration> configuration(std::string_view record) const = 0;
    virtual Result<RegisteredTarget> target(std::string_view key, std::string_view record) const = 0;
    virtual Result<NamedVersion> namedVersion(std::string_view record) const = 0;
    /// @brief The entry in which a host says how far it is with being emptied.
    virtual StoreWrite retirementStatus(const HostId&, bool isDone) const = 0;
};

} // namespace cicadalb
