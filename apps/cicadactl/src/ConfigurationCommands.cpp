#include "ConfigurationCommands.h"

#include "cicadalb/base/Hash.h"
#include "cicadalb/config/Settings.h"
#include "cicadalb/config/TablesDifference.h"

#include <ctime>
#include <fstream>
#include <iomanip>
#include <random>
#include <sstream>

namespace cicadalb {

namespace {

    using nlohmann::json;

    std::int64_t unixSeconds()
    {
        return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::string formatTime(std::int64_t unixSeconds)
    {
        const auto time = static_cast<std::time_t>(unixSeconds);
        std::tm parts {};
        gmtime_r(&time, &parts);
        std::ostringstream stream;
        stream << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
        return stream.str();
    }

    /// Returns a random ID that is unique to one edit. It is random because the operators share no counter.
    std::string newEditId()
    {
        std::random_device device;
        std::string seed;
        for (int index = 0; index < 8; ++index)
            seed += std::to_string(device()) + ".";
        return sha256Hex(seed).substr(0, 32);
    }

    Result<void> writeFile(const std::string& path, const std::string& text)
    {
        std::ofstream file(path, std::ios::binary | std::ios::trunc);
        file << text;
        file.close();
        if (!file)
            return failure(ErrorCode::FileUnreadable, "cannot be written", path);
        return success();
    }

    std::string describeCounts(const Tables& tables)
    {
        std::size_t targets = 0;
        for (const auto& pool : tables.pools)
            targets += pool.targets.size();
        return std::to_string(tables.routes.size()) + " routes, " + std::to_string(tables.pools.size()) + " pools, " + std::to_string(targets) + " targets, "
            + std::to_string(tables.callers.size()) + " callers, " + std::to_string(tables.trainers.size()) + " trainers";
    }

    std::string summaryLine(const AcceptedConfiguration& record)
    {
        auto line = "number " + std::to_string(record.number) + " by " + record.author + " at " + formatTime(record.acceptedAt);
        for (const auto& retired : record.retired)
            line += ", retired " + toText(retired);
        return line;
    }

    json summaryJson(const AcceptedConfiguration& record)
    {
        json value { { "number", record.number }, { "author", record.author }, { "accepted-at", record.acceptedAt }, { "retired", json::array() } };
        for (const auto& retired : record.retired)
            value["retired"].push_back(toText(retired));
        return value;
    }

    void appendDifferences(CommandOutcome& outcome, const std::vector<Difference>& changes)
    {
        auto list = json::array();
        for (const auto& change : changes) {
            outcome.text.append("  ").append(describe(change)).append("\n");
            list.push_back({ { "change", name(change.change) }, { "kind", name(change.kind) }, { "name", change.name }, { "detail", change.detail } });
        }
        if (changes.empty())
            outcome.text.append("  no difference\n");
        outcome.json["differences"] = std::move(list);
    }

    /// Lists all errors; the exit code is that of the first.
    CommandOutcome refusedOutcome(const Errors& errors)
    {
        const auto first = failureOutcome(errors.front());
        return failureOutcome(first.exitCode, errors);
    }

    /// @p editId is the ID of the edit; a record with another ID was not written by this edit.
    CommandOutcome toCommandOutcome(const ApplyResult& result, const std::string& editId)
    {
        if (result.outcome == EditState::Unknown) {
            auto outcome = failureOutcome(ExitCode::Unknown, result.errors);
            outcome.text += "the edit may or may not have been accepted: check with 'cicadactl show', then run the same command again\n";
            return outcome;
        }
        if (result.outcome != EditState::Accepted) {
            auto outcome = refusedOutcome(result.errors);
            outcome.text += "nothing was changed\n";
            return outcome;
        }
        CommandOutcome outcome;
        outcome.json = summaryJson(result.accepted);
        const bool isNew = result.accepted.editId == editId;
        outcome.json["changed"] = isNew;
        outcome.text = std::string(isNew ? "accepted: " : "already in force: ") + summaryLine(result.accepted) + "\n";
        if (isNew)
            appendDifferences(outcome, differences(result.previous ? result.previous->tables : Tables {}, result.accepted.tables));
        return outcome;
    }

    Task<CommandOutcome> applyEdit(ConfigurationClient& client, ConfigurationEdit edit)
    {
        edit.submittedAt = unixSeconds();
        edit.editId = newEditId();
        const auto editId = edit.editId;
        auto result = co_await client.apply(std::move(edit));
        co_return toCommandOutcome(result, editId);
    }

    /// Returns the new texts of both tables for those in force.
    using TextTransform = std::function<Result<TableTexts>(const TableTexts& current)>;

    /// Applies a transform to the texts in force. @p edit holds all members but the texts and the number: author, retired names, permissions.
    Task<CommandOutcome> applyTextTransform(ConfigurationClient& client, ConfigurationEdit edit, TextTransform transform)
    {
        edit.submittedAt = unixSeconds();
        edit.editId = newEditId();
        EditFactory makeEdit = [&edit, &transform](const AcceptedConfiguration& current) -> Result<ConfigurationEdit> {
            auto texts = transform({ current.routesText, current.poolsText });
            if (!texts)
                return texts.as_failure();
            auto newEdit = edit;
            newEdit.routesText = std::move(texts.value().routes);
            newEdit.poolsText = std::move(texts.value().pools);
            newEdit.baseNumber = current.number;
            return newEdit;
        };
        auto result = co_await client.applyWithRetries(std::move(makeEdit));
        co_return toCommandOutcome(result, edit.editId);
    }

    auto noConfigurationError()
    {
        return Error { ErrorCode::ValueMissing, "no configuration has been accepted yet", {} };
    }

    Result<std::vector<RetiredName>> retiredNames(const std::vector<std::string>& texts)
    {
        std::vector<RetiredName> names;
        for (const auto& text : texts) {
            auto retired = retiredNameFromText(text);
            if (!retired)
                return retired.as_failure();
            names.push_back(std::move(retired.value()));
        }
        return names;
    }

    /// Joins each kind with the name that follows it: "route", "a", "pool", "b" becomes "route a", "pool b".
    std::vector<std::string> joinPairs(const std::vector<std::string>& kindsAndNames)
    {
        std::vector<std::string> pairs;
        for (std::size_t index = 0; index < kindsAndNames.size(); index += 2)
            pairs.push_back(kindsAndNames[index] + " " + (index + 1 < kindsAndNames.size() ? kindsAndNames[index + 1] : std::string()));
        return pairs;
    }

    /// Returns the record with this number, or nullptr.
    const AcceptedConfiguration* findRecord(const std::vector<AcceptedConfiguration>& records, ConfigurationNumber number)
    {
        const auto found = std::find_if(records.begin(), records.end(), [number](const auto& record) { return record.number == number; });
        return found == records.end() ? nullptr : &*found;
    }

    /// Returns the current record and the replaced ones in the history, newest first.
    Task<Result<std::vector<AcceptedConfiguration>>> allRecords(ConfigurationClient& client)
    {
        auto current = co_await client.currentRecord();
        if (!current)
            co_return current.as_failure();
        auto records = co_await client.history();
        if (!records || !current.value())
            co_return records;
        auto& list = records.value();
        std::erase_if(list, [&](const auto& record) { return record.number >= current.value()->number; });
        list.insert(list.begin(), std::move(*current.value()));
        co_return records;
    }

    Task<CommandOutcome> diffRecords(ConfigurationClient& client, DiffOptions options)
    {
        auto records = co_await allRecords(client);
        if (!records)
            co_return failureOutcome(records.error());
        const auto& list = records.value();
        if (list.empty())
            co_return failureOutcome(noConfigurationError());
        const auto toNumber = options.toNumber.value_or(list.front().number);
        const auto fromNumber = options.fromNumber.value_or(toNumber - 1);
        const auto* newer = findRecord(list, toNumber);
        const auto* older = findRecord(list, fromNumber);
        if (!newer || !older) {
            const auto missingNumber = std::to_string(newer ? fromNumber : toNumber);
            co_return failureOutcome(Error { ErrorCode::NameUnknown, "number " + missingNumber + " is not in the history; 'cicadactl history' lists the numbers that are", {} });
        }
        CommandOutcome outcome;
        outcome.text = "from " + summaryLine(*older) + "\nto   " + summaryLine(*newer) + "\n";
        appendDifferences(outcome, differences(older->tables, newer->tables));
        co_return outcome;
    }

    void appendRefusedEdits(CommandOutcome& outcome, const std::vector<RefusedEdit>& edits)
    {
        outcome.json["refused"] = json::array();
        for (const auto& edit : edits) {
            outcome.text += "refused: edit by " + edit.author + " at " + formatTime(edit.refusedAt) + "\n";
            for (const auto& reason : edit.reasons)
                outcome.text += "  " + reason + "\n";
            outcome.json["refused"].push_back({ { "author", edit.author }, { "at", edit.refusedAt }, { "reasons", edit.reasons } });
        }
    }

    /// Prints the tables or, if files are given, writes them there. The routes text says on which number it is based (based-on).
    Result<void> writeTables(const AcceptedConfiguration& record, const TableFiles& files, CommandOutcome& outcome)
    {
        const auto routes = withBasedOn(record.routesText, record.number);
        outcome.json["routes"] = routes;
        outcome.json["pools"] = record.poolsText;
        if (files.routes.empty() && files.pools.empty()) {
            outcome.text += "\n# routes.toml\n" + routes + "\n# pools.toml\n" + record.poolsText;
            return success();
        }
        auto written = writeFile(files.routes, routes);
        return written ? writeFile(files.pools, record.poolsText) : written;
    }

} // namespace

Result<TableTexts> readTables(const TableFiles& files)
{
    auto routes = readTextFile(files.routes);
    if (!routes)
        return routes.as_failure();
    auto pools = readTextFile(files.pools);
    if (!pools)
        return pools.as_failure();
    return TableTexts { std::move(routes.value()), std::move(pools.value()) };
}

CommandOutcome checkCommand(const TableFiles& files)
{
    const auto texts = readTables(files);
    if (!texts)
        return failureOutcome(texts.error());
    const auto tables = parseTables(texts.value().routes, texts.value().pools);
    if (!tables)
        return failureOutcome(ExitCode::Refused, tables.error());
    CommandOutcome outcome;
    outcome.text = "no problems: " + describeCounts(tables.value()) + "\n";
    outcome.json["problems"] = json::array();
    return outcome;
}

Task<CommandOutcome> applyCommand(ConfigurationClient& client, ApplyOptions options)
{
    auto texts = readTables(options.files);
    if (!texts)
        co_return failureOutcome(texts.error());
    auto retired = retiredNames(options.retired);
    if (!retired)
        co_return failureOutcome(ExitCode::UsageError, { retired.error() });
    ConfigurationEdit edit;
    edit.baseNumber = options.baseNumber ? options.baseNumber : basedOn(texts.value().routes);
    edit.routesText = withoutBasedOn(texts.value().routes);
    edit.poolsText = texts.value().pools;
    edit.author = options.author;
    edit.retired = std::move(retired.value());
    edit.allowCapacityLoss = options.allowCapacityLoss;
    const bool isBaseInFile = basedOn(texts.value().routes).has_value();
    auto outcome = co_await applyEdit(client, std::move(edit));
    if (outcome.exitCode == ExitCode::Success && isBaseInFile) {
        // Updates based-on in the routes file, so that the operator can edit the same file again.
        const auto written = writeFile(options.files.routes, withBasedOn(texts.value().routes, outcome.json["number"].get<ConfigurationNumber>()));
        if (!written)
            outcome.text += "note: the routes file could not be updated; set based-on = " + outcome.json["number"].dump() + " in " + options.files.routes + " before the next edit\n";
    }
    co_return outcome;
}

Task<CommandOutcome> showCommand(ConfigurationClient& client, ShowOptions options)
{
    auto current = co_await client.currentRecord();
    if (!current)
        co_return failureOutcome(current.error());
    if (!current.value())
        co_return failureOutcome(noConfigurationError());
    const auto& record = *current.value();
    CommandOutcome outcome;
    outcome.json = summaryJson(record);
    outcome.text = summaryLine(record) + ": " + describeCounts(record.tables) + "\n";
    if (options.showsRefusedEdits) {
        auto refused = co_await client.refusedEdits();
        if (!refused)
            co_return failureOutcome(refused.error());
        appendRefusedEdits(outcome, refused.value());
        co_return outcome;
    }
    const auto written = writeTables(record, options.files, outcome);
    if (!written)
        co_return failureOutcome(written.error());
    co_return outcome;
}

Task<CommandOutcome> diffCommand(ConfigurationClient& client, DiffOptions options)
{
    if (options.files.routes.empty())
        co_return co_await diffRecords(client, std::move(options));
    const auto texts = readTables(options.files);
    if (!texts)
        co_return failureOutcome(texts.error());
    const auto tables = parseTables(texts.value().routes, texts.value().pools);
    if (!tables)
        co_return failureOutcome(ExitCode::Refused, tables.error());
    auto current = co_await client.currentRecord();
    if (!current)
        co_return failureOutcome(current.error());
    CommandOutcome outcome;
    const auto& record = current.value();
    outcome.text = "from " + (record ? summaryLine(*record) : "nothing") + "\nto   " + options.files.routes + " and " + options.files.pools + "\n";
    appendDifferences(outcome, differences(record ? record->tables : Tables {}, tables.value()));
    co_return outcome;
}

Task<CommandOutcome> historyCommand(ConfigurationClient& client)
{
    auto records = co_await allRecords(client);
    if (!records)
        co_return failureOutcome(records.error());
    CommandOutcome outcome;
    outcome.json["records"] = json::array();
    for (const auto& record : records.value()) {
        outcome.text += summaryLine(record) + ": " + describeCounts(record.tables) + "\n";
        outcome.json["records"].push_back(summaryJson(record));
    }
    co_return outcome;
}

Task<CommandOutcome> retireCommand(ConfigurationClient& client, RetireOptions options)
{
    auto retired = retiredNames(joinPairs(options.kindsAndNames));
    if (!retired)
        co_return failureOutcome(ExitCode::UsageError, { retired.error() });
    ConfigurationEdit edit;
    edit.author = options.author;
    edit.retired = std::move(retired.value());
    TextTransform transform = [names = edit.retired](const TableTexts& current) -> Result<TableTexts> {
        auto texts = current;
        for (const auto& entry : names) {
            auto edited = withoutEntry(texts, entry);
            if (!edited)
                return edited.as_failure();
            texts = std::move(edited.value());
        }
        return texts;
    };
    auto outcome = co_await applyTextTransform(client, std::move(edit), std::move(transform));
    co_return outcome;
}

Task<CommandOutcome> drainCommand(ConfigurationClient& client, DrainOptions options)
{
    ConfigurationEdit edit;
    edit.author = options.author;
    edit.allowCapacityLoss = options.allowCapacityLoss;
    TextTransform transform = [&options](const TableTexts& current) { return withDraining(current, TargetId(options.target), !options.isUndo); };
    auto outcome = co_await applyTextTransform(client, std::move(edit), std::move(transform));
    co_return outcome;
}

Task<CommandOutcome> explainCommand(ConfigurationClient& client, std::function<CommandOutcome(const Tables&)> explain)
{
    auto current = co_await client.currentRecord();
    if (!current)
        co_return failureOutcome(current.error());
    if (!current.value())
        co_return failureOutcome(noConfigurationError());
    co_return explain(current.value()->tables);
}

} // namespace cicadalb
