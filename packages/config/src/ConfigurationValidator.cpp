#include "cicadalb/config/ConfigurationValidator.h"

#include "NearestName.h"
#include "cicadalb/config/TablesDifference.h"

#include <algorithm>
#include <set>

namespace cicadalb {

namespace {

    constexpr std::array retirableKinds { EntryKind::Route, EntryKind::Pool, EntryKind::Caller, EntryKind::Trainer };
    /// Longest list of differences that an error message includes.
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

    std::string_view fileNameOf(EntryKind kind)
    {
        return kind == EntryKind::Pool ? poolsFileName : routesFileName;
    }

    /// Names of @p from that @p to does not have.
    std::vector<std::string_view> missingNames(const std::vector<std::string_view>& from, const std::vector<std::string_view>& to)
    {
        const std::set<std::string_view> remaining(to.begin(), to.end());
        std::vector<std::string_view> missing;
        std::copy_if(from.begin(), from.end(), std::back_inserter(missing), [&](auto name) { return !remaining.contains(name); });
        return missing;
    }

    void checkRemovedNames(const Tables& current, const Tables& next, EntryKind kind, const std::vector<RetiredName>& retired, Errors& errors)
    {
        const auto before = namesOf(current, kind);
        const auto after = namesOf(next, kind);
        const auto added = missingNames(after, before);
        for (const auto missing : missingNames(before, after)) {
            const RetiredName removed { kind, std::string(missing) };
            if (std::find(retired.begin(), retired.end(), removed) != retired.end())
                continue;
            const auto renamed = detail::nearestName(missing, added);
            auto message = std::string(name(kind)) + " '" + removed.name + "' is in force but missing from the edit; ";
            message += renamed ? "did you rename it to '" + std::string(*renamed) + "'?" : "did you rename or lose it?";
            message += " If it is to be removed, retire it by name: --retire \"" + toText(removed) + "\"";
            errors.push_back({ ErrorCode::NameRemoved, std::move(message), std::string(fileNameOf(kind)) });
        }
    }

    void checkRetiredNames(const Tables& current, const Tables& next, const std::vector<RetiredName>& retired, Errors& errors)
    {
        for (const auto& entry : retired) {
            const auto known = namesOf(current, entry.kind);
            const auto text = toText(entry);
            if (!contains(known, entry.name))
                errors.push_back({ ErrorCode::NameUnknown, "'" + text + "' cannot be retired: it is not in force" + detail::suggestion(entry.name, known), "--retire" });
            else if (contains(namesOf(next, entry.kind), entry.name))
                errors.push_back({ ErrorCode::ValueInvalid, "'" + text + "' is to be retired but still in the edit", std::string(fileNameOf(entry.kind)) });
        }
    }

    std::size_t servingTargetCount(const Pool& pool)
    {
        return static_cast<std::size_t>(std::count_if(pool.targets.begin(), pool.targets.end(), [](const Target& target) { return !target.isDraining; }));
    }

    void checkCapacity(const Tables& current, const Tables& next, Errors& errors)
    {
        for (const auto& pool : next.pools) {
            const auto before = std::find_if(current.pools.begin(), current.pools.end(), [&](const Pool& other) { return other.name == pool.name; });
            if (before == current.pools.end())
                continue;
            const auto from = servingTargetCount(*before);
            const auto to = servingTargetCount(pool);
            if (2 * to >= from)
                continue;
            auto message = "pool '" + pool.name.value() + "' would go from " + std::to_string(from) + " to " + std::to_string(to);
            message += " serving targets at once; if this is intended, pass --allow-capacity-loss";
            errors.push_back({ ErrorCode::CapacityLost, std::move(message), std::string(poolsFileName) });
        }
    }

    std::string listText(const std::vector<Difference>& differences)
    {
        std::string list;
        const auto count = std::min(differences.size(), maximumListedDifferences);
        for (std::size_t index = 0; index < count; ++index)
            list += (index == 0 ? "" : "; ") + describe(differences[index]);
        if (differences.size() > count)
            list += "; and " + std::to_string(differences.size() - count) + " more";
        return list.empty() ? "nothing" : list;
    }

