#pragma once

#include "cicadalb/config/Tables.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// @file
/// Matches requests to routes by path, method and caller.

namespace cicadalb {

/// @brief Properties of a request that select its route.
struct RouteQuery {
    std::string_view method;
    /// Path without the query string.
    std::string_view path;
    CallerName caller;
};

/// @brief Finds routes, callers, trainers and pools in one accepted configuration. Immutable, so that threads can share it.
class RouteMatcher {
public:
    explicit RouteMatcher(std::shared_ptr<const Tables>);

    /// @brief Finds the route with the longest path prefix (of whole segments) that allows the request's method. Among routes with the same
    /// path, the first that allows the caller wins. If none of them allows the caller, shorter prefixes are not tried.
    /// Errors: RequestInvalid (a path with "." or ".." segments, or not absolute), RouteUnknown, CallerNotAllowed.
    /// Complexity: linear in the number of path segments.
    Result<const Route*> match(const RouteQuery&) const;

    /// @brief Finds the caller with this token. Errors: CallerUnknown.
    Result<CallerName> callerByToken(std::string_view bearerToken) const;
    /// @brief Finds the trainer with this token. Errors: CallerUnknown.
    Result<TrainerName> trainerByToken(std::string_view bearerToken) const;

    const Pool* pool(const PoolName&) const;
    /// @brief The route that serves a trainer's steps, or null.
    const Route* trainerRoute(const TrainerName&) const;
    const Tables& tables() const noexcept { return *m_tables; }

private:
    std::shared_ptr<const Tables> m_tables;
    /// Routes by path without trailing slashes, in the order of the table.
    std::unordered_map<std::string, std::vector<const Route*>> m_routesByPath;
    std::unordered_map<std::string, CallerName> m_callersByToken;
    std::unordered_map<std::string, TrainerName> m_trainersByToken;
    std::unordered_map<PoolName, const Pool*> m_pools;
};

} // namespace cicadalb
