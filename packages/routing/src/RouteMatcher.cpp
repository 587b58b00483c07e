#include "cicadalb/routing/RouteMatcher.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <cctype>

namespace cicadalb {

namespace {

    std::string toLowerCase(std::string_view text)
    {
        std::string lowered(text);
        std::transform(lowered.begin(), lowered.end(), lowered.begin(),
            [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return lowered;
    }

    std::string_view removeTrailingSlashes(std::string_view path)
    {
        while (!path.empty() && path.back() == '/')
            path.remove_suffix(1);
        return path;
    }

    /// Decodes percent-encoded dots and slashes and turns backslashes into slashes, since these could hide a dot segment.
    std::string decodeDotsAndSlashes(std::string_view path)
    {
        std::string decoded;
        decoded.reserve(path.size());
        for (std::size_t i = 0; i < path.size(); ++i) {
            const auto escape = toLowerCase(path.substr(i, 3));
            if (escape == "%2e" || escape == "%2f" || escape == "%5c") {
                decoded += escape == "%2e" ? '.' : '/';
                i += 2;
            } else {
                decoded += path[i] == '\\' ? '/' : path[i];
            }
        }
        return decoded;
    }

    /// True if a target could resolve the path to the path of another route.
    bool hasDotSegments(std::string_view path)
    {
        if (path.find_first_of(".%") == std::string_view::npos)
            return false;
        const auto decoded = decodeDotsAndSlashes(path) + '/';
        return decoded.find("/./") != std::string::npos || decoded.find("/../") != std::string::npos;
    }

    bool allowsMethod(const Route& route, std::string_view method)
    {
        return route.methods.empty() || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
    }

    bool allowsCaller(const Route& route, const CallerName& caller)
    {
        return route.callers.empty() || std::find(route.callers.begin(), route.callers.end(), caller) != route.callers.end();
    }

} // namespace

RouteMatcher::RouteMatcher(std::shared_ptr<const Tables> tables)
    : m_tables(std::move(tables))
{
    for (const auto& route : m_tables->routes)
        m_routesByPath[std::string(removeTrailingSlashes(route.path))].push_back(&route);
    for (const auto& caller : m_tables->callers)
        m_callersByToken.emplace(toLowerCase(caller.tokenSha256), caller.name);
    for (const auto& trainer : m_tables->trainers)
        m_trainersByToken.emplace(toLowerCase(trainer.tokenSha256), trainer.name);
    for (const auto& pool : m_tables->pools)
        m_pools.emplace(pool.name, &pool);
}

Result<const Route*> RouteMatcher::match(const RouteQuery& query) const
{
    if (query.path.empty() || query.path.front() != '/' || hasDotSegments(query.path))
        return failure(ErrorCode::RequestInvalid, "the path must be absolute and free of dot segments", std::string(query.path));
    auto prefix = removeTrailingSlashes(query.path);
    while (true) {
        bool isPathAndMethodKnown = false;
        const auto routes = m_routesByPath.find(std::string(prefix));
        if (routes != m_routesByPath.end()) {
            for (const auto* route : routes->second) {
                if (!allowsMethod(*route, query.method))
                    continue;
                isPathAndMethodKnown = true;
                if (!query.caller.isEmpty() && allowsCaller(*route, query.caller))
                    return route;
            }
        }
        if (isPathAndMethodKnown)
            return failure(ErrorCode::CallerNotAllowed, "the caller may not use this route", std::string(query.path));
        if (prefix.empty())
            return failure(ErrorCode::RouteUnknown, "no route for this path and method", std::string(query.path));
        prefix = removeTrailingSlashes(prefix.substr(0, prefix.rfind('/')));
    }
}

Result<CallerName> RouteMatcher::callerByToken(std::string_view bearerToken) const
{
    const auto found = m_callersByToken.find(sha256Hex(bearerToken));
    if (found == m_callersByToken.end())
        return failure(ErrorCode::CallerUnknown, "no caller has this token");
    return found->second;
}

Result<TrainerName> RouteMatcher::trainerByToken(std::string_view bearerToken) const
{
    const auto found = m_trainersByToken.find(sha256Hex(bearerToken));
    if (found == m_trainersByToken.end())
        return failure(ErrorCode::CallerUnknown, "no trainer has this token");
    return found->second;
}

const Pool* RouteMatcher::pool(const PoolName& name) const
{
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? nullptr : found->second;
}

const Route* RouteMatcher::trainerRoute(const TrainerName& trainer) const
{
    const auto& routes = m_tables->routes;
    const auto found = std::find_if(routes.begin(), routes.end(), [&](const Route& route) {
        return std::find(route.trainers.begin(), route.trainers.end(), trainer) != route.trainers.end();
    });
    return found == routes.end() ? nullptr : &*found;
}

} // namespace cicadalb
