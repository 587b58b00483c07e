#include "cicadalb/config/TableEdit.h"

#include "TomlReader.h"
#include "cicadalb/config/TablesDifference.h"

#include <map>
#include <sstream>

namespace cicadalb {

namespace {

    constexpr std::string_view basedOnKey = "based-on";

    using Lines = std::vector<std::string>;

    Lines split(std::string_view text)
    {
        Lines lines;
        std::istringstream stream { std::string(text) };
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

    std::string join(const Lines& lines)
    {
        std::string text;
        for (const auto& line : lines)
            text.append(line).append("\n");
        return text;
    }

    /// Index of the line on which a node starts.
    std::size_t lineIndexOf(const toml::node& node)
    {
        return node.source().begin.line - 1;
    }

    Result<toml::table> parseText(std::string_view text, std::string_view fileName)
    {
        detail::TomlReader reader { std::string(fileName) };
        auto root = reader.parse(text);
        if (!reader.errors().empty())
            return reader.errors().front();
        return root;
    }

    auto manualEditError(std::string_view entryText)
    {
        return failure(ErrorCode::ValueInvalid, "the layout of the text does not allow an automatic edit of " + std::string(entryText) + "; edit it by hand");
    }

    const toml::table* findTarget(const toml::table& root, const TargetId& id, std::vector<std::string_view>& knownIds)
    {
        const auto* pools = root["pools"].as_table();
        if (!pools)
            return nullptr;
        for (const auto& [poolName, pool] : *pools) {
            const auto* targets = pool.is_table() ? (*pool.as_table())["targets"].as_array() : nullptr;
            if (!targets)
                continue;
            for (const auto& element : *targets) {
                const auto* target = element.as_table();
                const auto* name = target ? (*target)["id"].as_string() : nullptr;
                if (name && name->get() == id.value())
                    return target;
                if (name)
                    knownIds.push_back(name->get());
            }
        }
        return nullptr;
    }

    void setDraining(Lines& lines, const toml::table& target, bool isDraining)
    {
        const std::string value = isDraining ? "true" : "false";
        const auto* flag = target.get("draining");
        if (!flag) {
            lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(lineIndexOf(target)) + 1, "draining = " + value);
            return;
        }
        const auto& source = flag->source();
        lines[lineIndexOf(*flag)].replace(source.begin.column - 1, source.end.column - source.begin.column, value);
    }

    bool isOnlyDrainingChange(const std::vector<Difference>& changes, std::string_view targetSuffix)
    {
        return changes.size() == 1 && changes.front().kind == EntryKind::Target && changes.front().change == ChangeKind::Changed
            && changes.front().name.ends_with(targetSuffix) && changes.front().detail.starts_with("draining: ")
            && changes.front().detail.find(',') == std::string::npos;
    }

    std::string_view sectionNameOf(EntryKind kind)
    {
        constexpr auto sectionNames = std::to_array<EnumName<EntryKind>>({
            { EntryKind::Route, "routes" },
            { EntryKind::Pool, "pools" },
            { EntryKind::Caller, "callers" },
            { EntryKind::Trainer, "trainers" },
        });
        return nameIn(sectionNames, kind);
    }

    /// Maps the index of each line that starts a table to whether the table belongs to the entry that is removed.
    using HeaderLines = std::map<std::size_t, bool>;

    void addHeaderLines(const toml::node& node, bool isEntry, HeaderLines& headerLines)
    {
        if (const auto* table = node.as_table()) {
            headerLines[lineIndexOf(node)] = isEntry;
            for (const auto& [key, child] : *table)
                addHeaderLines(child, isEntry, headerLines);
        } else if (const auto* array = node.as_array()) {
            for (const auto& child : *array)
                addHeaderLines(child, isEntry, headerLines);
        }
    }

    HeaderLines headerLinesOf(const toml::table& root, std::string_view section, const toml::table& entry)
    {
        HeaderLines headerLines;
        for (const auto& [sectionName, sectionNode] : root) {
            const auto* sectionTable = sectionNode.as_table();
            if (!sectionTable)
                continue;
            headerLines.emplace(lineIndexOf(sectionNode), false);
            for (const auto& [name, node] : *sectionTable)
                addHeaderLines(node, sectionName.str() == section && node.as_table() == &entry, headerLines);
        }
        return headerLines;
    }

