#include "cicadalb/config/Tables.h"

#include "TablesCheck.h"
#include "TomlReader.h"

namespace cicadalb {

namespace {

    constexpr auto priorityNames = std::to_array<EnumName<Priority>>({
        { Priority::Interactive, "interactive" },
        { Priority::Normal, "normal" },
        { Priority::Training, "training" },
    });

    constexpr auto targetKindNames = std::to_array<EnumName<TargetKind>>({
        { TargetKind::PlainService, "plain-service" },
        { TargetKind::ModelEngine, "model-engine" },
    });

    constexpr auto fenceCheckNames = std::to_array<EnumName<FenceCheck>>({
        { FenceCheck::Checked, "checked" },
        { FenceCheck::Ignored, "ignored" },
    });

} // namespace

std::string_view name(Priority value) noexcept { return nameIn(priorityNames, value); }
std::string_view name(TargetKind value) noexcept { return nameIn(targetKindNames, value); }
std::string_view name(FenceCheck value) noexcept { return nameIn(fenceCheckNames, value); }

static const auto& enumTable(Priority) { return priorityNames; }
static const auto& enumTable(TargetKind) { return targetKindNames; }
static const auto& enumTable(FenceCheck) { return fenceCheckNames; }

namespace {

    using detail::Between;
    using detail::Fields;
    using detail::Presence;
    using detail::Problem;
    using detail::TomlReader;

    constexpr double maximumShare = 1000000.0;
    constexpr double minimumShare = 0.000001;
    constexpr double maximumStalenessBound = 1000000.0;
    constexpr double maximumTimeoutMilliseconds = 3600000.0;
    constexpr double maximumInFlightLimit = 65536.0;
    constexpr double maximumPort = 65535.0;
    constexpr std::size_t sha256HexLength = 64;

    const std::vector<std::string_view> knownMethods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" };

    Problem checkSha256(const std::string& text)
    {
        const bool isHex = text.find_first_not_of("0123456789abcdef") == std::string::npos;
        return isHex && text.size() == sha256HexLength ? "" : "must be a SHA-256 in 64 lower-case hex digits";
    }

    Problem checkPath(const std::string& text)
    {
        if (text.empty() || text.front() != '/')
            return "is '" + text + "' but must start with '/'";
        const bool isPlainPath = text.find_first_of("?# %\\") == std::string::npos && (text + "/").find("/./") == std::string::npos && (text + "/").find("/../") == std::string::npos;
        return isPlainPath ? "" : "is '" + text + "' but must be a path without query, fragment, spaces, escapes or dot segments";
    }

    Problem checkMethods(const std::vector<std::string>& methods)
    {
        for (const auto& method : methods) {
            if (std::find(knownMethods.begin(), knownMethods.end(), method) == knownMethods.end())
                return "has the method '" + method + "', which is not known" + detail::suggestion(method, knownMethods);
        }
        return detail::NotEmptyList {}(methods);
    }

    const Fields<Caller>& callerFields()
    {
        static const Fields<Caller> fields {
            { "token-sha256", &Caller::tokenSha256, Presence::Required, checkSha256 },
        };
        return fields;
    }

    const Fields<Trainer>& trainerFields()
    {
        static const Fields<Trainer> fields {
            { "token-sha256", &Trainer::tokenSha256, Presence::Required, checkSha256 },
            { "share", &Trainer::share, Presence::Optional, Between { minimumShare, maximumShare } },
            { "staleness-bound", &Trainer::stalenessBound, Presence::Required, Between { 0, maximumStalenessBound } },
            { "staleness-weight", &Trainer::stalenessWeight, Presence::Optional, Between { 0, 1 } },
        };
        return fields;
    }

    const Fields<Route>& routeFields()
    {
        static const Fields<Route> fields {
            { "path", &Route::path, Presence::Required, checkPath },
            { "methods", &Route::methods, Presence::Optional, checkMethods },
            { "pool", &Route::pool, Presence::Required },
            { "callers", &Route::callers, Presence::Optional, detail::NotEmptyList {} },
            { "trainers", &Route::trainers, Presence::Optional, detail::NotEmptyList {} },
            { "repeatable", &Route::isIdempotent, Presence::Optional },
            { "priority", &Route::priority, Presence::Optional },
            { "timeout-ms", &Route::timeout, Presence::Optional, Between { 1, maximumTimeoutMilliseconds } },
            { "retry-percent", &Route::retryPercent, Presence::Optional, Between { 0, 100 } },
        };
        return fields;
    }

    const Fields<Pool>& poolFields()
    {
        static const Fields<Pool> fields {
            { "kind", &Pool::kind, Presence::Required },
            { "model", &Pool::model, Presence::Optional, detail::checkName },
            { "fence-check", &Pool::fenceCheck, Presence::Optional },
            { "serving-share", &Pool::servingShare, Presence::Optional, Between { 0, 1 } },
            { "maximum-in-flight", &Pool::maximumInFlight, Presence::Optional, Between { 1, maximumInFlightLimit } },
        };
        return fields;
    }

