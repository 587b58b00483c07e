#include "CommandLine.h"
#include "ConfigurationCommands.h"
#include "Explain.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace cicadalb;

namespace {

const std::string routesText = R"([callers.clerks]
token-sha256 = "1111111111111111111111111111111111111111111111111111111111111111"
[callers.reconciliation]
token-sha256 = "2222222222222222222222222222222222222222222222222222222222222222"
[routes.invoices]
path = "/ledger"
pool = "ledger-app"
callers = ["clerks"]
[routes.lookup]
path = "/ledger/lookups"
methods = ["GET"]
pool = "ledger-app"
callers = ["reconciliation"]
repeatable = true
)";

const std::string poolsText = R"([pools.ledger-app]
kind = "plain-service"
[[pools.ledger-app.targets]]
id = "ledger-1"
address = "10.0.0.1"
port = 1
failure-domain = "salt-lake"
[[pools.ledger-app.targets]]
id = "ledger-2"
address = "10.0.0.2"
port = 1
failure-domain = "howrah"
)";

/// Runs commands against an in-memory key-value service, with table files in a temporary folder.
struct CommandFixture {
    std::filesystem::path folder = std::filesystem::temp_directory_path() / ("cicadalb-unit-cicadactl-" + std::to_string(getpid()));
    TableFiles files { (folder / "routes.toml").string(), (folder / "pools.toml").string() };
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService service { context.get_executor(), clock };
    Random random { 1 };
    ConfigurationClient client { context.get_executor(), service, random, std::chrono::milliseconds(0) };

    CommandFixture()
    {
        std::filesystem::create_directories(folder);
        write(routesText, poolsText);
    }
    ~CommandFixture() { std::filesystem::remove_all(folder); }

    void write(const std::string& routes, const std::string& pools) const
    {
        std::ofstream(files.routes) << routes;
        std::ofstream(files.pools) << pools;
    }

    CommandOutcome run(Task<CommandOutcome> command)
    {
        const auto result = startTask(context.get_executor(), std::move(command));
        context.restart();
        context.run();
        return **result;
    }

    CommandOutcome apply(const std::string& author, std::vector<std::string> retired = {})
    {
        return run(applyCommand(client, { files, author, std::nullopt, std::move(retired), false }));
    }

    std::string storedValue(std::string_view key) const { return service.entries().at(std::string(key)).value; }
};

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE_METHOD(CommandFixture, "of two concurrent edits with the same base, the second is refused and overwrites nothing")
{
    REQUIRE(apply("asha").exitCode == ExitCode::Success);
    const TableFiles secondFiles { (folder / "second-routes.toml").string(), (folder / "second-pools.toml").string() };
    REQUIRE(run(showCommand(client, { files, false })).exitCode == ExitCode::Success);
    REQUIRE(run(showCommand(client, { secondFiles, false })).exitCode == ExitCode::Success);

    write(replaceFirst(withBasedOn(routesText, 1), "\"/ledger\"", "\"/ledgers\""), poolsText);
    REQUIRE(apply("bela").exitCode == ExitCode::Success);
    const auto refused = run(applyCommand(client, { secondFiles, "chitra", std::nullopt, {}, false }));
    CHECK(refused.exitCode == ExitCode::Refused);
    CHECK(refused.text.find("number 2 by 'bela' is in force; your edit would change: changed route invoices (path: /ledgers -> /ledger)") != std::string::npos);
    CHECK(acceptedConfigurationFromJson(storedValue(acceptedConfigurationKey)).value().number == 2);
    CHECK(storedValue(refusedEditsKey).find("chitra") != std::string::npos);

    // The accepted edit updated based-on in its file, so that a further edit of the file is accepted.
    write(replaceFirst(readTables(files).value().routes, "\"/ledgers\"", "\"/books\""), poolsText);
    CHECK(apply("bela").json["number"] == 3);
}

TEST_CASE_METHOD(CommandFixture, "an edit whose write response is lost creates exactly one record")
{
    unsigned writes = 0;
    service.selectFault = [&writes](CallKind kind) {
        return kind == CallKind::Write && ++writes % 2 == 1 ? CallFault::AnswerLost : CallFault::None;
    };
    CHECK(apply("asha").json["number"] == 1);
    CHECK(run(drainCommand(client, { "bela", "ledger-1", false, false })).json["number"] == 2);
    CHECK(run(drainCommand(client, { "bela", "ledger-1", true, false })).json["number"] == 3);
}

TEST_CASE_METHOD(CommandFixture, "a drain that conflicts with a concurrent edit is retried on top of that edit")
{
    apply("asha");
    const auto current = acceptedConfigurationFromJson(storedValue(acceptedConfigurationKey)).value();
    ConfigurationEdit concurrentEdit { current.routesText, withDraining({ routesText, poolsText }, TargetId("ledger-2"), true).value().pools, "bela", 1, {}, false, 0, "winner" };
    const auto concurrentRecord = toJson(ConfigurationValidator(current).accept(concurrentEdit).value());
    unsigned writes = 0;
    service.selectFault = [&](CallKind kind) {
        // The first write stores the replaced record in the history, the second is the drain's own.
        if (kind == CallKind::Write && ++writes == 2)
            service.put(std::string(acceptedConfigurationKey), concurrentRecord);
        return CallFault::None;
    };
    CHECK(run(drainCommand(client, { "asha", "ledger-1", false, true })).exitCode == ExitCode::Success);
    const auto record = acceptedConfigurationFromJson(storedValue(acceptedConfigurationKey)).value();
    CHECK(record.number == 3);
    CHECK(record.tables.pools[0].targets[0].isDraining);
    CHECK(record.tables.pools[0].targets[1].isDraining);
    CHECK_FALSE(service.entries().contains(std::string(refusedEditsKey)));
}

