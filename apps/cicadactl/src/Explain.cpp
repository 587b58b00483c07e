#include "Explain.h"

#include "cicadalb/routing/RouteMatcher.h"

#include <algorithm>
#include <memory>

namespace cicadalb {

namespace {

    using nlohmann::json;

    void addLine(CommandOutcome& outcome, const std::string& line)
    {
        outcome.text.append(line).append("\n");
    }

    template <typename T>
    bool contains(const std::vector<T>& values, const T& value)
    {
        return std::find(values.begin(), values.end(), value) != values.end();
    }

    /// True if the route's path is a prefix of the request's path and ends at a segment boundary.
    bool isPathPrefix(std::string_view routePath, std::string_view path)
    {
        while (!routePath.empty() && routePath.back() == '/')
            routePath.remove_suffix(1);
        return path.substr(0, routePath.size()) == routePath && (path.size() == routePath.size() || path[routePath.size()] == '/');
    }

    /// Returns why a route whose path matches does not serve the request.
    std::string rejectionReason(const Route& route, const ExplainQuery& query)
    {
        if (!route.methods.empty() && !contains(route.methods, query.method))
            return "it does not accept the method " + query.method;
        if (!route.callers.empty() && !contains(route.callers, CallerName(query.caller)))
            return "it does not name the caller '" + query.caller + "'";
        return "another route has a longer path";
    }

    void addRejectedRoutes(CommandOutcome& outcome, const Tables& tables, const ExplainQuery& query, const Route* chosen)
    {
        outcome.json["rejected"] = json::array();
        for (const auto& route : tables.routes) {
            if (&route == chosen || !isPathPrefix(route.path, query.path))
                continue;
            const auto reason = rejectionReason(route, query);
            addLine(outcome, "rejected route " + route.name.value() + " (" + route.path + "): " + reason);
            outcome.json["rejected"].push_back({ { "route", route.name.value() }, { "reason", reason } });
        }
    }

    void addRoute(CommandOutcome& outcome, const Route& route, const std::string& reason)
    {
        addLine(outcome, "route " + route.name.value() + ": " + reason);
        addLine(outcome, "  priority " + std::string(name(route.priority)) + ", timeout " + std::to_string(route.timeout.count()) + " ms, retries up to " + std::to_string(route.retryPercent) + " percent");
        addLine(outcome, route.isIdempotent ? "  repeatable: an attempt that may have run is retried" : "  not repeatable: an attempt is retried only if it is known that it did not run");
        outcome.json["route"] = { { "name", route.name.value() }, { "reason", reason }, { "repeatable", route.isIdempotent }, { "priority", name(route.priority) }, { "timeout-ms", route.timeout.count() } };
    }

    void addPool(CommandOutcome& outcome, const Pool& pool)
    {
        addLine(outcome, "pool " + pool.name.value() + " (" + std::string(name(pool.kind)) + (pool.model.empty() ? "" : ", model " + pool.model) + "):");
        outcome.json["pool"] = pool.name.value();
        outcome.json["targets"] = json::array();
        for (const auto& target : pool.targets) {
            const auto* state = target.isDraining ? "draining, gets no new work" : "candidate";
            addLine(outcome, "  " + target.id.value() + " " + target.address + ":" + std::to_string(target.port) + " in " + target.failureDomain.value() + ": " + state);
            outcome.json["targets"].push_back({ { "target", target.id.value() }, { "failure-domain", target.failureDomain.value() }, { "candidate", !target.isDraining } });
        }
        addLine(outcome, "  a host chooses the candidate with the shortest expected wait among those it considers live (cicadactl state shows which these are)");
    }

    CommandOutcome refusedOutcome(CommandOutcome outcome, const Error& error)
    {
        outcome.exitCode = ExitCode::Refused;
        outcome.text.insert(0, "refused before any target is called: " + describe(error) + "\n");
        outcome.json["errors"] = toJson(Errors { error });
        return outcome;
    }

    CommandOutcome explainTrainer(const RouteMatcher& matcher, const std::string& trainer)
    {
        CommandOutcome outcome;
        const auto* route = matcher.trainerRoute(TrainerName(trainer));
        if (!route)
            return refusedOutcome(std::move(outcome), { ErrorCode::TrainerUnknown, "no route serves the trainer '" + trainer + "'", {} });
        addRoute(outcome, *route, "the only route that names the trainer '" + trainer + "'");
        if (const auto* pool = matcher.pool(route->pool))
            addPool(outcome, *pool);
        return outcome;
    }

} // namespace

CommandOutcome explain(const Tables& tables, const ExplainQuery& query)
{
    const RouteMatcher matcher(std::make_shared<const Tables>(tables));
    if (!query.trainer.empty())
        return explainTrainer(matcher, query.trainer);

    CommandOutcome outcome;
    const CallerName caller(query.caller);
    const bool isCallerKnown = std::any_of(tables.callers.begin(), tables.callers.end(), [&](const Caller& known) { return known.name == caller; });
    if (!isCallerKnown)
        return refusedOutcome(std::move(outcome), { ErrorCode::CallerUnknown, "the routes table has no caller '" + query.caller + "'", {} });
    const auto match = matcher.match({ query.method, query.path, caller });
    if (!match) {
        addRejectedRoutes(outcome, tables, query, nullptr);
        return refusedOutcome(std::move(outcome), match.error());
    }
    // The matcher holds a copy of the tables, so its route is looked up by name.
    const auto& route = *match.value();
    const auto chosen = std::find_if(tables.routes.begin(), tables.routes.end(), [&](const Route& other) { return other.name == route.name; });
    addRoute(outcome, route, "its path (" + route.path + ") is the longest among the routes that match the path, method and caller of the request");
    addRejectedRoutes(outcome, tables, query, &*chosen);
    if (const auto* pool = matcher.pool(route.pool))
        addPool(outcome, *pool);
    return outcome;
}

} // namespace cicadalb
