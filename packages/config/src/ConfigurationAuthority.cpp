#include "cicadalb/config/ConfigurationAuthority.h"

#include "NearestName.h"
#include "cicadalb/config/TablesDifference.h"

#include <algorithm>
#include <set>

namespace cicadalb {

namespace {

    constexpr std::array retirableKinds { EntryKind::Route, EntryKind::Pool, EntryKind::Caller, EntryKind::Trainer };
    /// Longest list of differences that a refusal spells out.
    constexpr std::size_t maximumListedDifferences = 20;

    template <typename Entries>
    std::vector<std::string_view> namesOf(const Entries& entries)
    {
        std::vector<std::string_view> names(entries.size());
        std::transform(entries.begin(), entries.end(), names.begin(), [](const auto& entry) { return std::string_view(entry.name.value()); });
        return names;
    }

    std::vector<std::string_view> namesOf(const Tables& tables, EntryKind kind)
    {
        switch (kind) {
        case EntryKind::Route:
            return namesOf(tables.routes);
        case EntryKind::Pool:
            return namesOf(tables.pools);
        case EntryKind::Caller:
            return namesOf(tables.callers);
        case EntryKind::Trainer:
            return namesOf(tables.trainers);
        case EntryKind::Target:
            break;
        }
        return {};
    }

