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

    /// Whether a route's path is a prefix of the request's, by whole segments.
    bool covers(std::string_view routePath, std::string_view path)
    {
        while (!routePath.empty() && routePath.back() == '/')
            routePath.remove_suffix(1);
        return path.substr(0, routePath.size()) == routePath && (path.size() == routePath.size() || path[routePath.size()] == '/');
    }

    /// Why a route does not serve the request although its path fits.
    std::string rejection(const Route& route, const ExplainQuery& query)
    {
        if (!route.methods.empty() && !contains(route.methods, query.method))
            return "it does not take the method " + query.method;
        if (!route.callers.empty() && !contains(route.callers, CallerName(query.caller)))
            return "it does not name the caller '" + query.caller + "'";
        return "another route has a longer path";
    }

    void addRejected(CommandOutcome& outcome, const Tables& tables, const ExplainQuery& query, const Route* chosen)
    {
        outcome.json["rejected"] = json::array();
        for (const auto& route : tables.routes) {
            if (&route == chosen || !covers(route.path, query.path))
                continue;
            const auto reason = rejection(route, query);
            addLine(outcome, "not route " + route.name.value() + " (" + route.path + "): " + reason);
            outcome.json["rejected"].push_back({ { "route", route.name.value() }, { "reason", reason } });
        }
    }

    void addRoute(CommandOutcome& outcome, const Route& route, const std::string& reason)
    {
        addLine(outcome, "route " + route.name.value() + ": " + reason);
        addLine(outcome, "  priority " + std::string(name(route.priority)) + ", timeout " + std::to_string(route.timeout.count()) + " ms, retries up to " + std::to_string(route.retryPercent) + " percent");
        addLine(outcome, route.repeatable ? "  repeatable: an attempt that may have run is tried again" : "  not repeatable: tried again only if it is known that it did not run");
        outcome.json["route"] = { { "name", route.name.value() }, { "reason", reason }, { "repeatable", route.repeatable }, { "priority", name(route.priority) }, { "timeout-ms", route.timeout.count() } };
    }

    void addPool(CommandOutcome& outcome, const Pool& pool)
    {
        addLine(outcome, "pool " + pool.name.value() + " (" + std::string(name(pool.kind)) + (pool.model.empty() ? "" : ", model " + pool.model) + "):");
        outcome.json["pool"] = pool.name.value();
        outcome.json["targets"] = json::array();
        for (const auto& target : pool.targets) {
            const auto* state = target.draining ? "gets no new work: draining" : "candidate";
            addLine(outcome, "  " + target.id.value() + " " + target.address + ":" + std::to_string(target.port) + " in " + target.failureDomain.value() + ": " + state);
            outcome.json["targets"].push_back({ { "target", target.id.value() }, { "failure-domain", target.failureDomain.value() }, { "candidate", !target.draining } });
        }
        addLine(outcome, "  a host takes the candidate with the least expected wait among those that it sees live (cicadactl state shows its view)");
    }

    CommandOutcome refusal(CommandOutcome outcome, const Error& error)
    {
        outcome.exitCode = ExitCode::Refused;
        outcome.text.insert(0, "refused before anything runs: " + describe(error) + "\n");
        outcome.json["errors"] = toJson(Errors { error });
        return outcome;
    }

    CommandOutcome explainTrainer(const RouteMatcher& matcher, const std::string& trainer)
    {
        CommandOutcome outcome;
        const auto* route = matcher.trainerRoute(TrainerName(trainer));
        if (!route)
            return refusal(std::move(outcome), { ErrorCode::TrainerUnknown, "no route serves the trainer '" + trainer + "'", {} });
        addRoute(outcome, *route, "the only one that names the trainer '" + trainer + "'");
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
        return refusal(std::move(outcome), { ErrorCode::CallerUnknown, "the table has no caller '" + query.caller + "'", {} });
    const auto match = matcher.match({ query.method, query.path, caller });
    if (!match) {
        addRejected(outcome, tables, query, nullptr);
        return refusal(std::move(outcome), match.error());
    }
    // The matcher's tables are a copy; its route is compared by name.
    const auto& route = *match.value();
    const auto chosen = std::find_if(tables.routes.begin(), tables.routes.end(), [&](const Route& other) { return other.name == route.name; });
    addRoute(outcome, route, "the longest path (" + route.path + ") that covers the request, takes its method and admits its caller");
    addRejected(outcome, tables, query, &*chosen);
    if (const auto* pool = matcher.pool(route.pool))
        addPool(outcome, *pool);
    return outcome;
}

} // namespace cicadalb
