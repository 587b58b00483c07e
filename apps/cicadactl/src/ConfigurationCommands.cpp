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

    std::string timeText(std::int64_t unixSeconds)
    {
        const auto time = static_cast<std::time_t>(unixSeconds);
        std::tm parts {};
        gmtime_r(&time, &parts);
        std::ostringstream stream;
        stream << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
        return stream.str();
    }

    /// Unique to one edit: random, since nothing else is common to all operators.
    std::string newMark()
    {
        std::random_device device;
        std::string seed;
        for (int word = 0; word < 8; ++word)
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

    std::string countsText(const Tables& tables)
    {
        std::size_t targets = 0;
        for (const auto& pool : tables.pools)
            targets += pool.targets.size();
        return std::to_string(tables.routes.size()) + " routes, " + std::to_string(tables.pools.size()) + " pools, " + std::to_string(targets) + " targets, "
            + std::to_string(tables.callers.size()) + " callers, " + std::to_string(tables.trainers.size()) + " trainers";
    }

    std::string headline(const AcceptedConfiguration& record)
    {
        auto line = "number " + std::to_string(record.number) + " by " + record.author + " at " + timeText(record.acceptedAt);
        for (const auto& retired : record.retired)
            line += ", retired " + toText(retired);
        return line;
    }

    json headlineJson(const AcceptedConfiguration& record)
    {
        json value { { "number", record.number }, { "author", record.author }, { "accepted-at", record.acceptedAt }, { "retired", json::array() } };
        for (const auto& retired : record.retired)
            value["retired"].push_back(toText(retired));
        return value;
    }

    void addDifferences(CommandOutcome& outcome, const std::vector<Difference>& changes)
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

    CommandOutcome refusedOutcome(const Errors& errors)
    {
        const auto first = failed(errors.front());
        return failed(first.exitCode, errors);
    }

    CommandOutcome applyOutcome(const ApplyReport& report, const std::string& mark)
    {
        if (report.outcome == ApplyStep::Unknown) {
            auto outcome = failed(ExitCode::Unknown, report.errors);
            outcome.text += "the edit may or may not be accepted: look with 'cicadactl show', then run the same command again\n";
            return outcome;
        }
        if (report.outcome != ApplyStep::Accepted) {
            auto outcome = refusedOutcome(report.errors);
            outcome.text += "nothing was changed\n";
            return outcome;
        }
        CommandOutcome outcome;
        outcome.json = headlineJson(report.accepted);
        const bool isNew = report.accepted.mark == mark;
        outcome.json["changed"] = isNew;
        outcome.text = std::string(isNew ? "accepted: " : "already in force: ") + headline(report.accepted) + "\n";
        if (isNew)
            addDifferences(outcome, differences(report.before ? report.before->tables : Tables {}, report.accepted.tables));
        return outcome;
    }

    Task<CommandOutcome> applyEdit(ConfigurationClient& client, ConfigurationEdit edit)
    {
        edit.at = unixSeconds();
        edit.mark = newMark();
        const auto mark = edit.mark;
        auto report = co_await client.apply(std::move(edit));
        co_return applyOutcome(report, mark);
    }

    /// Makes both texts of an edit from those in force.
    using TextChange = std::function<Result<TableTexts>(const TableTexts& present)>;

    /// Applies a change of the texts in force; @p edit names the author and what the change allows.
    Task<CommandOutcome> applyTextChange(ConfigurationClient& client, ConfigurationEdit edit, TextChange change)
    {
        edit.at = unixSeconds();
        edit.mark = newMark();
        ConfigurationChange makeEdit = [&edit, &change](const AcceptedConfiguration& present) -> Result<ConfigurationEdit> {
            auto texts = change({ present.routesText, present.poolsText });
            if (!texts)
                return texts.as_failure();
            auto made = edit;
            made.routesText = std::move(texts.value().routes);
            made.poolsText = std::move(texts.value().pools);
            made.base = present.number;
            return made;
        };
        auto report = co_await client.applyChange(std::move(makeEdit));
        co_return applyOutcome(report, edit.mark);
    }

    auto nothingAccepted()
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

    /// Joins "route a pool b" to "route a" and "pool b".
    std::vector<std::string> joinedPairs(const std::vector<std::string>& words)
    {
        std::vector<std::string> pairs;
        for (std::size_t index = 0; index < words.size(); index += 2)
            pairs.push_back(words[index] + " " + (index + 1 < words.size() ? words[index + 1] : std::string()));
        return pairs;
    }

    /// The record with this number, from the present one and the history.
    const AcceptedConfiguration* findRecord(const std::vector<AcceptedConfiguration>& records, ConfigurationNumber number)
    {
        const auto found = std::find_if(records.begin(), records.end(), [number](const auto& record) { return record.number == number; });
        return found == records.end() ? nullptr : &*found;
    }

    /// The present record and those kept before it, newest first.
    Task<Result<std::vector<AcceptedConfiguration>>> allRecords(ConfigurationClient& client)
    {
        auto present = co_await client.present();
        if (!present)
            co_return present.as_failure();
        auto records = co_await client.history();
        if (!records || !present.value())
            co_return records;
        auto& list = records.value();
        std::erase_if(list, [&](const auto& record) { return record.number >= present.value()->number; });
        list.insert(list.begin(), std::move(*present.value()));
        co_return records;
    }

    Task<CommandOutcome> diffRecords(ConfigurationClient& client, DiffOptions options)
    {
        auto records = co_await allRecords(client);
        if (!records)
            co_return failed(records.error());
        const auto& list = records.value();
        if (list.empty())
            co_return failed(nothingAccepted());
        const auto to = options.to.value_or(list.front().number);
        const auto from = options.from.value_or(to - 1);
        const auto* newer = findRecord(list, to);
        const auto* older = findRecord(list, from);
        if (!newer || !older) {
            const auto missing = std::to_string(newer ? from : to);
            co_return failed(Error { ErrorCode::NameUnknown, "number " + missing + " is not kept; 'cicadactl history' lists what is", {} });
        }
        CommandOutcome outcome;
        outcome.text = "from " + headline(*older) + "\nto   " + headline(*newer) + "\n";
        addDifferences(outcome, differences(older->tables, newer->tables));
        co_return outcome;
    }

    void addRefused(CommandOutcome& outcome, const std::vector<RefusedEdit>& edits)
    {
        outcome.json["refused"] = json::array();
        for (const auto& edit : edits) {
            outcome.text += "refused: edit by " + edit.author + " at " + timeText(edit.at) + "\n";
            for (const auto& reason : edit.reasons)
                outcome.text += "  " + reason + "\n";
            outcome.json["refused"].push_back({ { "author", edit.author }, { "at", edit.at }, { "reasons", edit.reasons } });
        }
    }

    /// Prints the tables or writes them to files that say which number they are based on.
    Result<void> putTables(const AcceptedConfiguration& record, const TableFiles& files, CommandOutcome& outcome)
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
        return failed(texts.error());
    const auto tables = parseTables(texts.value().routes, texts.value().pools);
    if (!tables)
        return failed(ExitCode::Refused, tables.error());
    CommandOutcome outcome;
    outcome.text = "no problems: " + countsText(tables.value()) + "\n";
    outcome.json["problems"] = json::array();
    return outcome;
}

