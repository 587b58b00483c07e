#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/submissions/Submission.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// @file
/// The configuration of a site whose targets register themselves: routes, pools and limits, as the operator publishes them.

namespace cicadalb {

/// @brief How requests of a route may be run.
enum class RequestKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of the caller.
    NonIdempotent,
    /// Answered with a stream of events.
    Stream,
    /// A batch of samples that is accepted at once and run asynchronously.
    Submission,
};

std::string_view name(RequestKind) noexcept;

/// @brief Weighted share of a route's requests that goes to one pool.
struct PoolShare {
    PoolName pool;
    unsigned weight = 1;
};

struct SiteRoute {
    RouteName name;
    /// Value of the Host field that selects the route.
    std::string authority;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// Maximum time that a caller waits for the answer.
    std::chrono::milliseconds timeout { 10000 };
    /// Latency up to which an answer has its full value to the caller.
    std::chrono::milliseconds latencyObjective { 1000 };
    /// Submissions: time after the batch was first submitted by which all results are wanted.
    std::chrono::milliseconds finishWithin { 0 };
    /// Submissions: time after the submission from which an unfinished item may be given up.
    std::chrono::milliseconds itemTimeToLive { 0 };
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Maximum number of targets that one attempt of a caller may be sent to.
    unsigned maximumAttempts = 1;
    /// Whether a stream may be continued on another target.
    bool isResumable = false;
    /// Whether the whole text of a sample has to come from one weight version.
    bool requiresSingleVersion = false;
    /// Whether requests need no organisation's key.
    bool isPublic = false;
    std::vector<PoolShare> pools;

    bool hasPool(const PoolName&) const noexcept;
    /// @brief What the route sets for submissions.
    SubmissionTerms submissionTerms() const noexcept;
};

/// @brief How many engines of a pool may be ordered, and at which price.
struct PoolScaling {
    /// Limits on the engines in one failure domain, both kinds together.
    unsigned minimum = 0;
    unsigned maximum = 0;
    /// Time from an order to the first request that a new engine serves.
    std::chrono::milliseconds bootTime { 0 };
    /// Price of a reclaimable engine as a share of the price of any other; 0: there are none.
    double reclaimablePriceShare = 0;
    /// Price of a second of an engine in each failure domain.
    std::map<FailureDomain, double> prices;
};

/// @brief An organisation and the keys that its callers and trainers may present.
struct SiteOrganisation {
    OrganisationName name;
    /// SHA-256 of each key in lower-case hex; the keys themselves are not kept.
    std::vector<std::string> keyDigests;
    /// Takes precedence over the priority of the route.
    std::optional<unsigned> priority;
};

struct SitePool {
    PoolName name;
    /// Connections that one target accepts from all hosts together.
    unsigned maximumConnections = 0;
    /// Models whose weights the targets hold; empty for plain services.
    std::vector<std::string> models;
    /// Empty if the number of the pool's targets is not this system's to decide.
    std::optional<PoolScaling> scaling;
};

/// @brief What the operator lets a caller send, and how long a caller may take or stay idle. What is not set is left to the host.
struct CallerLimits {
    std::optional<std::uint32_t> maximumHeaderBytes;
    std::optional<std::uint64_t> maximumBodyBytes;
    std::optional<std::chrono::milliseconds> headerTimeout;
    std::optional<std::chrono::milliseconds> idleTimeout;
};

struct SiteConfiguration {
    /// Increases with each configuration, not always by one.
    std::uint64_t version = 0;
    std::vector<SiteRoute> routes;
    std::vector<SitePool> pools;
    /// Empty if requests need no key.
    std::vector<SiteOrganisation> organisations;
    CallerLimits limits;

    const SitePool* pool(const PoolName&) const noexcept;
    const SiteOrganisation* organisation(const OrganisationName&) const noexcept;
};

/// @brief Checks that each request can belong to one organisation only. Errors: RecordInvalid (an organisation is listed twice or has no name, or
/// two have the same key).
Result<void> checkOrganisations(const SiteConfiguration&);

/// @brief Finds routes by authority and the longest matching path prefix. Complexity: linear in the routes of the authority.
class RouteIndex {
public:
    explicit RouteIndex(const SiteConfiguration&);
    /// @return the route, or null; valid as long as the configuration
    const SiteRoute* find(std::string_view authority, std::string_view path) const;

private:
    std::unordered_map<std::string, std::vector<const SiteRoute*>> m_byAuthority;
};

} // namespace cicadalb
