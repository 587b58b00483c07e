#include "TablesCheck.h"

#include <algorithm>
#include <map>
#include <set>

namespace cicadalb::detail {

namespace {

    /// Names of one kind of entry, for lookups and suggestions.
    template <typename Entries>
    std::vector<std::string_view> namesOf(const Entries& entries)
    {
        std::vector<std::string_view> names(entries.size());
        std::transform(entries.begin(), entries.end(), names.begin(), [](const auto& entry) { return std::string_view(entry.name.value()); });
        return names;
    }

    struct TableNames {
        std::vector<std::string_view> callers;
        std::vector<std::string_view> trainers;
        std::vector<std::string_view> pools;
    };

    bool contains(const std::vector<std::string_view>& names, std::string_view name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    std::string pathOf(const Route& route, std::string_view key)
    {
        return "routes." + route.name.value() + "." + std::string(key);
    }

    void checkReference(TableSource& source, const std::string& path, std::string_view kind, std::string_view name, const std::vector<std::string_view>& known)
    {
        if (contains(known, name))
            return;
        const auto message = path + " names the " + std::string(kind) + " '" + std::string(name) + "', which does not exist";
        source.report(ErrorCode::ReferenceBroken, message + suggestion(name, known), path);
    }

    void checkReferences(const Tables& tables, TableSource& routes)
    {
        const TableNames names { namesOf(tables.callers), namesOf(tables.trainers), namesOf(tables.pools) };
        for (const auto& route : tables.routes) {
            if (!route.pool.isEmpty())
                checkReference(routes, pathOf(route, "pool"), "pool", route.pool.value(), names.pools);
            for (const auto& caller : route.callers)
                checkReference(routes, pathOf(route, "callers"), "caller", caller.value(), names.callers);
            for (const auto& trainer : route.trainers)
                checkReference(routes, pathOf(route, "trainers"), "trainer", trainer.value(), names.trainers);
        }
    }

    void checkTablesNotEmpty(const Tables& tables, TableSource& routes, TableSource& pools)
    {
        if (tables.routes.empty())
            routes.report(ErrorCode::TableEmptied, "the table has no routes", "routes");
        if (tables.pools.empty())
            pools.report(ErrorCode::TableEmptied, "the table has no pools", "pools");
    }

    template <typename Entries>
    void checkTokensOf(const Entries& entries, std::string_view section, std::map<std::string_view, std::string>& owners, TableSource& routes)
    {
        for (const auto& entry : entries) {
            const auto path = std::string(section) + "." + entry.name.value();
            const auto [owner, isInserted] = owners.emplace(entry.tokenSha256, path);
            if (!isInserted && !entry.tokenSha256.empty())
                routes.report(ErrorCode::ValueInvalid, path + " has the same token as " + owner->second, path + ".token-sha256");
        }
    }

    /// Each token must belong to only one caller or trainer.
    void checkTokens(const Tables& tables, TableSource& routes)
    {
        std::map<std::string_view, std::string> owners;
        checkTokensOf(tables.callers, "callers", owners, routes);
        checkTokensOf(tables.trainers, "trainers", owners, routes);
    }

    bool haveCommonMethod(const std::vector<std::string>& left, const std::vector<std::string>& right)
    {
        if (left.empty() || right.empty())
            return true;
        return std::any_of(left.begin(), left.end(), [&](const auto& method) {
            return std::find(right.begin(), right.end(), method) != right.end();
        });
    }

    /// The path as routing compares it, without slashes at the end.
    std::string_view canonicalPath(std::string_view path)
    {
        while (path.size() > 1 && path.back() == '/')
            path.remove_suffix(1);
        return path;
    }

    void checkOverlaps(const Tables& tables, TableSource& routes)
    {
        std::map<std::string_view, std::vector<const Route*>> routesByPath;
        for (const auto& route : tables.routes) {
            auto& existing = routesByPath[canonicalPath(route.path)];
            for (const auto* other : existing) {
                if (!route.path.empty() && haveCommonMethod(route.methods, other->methods))
                    routes.report(ErrorCode::ValueInvalid, "routes." + route.name.value() + " shares its path and a method with routes." + other->name.value(), pathOf(route, "path"));
            }
            existing.push_back(&route);
        }
    }

    const Pool* findPool(const Tables& tables, const PoolName& name)
    {
        const auto found = std::find_if(tables.pools.begin(), tables.pools.end(), [&](const Pool& pool) { return pool.name == name; });
        return found == tables.pools.end() ? nullptr : &*found;
    }

    /// Each trainer must have exactly one route, to a pool of model engines.
    void checkTrainers(const Tables& tables, TableSource& routes)
    {
        std::map<std::string_view, const Route*> routeOf;
        for (const auto& route : tables.routes) {
            const auto* pool = findPool(tables, route.pool);
            if (!route.trainers.empty() && pool && pool->kind != TargetKind::ModelEngine)
                routes.report(ErrorCode::ValueInvalid, pathOf(route, "trainers") + " needs a pool of model engines, but '" + pool->name.value() + "' holds plain services", pathOf(route, "trainers"));
            for (const auto& trainer : route.trainers) {
                const auto [existing, isInserted] = routeOf.emplace(trainer.value(), &route);
                if (!isInserted)
                    routes.report(ErrorCode::ValueInvalid, pathOf(route, "trainers") + " names the trainer '" + trainer.value() + "', which routes." + existing->second->name.value() + " serves already", pathOf(route, "trainers"));
            }
        }
        for (const auto& trainer : tables.trainers) {
            if (!routeOf.contains(trainer.name.value()))
                routes.report(ErrorCode::ReferenceBroken, "trainers." + trainer.name.value() + " is served by no route", "trainers." + trainer.name.value());
        }
    }

    void checkModels(const Tables& tables, TableSource& pools)
    {
        for (const auto& pool : tables.pools) {
            const auto path = "pools." + pool.name.value();
            if (pool.kind == TargetKind::ModelEngine && pool.model.empty())
                pools.report(ErrorCode::ValueMissing, path + ".model is missing: model engines need the name of their model", path);
            if (pool.kind == TargetKind::PlainService && !pool.model.empty())
                pools.report(ErrorCode::ValueInvalid, path + ".model is set, but the pool holds plain services", path + ".model");
        }
    }

    void checkTargets(const Tables& tables, TableSource& pools)
    {
        std::map<std::string_view, std::string> poolOf;
        for (const auto& pool : tables.pools) {
            std::set<std::pair<std::string_view, std::uint16_t>> endpoints;
            for (std::size_t index = 0; index < pool.targets.size(); ++index) {
                const auto& target = pool.targets[index];
                const auto path = "pools." + pool.name.value() + ".targets[" + std::to_string(index) + "]";
                const auto [existing, isInserted] = poolOf.emplace(target.id.value(), pool.name.value());
                if (!isInserted && !target.id.isEmpty())
                    pools.report(ErrorCode::ValueInvalid, "target '" + target.id.value() + "' is already in pools." + existing->second, path + ".id");
                if (!endpoints.emplace(target.address, target.port).second && target.port != 0)
                    pools.report(ErrorCode::ValueInvalid, "target '" + target.id.value() + "' has the address and port of another target of pools." + pool.name.value(), path + ".port");
            }
        }
    }

} // namespace

void TableSource::report(ErrorCode code, std::string message, std::string_view path)
{
    auto prefix = path;
    while (!prefix.empty()) {
        if (const auto node = root.at_path(prefix); node.node() && node.node()->source().begin)
            return reader.report(code, std::move(message), *node.node());
        const auto dot = prefix.find_last_of('.');
        prefix = dot == std::string_view::npos ? std::string_view() : prefix.substr(0, dot);
    }
    reader.report(code, std::move(message), root);
}

void checkTables(const Tables& tables, TableSource routes, TableSource pools)
{
    const bool arePoolsValid = pools.reader.errors().empty();
    checkTablesNotEmpty(tables, routes, pools);
    checkReferences(tables, routes);
    checkTokens(tables, routes);
    checkOverlaps(tables, routes);
    checkTargets(tables, pools);
    // If the kind of a pool could not be read, these checks would report misleading errors.
    if (arePoolsValid) {
        checkTrainers(tables, routes);
        checkModels(tables, pools);
    }
}

} // namespace cicadalb::detail