TEST_CASE_METHOD(CommandFixture, "a drain started during an outage of the key-value service succeeds once the service is back")
{
    apply("asha");
    unsigned failures = 5;
    service.selectFault = [&failures](CallKind) {
        if (failures == 0)
            return CallFault::None;
        --failures;
        return CallFault::Unavailable;
    };
    CHECK(run(drainCommand(client, { "asha", "ledger-1", false, false })).exitCode == ExitCode::Success);
}

TEST_CASE_METHOD(CommandFixture, "an edit while the key-value service is down changes nothing and exits with Unreachable or Unknown")
{
    service.selectFault = [](CallKind) { return CallFault::Unavailable; };
    CHECK(apply("asha").exitCode == ExitCode::Unreachable);
    service.selectFault = [](CallKind kind) { return kind == CallKind::Write ? CallFault::RequestLost : CallFault::None; };
    CHECK(apply("asha").exitCode == ExitCode::Unknown);
    CHECK(service.entries().empty());
}

TEST_CASE_METHOD(CommandFixture, "replaced records are listed, can be compared and are limited in number")
{
    apply("asha");
    for (int edit = 0; edit < 40; ++edit)
        run(drainCommand(client, { "bela", "ledger-1", edit % 2 == 1, false }));
    const auto history = run(historyCommand(client));
    CHECK(history.json["records"].size() == 33);
    CHECK(history.json["records"][0]["number"] == 41);
    const auto diff = run(diffCommand(client, { {}, std::nullopt, std::nullopt }));
    CHECK(diff.json["differences"][0]["detail"] == "draining: true -> false");
    CHECK(run(diffCommand(client, { {}, 1, std::nullopt })).exitCode == ExitCode::Refused);
}

TEST_CASE_METHOD(CommandFixture, "names retired in one command are removed by one edit")
{
    apply("asha");
    CHECK(run(retireCommand(client, { "bela", { "caller", "reconciliation" } })).exitCode == ExitCode::Refused);
    const auto outcome = run(retireCommand(client, { "bela", { "caller", "reconciliation", "route", "lookup" } }));
    CHECK(outcome.exitCode == ExitCode::Success);
    CHECK(outcome.json["retired"].size() == 2);
    CHECK(run(retireCommand(client, { "bela", { "route" } })).exitCode == ExitCode::UsageError);
}

TEST_CASE_METHOD(CommandFixture, "explaining a request names its route, pool, candidates and the rejected routes")
{
    apply("asha");
    run(drainCommand(client, { "bela", "ledger-2", false, false }));
    const auto explainQuery = [&](const ExplainQuery& query) {
        return run(explainCommand(client, [&](const Tables& tables) { return explain(tables, query); }));
    };
    const auto lookup = explainQuery({ "GET", "/ledger/lookups/7", "reconciliation", {} });
    CHECK(lookup.json["route"]["name"] == "lookup");
    CHECK(lookup.json["targets"][0]["candidate"] == true);
    CHECK(lookup.json["targets"][1]["candidate"] == false);
    CHECK(lookup.json["rejected"][0]["reason"] == "it does not name the caller 'reconciliation'");
    CHECK(explainQuery({ "GET", "/ledger/lookups/7", "clerks", {} }).json["errors"][0]["name"] == "caller-not-allowed");
    CHECK(explainQuery({ "GET", "/elsewhere", "clerks", {} }).json["errors"][0]["name"] == "route-unknown");
    CHECK(explainQuery({ "GET", "/ledger", "nobody", {} }).json["errors"][0]["name"] == "caller-unknown");
    CHECK(explainQuery({ "GET", {}, {}, "draft" }).exitCode == ExitCode::Refused);
}

TEST_CASE_METHOD(CommandFixture, "the command line returns the documented exit codes and prints errors as JSON")
{
    std::ostringstream output;
    std::ostringstream errors;
    const auto runArguments = [&](std::vector<const char*> arguments) {
        arguments.insert(arguments.begin(), "cicadactl");
        output.str("");
        return runCommandLine(static_cast<int>(arguments.size()), arguments.data(), output, errors);
    };
    CHECK(runArguments({ "check", files.routes.c_str(), files.pools.c_str() }) == 0);
    CHECK(output.str() == "no problems: 2 routes, 1 pools, 2 targets, 2 callers, 0 trainers\n");
    write(replaceFirst(routesText, "ledger-app", "ledgerapp"), poolsText);
    CHECK(runArguments({ "check", files.routes.c_str(), files.pools.c_str(), "--json" }) == 1);
    CHECK(nlohmann::json::parse(output.str())["errors"][0]["name"] == "reference-broken");
    CHECK(runArguments({ "check", "/nonexistent", files.pools.c_str() }) == 2);
    CHECK(runArguments({ "aply" }) == 2);
    CHECK(runArguments({ "show", "--key-value", "127.0.0.1:1" }) == 3);
    CHECK(runArguments({ "--help" }) == 0);
}