    const Fields<Target>& targetFields()
    {
        static const Fields<Target> fields {
            { "id", &Target::id, Presence::Required, detail::checkIdentifier<TargetTag> },
            { "address", &Target::address, Presence::Required, detail::checkIpAddress },
            { "port", &Target::port, Presence::Required, Between { 1, maximumPort } },
            { "failure-domain", &Target::failureDomain, Presence::Required, detail::checkIdentifier<FailureDomainTag> },
            { "draining", &Target::isDraining, Presence::Optional },
        };
        return fields;
    }

    /// Calls @p readEntry(name, path, table) for each named subtable of @p root[@p section].
    template <typename ReadEntry>
    void readSection(TomlReader& reader, const toml::table& root, std::string_view section, ReadEntry readEntry)
    {
        const auto* node = root.get(section);
        if (!node)
            return;
        const auto* table = node->as_table();
        if (!table)
            return reader.report(ErrorCode::ValueInvalid, std::string(section) + " must be a table", *node);
        for (const auto& [key, value] : *table) {
            const auto tablePath = std::string(section) + "." + std::string(key.str());
            if (auto problem = detail::checkName(std::string(key.str())); !problem.empty())
                reader.report(ErrorCode::ValueInvalid, problem.insert(0, "the name of " + tablePath + " "), key.source());
            if (const auto* entry = value.as_table())
                readEntry(std::string(key.str()), tablePath, *entry);
            else
                reader.report(ErrorCode::ValueInvalid, tablePath + " must be a table", value);
        }
    }

    /// Reads a section of named entries that have no subtables.
    template <typename Entry>
    void readEntries(TomlReader& reader, const toml::table& root, std::string_view section, const Fields<Entry>& fields, std::vector<Entry>& entries)
    {
        readSection(reader, root, section, [&](std::string name, const std::string& tablePath, const toml::table& table) {
            Entry entry;
            entry.name = decltype(entry.name)(std::move(name));
            detail::readFields(reader, table, tablePath, fields, entry);
            entries.push_back(std::move(entry));
        });
    }

    void readTargets(TomlReader& reader, const std::string& tablePath, const toml::table& poolTable, Pool& pool)
    {
        const auto* node = poolTable.get("targets");
        const auto* array = node ? node->as_array() : nullptr;
        if (node && !array)
            return reader.report(ErrorCode::ValueInvalid, tablePath + ".targets must be a list of tables, [[" + tablePath + ".targets]]", *node);
        if (!array || array->empty())
            return reader.report(ErrorCode::TableEmptied, tablePath + " has no targets", poolTable);
        for (const auto& element : *array) {
            const auto* table = element.as_table();
            if (!table) {
                reader.report(ErrorCode::ValueInvalid, tablePath + ".targets must hold tables", element);
                continue;
            }
            Target target;
            detail::readFields(reader, *table, tablePath + ".targets", targetFields(), target);
            pool.targets.push_back(std::move(target));
        }
    }

    void readPools(TomlReader& reader, const toml::table& root, std::vector<Pool>& pools)
    {
        readSection(reader, root, "pools", [&](std::string name, const std::string& tablePath, const toml::table& table) {
            Pool pool;
            pool.name = PoolName(std::move(name));
            detail::readFields(reader, table, tablePath, poolFields(), pool, { "targets" });
            readTargets(reader, tablePath, table, pool);
            pools.push_back(std::move(pool));
        });
    }

} // namespace

CheckedResult<Tables> parseTables(std::string_view routesText, std::string_view poolsText)
{
    TomlReader routesReader { std::string(routesFileName) };
    TomlReader poolsReader { std::string(poolsFileName) };
    const auto routesRoot = routesReader.parse(routesText);
    const auto poolsRoot = poolsReader.parse(poolsText);
    const bool isSyntaxValid = routesReader.errors().empty() && poolsReader.errors().empty();

    Tables tables;
    if (isSyntaxValid) {
        readEntries(routesReader, routesRoot, "callers", callerFields(), tables.callers);
        readEntries(routesReader, routesRoot, "trainers", trainerFields(), tables.trainers);
        readEntries(routesReader, routesRoot, "routes", routeFields(), tables.routes);
        detail::reportUnknownKeys(routesReader, routesRoot, routesFileName, { "callers", "trainers", "routes", "based-on" });
        readPools(poolsReader, poolsRoot, tables.pools);
        detail::reportUnknownKeys(poolsReader, poolsRoot, poolsFileName, { "pools" });
        detail::checkTables(tables, { routesReader, routesRoot }, { poolsReader, poolsRoot });
    }

    auto errors = std::move(routesReader.errors());
    errors.insert(errors.end(), poolsReader.errors().begin(), poolsReader.errors().end());
    if (!errors.empty())
        return errors;
    return tables;
}

} // namespace cicadalb