Task<CommandOutcome> applyCommand(ConfigurationClient& client, ApplyOptions options)
{
    auto texts = readTables(options.files);
    if (!texts)
        co_return failed(texts.error());
    auto retired = retiredNames(options.retired);
    if (!retired)
        co_return failed(ExitCode::Usage, { retired.error() });
    ConfigurationEdit edit;
    edit.base = options.base ? options.base : basedOn(texts.value().routes);
    edit.routesText = withoutBasedOn(texts.value().routes);
    edit.poolsText = texts.value().pools;
    edit.author = options.author;
    edit.retired = std::move(retired.value());
    edit.allowCapacityLoss = options.allowCapacityLoss;
    const bool isBaseInFile = basedOn(texts.value().routes).has_value();
    auto outcome = co_await applyEdit(client, std::move(edit));
    if (outcome.exitCode == ExitCode::Done && isBaseInFile) {
        // The file stays usable for the operator's next edit.
        const auto written = writeFile(options.files.routes, withBasedOn(texts.value().routes, outcome.json["number"].get<ConfigurationNumber>()));
        if (!written)
            outcome.text += "note: set based-on = " + outcome.json["number"].dump() + " in " + options.files.routes + " before the next edit\n";
    }
    co_return outcome;
}

Task<CommandOutcome> showCommand(ConfigurationClient& client, ShowOptions options)
{
    auto present = co_await client.present();
    if (!present)
        co_return failed(present.error());
    if (!present.value())
        co_return failed(nothingAccepted());
    const auto& record = *present.value();
    CommandOutcome outcome;
    outcome.json = headlineJson(record);
    outcome.text = headline(record) + ": " + countsText(record.tables) + "\n";
    if (options.withRefused) {
        auto refused = co_await client.refusedEdits();
        if (!refused)
            co_return failed(refused.error());
        addRefused(outcome, refused.value());
        co_return outcome;
    }
    const auto put = putTables(record, options.files, outcome);
    if (!put)
        co_return failed(put.error());
    co_return outcome;
}

