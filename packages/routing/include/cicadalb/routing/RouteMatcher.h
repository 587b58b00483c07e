#pragma once

#include "cicadalb/config/Tables.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// @file
/// From a request's path, method and caller to its route.

namespace cicadalb {

/// @brief What routing looks at.
struct RouteQuery {
    std::string_view method;
    /// Path without the query.
    std::string_view path;
    CallerName caller;
};

/// @brief Finds routes and callers in one accepted configuration. Immutable, so that threads share it.
class RouteMatcher {
public:
    explicit RouteMatcher(std::shared_ptr<const Tables>);

    /// @brief The route with the longest path prefix (whole segments) whose methods include the request's. Among routes of one path
    /// the first that the caller may use wins; a shorter prefix is never a way round a longer one's callers.
    /// Errors: RequestInvalid (a path with "." or ".." segments, or not absolute), RouteUnknown, CallerNotAllowed.
    /// Complexity: linear in the path's segments.
    Result<const Route*> match(const RouteQuery&) const;

    /// @brief The caller whose token this is. Errors: CallerUnknown.
    Result<CallerName> callerByToken(std::string_view bearerToken) const;
    /// @brief The trainer whose token this is. Errors: CallerUnknown.
    Result<TrainerName> trainerByToken(std::string_view bearerToken) const;

    const Pool* pool(const PoolName&) const;
    /// @brief The route that serves a trainer's steps, or null.
    const Route* trainerRoute(const TrainerName&) const;
    const Tables& tables() const noexcept { return *m_tables; }

private:
    std::shared_ptr<const Tables> m_tables;
    /// Routes by path without a trailing slash, in the order of the table.
    std::unordered_map<std::string, std::vector<const Route*>> m_routesByPath;
    std::unordered_map<std::string, CallerName> m_callersByToken;
    std::unordered_map<std::string, TrainerName> m_trainersByToken;
    std::unordered_map<PoolName, const Pool*> m_pools;
};

} // namespace cicadalb
