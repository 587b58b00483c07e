#pragma once

#include "cicadalb/base/Identifier.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// @file
/// The configuration of a site whose targets register themselves: routes, pools and limits, as the operator publishes them.

namespace cicadalb {

/// @brief What may be done with a route's requests.
enum class RequestKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// An answer of events that come over time.
    Stream,
    /// A batch of samples that is accepted at once and run later.
    Submission,
};

std::string_view name(RequestKind) noexcept;

/// @brief A part of a route's requests that goes to one pool.
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
    /// Longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout { 10000 };
    /// Time within which an answer is worth most to its caller.
    std::chrono::milliseconds targetLatency { 1000 };
    /// Submissions: all results are wanted so long after it was first submitted.
    std::chrono::milliseconds finishWithin { 0 };
    /// Submissions: an item may be given up so long after the submission.
    std::chrono::milliseconds itemTimeToLive { 0 };
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Most targets that one attempt of a caller may be sent to.
    unsigned maximumAttempts = 1;
    /// Streams may go on at another target.
    bool isResumable = false;
    /// All of a sample's text has to come from one version of the weights.
    bool requiresSingleVersion = false;
    std::vector<PoolShare> pools;
};

struct SitePool {
    PoolName name;
    /// Connections that one target accepts from all hosts together.
    unsigned maximumConnections = 0;
    /// Models whose weights the targets hold; empty for plain services.
    std::vector<std::string> models;
};

struct SiteConfiguration {
    /// Rises with each configuration, in uneven steps.
    std::uint64_t version = 0;
    std::vector<SiteRoute> routes;
    std::vector<SitePool> pools;

    const SitePool* pool(const PoolName&) const noexcept;
};

/// @brief Finds routes by authority and the longest prefix of the path. Complexity: linear in the routes of the authority.
class RouteIndex {
public:
    explicit RouteIndex(const SiteConfiguration&);
    /// @return the route, or null; it lives as long as the configuration
    const SiteRoute* find(std::string_view authority, std::string_view path) const;

private:
    std::unordered_map<std::string, std::vector<const SiteRoute*>> m_byAuthority;
};

} // namespace cicadalb