Task<CommandOutcome> diffCommand(ConfigurationClient& client, DiffOptions options)
{
    if (options.files.routes.empty())
        co_return co_await diffRecords(client, std::move(options));
    const auto texts = readTables(options.files);
    if (!texts)
        co_return failed(texts.error());
    const auto tables = parseTables(texts.value().routes, texts.value().pools);
    if (!tables)
        co_return failed(ExitCode::Refused, tables.error());
    auto present = co_await client.present();
    if (!present)
        co_return failed(present.error());
    CommandOutcome outcome;
    const auto& record = present.value();
    outcome.text = "from " + (record ? headline(*record) : "nothing") + "\nto   " + options.files.routes + " and " + options.files.pools + "\n";
    addDifferences(outcome, differences(record ? record->tables : Tables {}, tables.value()));
    co_return outcome;
}

Task<CommandOutcome> historyCommand(ConfigurationClient& client)
{
    auto records = co_await allRecords(client);
    if (!records)
        co_return failed(records.error());
    CommandOutcome outcome;
    outcome.json["records"] = json::array();
    for (const auto& record : records.value()) {
        outcome.text += headline(record) + ": " + countsText(record.tables) + "\n";
        outcome.json["records"].push_back(headlineJson(record));
    }
    co_return outcome;
}

Task<CommandOutcome> retireCommand(ConfigurationClient& client, RetireOptions options)
{
    auto retired = retiredNames(joinedPairs(options.words));
    if (!retired)
        co_return failed(ExitCode::Usage, { retired.error() });
    ConfigurationEdit edit;
    edit.author = options.author;
    edit.retired = std::move(retired.value());
    TextChange change = [names = edit.retired](const TableTexts& present) -> Result<TableTexts> {
        auto texts = present;
        for (const auto& entry : names) {
            auto edited = withoutEntry(texts, entry);
            if (!edited)
                return edited.as_failure();
            texts = std::move(edited.value());
        }
        return texts;
    };
    auto outcome = co_await applyTextChange(client, std::move(edit), std::move(change));
    co_return outcome;
}

Task<CommandOutcome> drainCommand(ConfigurationClient& client, DrainOptions options)
{
    ConfigurationEdit edit;
    edit.author = options.author;
    edit.allowCapacityLoss = options.allowCapacityLoss;
    TextChange change = [&options](const TableTexts& present) { return withDraining(present, TargetId(options.target), !options.undo); };
    auto outcome = co_await applyTextChange(client, std::move(edit), std::move(change));
    co_return outcome;
}

Task<CommandOutcome> explainCommand(ConfigurationClient& client, std::function<CommandOutcome(const Tables&)> explain)
{
    auto present = co_await client.present();
    if (!present)
        co_return failed(present.error());
    if (!present.value())
        co_return failed(nothingAccepted());
    co_return explain(present.value()->tables);
}

} // namespace cicadalb