    Error baseOutdatedError(const AcceptedConfiguration& current, const ConfigurationEdit& edit, const Tables& next)
    {
        const auto basis = edit.baseNumber ? "the edit is based on number " + std::to_string(*edit.baseNumber) : std::string("the edit does not say which number it is based on (--base)");
        auto message = basis + ", but number " + std::to_string(current.number) + " by '" + current.author + "' is in force";
        message += "; your edit would change: " + listText(differences(current.tables, next));
        message += ". Fetch the current tables (cicadactl show) and edit again";
        return { ErrorCode::BaseOutdated, std::move(message), "--base" };
    }

    std::vector<std::string> earlierEditIdsAfter(const AcceptedConfiguration& current)
    {
        std::vector<std::string> editIds { current.editId };
        editIds.insert(editIds.end(), current.earlierEditIds.begin(), current.earlierEditIds.end());
        if (editIds.size() > maximumEarlierEditIds)
            editIds.resize(maximumEarlierEditIds);
        return editIds;
    }

    Errors problemsOfEdit(const AcceptedConfiguration& current, const ConfigurationEdit& edit, const Tables& next)
    {
        Errors errors;
        if (edit.baseNumber != current.number) {
            // The other checks would compare the edit to a configuration that the operator has not seen.
            errors.push_back(baseOutdatedError(current, edit, next));
            return errors;
        }
        for (const auto kind : retirableKinds)
            checkRemovedNames(current.tables, next, kind, edit.retired, errors);
        checkRetiredNames(current.tables, next, edit.retired, errors);
        if (!edit.allowCapacityLoss)
            checkCapacity(current.tables, next, errors);
        return errors;
    }

    Errors problemsOfFirstEdit(const ConfigurationEdit& edit)
    {
        Errors errors;
        if (edit.baseNumber.value_or(0) != 0)
            errors.push_back({ ErrorCode::BaseOutdated, "the edit is based on number " + std::to_string(*edit.baseNumber) + ", but no configuration exists", "--base" });
        checkRetiredNames({}, {}, edit.retired, errors);
        return errors;
    }

} // namespace

ConfigurationValidator::ConfigurationValidator(std::optional<AcceptedConfiguration> current)
    : m_current(std::move(current))
{
}

bool ConfigurationValidator::hasAccepted(std::string_view editId) const
{
    if (!m_current)
        return false;
    const auto& earlier = m_current->earlierEditIds;
    return m_current->editId == editId || std::find(earlier.begin(), earlier.end(), editId) != earlier.end();
}

CheckedResult<AcceptedConfiguration> ConfigurationValidator::accept(const ConfigurationEdit& edit) const
{
    auto tables = parseTables(edit.routesText, edit.poolsText);
    if (!tables)
        return tables.as_failure();
    auto errors = m_current ? problemsOfEdit(*m_current, edit, tables.value()) : problemsOfFirstEdit(edit);
    if (!errors.empty())
        return errors;

    AcceptedConfiguration next;
    next.number = m_current ? m_current->number + 1 : 1;
    next.routesText = edit.routesText;
    next.poolsText = edit.poolsText;
    next.author = edit.author;
    next.acceptedAt = edit.submittedAt;
    next.retired = edit.retired;
    next.editId = edit.editId;
    if (m_current)
        next.earlierEditIds = earlierEditIdsAfter(*m_current);
    next.tables = std::move(tables.value());
    if (const auto bytes = toJson(next).size(); bytes > maximumRecordBytes)
        return Errors { { ErrorCode::RecordTooLarge, "the record would have " + std::to_string(bytes) + " bytes; the key-value service stores at most " + std::to_string(maximumRecordBytes), {} } };
    return next;
}

} // namespace cicadalb