    /// The lines without the tables of the entry; a table extends from its header line to the line before the next one.
    Lines withoutEntryLines(const Lines& lines, const HeaderLines& headerLines)
    {
        Lines kept;
        bool isEntry = false;
        for (std::size_t index = 0; index < lines.size(); ++index) {
            if (const auto header = headerLines.find(index); header != headerLines.end())
                isEntry = header->second;
            if (!isEntry)
                kept.push_back(lines[index]);
        }
        return kept;
    }

    bool isOnlyRemoval(const std::vector<Difference>& changes, const RetiredName& entry)
    {
        return std::all_of(changes.begin(), changes.end(), [&](const Difference& change) {
            const bool isEntry = change.kind == entry.kind && change.name == entry.name;
            const bool isTargetOfEntry = entry.kind == EntryKind::Pool && change.kind == EntryKind::Target && change.name.starts_with(entry.name + "/");
            return change.change == ChangeKind::Removed && (isEntry || isTargetOfEntry);
        });
    }

} // namespace

std::optional<ConfigurationNumber> basedOn(std::string_view routesText)
{
    const auto root = parseText(routesText, routesFileName);
    if (!root)
        return std::nullopt;
    const auto number = root.value()[basedOnKey].value<std::int64_t>();
    return number && *number >= 0 ? std::optional(static_cast<ConfigurationNumber>(*number)) : std::nullopt;
}

std::string withoutBasedOn(std::string_view routesText)
{
    const auto root = parseText(routesText, routesFileName);
    const auto* node = root ? root.value().get(basedOnKey) : nullptr;
    if (!node)
        return std::string(routesText);
    auto lines = split(routesText);
    lines.erase(lines.begin() + static_cast<std::ptrdiff_t>(lineIndexOf(*node)));
    return join(lines);
}

std::string withBasedOn(std::string_view routesText, ConfigurationNumber number)
{
    return std::string(basedOnKey) + " = " + std::to_string(number) + "\n" + withoutBasedOn(routesText);
}

Result<TableTexts> withDraining(const TableTexts& texts, const TargetId& id, bool isDraining)
{
    const auto before = parseTables(texts.routes, texts.pools);
    if (!before)
        return before.error().front();
    const auto root = parseText(texts.pools, poolsFileName);
    if (!root)
        return root.as_failure();
    std::vector<std::string_view> knownIds;
    const auto* target = findTarget(root.value(), id, knownIds);
    if (!target)
        return failure(ErrorCode::NameUnknown, "there is no target '" + id.value() + "'" + detail::suggestion(id.value(), knownIds));
    if ((*target)["draining"].value_or(false) == isDraining)
        return texts;

    auto lines = split(texts.pools);
    setDraining(lines, *target, isDraining);
    TableTexts edited { texts.routes, join(lines) };
    const auto after = parseTables(edited.routes, edited.pools);
    if (!after || !isOnlyDrainingChange(differences(before.value(), after.value()), "/" + id.value()))
        return manualEditError("target '" + id.value() + "'");
    return edited;
}

Result<TableTexts> withoutEntry(const TableTexts& texts, const RetiredName& entry)
{
    const bool isPool = entry.kind == EntryKind::Pool;
    const auto& text = isPool ? texts.pools : texts.routes;
    const auto root = parseText(text, isPool ? poolsFileName : routesFileName);
    if (!root)
        return root.as_failure();
    const auto section = sectionNameOf(entry.kind);
    const auto* table = root.value()[section][entry.name].as_table();
    if (!table)
        return failure(ErrorCode::NameUnknown, "there is no " + toText(entry));

    auto edited = texts;
    (isPool ? edited.pools : edited.routes) = join(withoutEntryLines(split(text), headerLinesOf(root.value(), section, *table)));
    const auto before = parseTables(texts.routes, texts.pools);
    const auto after = parseTables(edited.routes, edited.pools);
    if (before && after && !isOnlyRemoval(differences(before.value(), after.value()), entry))
        return manualEditError(toText(entry));
    return edited;
}

} // namespace cicadalb