    bool contains(const std::vector<std::string_view>& names, std::string_view name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    std::string_view fileOf(EntryKind kind)
    {
        return kind == EntryKind::Pool ? poolsFileName : routesFileName;
    }

    /// Names of @p from that @p to does not have.
    std::vector<std::string_view> missingNames(const std::vector<std::string_view>& from, const std::vector<std::string_view>& to)
    {
        const std::set<std::string_view> kept(to.begin(), to.end());
        std::vector<std::string_view> missing;
        std::copy_if(from.begin(), from.end(), std::back_inserter(missing), [&](auto name) { return !kept.contains(name); });
        return missing;
    }

    void checkVanishedNames(const Tables& present, const Tables& next, EntryKind kind, const std::vector<RetiredName>& retired, Errors& errors)
    {
        const auto before = namesOf(present, kind);
        const auto after = namesOf(next, kind);
        const auto added = missingNames(after, before);
        for (const auto missing : missingNames(before, after)) {
            const RetiredName vanished { kind, std::string(missing) };
            if (std::find(retired.begin(), retired.end(), vanished) != retired.end())
                continue;
            const auto renamed = detail::nearestName(missing, added);
            auto message = std::string(name(kind)) + " '" + vanished.name + "' is in force but missing from the edit; ";
            message += renamed ? "did you rename it to '" + std::string(*renamed) + "'?" : "did you rename or lose it?";
            message += " If it shall go, retire it by name: --retire \"" + toText(vanished) + "\"";
            errors.push_back({ ErrorCode::NameRemoved, std::move(message), std::string(fileOf(kind)) });
        }
    }

    void checkRetiredNames(const Tables& present, const Tables& next, const std::vector<RetiredName>& retired, Errors& errors)
    {
        for (const auto& entry : retired) {
            const auto known = namesOf(present, entry.kind);
            const auto text = toText(entry);
            if (!contains(known, entry.name))
                errors.push_back({ ErrorCode::NameUnknown, "'" + text + "' cannot be retired: it is not in force" + detail::suggestion(entry.name, known), "--retire" });
            else if (contains(namesOf(next, entry.kind), entry.name))
                errors.push_back({ ErrorCode::ValueInvalid, "'" + text + "' is to be retired but still in the edit", std::string(fileOf(entry.kind)) });
        }
    }

    std::size_t servingTargets(const Pool& pool)
    {
        return static_cast<std::size_t>(std::count_if(pool.targets.begin(), pool.targets.end(), [](const Target& target) { return !target.draining; }));
    }

    void checkCapacity(const Tables& present, const Tables& next, Errors& errors)
    {
        for (const auto& pool : next.pools) {
            const auto before = std::find_if(present.pools.begin(), present.pools.end(), [&](const Pool& other) { return other.name == pool.name; });
            if (before == present.pools.end())
                continue;
            const auto from = servingTargets(*before);
            const auto to = servingTargets(pool);
            if (2 * to >= from)
                continue;
            auto message = "pool '" + pool.name.value() + "' would fall from " + std::to_string(from) + " to " + std::to_string(to);
            message += " serving targets at once; if this is meant, say --allow-capacity-loss";
            errors.push_back({ ErrorCode::CapacityLost, std::move(message), std::string(poolsFileName) });
        }
    }

    std::string listed(const std::vector<Difference>& differences)
    {
        std::string list;
        const auto count = std::min(differences.size(), maximumListedDifferences);
        for (std::size_t index = 0; index < count; ++index)
            list += (index == 0 ? "" : "; ") + describe(differences[index]);
        if (differences.size() > count)
            list += "; and " + std::to_string(differences.size() - count) + " more";
        return list.empty() ? "nothing" : list;
    }

    Error outdatedBase(const AcceptedConfiguration& present, const ConfigurationEdit& edit, const Tables& next)
    {
        const auto based = edit.base ? "the edit is based on number " + std::to_string(*edit.base) : std::string("the edit does not say which number it is based on (--base)");
        auto message = based + ", but number " + std::to_string(present.number) + " by '" + present.author + "' is in force";
        message += "; your edit would change: " + listed(differences(present.tables, next));
        message += ". Fetch the present tables (cicadactl show) and edit again";
        return { ErrorCode::BaseOutdated, std::move(message), "--base" };
    }

    std::vector<std::string> marksAfter(const AcceptedConfiguration& present)
    {
        std::vector<std::string> marks { present.mark };
        marks.insert(marks.end(), present.earlierMarks.begin(), present.earlierMarks.end());
        if (marks.size() > maximumEarlierMarks)
            marks.resize(maximumEarlierMarks);
        return marks;
    }

    Errors problemsAgainst(const AcceptedConfiguration& present, const ConfigurationEdit& edit, const Tables& next)
    {
        Errors errors;
        if (edit.base != present.number) {
            // The other rules would speak of a state that the operator has not seen.
            errors.push_back(outdatedBase(present, edit, next));
            return errors;
        }
        for (const auto kind : retirableKinds)
            checkVanishedNames(present.tables, next, kind, edit.retired, errors);
        checkRetiredNames(present.tables, next, edit.retired, errors);
        if (!edit.allowCapacityLoss)
            checkCapacity(present.tables, next, errors);
        return errors;
    }

    Errors problemsOfFirst(const ConfigurationEdit& edit)
    {
        Errors errors;
        if (edit.base.value_or(0) != 0)
            errors.push_back({ ErrorCode::BaseOutdated, "the edit is based on number " + std::to_string(*edit.base) + ", but no configuration exists", "--base" });
        checkRetiredNames({}, {}, edit.retired, errors);
        return errors;
    }

} // namespace

ConfigurationAuthority::ConfigurationAuthority(std::optional<AcceptedConfiguration> present)
    : m_present(std::move(present))
{
}

bool ConfigurationAuthority::hasAccepted(std::string_view mark) const
{
    if (!m_present)
        return false;
    const auto& earlier = m_present->earlierMarks;
    return m_present->mark == mark || std::find(earlier.begin(), earlier.end(), mark) != earlier.end();
}

CheckedResult<AcceptedConfiguration> ConfigurationAuthority::accept(const ConfigurationEdit& edit) const
{
    auto tables = parseTables(edit.routesText, edit.poolsText);
    if (!tables)
        return tables.as_failure();
    auto errors = m_present ? problemsAgainst(*m_present, edit, tables.value()) : problemsOfFirst(edit);
    if (!errors.empty())
        return errors;

    AcceptedConfiguration next;
    next.number = m_present ? m_present->number + 1 : 1;
    next.routesText = edit.routesText;
    next.poolsText = edit.poolsText;
    next.author = edit.author;
    next.acceptedAt = edit.at;
    next.retired = edit.retired;
    next.mark = edit.mark;
    if (m_present)
        next.earlierMarks = marksAfter(*m_present);
    next.tables = std::move(tables.value());
    if (const auto bytes = toJson(next).size(); bytes > maximumRecordBytes)
        return Errors { { ErrorCode::RecordTooLarge, "the record would have " + std::to_string(bytes) + " bytes; the key-value service holds " + std::to_string(maximumRecordBytes), {} } };
    return next;
}

} // namespace cicadalb
